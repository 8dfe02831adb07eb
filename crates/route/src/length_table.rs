//! Length estimates by who asks for what, with back-off.

use std::collections::BTreeMap;

use base::prelude::*;
use config::CallPriority;

use crate::forecast::{HORIZON_COUNT, HORIZON_TOKENS};
use crate::{LengthEstimate, RouteCall};

/// Observations below which the next wider group is asked.
const ENOUGH_OBSERVATIONS: f64 = 40.0;

/// Groups kept, of about 2 KB each; further workspaces use the wider groups.
const GROUP_LIMIT: usize = 8_192;

/// A group of generations whose lengths are alike; a part that is none stands for all.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LengthGroup {
    service: ServiceName,
    model: Option<ModelName>,
    priority: Option<CallPriority>,
    /// Doublings of the limit that the caller gave: short and long kinds of call share
    /// services, models, priorities and workspaces, and differ in their limits.
    limit: u32,
    workspace: Option<WorkspaceId>,
}

/// All length estimates of a scheduler.
#[derive(Debug, Default)]
pub struct LengthTable {
    estimates: BTreeMap<LengthGroup, LengthEstimate>,
    prior: LengthEstimate,
}

/// The groups of a call, from the narrowest to the widest.
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
    /// The estimate for a call.
    #[must_use]
    pub fn estimate(&self, call: &RouteCall) -> &LengthEstimate {
        let found = groups(call).into_iter().find_map(|group| {
            let estimate = self.estimates.get(&group)?;
            (estimate.observations() >= ENOUGH_OBSERVATIONS).then_some(estimate)
        });
        found.unwrap_or(&self.prior)
    }

    /// The chance that a call which has produced `tokens` still runs at each horizon.
    #[must_use]
    pub fn survival_at_horizons(&self, call: &RouteCall, tokens: u32) -> [f64; HORIZON_COUNT] {
        let estimate = self.estimate(call);
        HORIZON_TOKENS.map(|ahead| estimate.conditional_survival(tokens, ahead))
    }

    /// A call ended by itself after `tokens`, or was cut there.
    pub fn observe(&mut self, call: &RouteCall, tokens: u32, whole: bool) {
        for group in groups(call) {
            let is_full = self.estimates.len() >= GROUP_LIMIT && group.workspace.is_some();
            if is_full && !self.estimates.contains_key(&group) {
                continue;
            }
            let estimate = self.estimates.entry(group).or_default();
            if whole {
                estimate.observe_complete(tokens);
            } else {
                estimate.observe_censored(tokens);
            }
        }
    }

    /// Number of groups.
    #[must_use]
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Whether nothing was observed yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }
}
