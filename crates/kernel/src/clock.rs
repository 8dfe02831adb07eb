//! The process's clock.

use std::time::Instant;

use base::TimePoint;

/// A monotonic clock; its zero is the process's start.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// The present instant.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        TimePoint(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}
