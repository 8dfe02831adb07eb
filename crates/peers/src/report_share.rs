//! Who polls which runner: two stewards a runner, by rendezvous hashing.
//!
//! The polls of a runner do not grow with the number of stewards. When a steward dies, its
//! runners go to others, and no other runner changes hands.

use base::prelude::*;
use base::rendezvous_score;

/// Stewards that poll one runner.
pub const REPORT_OWNERS: usize = 2;

/// A live steward, as a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareNode<'a> {
    /// Its machine.
    pub vm: &'a VmId,
    /// Its failure domain.
    pub place: &'a PlaceName,
}

/// Whether `me` is among the owners of `runner`: of the stewards in the runner's place if
/// they are enough, else of all.
#[must_use]
pub fn owns_report(
    me: &VmId,
    runner: &RunnerId,
    place: &PlaceName,
    stewards: &[ShareNode<'_>],
) -> bool {
    let near = stewards.iter().filter(|node| node.place == place).count() >= REPORT_OWNERS;
    let mut candidates = stewards.iter().filter(|node| !near || node.place == place);
    if !candidates.clone().any(|node| node.vm == me) {
        return false;
    }
    let rank = |vm: &VmId| (rendezvous_score(runner.as_str(), vm.as_str()), vm.clone());
    let own = rank(me);
    // The owners are those with the highest scores.
    let mut better = 0;
    candidates.all(|node| {
        better += usize::from(rank(node.vm) > own);
        better < REPORT_OWNERS
    })
}
