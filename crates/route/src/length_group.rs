//! Groups of calls whose lengths are estimated together.

use base::prelude::*;
use config::CallPriority;

use crate::RouteCall;

/// Key of a group of generations with similar lengths. `None` in a field matches all
/// values.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LengthGroup {
    /// Service of the calls.
    pub service: ServiceName,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Scheduling priority.
    pub priority: Option<CallPriority>,
    /// Binary logarithm of the caller's output limit. Short and long kinds of call share
    /// services, models, priorities and workspaces, and differ only in their limits.
    pub limit: u32,
    /// Binary logarithm of the caller's estimate of the length.
    pub hint: Option<u32>,
    /// Workspace of the calls.
    pub workspace: Option<WorkspaceId>,
}

impl LengthGroup {
    /// Group of the calls with the same service, model, priority, limit and hint as `call`.
    #[must_use]
    pub fn with_hint(call: &RouteCall) -> Self {
        Self {
            service: call.service.clone(),
            model: call.model.clone(),
            priority: Some(call.priority),
            limit: call.max_tokens.0.max(1).ilog2(),
            hint: call.length_hint.map(|hint| hint.0.max(1).ilog2()),
            workspace: None,
        }
    }

    /// This group without the hint.
    #[must_use]
    pub fn any_hint(&self) -> Self {
        Self { hint: None, ..self.clone() }
    }

    /// This group without hint and priority.
    #[must_use]
    pub fn any_priority(&self) -> Self {
        Self { hint: None, priority: None, ..self.clone() }
    }

    /// The groups of all workspaces that this one belongs to, from the narrowest to the widest.
    #[must_use]
    pub fn widening(&self) -> Vec<Self> {
        let mut groups = vec![self.clone(), self.any_hint(), self.any_priority()];
        groups.dedup();
        groups
    }
}
