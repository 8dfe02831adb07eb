//! Points in time and durations on the monotonic clock of a process.
//!
//! A [`TimePoint`] is meaningful only within the process that took it. Messages between
//! processes carry ages or remaining times instead, as a [`TimeSpan`].

use std::fmt;
use std::num::ParseIntError;
use std::ops::{Add, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point in time, in microseconds since the start of the process or of the simulation.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct TimePoint(pub u64);

/// A duration, in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct TimeSpan(pub u64);

impl TimePoint {
    /// The latest point in time: a deadline that never passes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the time from `earlier` to `self`; zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl TimeSpan {
    /// Creates a duration from microseconds.
    #[must_use]
    pub const fn micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a duration from milliseconds.
    #[must_use]
    pub const fn millis(millis: u64) -> Self {
        Self(millis * MICROS_PER_MILLI)
    }

    /// Creates a duration from seconds.
    #[must_use]
    pub const fn seconds(seconds: u64) -> Self {
        Self(seconds * MICROS_PER_SECOND)
    }

    /// Returns the duration in whole milliseconds, rounded up.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0.div_ceil(MICROS_PER_MILLI)
    }

    /// Returns the duration in seconds.
    #[must_use]
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }
}

impl Add<TimeSpan> for TimePoint {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for TimePoint {
    type Output = Self;

    fn sub(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for TimeSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<TimeSpan> for std::time::Duration {
    fn from(span: TimeSpan) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<std::time::Duration> for TimeSpan {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TimePoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for TimePoint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim_end_matches("us").parse().map(Self)
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for TimeSpan {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim_end_matches("us").parse().map(Self)
    }
}
