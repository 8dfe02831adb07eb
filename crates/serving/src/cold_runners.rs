//! Runners that are cold, and how many requests all nodes together send to one.
//!
//! Load pattern: all runners of a place return cold at once and without load, so that every node
//! prefers them. A cold runner that gets well above its rate crashes. In one second, a node with
//! one slot sends one request that it has saved up and those of the slot's rate, so the number of
//! slots is chosen such that both together, over all slots, stay within the bound, whenever the
//! nodes send and whether they hear each other or not.

use std::collections::BTreeMap;

use base::prelude::*;
use route::RateLimiter;
use serde::{Deserialize, Serialize};

use crate::RunnerIncarnation;

/// Part of the bound that is used. The rest is a margin for requests that reach a runner closer to
/// each other than they were sent, and for nodes that know different members.
const USABLE_SHARE: f64 = 0.9;
/// Part of a cold runner's rate that the slots have together.
const SLOT_RATE_SHARE: f64 = 0.8;
/// Longest cold time that a runner can state.
const MAX_COLD_SPAN: TimeSpan = TimeSpan::seconds(60);
/// Time for which the end of a cold time is kept, so that a runner that becomes cold again soon
/// does not get the saved requests twice.
const KEEP_SPAN: TimeSpan = TimeSpan::seconds(2);
/// Maximum number of reports in one update, so that its section stays within its size.
const MAX_REPORTS: usize = 60;

/// How many requests a cold runner may get beyond its rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSettings {
    /// Multiple of the rate that a cold runner bears in any one second.
    pub overshoot: f64,
    /// Requests in any one second on top of that.
    pub slack: f64,
}

/// What all nodes together may send to a cold runner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Number of slots that are dealt to the nodes.
    pub slots: u32,
    /// Rate of each slot, in requests a second.
    pub slot_rate: RequestRate,
}

impl ColdSettings {
    /// The allowance of a runner that takes `rate` requests a second while cold.
    #[must_use]
    pub fn allowance(&self, rate: RequestRate) -> ColdAllowance {
        let usable = USABLE_SHARE * (rate.0 * self.overshoot + self.slack);
        let total = SLOT_RATE_SHARE * rate.0;
        let slots = (usable - total).max(0.0) as u32;
        ColdAllowance { slots, slot_rate: RequestRate(total / f64::from(slots.max(1))) }
    }
}

/// What the store or a cold runner stated to one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The start of the runner.
    pub runner: RunnerIncarnation,
    /// Time for which it is still cold.
    pub left: TimeSpan,
}

/// What one node knows about cold runners, in its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdUpdate {
    /// Number of nodes that the sender knows, itself included.
    pub fleet_size: u32,
    /// The runners of which the store or they themselves told the node.
    pub reports: Vec<ColdReport>,
}

/// Where a cold time was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSource {
    /// The runner's entry in the store, with the number that it increases with each write; 0 if it
    /// has none.
    Store(u64),
    /// An answer of the runner.
    Answer,
    /// Another node.
    Node,
    /// The runner has just started, and nothing else is known of it.
    Start,
}

impl ColdSource {
    /// Name of the source, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store(_) => "store",
            Self::Answer => "answer",
            Self::Node => "node",
            Self::Start => "start",
        }
    }
}

#[derive(Debug)]
struct ColdRunner {
    started_unix_ms: u64,
    /// The runner is cold before this time.
    until: TimePoint,
    /// The end that the store or the runner stated to this node. It alone is passed on: each
    /// message adds its delay to the time left.
    own_until: TimePoint,
    /// Number of the last entry in the store that was applied.
    sequence: u64,
    /// Limit on the requests of this node.
    limiter: RateLimiter,
}

/// The cold runners at this node.
#[derive(Debug, Default)]
pub struct ColdTable {
    runners: BTreeMap<RunnerId, ColdRunner>,
}

impl ColdTable {
    /// Records that a start of a runner stays cold for `left`; the latest end holds, since entries
    /// in the store may be a second old. Returns whether the runner was not known to be cold.
    pub fn record(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        left: TimeSpan,
        source: ColdSource,
    ) -> bool {
        if left == TimeSpan::default() {
            return false;
        }
        let new = || ColdRunner {
            started_unix_ms: runner.started_unix_ms,
            until: TimePoint::default(),
            own_until: TimePoint::default(),
            sequence: 0,
            limiter: RateLimiter::default(),
        };
        let cold = self.runners.entry(runner.runner.clone()).or_insert_with(new);
        if cold.started_unix_ms > runner.started_unix_ms {
            return false;
        }
        if cold.started_unix_ms < runner.started_unix_ms {
            *cold = new();
        }
        // A list that is read again states nothing new.
        if let ColdSource::Store(sequence) = source {
            if sequence > 0 && sequence <= cold.sequence {
                return false;
            }
            cold.sequence = sequence;
        }
        let was_cold = now < cold.until;
        let until = now + left.min(MAX_COLD_SPAN);
        cold.until = cold.until.max(until);
        if matches!(source, ColdSource::Store(_) | ColdSource::Answer) {
            cold.own_until = cold.own_until.max(until);
        }
        !was_cold
    }

    /// Applies the update of another node. Returns the runners that were not known to be cold.
    pub fn apply_update(&mut self, now: TimePoint, update: ColdUpdate) -> Vec<ColdReport> {
        let mut reports = update.reports;
        reports.retain(|report| self.record(now, &report.runner, report.left, ColdSource::Node));
        reports
    }

    /// Whether no runner is cold, or was lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// When this start of a runner stops being cold; `None` if it is not cold.
    #[must_use]
    pub fn end(&self, now: TimePoint, runner: &RunnerIncarnation) -> Option<TimePoint> {
        let cold = self.runners.get(&runner.runner)?;
        let is_cold = cold.started_unix_ms == runner.started_unix_ms && now < cold.until;
        is_cold.then_some(cold.until)
    }

    /// Whether this node may send a request to a cold runner now, if `rate` is its part of the rate.
    pub fn admits(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        rate: RequestRate,
    ) -> bool {
        let Some(cold) = self.runners.get_mut(&runner.runner) else { return true };
        cold.limiter.set_rate(now, Some(rate), 1.0);
        cold.limiter.admits(now)
    }

    /// Records that a request is being sent to a cold runner.
    pub fn record_sent(&mut self, now: TimePoint, runner: &RunnerIncarnation) {
        if let Some(cold) = self.runners.get_mut(&runner.runner) {
            cold.limiter.record_sent(now);
        }
    }

    /// What the store and runners stated to this node, the longest times first.
    #[must_use]
    pub fn update(&self, now: TimePoint, fleet_size: usize) -> ColdUpdate {
        let cold = self.runners.iter().filter(|(_, cold)| now < cold.own_until);
        let report = |(runner, cold): (&RunnerId, &ColdRunner)| {
            let started_unix_ms = cold.started_unix_ms;
            let runner = RunnerIncarnation { runner: runner.clone(), started_unix_ms };
            ColdReport { runner, left: cold.own_until.since(now) }
        };
        let mut reports: Vec<ColdReport> = cold.map(report).collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.left));
        reports.truncate(MAX_REPORTS);
        ColdUpdate { fleet_size: u32::try_from(fleet_size).unwrap_or(u32::MAX), reports }
    }

    /// Drops runners that have not been cold for a while.
    pub fn prune(&mut self, now: TimePoint) {
        self.runners.retain(|_, cold| now < cold.until + KEEP_SPAN);
    }
}
