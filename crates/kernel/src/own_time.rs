//! Time in which this process ran.
//!
//! Load pattern: a process under a processor quota, or on a machine that is paused, stands still while
//! what it waits for arrives. A silence in the time of the process does not count that time.

use std::cell::RefCell;
use std::ops::Add;
use std::pin::pin;

use base::{TimePoint, TimeSpan};
use compio::time::sleep;
use futures_util::future::{Either, select};

use crate::MonotonicClock;

/// How often the clock is advanced while nothing reads it.
const TICK_PERIOD: TimeSpan = TimeSpan::millis(20);
/// Most that counts of the time between two looks at the clock.
const MAX_STEP: TimeSpan = TimeSpan(2 * TICK_PERIOD.0);

thread_local! {
    static CLOCK: RefCell<ProcessClock> = RefCell::new(ProcessClock::new());
}

/// A point in the time in which this process ran, in microseconds since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct OwnPoint(u64);

impl OwnPoint {
    /// Returns the time from `earlier` to `self`; zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for OwnPoint {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

/// Counts the time in which a process ran, from the times at which it is advanced.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnClock {
    counted: OwnPoint,
    advanced_at: TimePoint,
}

impl OwnClock {
    /// A clock at zero, at the time `now`.
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self { counted: OwnPoint::default(), advanced_at: now }
    }

    /// Counts the time until `now`, 40 ms of it at most, and returns the time of the process.
    pub fn advance(&mut self, now: TimePoint) -> OwnPoint {
        self.counted = self.counted + now.since(self.advanced_at).min(MAX_STEP);
        self.advanced_at = now;
        self.counted
    }
}

/// The clock of this thread's event loop.
struct ProcessClock {
    source: MonotonicClock,
    own: OwnClock,
}

impl ProcessClock {
    fn new() -> Self {
        let source = MonotonicClock::new();
        Self { source, own: OwnClock::new(source.now()) }
    }

    fn now(&mut self) -> OwnPoint {
        self.own.advance(self.source.now())
    }
}

/// The present time of this process.
#[must_use]
pub fn own_now() -> OwnPoint {
    CLOCK.with_borrow_mut(ProcessClock::now)
}

/// The output of `future`, unless it takes longer than `limit` of the time in which this process runs.
pub async fn own_timeout<T>(limit: TimeSpan, future: impl Future<Output = T>) -> Option<T> {
    let due = own_now() + limit;
    let passed = async {
        while own_now() < due {
            sleep(due.since(own_now()).into()).await;
        }
    };
    match select(pin!(future), pin!(passed)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(((), _)) => None,
    }
}

/// Advances the clock of this thread, without an end.
pub(crate) async fn keep_own_time() {
    loop {
        let _ = own_now();
        sleep(TICK_PERIOD.into()).await;
    }
}
