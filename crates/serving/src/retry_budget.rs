//! The share of one node in the budget of repeated sends that all nodes have together.
//!
//! Load pattern: runners fail or refuse many requests at once, and every node would send
//! each of them again.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

/// Part of the fleet's budget that is spent, so that windows counted elsewhere by other
/// instants are kept too.
const SPENT_SHARE: f64 = 0.7;

/// The fleet's budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, in a window, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: TimeSpan,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<TimePoint>,
    repeats: VecDeque<TimePoint>,
}

/// Repeats that this node may still send, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    started: TimePoint,
    services: BTreeMap<ServiceName, ServiceCounts>,
}

impl RetryBudget {
    /// A budget of a node that started at `started`: what an earlier process of this node
    /// spent is not known, so the slack counts only after a window.
    #[must_use]
    pub fn new(settings: BudgetSettings, started: TimePoint) -> Self {
        Self { settings, started, services: BTreeMap::new() }
    }

    /// Replaces the fleet's budget.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: TimePoint, service: &ServiceName) {
        let window = self.settings.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.forget(now, window);
        counts.requests.push_back(now);
    }

    /// Takes one repeat if this node's share, one of `nodes`, allows it.
    pub fn try_acquire(&mut self, now: TimePoint, service: &ServiceName, nodes: usize) -> bool {
        let window = self.settings.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.forget(now, window);
        let fresh = now.since(self.started) < window;
        let slack = if fresh { 0.0 } else { self.settings.slack / nodes.max(1) as f64 };
        let allowed = self.settings.ratio * counts.requests.len() as f64 + slack;
        if (counts.repeats.len() + 1) as f64 > SPENT_SHARE * allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }
}

impl ServiceCounts {
    fn forget(&mut self, now: TimePoint, window: TimeSpan) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| now.since(*time) >= window) {
                times.pop_front();
            }
        }
    }
}
