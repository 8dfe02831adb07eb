//! Length estimates per group of similar calls, with back-off to wider groups.

use std::collections::BTreeMap;

use base::prelude::*;
use config::CallPriority;

use crate::forecast::{HORIZON_COUNT, HORIZON_TOKENS};
use crate::{LengthEstimate, RouteCall};

/// Minimum number of observations of a group; below it, the next wider group is used.
const MIN_OBSERVATIONS: f64 = 40.0;

/// Maximum number of groups, at about 2 KB each. At the limit no further per-workspace
/// groups are added, and calls of further workspaces use the wider groups.
const MAX_GROUPS: usize = 8_192;

/// Key of a group of generations with similar lengths. `None` in a field matches all
/// values.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LengthGroup {
    service: ServiceName,
    model: Option<ModelName>,
    priority: Option<CallPriority>,
    /// Binary logarithm of the caller's output limit. Short and long kinds of call share
    /// services, models, priorities and workspaces, and differ only in their limits.
    limit: u32,
    workspace: Option<WorkspaceId>,
}

/// Length estimates of all groups.
#[derive(Debug, Default)]
pub struct LengthTable {
    estimates: BTreeMap<LengthGroup, LengthEstimate>,
    prior: LengthEstimate,
}

/// Returns the groups of a call, from the narrowest to the widest.
fn groups(call: &RouteCall) -> [LengthGroup; 3] {
    let narrow = LengthGroup {
        service: call.service.clone(),
        model: call.model.clone(),
        priority: Some(call.priority),
        limit: call.max_tokens.0.max(1).ilog2(),
        workspace: Some(call.workspace.clone()),
    };
    let middle = LengthGroup { workspace: None, ..narrow.clone() };
    let wide = LengthGroup { priority: None, ..middle.clone() };
    [narrow, middle, wide]
}

impl LengthTable {
    /// Returns the estimate of the narrowest group with enough observations, else the prior.
    #[must_use]
    pub fn estimate(&self, call: &RouteCall) -> &LengthEstimate {
        let found = groups(call).into_iter().find_map(|group| {
            let estimate = self.estimates.get(&group)?;
            (estimate.observations() >= MIN_OBSERVATIONS).then_some(estimate)
        });
        found.unwrap_or(&self.prior)
    }

    /// Returns the probability that a call which has produced `tokens` still runs at each
    /// horizon.
    #[must_use]
    pub fn survival_at_horizons(&self, call: &RouteCall, tokens: u32) -> [f64; HORIZON_COUNT] {
        let estimate = self.estimate(call);
        HORIZON_TOKENS.map(|ahead| estimate.conditional_survival(tokens, ahead))
    }

    /// Records a call that ended after `tokens`; `complete` is false if it was cut off there.
    pub fn observe(&mut self, call: &RouteCall, tokens: u32, complete: bool) {
        for group in groups(call) {
            let is_full = self.estimates.len() >= MAX_GROUPS && group.workspace.is_some();
            if is_full && !self.estimates.contains_key(&group) {
                continue;
            }
            let estimate = self.estimates.entry(group).or_default();
            if complete {
                estimate.observe_complete(tokens);
            } else {
                estimate.observe_censored(tokens);
            }
        }
    }

    /// Returns the number of groups.
    #[must_use]
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Returns whether no call was observed yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }
}
