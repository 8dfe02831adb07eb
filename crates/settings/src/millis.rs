//! Spans of time in whole milliseconds, as settings write them.

use base::TimeSpan;
use serde::{Deserialize, Deserializer};

/// Reads a number of milliseconds.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(source: D) -> Result<TimeSpan, D::Error> {
    u32::deserialize(source).map(|millis| TimeSpan::millis(millis.into()))
}
