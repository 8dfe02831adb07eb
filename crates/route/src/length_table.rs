//! Length estimates per group of similar calls, with back-off to wider groups.

use std::collections::BTreeMap;

use crate::forecast::{HORIZON_COUNT, HORIZON_TOKENS};
use crate::length_estimate::{conditional_survival, expected_remaining};
use crate::{LengthEstimate, LengthGroup, LengthPrior, RouteCall};

/// Minimum number of observations of a group; below it, the next wider group is used.
const MIN_OBSERVATIONS: f64 = 40.0;

/// Maximum number of groups, at about 2 KB each. At the limit no further per-workspace
/// groups are added, and calls of further workspaces use the wider groups.
const MAX_GROUPS: usize = 8_192;

/// Length estimates of all groups.
#[derive(Debug, Default)]
pub struct LengthTable {
    estimates: BTreeMap<LengthGroup, LengthEstimate>,
    /// Estimate of calls without an output limit before any was observed.
    unlimited_prior: LengthEstimate,
}

/// Returns the groups of a call, in the order in which they are used.
fn groups(call: &RouteCall) -> Vec<LengthGroup> {
    let with_hint = LengthGroup::with_hint(call);
    let of_workspace =
        LengthGroup { workspace: Some(call.workspace.clone()), ..with_hint.any_hint() };
    let mut groups = with_hint.widening();
    let narrowest = usize::from(with_hint.hint.is_some());
    groups.insert(narrowest, of_workspace);
    groups
}

impl LengthTable {
    /// Applies `use_survival` to the survival function of the call's narrowest group with
    /// enough observations, or to that of its prior.
    fn with_survival<T>(
        &self,
        call: &RouteCall,
        use_survival: impl FnOnce(&dyn Fn(u32) -> f64) -> T,
    ) -> T {
        let observed = groups(call).into_iter().find_map(|group| {
            let estimate = self.estimates.get(&group)?;
            (estimate.observations() >= MIN_OBSERVATIONS).then_some(estimate)
        });
        match (observed, LengthPrior::for_call(call)) {
            (Some(estimate), _) => use_survival(&|tokens| estimate.survival(tokens)),
            (None, Some(prior)) => use_survival(&|tokens| prior.survival(tokens)),
            (None, None) => use_survival(&|tokens| self.unlimited_prior.survival(tokens)),
        }
    }

    /// Returns the probability that a call which has produced `tokens` still runs at each
    /// horizon.
    #[must_use]
    pub fn survival_at_horizons(&self, call: &RouteCall, tokens: u32) -> [f64; HORIZON_COUNT] {
        self.with_survival(call, |survival| {
            HORIZON_TOKENS.map(|ahead| conditional_survival(survival, tokens, ahead))
        })
    }

    /// Returns the expected number of tokens that a call is still to produce.
    #[must_use]
    pub fn expected_remaining(&self, call: &RouteCall) -> f64 {
        self.with_survival(call, |survival| expected_remaining(survival, call.produced_tokens.0))
    }

    /// Records a call that ended after `tokens`; `complete` is false if it was cut off there.
    pub fn observe(&mut self, call: &RouteCall, tokens: u32, complete: bool) {
        for group in groups(call) {
            self.observe_group(group, tokens, complete);
        }
    }

    fn observe_group(&mut self, group: LengthGroup, tokens: u32, complete: bool) {
        let is_full = self.estimates.len() >= MAX_GROUPS && group.workspace.is_some();
        if is_full && !self.estimates.contains_key(&group) {
            return;
        }
        let estimate = self.estimates.entry(group).or_default();
        if complete {
            estimate.observe_complete(tokens);
        } else {
            estimate.observe_censored(tokens);
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
