//! One exchange at a time, with back-off and jitter after failures.

use base::{TimePoint, TimeSpan};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest pause after the first failure.
const FIRST_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Longest pause at all.
const MAX_PAUSE: TimeSpan = TimeSpan::seconds(4);

/// Whether an exchange is under way, and when the next may begin.
#[derive(Debug, Clone)]
pub(crate) struct ExchangeTimer {
    seed: u64,
    draws: u64,
    failures: u32,
    open: bool,
    started: TimePoint,
    not_before: TimePoint,
}

impl ExchangeTimer {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            draws: 0,
            failures: 0,
            open: false,
            started: TimePoint(0),
            not_before: TimePoint(0),
        }
    }

    /// Whether the last exchange failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Exchanges that failed since the last one that did not.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// When the next exchange may begin; never while one is under way.
    pub fn next_start(&self) -> TimePoint {
        if self.open { TimePoint::NEVER } else { self.not_before }
    }

    /// Begins an exchange, if one may begin now.
    pub fn start(&mut self, now: TimePoint) -> bool {
        let starts = now >= self.next_start();
        if starts {
            self.open = true;
            self.started = now;
        }
        starts
    }

    /// The exchange ended well; the next begins at least `gap` after this one began.
    pub fn succeed(&mut self, gap: TimeSpan) {
        self.open = false;
        self.failures = 0;
        self.not_before = self.started + gap;
    }

    /// The exchange failed; waits for a random part, from a half on, of a pause that
    /// doubles.
    pub fn fail(&mut self, now: TimePoint) {
        self.open = false;
        let doublings = self.failures.min(u64::BITS / 2);
        let pause = FIRST_PAUSE.0.saturating_mul(1 << doublings).min(MAX_PAUSE.0);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + TimeSpan(pause / 2 + self.draw() % (pause / 2));
    }

    /// Puts the next exchange off by a random part of `span` after `start`.
    pub fn spread(&mut self, start: TimePoint, span: TimeSpan) {
        self.not_before = self.not_before.max(start + TimeSpan(self.draw() % span.0.max(1)));
    }

    /// Lets the next exchange begin at once.
    pub fn hurry(&mut self) {
        self.not_before = TimePoint(0);
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed)
    }
}
