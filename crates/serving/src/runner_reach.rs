//! Whether this node reaches the runners.
//!
//! Load pattern: a node is cut off from all runners while callers and the other nodes still reach
//! it. To it that looks like runners that fail one after the other. Answers of any runner show that
//! it is not cut off; when none has come beside several failures, or for some time after a request
//! was sent, some runners are asked at once.

use std::collections::BTreeSet;

use base::prelude::*;

/// Runners that fail without an answer of any other, until some are asked.
const SUSPECT_RUNNERS: usize = 2;
/// Time without an answer of any runner after which one failure is enough.
const SUSPECT_SPAN: TimeSpan = TimeSpan::millis(200);
/// Time for which requests have been sent without an answer of any runner, until some are asked.
/// Connections that hang fail only at the deadlines of their calls, and not at all if the callers
/// leave before.
const UNANSWERED_SPAN: TimeSpan = TimeSpan::millis(500);
/// Pause between two checks while the runners are reached.
const CHECK_PAUSE: TimeSpan = TimeSpan::millis(500);
/// Time for which a call waits while no runner is reached and no other node takes it: two checks.
/// Without this bound it waited for ejected runners until 1 s after its target latency.
const UNREACHED_WAIT: TimeSpan = TimeSpan::millis(500);
/// Pause between two checks while they are not.
const LOST_CHECK_PAUSE: TimeSpan = TimeSpan::millis(250);

/// A change of whether runners are reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// No runner is reached any more.
    Lost {
        /// Time since the last answer of a runner.
        silent: TimeSpan,
    },
    /// A runner has answered again.
    Regained,
}

/// What this node has seen of the runners lately.
#[derive(Debug, Default)]
pub struct RunnerReach {
    /// When a runner last answered.
    answered_at: TimePoint,
    /// Runners that have failed since.
    failed: BTreeSet<RunnerId>,
    /// When the first request was sent since.
    unanswered_since: Option<TimePoint>,
    /// When the next check may begin.
    next_check: TimePoint,
    /// When this node was first known to reach no runner; `None` while it reaches some.
    lost_at: Option<TimePoint>,
}

impl RunnerReach {
    /// Whether no runner is reached.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Until when a call that arrived at `arrived`, and that no other node takes, waits for a
    /// runner to be reached again; `None` while runners are reached.
    #[must_use]
    pub fn wait_end(&self, arrived: TimePoint) -> Option<TimePoint> {
        Some(self.lost_at?.max(arrived) + UNREACHED_WAIT)
    }

    /// Whether a runner has answered since `time`.
    #[must_use]
    pub fn answered_since(&self, time: TimePoint) -> bool {
        self.answered_at > time
    }

    /// Records that a runner has answered.
    pub fn record_answer(&mut self, now: TimePoint) -> Option<ReachChange> {
        self.answered_at = now;
        self.failed.clear();
        self.unanswered_since = None;
        self.lost_at.take().map(|_| ReachChange::Regained)
    }

    /// Records that a request is sent to a runner.
    pub fn record_send(&mut self, now: TimePoint) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a runner could not be connected to, or gave no answer.
    pub fn record_failure(&mut self, runner: &RunnerId) {
        self.failed.insert(runner.clone());
    }

    /// Whether some runners are to be asked now. That counts as begun.
    pub fn begin_check(&mut self, now: TimePoint) -> bool {
        let is_silent = now.since(self.answered_at) >= SUSPECT_SPAN;
        let is_unanswered =
            self.unanswered_since.is_some_and(|since| now.since(since) >= UNANSWERED_SPAN);
        let is_suspected = self.failed.len() >= SUSPECT_RUNNERS
            || !self.failed.is_empty() && is_silent
            || is_unanswered;
        if now < self.next_check || !(self.is_lost() || is_suspected) {
            return false;
        }
        self.next_check = now + if self.is_lost() { LOST_CHECK_PAUSE } else { CHECK_PAUSE };
        true
    }

    /// Records that none of the runners that were asked at `begun` has answered.
    pub fn record_silence(&mut self, now: TimePoint, begun: TimePoint) -> Option<ReachChange> {
        if self.is_lost() || self.answered_at >= begun {
            return None;
        }
        self.lost_at = Some(now);
        self.next_check = now + LOST_CHECK_PAUSE;
        Some(ReachChange::Lost { silent: now.since(self.answered_at) })
    }
}

/// Orders runners so that the first of each service comes before all others.
pub fn spread_over_services<T>(runners: Vec<T>, service: impl Fn(&T) -> &ServiceName) -> Vec<T> {
    let mut services = BTreeSet::new();
    let is_first = |runner: &T| services.insert(service(runner).clone());
    let (mut ordered, others): (Vec<T>, Vec<T>) = runners.into_iter().partition(is_first);
    ordered.extend(others);
    ordered
}
