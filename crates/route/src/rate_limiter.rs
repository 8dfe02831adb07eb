//! Limit on this entry's calls to a runner: a token bucket, whose tokens are calls, and the room
//! that the runner has for further calls.
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

/// Room that a runner has for calls of this entry.
#[derive(Debug, Clone, Copy)]
struct CallRoom {
    calls: u32,
    /// When there is room again, if that is known.
    free_at: Option<TimePoint>,
}

/// Limit on the calls to one runner; there is none by default.
#[derive(Debug, Default)]
pub struct RateLimiter {
    bucket: Option<RateBucket>,
    room: Option<CallRoom>,
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

    /// Sets how many more calls the runner may get until this is set again, and when it may get
    /// further ones if that is known; with `None`, ends that limit.
    pub fn set_room(&mut self, calls: Option<u32>, free_at: Option<TimePoint>) {
        self.room = calls.map(|calls| CallRoom { calls, free_at });
    }

    /// Whether there is a limit of any kind.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.bucket.is_some() || self.room.is_some()
    }

    /// The rate; `None` without a limit.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.bucket.map(|bucket| bucket.rate)
    }

    /// Returns whether the runner may get a call now.
    #[must_use]
    pub fn admits(&self, now: TimePoint) -> bool {
        let has_room = self.room.is_none_or(|room| room.calls > 0);
        has_room && self.bucket.is_none_or(|bucket| bucket.calls_at(now) >= 1.0)
    }

    /// When the runner may get the next call; `None` if it may now, or if that depends on calls in
    /// progress.
    #[must_use]
    pub fn next_call_at(&self, now: TimePoint) -> Option<TimePoint> {
        let full = self.room.filter(|room| room.calls == 0);
        let free_at = full.and_then(|room| room.free_at).filter(|at| *at > now);
        free_at.max(self.next_token_at(now))
    }

    fn next_token_at(&self, now: TimePoint) -> Option<TimePoint> {
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
        if let Some(room) = &mut self.room {
            room.calls = room.calls.saturating_sub(1);
        }
        if let Some(bucket) = &mut self.bucket {
            bucket.settle(now);
            bucket.calls = (bucket.calls - 1.0).max(-MAX_DEBT);
        }
    }
}
