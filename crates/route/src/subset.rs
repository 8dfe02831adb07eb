//! The runners that one entry uses: a bounded, stable part of all, own place first.

use base::{prelude::*, rendezvous_score};

use crate::RouteMember;

/// Runners of the entry's own place that it uses.
const OWN_PLACE_RUNNERS: usize = 36;
/// Runners of other places that it uses.
const OTHER_PLACE_RUNNERS: usize = 12;

/// Keeps the members that an entry named `entry` in `place` uses. A member that leaves
/// is replaced by the next one in order; all others stay.
#[must_use]
pub fn choose(entry: &str, place: &PlaceName, members: Vec<RouteMember>) -> Vec<RouteMember> {
    if members.len() <= OWN_PLACE_RUNNERS + OTHER_PLACE_RUNNERS {
        return members;
    }
    let staying = members.into_iter().filter(|member| !member.leaving);
    let (own, other): (Vec<_>, Vec<_>) = staying.partition(|member| member.place == *place);
    let own_missing = OWN_PLACE_RUNNERS.saturating_sub(own.len());
    let mut chosen = highest(entry, own, OWN_PLACE_RUNNERS);
    chosen.extend(highest(entry, other, OTHER_PLACE_RUNNERS + own_missing));
    chosen
}

fn highest(entry: &str, mut members: Vec<RouteMember>, count: usize) -> Vec<RouteMember> {
    let score = |member: &RouteMember| rendezvous_score(entry, member.runner.as_str());
    members.sort_by_cached_key(|member| std::cmp::Reverse(score(member)));
    members.truncate(count);
    members
}
