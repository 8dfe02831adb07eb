//! Runners that asked this node to send them nothing for some time.
//!
//! Load pattern: a busy runner answers 503 with `Retry-After`, often to several requests at
//! once that were in flight. Nothing is sent to it before the latest of the times it named.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::RunnerIncarnation;

/// Longest wait that a runner can ask for. It exceeds the deadlines of calls; without the
/// bound, one mistaken value would take a runner out of use for good.
pub const MAX_RUNNER_WAIT: TimeSpan = TimeSpan::seconds(60);

/// A wait that one start of a runner asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerWait {
    /// The start that asked for it.
    pub runner: RunnerIncarnation,
    /// When the first answer that asked for it arrived.
    pub begun: TimePoint,
    /// The runner gets no requests before this time.
    pub until: TimePoint,
    /// Requests that were assigned to the runner and not sent.
    pub withheld: u64,
}

/// The waits of all runners at this node.
#[derive(Debug, Default)]
pub struct WaitTable {
    waits: BTreeMap<RunnerId, RunnerWait>,
}

impl WaitTable {
    /// Records that `runner` asked for a wait of `span`, of which at most [`MAX_RUNNER_WAIT`]
    /// counts. Of several, the latest end holds. Returns whether the runner was not waiting
    /// before.
    pub fn record(&mut self, now: TimePoint, runner: &RunnerIncarnation, span: TimeSpan) -> bool {
        let until = now + span.min(MAX_RUNNER_WAIT);
        let current = self.waits.get_mut(&runner.runner);
        if let Some(wait) = current.filter(|wait| now < wait.until) {
            if wait.runner.started_unix_ms > runner.started_unix_ms {
                return false;
            }
            if wait.runner == *runner {
                wait.until = wait.until.max(until);
                return false;
            }
        }
        if until <= now {
            return false;
        }
        let wait = RunnerWait { runner: runner.clone(), begun: now, until, withheld: 0 };
        self.waits.insert(runner.runner.clone(), wait);
        true
    }

    /// Whether no runner waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// End of the wait of this start of a runner; `None` if it does not wait.
    #[must_use]
    pub fn end(&self, now: TimePoint, runner: &RunnerIncarnation) -> Option<TimePoint> {
        let wait = self.waits.get(&runner.runner)?;
        (wait.runner == *runner && now < wait.until).then_some(wait.until)
    }

    /// Counts a request that was not sent to a waiting runner.
    pub fn count_withheld(&mut self, runner: &RunnerIncarnation) {
        if let Some(wait) = self.waits.get_mut(&runner.runner).filter(|wait| wait.runner == *runner)
        {
            wait.withheld += 1;
        }
    }

    /// Removes and returns the waits that have ended.
    pub fn take_ended(&mut self, now: TimePoint) -> Vec<RunnerWait> {
        self.waits.extract_if(.., |_, wait| wait.until <= now).map(|(_, wait)| wait).collect()
    }
}
