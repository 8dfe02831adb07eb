//! Deterministic subsetting: each entry uses a bounded, stable subset of all runners and
//! prefers those in its own failure domain.

use base::{prelude::*, rendezvous_score};

use crate::RouteMember;

/// Subset size within the entry's own place.
const OWN_PLACE_RUNNERS: usize = 36;
/// Subset size over all other places.
const OTHER_PLACE_RUNNERS: usize = 12;

/// Returns the members that the entry named `entry` in `place` uses, by rendezvous hashing:
/// a member that leaves is replaced by the one with the next lower score, and all others
/// stay.
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

/// Returns the `count` members with the highest rendezvous scores.
fn highest(entry: &str, mut members: Vec<RouteMember>, count: usize) -> Vec<RouteMember> {
    let score = |member: &RouteMember| rendezvous_score(entry, member.runner.as_str());
    members.sort_by_cached_key(|member| std::cmp::Reverse(score(member)));
    members.truncate(count);
    members
}
