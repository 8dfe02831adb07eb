//! Published configuration: the operators' files, the log's records, and the plan in force.

mod check;
mod checkpoint;
mod checkpoint_writer;
mod exchange_timer;
mod fold;
mod follower;
mod follower_event;
mod history;
mod key_hash;
mod log_search;
mod parsed_file;
mod plan;
mod plan_builder;
mod reader_role;
mod record;
mod schema;
mod service_file;
mod state;

pub use check::{FaultLevel, FileFault, check_drains, check_files};
pub use checkpoint::{CheckpointNeed, SeenCheckpoint, checkpoint_need};
pub use fold::{ConfigFold, FoldOutcome, IgnoredReason};
pub use follower::ConfigFollower;
pub use follower_event::{FollowerAction, FollowerEvent, FollowerMember, FollowerSettings};
pub use history::{HistoryEntry, HistoryLine, PublishHistory};
pub use key_hash::hash_key;
pub use parsed_file::{FileKind, KindError, ParsedFile};
pub use plan::{ConfigPlan, ServicePlan, UnusableFile};
pub use plan_builder::PlanBuilder;
pub use record::{
    CheckpointRecord, ConfigRecord, FileChange, PublishRecord, RecordError, RecordHeading,
    ResetFile, ResetRecord,
};
pub use service_file::{
    CallPriority, CallRule, ModelRule, OverridesFile, PolicyWeights, ServiceFile, ServiceKind,
    WorkspaceKeys, WorkspaceRule, WorkspacesFile,
};
pub use state::{ConfigDelta, ConfigState, FileRemoval, FileVersion};
