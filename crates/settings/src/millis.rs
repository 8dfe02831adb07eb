//! Deserialization of durations that settings give in whole milliseconds.

use base::TimeSpan;
use serde::{Deserialize, Deserializer};

/// Deserializes an integer number of milliseconds.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(source: D) -> Result<TimeSpan, D::Error> {
    u32::deserialize(source).map(|millis| TimeSpan::millis(millis.into()))
}
