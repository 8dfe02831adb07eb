//! Assigns runners to stewards by rendezvous hashing: one polls a runner, and a second one
//! is its standby.
//!
//! The polls of a runner do not grow with the number of stewards. When a steward dies, only
//! its own runners are assigned to others.

use std::collections::BTreeMap;

use base::prelude::*;
use base::rendezvous_score;

/// Owners of one runner's reports: the one that polls, and its standby.
pub const REPORT_OWNERS: usize = 2;

/// The live stewards, which determine the owners of each runner's reports.
#[derive(Debug, Clone, Default)]
pub struct ReportShare {
    by_place: BTreeMap<PlaceName, Vec<VmId>>,
    all: Vec<VmId>,
}

impl ReportShare {
    /// Adds a live steward.
    pub fn add(&mut self, vm: &VmId, place: &PlaceName) {
        self.by_place.entry(place.clone()).or_default().push(vm.clone());
        self.all.push(vm.clone());
    }

    /// Whether no steward is live.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The rank of `vm` among the owners of `runner`, 0 for the one that polls. Owners are
    /// chosen among the stewards in the runner's place if there are enough, else among all.
    #[must_use]
    pub fn rank(&self, vm: &VmId, runner: &RunnerId, place: &PlaceName) -> Option<usize> {
        let near = self.by_place.get(place).filter(|near| near.len() >= REPORT_OWNERS);
        let candidates = near.unwrap_or(&self.all);
        if !candidates.contains(vm) {
            return None;
        }
        let score = |vm: &VmId| rendezvous_score(runner.as_str(), vm.as_str());
        let own = (score(vm), vm);
        let rank = candidates.iter().filter(|other| (score(other), *other) > own).count();
        (rank < REPORT_OWNERS).then_some(rank)
    }
}
