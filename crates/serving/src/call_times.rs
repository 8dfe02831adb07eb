//! How long the calls of each route take.
//!
//! Load pattern: a node that is told to stop goes on receiving calls for seconds. It may take only those
//! that end before it does, and the routes' timeouts are much longer than most calls take.

use std::collections::VecDeque;

use base::prelude::*;

use crate::recent_routes::RecentRoutes;
use crate::{RouteKind, RouteRule};

/// Number of calls of a route that are kept.
const KEPT_TIMES: usize = 256;
/// Share of a route's calls that are to end within the expected time, if they may be repeated.
const EXPECTED_QUANTILE: f64 = 0.98;
/// Number of calls of a route that tell by themselves how long its calls take.
const ENOUGH_TIMES: usize = 16;
/// Part of the expected time, as a divisor, by which a call under way exceeds it if calls have become
/// slower, and the least excess.
const EXCESS_DIVISOR: u64 = 8;
const LEAST_EXCESS: TimeSpan = TimeSpan::millis(50);
/// Factor by which a call takes longer in the end than one under way has taken so far.
const UNDER_WAY_FACTOR: u64 = 2;
/// Expected time of a plain call on a route with few calls so far, as a multiple of its target latency.
const UNKNOWN_FACTOR: u64 = 4;

/// Recent calls of one route.
#[derive(Debug, Default)]
struct RouteCalls {
    times: VecDeque<TimeSpan>,
}

impl RouteCalls {
    fn push(&mut self, time: TimeSpan) {
        if self.times.len() >= KEPT_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }

    /// Time within which a call ends: nearly all of those kept if it may be repeated, otherwise all.
    fn expected(&self, kind: RouteKind) -> Option<TimeSpan> {
        if kind == RouteKind::AtMostOnce {
            return self.times.iter().max().copied();
        }
        let mut sorted: Vec<TimeSpan> = self.times.iter().copied().collect();
        let rank = (EXPECTED_QUANTILE * sorted.len() as f64).ceil() as usize;
        let rank = rank.checked_sub(1)?;
        let (_, expected, _) = sorted.select_nth_unstable(rank);
        Some(*expected)
    }

    fn tells_all(&self) -> bool {
        self.times.len() >= ENOUGH_TIMES
    }
}

/// Recent times of the calls of each route.
#[derive(Debug, Default)]
pub struct CallTimes {
    routes: RecentRoutes<RouteCalls>,
}

impl CallTimes {
    /// Records the time that a call on `route` took.
    pub fn record(&mut self, now: TimePoint, route: &Arc<str>, time: TimeSpan) {
        self.routes.get_or_insert(now, route).push(time);
    }

    /// Time within which a call of the route ends: nearly every call if they may be repeated, otherwise
    /// every one. `longest_open` is the time that the longest call under way has taken so far; if it is
    /// beyond what is known, calls have become slower. `None` if nothing is known: no stream of the
    /// route has ended, and its target is that of the first event.
    #[must_use]
    pub fn expected(&self, route: &RouteRule, longest_open: TimeSpan) -> Option<TimeSpan> {
        let calls = self.routes.get(&route.name);
        let observed = calls.and_then(|calls| calls.expected(route.kind));
        if route.kind == RouteKind::Stream {
            return observed;
        }
        let doubled = TimeSpan(longest_open.0.saturating_mul(UNDER_WAY_FACTOR));
        if let Some(observed) = observed
            && calls.is_some_and(RouteCalls::tells_all)
        {
            let excess = TimeSpan(observed.0 / EXCESS_DIVISOR).max(LEAST_EXCESS);
            let is_slower = longest_open.0 > observed.0.saturating_add(excess.0);
            return Some(if is_slower { doubled } else { observed });
        }
        let assumed = TimeSpan(route.target_latency.0.saturating_mul(UNKNOWN_FACTOR));
        Some(observed.unwrap_or_default().max(assumed).max(doubled))
    }
}
