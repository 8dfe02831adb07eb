//! Published configuration: the operators' files, and what is in force.

mod plan;
mod service_file;

pub use plan::{ConfigPlan, ServicePlan};
pub use service_file::{
    CallPriority, CallRule, ModelRule, OverridesFile, PolicyWeights, ServiceFile, ServiceKind,
    WorkspaceKeys, WorkspaceRule, WorkspacesFile,
};
