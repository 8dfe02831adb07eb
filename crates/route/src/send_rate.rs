//! Rate at which this entry sends the calls of a queue while some of them wait.
//!
//! Load pattern: an entry with few calls, of which two wait for a moment. The rate at which calls
//! arrive and are sent at once says nothing of how many could be sent.

use base::prelude::*;

/// Time with waiting calls over which the rate is measured.
const RATE_PERIOD: TimeSpan = TimeSpan::seconds(2);
/// Weight of the newest period in the moving average of the rate.
const RATE_WEIGHT: f64 = 0.3;

/// Moving average of the work that is sent while calls wait.
#[derive(Debug)]
pub(crate) struct SendRate {
    /// Tokens a second; `None` until calls have waited for a whole period.
    rate: Option<f64>,
    /// Work sent in this period.
    period_work: u64,
    /// Start of this period, moved by the times in which no call waited.
    period_start: TimePoint,
    /// Since when no call has waited; `None` while some do.
    idle_since: Option<TimePoint>,
}

impl Default for SendRate {
    fn default() -> Self {
        let start = TimePoint::default();
        Self { rate: None, period_work: 0, period_start: start, idle_since: Some(start) }
    }
}

impl SendRate {
    /// Tokens a second; `None` while that is unknown.
    pub(crate) fn get(&self) -> Option<f64> {
        self.rate.filter(|rate| *rate > 0.0)
    }

    /// Records whether calls wait after all has been sent that can be.
    pub(crate) fn record_waiting(&mut self, now: TimePoint, calls_wait: bool) {
        match self.idle_since {
            Some(since) if calls_wait => {
                self.period_start = self.period_start + now.since(since);
                self.idle_since = None;
            }
            None if !calls_wait => self.idle_since = Some(now),
            _ => (),
        }
    }

    /// Records that a call of `work` tokens is sent; it counts if calls have waited.
    pub(crate) fn record_sent(&mut self, now: TimePoint, work: u64) {
        if self.idle_since.is_some() {
            return;
        }
        self.period_work += work;
        let period = now.since(self.period_start);
        if period < RATE_PERIOD {
            return;
        }
        let rate = self.period_work as f64 / period.as_seconds();
        let before = self.rate.unwrap_or(rate);
        self.rate = Some(before + RATE_WEIGHT * (rate - before));
        self.period_work = 0;
        self.period_start = now;
    }
}
