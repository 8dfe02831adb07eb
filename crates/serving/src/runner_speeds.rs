//! What nodes tell each other about the speeds of runners (heartbeat section 4).
//!
//! Load pattern: in a large fleet one node sees an answer of a service every few seconds, so that
//! most of the evidence on a runner's speed is at other nodes.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::RunnerIncarnation;

/// Most runners in one section; an entry has at most ten bytes.
pub const MAX_SPEED_ENTRIES: usize = 200;

/// Steps of a logarithm of a factor to base e; a step is about 3 in 100.
const LOG_STEPS: f64 = 32.0;
/// Steps of a weight of evidence.
const WEIGHT_STEPS: f64 = 10.0;
/// Unit of the age of a present figure.
const AGE_UNIT: TimeSpan = TimeSpan::millis(4);

/// Short form of the incarnation of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunnerKey(u32);

impl RunnerKey {
    /// The key of this start of a runner. Two of 1,000 runners have the same with a probability of
    /// about one in 10,000.
    #[must_use]
    pub fn new(runner: &RunnerIncarnation) -> Self {
        let text = format!("{}/{}", runner.runner, runner.started_unix_ms);
        Self(xxh3_64(text.as_bytes()) as u32)
    }
}

/// Logarithm of a factor, quantized.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuantizedLog(i8);

impl QuantizedLog {
    /// Quantizes a logarithm to base e.
    #[must_use]
    pub fn new(log: f64) -> Self {
        // The conversion saturates.
        Self((log * LOG_STEPS).round() as i8)
    }

    /// The logarithm.
    #[must_use]
    pub fn log(self) -> f64 {
        f64::from(self.0) / LOG_STEPS
    }
}

/// What a node has observed of one runner since its previous statement on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedEntry {
    /// The runner.
    pub key: RunnerKey,
    /// Mean of the factors.
    pub factor: QuantizedLog,
    weight: u8,
    /// Deviation of the present figure from the average, and its age.
    present: Option<(QuantizedLog, u8)>,
}

impl SpeedEntry {
    /// Creates an entry; `present` is the deviation of the present figure, and its age.
    #[must_use]
    pub fn new(key: RunnerKey, log: f64, weight: f64, present: Option<(f64, TimeSpan)>) -> Self {
        let present = present.and_then(|(deviation, age)| {
            let age = u8::try_from(age.0 / AGE_UNIT.0).ok()?;
            Some((QuantizedLog::new(deviation), age))
        });
        // The conversion saturates.
        let weight = (weight * WEIGHT_STEPS).round() as u8;
        Self { key, factor: QuantizedLog::new(log), weight, present }
    }

    /// Weight of the evidence.
    #[must_use]
    pub fn weight(&self) -> f64 {
        f64::from(self.weight) / WEIGHT_STEPS
    }

    /// Deviation of the present figure from the average, and its age when the entry was sent.
    #[must_use]
    pub fn present(&self) -> Option<(f64, TimeSpan)> {
        let (deviation, age) = self.present?;
        Some((deviation.log(), TimeSpan(u64::from(age) * AGE_UNIT.0)))
    }
}

/// Section of a heartbeat: the runners with the most fresh evidence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedUpdate(pub Vec<SpeedEntry>);
