//! When a polite caller tries again.

use base::TimeSpan;
use rand::RngExt;
use rand::rngs::StdRng;

/// Pause before a further try where the answer names none.
const DEFAULT_PAUSE: TimeSpan = TimeSpan::millis(200);
/// Longest pause that a caller accepts.
const MAX_PAUSE: TimeSpan = TimeSpan::seconds(30);

/// A bounded number of further tries, with jitter.
pub struct RetryPolicy {
    left: u32,
    random: StdRng,
}

impl RetryPolicy {
    /// Allows `tries` further tries.
    pub fn new(tries: u32, random: StdRng) -> Self {
        Self { left: tries, random }
    }

    /// The pause before the next try: from `come_back` to half as much again; none if
    /// there are no more tries.
    pub fn next_pause(&mut self, come_back: Option<TimeSpan>) -> Option<TimeSpan> {
        self.left = self.left.checked_sub(1)?;
        let pause = come_back.unwrap_or(DEFAULT_PAUSE).min(MAX_PAUSE);
        let factor: f64 = self.random.random_range(1.0..1.5);
        Some(TimeSpan((pause.0 as f64 * factor) as u64))
    }
}
