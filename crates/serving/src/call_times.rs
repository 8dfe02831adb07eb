//! How long the calls of each route take.
//!
//! Load pattern: a node that is told to stop goes on receiving calls for seconds. It may take only those
//! that end before it does, and the routes' timeouts are much longer than most calls take.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

use crate::{RouteKind, RouteRule};

/// Number of calls of a route that are kept.
const KEPT_TIMES: usize = 256;
/// Share of a route's calls that are to end within the expected time.
const EXPECTED_QUANTILE: f64 = 0.98;
/// Number of routes whose calls are kept. Of more, the least recently used is dropped.
const MAX_ROUTES: usize = 256;
/// Expected time of a plain call on a route without calls so far, as a multiple of its target latency.
const UNKNOWN_FACTOR: u64 = 4;

/// Recent calls of one route.
#[derive(Debug, Default)]
struct RouteCalls {
    used_at: TimePoint,
    times: VecDeque<TimeSpan>,
}

impl RouteCalls {
    fn push(&mut self, now: TimePoint, time: TimeSpan) {
        self.used_at = now;
        if self.times.len() >= KEPT_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }

    fn expected(&self) -> Option<TimeSpan> {
        let mut sorted: Vec<TimeSpan> = self.times.iter().copied().collect();
        let rank = (EXPECTED_QUANTILE * sorted.len() as f64).ceil() as usize;
        let rank = rank.checked_sub(1)?;
        let (_, expected, _) = sorted.select_nth_unstable(rank);
        Some(*expected)
    }
}

/// Recent times of the calls of each route.
#[derive(Debug, Default)]
pub struct CallTimes {
    routes: BTreeMap<Arc<str>, RouteCalls>,
}

impl CallTimes {
    /// Records the time that a call on `route` took.
    pub fn record(&mut self, now: TimePoint, route: &Arc<str>, time: TimeSpan) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            let oldest = self.routes.iter().min_by_key(|(_, calls)| calls.used_at);
            if let Some(oldest) = oldest.map(|(name, _)| Arc::clone(name)) {
                self.routes.remove(&oldest);
            }
        }
        self.routes.entry(Arc::clone(route)).or_default().push(now, time);
    }

    /// Time within which nearly all calls of the route end. `None` if nothing is known: no stream of
    /// the route has ended, and its target is that of the first event.
    #[must_use]
    pub fn expected(&self, route: &RouteRule) -> Option<TimeSpan> {
        let observed = self.routes.get(&route.name).and_then(RouteCalls::expected);
        let is_stream = route.kind == RouteKind::Stream;
        let assumed = TimeSpan(route.target_latency.0.saturating_mul(UNKNOWN_FACTOR));
        observed.or((!is_stream).then_some(assumed))
    }
}
