//! This node's share of the fleet-wide retry budget.
//!
//! Load pattern: runners fail or refuse many requests at once, and without a budget every
//! node would retry each of them.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

/// Fraction of the fleet's budget that is used. The rest is a margin, so that the budget also
/// holds in windows that an observer starts at other instants.
const USABLE_SHARE: f64 = 0.7;

/// Fraction of the usable budget up to which hedges are sent.
const HEDGE_SHARE: f64 = 0.5;

/// Limits of the fleet-wide retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed on top of that per window, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: TimeSpan,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<TimePoint>,
    retries: VecDeque<TimePoint>,
}

/// Sliding-window counts of requests and retries by service, checked against this node's
/// share of the budget.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    started_at: TimePoint,
    services: BTreeMap<ServiceName, ServiceCounts>,
}

impl RetryBudget {
    /// Creates the budget of a node that started at `started_at`. The slack is withheld for the
    /// first window, because the retries of an earlier process of this node are not known.
    #[must_use]
    pub fn new(settings: BudgetSettings, started_at: TimePoint) -> Self {
        Self { settings, started_at, services: BTreeMap::new() }
    }

    /// Replaces the limits of the fleet-wide budget.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: TimePoint, service: &ServiceName) {
        let window = self.settings.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(now, window);
        counts.requests.push_back(now);
    }

    /// Number of requests for a service within the window.
    #[must_use]
    pub fn recent_requests(&self, now: TimePoint, service: &ServiceName) -> u32 {
        let window = self.settings.window;
        let requests = self.services.get(service).map(|counts| &counts.requests);
        let recent = requests.into_iter().flatten().filter(|at| now.since(**at) < window);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Reserves one retry for a second send of a request whose first send is in progress. That
    /// leaves at least half of this node's share for sends after failures.
    pub fn try_acquire_hedge(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        nodes: usize,
    ) -> bool {
        self.acquire_within(now, service, nodes, USABLE_SHARE * HEDGE_SHARE)
    }

    /// Reserves one retry if this node's share allows it; the slack is split evenly over
    /// `nodes`. Returns whether the retry may be sent.
    pub fn try_acquire(&mut self, now: TimePoint, service: &ServiceName, nodes: usize) -> bool {
        self.acquire_within(now, service, nodes, USABLE_SHARE)
    }

    /// Reserves one retry within a fraction of this node's share.
    fn acquire_within(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        nodes: usize,
        fraction: f64,
    ) -> bool {
        let window = self.settings.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(now, window);
        let in_first_window = now.since(self.started_at) < window;
        let slack = if in_first_window { 0.0 } else { self.settings.slack / nodes.max(1) as f64 };
        let allowed = self.settings.ratio * counts.requests.len() as f64 + slack;
        if (counts.retries.len() + 1) as f64 > fraction * allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }
}

impl ServiceCounts {
    /// Drops the entries that are older than `window`.
    fn expire(&mut self, now: TimePoint, window: TimeSpan) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) >= window) {
                times.pop_front();
            }
        }
    }
}
