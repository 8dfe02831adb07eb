//! One exchange at a time, with exponential back-off and jitter after failures.

use base::{TimePoint, TimeSpan};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest pause after the first failure.
const FIRST_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Longest pause after any failure.
const MAX_PAUSE: TimeSpan = TimeSpan::seconds(4);

/// Whether an exchange is in flight, and when the next may begin.
#[derive(Debug, Clone)]
pub(crate) struct ExchangeTimer {
    seed: u64,
    draws: u64,
    failures: u32,
    in_flight: bool,
    started: TimePoint,
    not_before: TimePoint,
}

impl ExchangeTimer {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            draws: 0,
            failures: 0,
            in_flight: false,
            started: TimePoint(0),
            not_before: TimePoint(0),
        }
    }

    /// Whether the last exchange failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Consecutive failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// When the next exchange may begin; never while one is in flight.
    pub fn next_start(&self) -> TimePoint {
        if self.in_flight { TimePoint::NEVER } else { self.not_before }
    }

    /// Begins an exchange if one may begin now; says whether it did.
    pub fn start(&mut self, now: TimePoint) -> bool {
        let starts = now >= self.next_start();
        if starts {
            self.in_flight = true;
            self.started = now;
        }
        starts
    }

    /// Records a success; the next exchange begins at least `gap` after this one began.
    pub fn succeed(&mut self, gap: TimeSpan) {
        self.in_flight = false;
        self.failures = 0;
        self.not_before = self.started + gap;
    }

    /// Records a failure; the next exchange begins after a random pause between half and
    /// all of a limit that doubles with each failure.
    pub fn fail(&mut self, now: TimePoint) {
        self.in_flight = false;
        let doublings = self.failures.min(u64::BITS / 2);
        let limit = FIRST_PAUSE.0.saturating_mul(1 << doublings).min(MAX_PAUSE.0);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + TimeSpan(limit / 2 + self.next_random() % (limit / 2));
    }

    /// Delays the next exchange to a random time within `span` after `start`.
    pub fn delay(&mut self, start: TimePoint, span: TimeSpan) {
        self.not_before = self.not_before.max(start + TimeSpan(self.next_random() % span.0.max(1)));
    }

    /// Lets the next exchange begin at once.
    pub fn clear_delay(&mut self) {
        self.not_before = TimePoint(0);
    }

    fn next_random(&mut self) -> u64 {
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed)
    }
}
