//! Monotonic clock of the process.

use std::time::Duration;

use base::{TimePoint, TimeSpan};
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock whose zero is the time of its creation, at the start of the process.
///
/// It keeps running while the machine is suspended, so that the age of data includes the
/// time spent suspended.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Duration,
}

impl MonotonicClock {
    /// Creates a clock that starts at zero now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        TimePoint(TimeSpan::from(since_boot().saturating_sub(self.start)).0)
    }
}

/// Time since the machine booted, including suspension (`CLOCK_BOOTTIME`).
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}
