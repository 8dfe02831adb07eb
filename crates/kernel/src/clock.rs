//! The process's clock.

use std::time::Duration;

use base::{TimePoint, TimeSpan};
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock; its zero is the process's start. It goes on while the machine is
/// suspended, so that what was learned before is as old as it is.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Duration,
}

impl MonotonicClock {
    /// A clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: since_boot() }
    }

    /// The present instant.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        TimePoint(TimeSpan::from(since_boot().saturating_sub(self.start)).0)
    }
}

/// Time since the machine started (`CLOCK_BOOTTIME`).
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
