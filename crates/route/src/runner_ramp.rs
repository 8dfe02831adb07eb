//! A runner that gets no calls until a given time, and few calls at first after it.
//!
//! Load pattern: a busy runner turns calls away and names a time. Without a limit, all calls
//! that waited for it would be sent at that time and be turned away again.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::CallId;

/// Calls that may run at once after the wait before the first of them has succeeded.
const FIRST_CALLS: usize = 1;
/// Successes after which the number of calls is no longer limited.
const FULL_SUCCESSES: usize = 8;

/// Limit on the calls of this entry at one runner, during and after a wait.
#[derive(Debug, Default)]
pub struct RunnerRamp {
    until: TimePoint,
    /// Whether the number of calls is limited.
    limited: bool,
    /// Calls that were sent after the wait and have neither succeeded nor ended.
    pending: BTreeSet<CallId>,
    /// Calls that have succeeded after the wait.
    successes: usize,
}

impl RunnerRamp {
    /// Begins a wait, or prolongs it. A wait that ends no later than a known one has no effect.
    pub fn begin(&mut self, until: TimePoint) {
        if until > self.until {
            *self = Self { until, limited: true, ..Self::default() };
        }
    }

    /// End of the wait; `None` if the runner does not wait.
    #[must_use]
    pub fn wait_end(&self, now: TimePoint) -> Option<TimePoint> {
        (now < self.until).then_some(self.until)
    }

    /// Returns whether the runner may get one more call.
    #[must_use]
    pub fn admits(&self, now: TimePoint) -> bool {
        let has_room = !self.limited || self.pending.len() < FIRST_CALLS + self.successes;
        now >= self.until && has_room
    }

    /// Records that a call was sent to the runner.
    pub fn record_sent(&mut self, call: CallId) {
        if self.limited {
            self.pending.insert(call);
        }
    }

    /// Records that the runner has produced the first token, or the answer, of a call.
    pub fn record_success(&mut self, call: CallId) {
        if !self.pending.remove(&call) {
            return;
        }
        self.successes += 1;
        if self.successes >= FULL_SUCCESSES {
            self.limited = false;
            self.pending.clear();
        }
    }

    /// Records that a call is no longer at the runner.
    pub fn record_ended(&mut self, call: CallId) {
        self.pending.remove(&call);
    }
}
