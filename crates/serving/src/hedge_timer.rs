//! When a send is slower than nearly all of its kind.
//!
//! Load pattern: most requests of a route take about the same time, and a few meet a runner that
//! stalls. What is slow differs between routes and changes with the load, so that it is learned
//! from the route's recent sends.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::recent_routes::RecentRoutes;

/// Number of sends of a route that are kept; 256 KiB in all for the most routes that are kept.
const KEPT_TIMES: usize = 256;
/// Sends of a route below which none is called slow: a high quantile of fewer says little.
const LEAST_TIMES: usize = 100;
/// Share of a route's sends that are quicker than a slow one, at least.
const LEAST_QUANTILE: f64 = 0.95;
/// Shortest time after which a send is slow. Connecting and sending again takes about as long.
const LEAST_DELAY: TimeSpan = TimeSpan::millis(5);
/// Sends after which the quantile is computed anew.
const RENEWAL_SENDS: u32 = 16;
/// Number of runners and places whose sends are kept.
const MAX_ORIGINS: usize = 1_024;

/// Recent sends of one route.
#[derive(Debug, Default)]
struct RouteTimes {
    micros: Vec<u32>,
    next: usize,
    /// Sends since the quantile was computed.
    unused: u32,
    delay: Option<TimeSpan>,
}

impl RouteTimes {
    fn push(&mut self, time: TimeSpan) {
        let micros = u32::try_from(time.0).unwrap_or(u32::MAX);
        if self.micros.len() < KEPT_TIMES {
            self.micros.push(micros);
        } else {
            self.micros[self.next] = micros;
        }
        self.next = (self.next + 1) % KEPT_TIMES;
        self.unused += 1;
    }

    fn quantile(&self, quantile: f64) -> TimeSpan {
        let mut sorted = self.micros.clone();
        let rank = (quantile * sorted.len() as f64) as usize;
        let rank = rank.min(sorted.len() - 1);
        let (_, value, _) = sorted.select_nth_unstable(rank);
        TimeSpan(u64::from(*value))
    }
}

/// Which of the latest sends to a runner or a place were slow, the latest in the lowest bit.
#[derive(Debug, Clone, Copy, Default)]
struct SlowSends {
    bits: u32,
    count: u32,
}

impl SlowSends {
    fn push(&mut self, slow: bool) {
        self.bits = self.bits << 1 | u32::from(slow);
        self.count = (self.count + 1).min(u32::BITS);
    }

    /// Whether at least half of the latest `kept` sends were slow, if there are `least` of them.
    fn is_slow(self, kept: u32, least: u32) -> bool {
        let count = self.count.min(kept);
        let mask = u32::MAX >> (u32::BITS - kept);
        count >= least && (self.bits & mask).count_ones() * 2 >= count
    }
}

/// Times of the sends of each route, and how many of them were slow at each runner and place.
#[derive(Debug, Default)]
pub struct HedgeTimer {
    routes: RecentRoutes<RouteTimes>,
    runners: BTreeMap<RunnerId, SlowSends>,
    places: BTreeMap<PlaceName, SlowSends>,
}

impl HedgeTimer {
    /// Time after which a send on `route` is slow, if `share` of the requests may be hedged; `None`
    /// if too few sends were observed.
    pub fn delay(&mut self, now: TimePoint, route: &str, share: f64) -> Option<TimeSpan> {
        let times = self.routes.get_used(now, route)?;
        if times.micros.len() < LEAST_TIMES {
            return None;
        }
        if times.delay.is_none() || times.unused >= RENEWAL_SENDS {
            // With a smaller share, the hedges go to the slowest sends.
            let quantile = times.quantile((1.0 - share).max(LEAST_QUANTILE));
            times.delay = Some(quantile.max(LEAST_DELAY));
            times.unused = 0;
        }
        times.delay
    }

    /// Records the time that a first send took; for one that was cancelled, the time until then,
    /// so that the slow sends are not left out.
    pub fn record_time(&mut self, now: TimePoint, route: &Arc<str>, time: TimeSpan) {
        self.routes.get_or_insert(now, route).push(time);
    }

    /// Records whether a first send to `runner` was slow.
    pub fn record_pace(&mut self, runner: &RunnerId, place: &PlaceName, slow: bool) {
        if self.runners.len() >= MAX_ORIGINS && !self.runners.contains_key(runner) {
            self.runners.clear();
        }
        if self.places.len() >= MAX_ORIGINS && !self.places.contains_key(place) {
            self.places.clear();
        }
        self.runners.entry(runner.clone()).or_default().push(slow);
        self.places.entry(place.clone()).or_default().push(slow);
    }

    /// Whether half of the latest sends to a runner were slow.
    #[must_use]
    pub fn is_runner_slow(&self, runner: &RunnerId) -> bool {
        const KEPT: u32 = 8;
        const LEAST: u32 = 4;
        self.runners.get(runner).is_some_and(|sends| sends.is_slow(KEPT, LEAST))
    }

    /// Whether half of the latest sends to the runners of a place were slow.
    #[must_use]
    pub fn is_place_slow(&self, place: &PlaceName) -> bool {
        const KEPT: u32 = 32;
        const LEAST: u32 = 8;
        self.places.get(place).is_some_and(|sends| sends.is_slow(KEPT, LEAST))
    }

    /// Number of routes that are kept.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
