//! Limit on the rate of this entry's calls to a runner.
//!
//! Load pattern: a runner in need names the rate that it takes from all entries together, and
//! each entry keeps to its share. Without memory of the last calls, entries whose callers come
//! together would each send at once.

use base::prelude::*;

/// Calls that may be saved up, as a time at the rate; at least one call.
const SAVED_SPAN: TimeSpan = TimeSpan::millis(250);
/// Calls that may be sent ahead of the rate, as by moves that cannot wait.
const MAX_DEBT: f64 = 4.0;

/// What a rate still allows.
#[derive(Debug, Clone, Copy)]
struct RateBalance {
    rate: RequestRate,
    /// Calls allowed at `at`; negative after calls that could not wait.
    calls: f64,
    at: TimePoint,
}

impl RateBalance {
    fn calls_at(&self, now: TimePoint) -> f64 {
        let saved = (self.rate.0 * SAVED_SPAN.as_seconds()).max(1.0);
        (self.calls + self.rate.0 * now.since(self.at).as_seconds()).min(saved)
    }

    fn settle(&mut self, now: TimePoint) {
        self.calls = self.calls_at(now);
        self.at = now;
    }
}

/// Limit on the rate of calls to one runner; there is none by default.
#[derive(Debug, Default)]
pub struct RateGate {
    balance: Option<RateBalance>,
}

impl RateGate {
    /// Sets the rate, or ends the limit. `draw`, between 0 and 1, is what a new limit begins
    /// with, so that entries do not all send their first calls together.
    pub fn set_rate(&mut self, now: TimePoint, rate: Option<RequestRate>, draw: f64) {
        let Some(rate) = rate else {
            self.balance = None;
            return;
        };
        let balance = self.balance.get_or_insert(RateBalance { rate, calls: draw, at: now });
        balance.settle(now);
        balance.rate = rate;
    }

    /// The rate; `None` without a limit.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.balance.map(|balance| balance.rate)
    }

    /// Returns whether the runner may get a call now.
    #[must_use]
    pub fn admits(&self, now: TimePoint) -> bool {
        self.balance.is_none_or(|balance| balance.calls_at(now) >= 1.0)
    }

    /// When the runner may get the next call; `None` if it may now.
    #[must_use]
    pub fn next_call_at(&self, now: TimePoint) -> Option<TimePoint> {
        let balance = self.balance?;
        let missing = 1.0 - balance.calls_at(now);
        if missing <= 0.0 {
            return None;
        }
        let seconds = missing / balance.rate.0;
        // A rate of nearly 0 gives more than a time can hold; the conversion saturates.
        Some(now + TimeSpan::micros((seconds * 1e6).ceil() as u64))
    }

    /// Records that a call was sent to the runner.
    pub fn record_sent(&mut self, now: TimePoint) {
        if let Some(balance) = &mut self.balance {
            balance.settle(now);
            balance.calls = (balance.calls - 1.0).max(-MAX_DEBT);
        }
    }
}
