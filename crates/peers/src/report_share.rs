//! Who polls which runner: two stewards a runner, by rendezvous hashing.
//!
//! The polls of a runner do not grow with the number of stewards. When a steward dies, its
//! runners go to others, and no other runner changes hands.

use std::collections::BTreeMap;

use base::prelude::*;
use base::rendezvous_score;

/// Stewards that poll one runner.
pub const REPORT_OWNERS: usize = 2;

/// The live stewards, from which the owners of each runner's reports follow.
#[derive(Debug, Clone, Default)]
pub struct ReportShare {
    by_place: BTreeMap<PlaceName, Vec<VmId>>,
    all: Vec<VmId>,
}

impl ReportShare {
    /// Notes a live steward.
    pub fn add(&mut self, vm: &VmId, place: &PlaceName) {
        self.by_place.entry(place.clone()).or_default().push(vm.clone());
        self.all.push(vm.clone());
    }

    /// Whether no steward is live.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether `vm` is among the owners of `runner`: of the stewards in the runner's place
    /// if they are enough, else of all.
    #[must_use]
    pub fn owns(&self, vm: &VmId, runner: &RunnerId, place: &PlaceName) -> bool {
        let near = self.by_place.get(place).filter(|near| near.len() >= REPORT_OWNERS);
        let candidates = near.unwrap_or(&self.all);
        if !candidates.contains(vm) {
            return false;
        }
        let rank = |vm: &VmId| rendezvous_score(runner.as_str(), vm.as_str());
        let own = (rank(vm), vm);
        candidates.iter().filter(|other| (rank(other), *other) > own).count() < REPORT_OWNERS
    }
}
