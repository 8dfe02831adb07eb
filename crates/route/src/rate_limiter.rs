//! Limit on the rate of this entry's calls to a runner: a token bucket, whose tokens are calls.
//!
//! Load pattern: a runner names the rate that it takes from all entries together, and each entry
//! sends at its share. If hundreds of entries began with a full bucket, or saved up several calls,
//! their calls would still arrive together.

use base::prelude::*;

/// Size of the bucket, as the time in which it fills; it holds one call at least.
const SAVED_SPAN: TimeSpan = TimeSpan::millis(250);
/// Calls that may be sent ahead of the rate: runs that move do not wait for it.
const MAX_DEBT: f64 = 4.0;

/// Contents of the bucket.
#[derive(Debug, Clone, Copy)]
struct RateBucket {
    rate: RequestRate,
    /// Calls allowed at `at`; negative after calls that could not wait.
    calls: f64,
    at: TimePoint,
}

impl RateBucket {
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
pub struct RateLimiter {
    bucket: Option<RateBucket>,
}

impl RateLimiter {
    /// Sets the rate, or ends the limit. `initial_calls`, between 0 and 1, are in the bucket of a new
    /// limit; drawn at random, they keep entries from sending their first calls together.
    pub fn set_rate(&mut self, now: TimePoint, rate: Option<RequestRate>, initial_calls: f64) {
        let Some(rate) = rate else {
            self.bucket = None;
            return;
        };
        let bucket = self.bucket.get_or_insert(RateBucket { rate, calls: initial_calls, at: now });
        bucket.settle(now);
        bucket.rate = rate;
    }

    /// The rate; `None` without a limit.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.bucket.map(|bucket| bucket.rate)
    }

    /// Returns whether the runner may get a call now.
    #[must_use]
    pub fn admits(&self, now: TimePoint) -> bool {
        self.bucket.is_none_or(|bucket| bucket.calls_at(now) >= 1.0)
    }

    /// When the runner may get the next call; `None` if it may now.
    #[must_use]
    pub fn next_call_at(&self, now: TimePoint) -> Option<TimePoint> {
        let bucket = self.bucket?;
        let missing = 1.0 - bucket.calls_at(now);
        if missing <= 0.0 {
            return None;
        }
        let seconds = missing / bucket.rate.0;
        // A rate of nearly 0 gives more than a time can hold; the conversion saturates.
        Some(now + TimeSpan::micros((seconds * 1e6).ceil() as u64))
    }

    /// Records that a call was sent to the runner.
    pub fn record_sent(&mut self, now: TimePoint) {
        if let Some(bucket) = &mut self.bucket {
            bucket.settle(now);
            bucket.calls = (bucket.calls - 1.0).max(-MAX_DEBT);
        }
    }
}
