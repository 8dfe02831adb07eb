//! Published configuration: the operators' files, and what is in force.

mod fold;
mod plan;
mod record;
mod service_file;
mod state;

pub use fold::{ConfigFold, FoldOutcome, IgnoredReason};
pub use plan::{ConfigPlan, ServicePlan};
pub use record::{CheckpointRecord, ConfigRecord, FileChange, PublishRecord, RecordError};
pub use service_file::{
    CallPriority, CallRule, ModelRule, OverridesFile, PolicyWeights, ServiceFile, ServiceKind,
    WorkspaceKeys, WorkspaceRule, WorkspacesFile,
};
pub use state::{ConfigDelta, ConfigState, FileRemoval, FileVersion};
