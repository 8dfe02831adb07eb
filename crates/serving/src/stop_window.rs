//! What a node that has been told to stop may still take.
//!
//! Load pattern: callers go on sending to a stopping node for as long as they keep its address. What it
//! takes too late is cut when the process ends, also if it may not be repeated.

use base::prelude::*;

/// Part of the expected time by which a call may take longer.
const SPARE_DIVISOR: u64 = 8;
/// Least time by which a call may take longer than expected.
const LEAST_SPARE: TimeSpan = TimeSpan::millis(50);

/// Why a stopping node does not take a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopRefusal {
    /// No caller that keeps to the look-ups uses the address any more.
    AddressExpired,
    /// The call cannot be expected to end in time.
    TooLong,
}

impl StopRefusal {
    /// Name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AddressExpired => "address_expired",
            Self::TooLong => "too_long",
        }
    }
}

/// Until when a stopping node takes calls, and answers them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopWindow {
    intake_end: TimePoint,
    answer_end: TimePoint,
}

impl StopWindow {
    /// The window of a node whose address callers use until `intake_end`, and whose calls have to be
    /// answered by `answer_end`.
    #[must_use]
    pub fn new(intake_end: TimePoint, answer_end: TimePoint) -> Self {
        Self { intake_end, answer_end }
    }

    /// By when calls have to be answered.
    #[must_use]
    pub fn answer_end(self) -> TimePoint {
        self.answer_end
    }

    /// Why a call that is expected to take `expected` is not taken now; `None` if it is.
    #[must_use]
    pub fn refusal(self, now: TimePoint, expected: TimeSpan) -> Option<StopRefusal> {
        if now >= self.intake_end {
            Some(StopRefusal::AddressExpired)
        } else if now.0.saturating_add(needed_time(expected).0) > self.answer_end.0 {
            Some(StopRefusal::TooLong)
        } else {
            None
        }
    }

    /// Until when work that takes `expected` can begin and end in time.
    #[must_use]
    pub fn last_begin(self, expected: TimeSpan) -> TimePoint {
        TimePoint(self.answer_end.0.saturating_sub(needed_time(expected).0))
    }
}

/// Time to keep for work that is expected to take `expected`.
fn needed_time(expected: TimeSpan) -> TimeSpan {
    let spare = TimeSpan(expected.0 / SPARE_DIVISOR).max(LEAST_SPARE);
    TimeSpan(expected.0.saturating_add(spare.0))
}
