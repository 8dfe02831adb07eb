//! Compact serialization of a [`MemoryForecast`]: whole tokens, and standard deviations in
//! place of variances.

use route::{HORIZON_COUNT, MemoryForecast};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Means and standard deviations at all horizons, in tokens.
type EncodedForecast = ([u32; HORIZON_COUNT], [u32; HORIZON_COUNT]);

/// Serializes a forecast.
///
/// # Errors
/// The serializer's error.
pub fn serialize<S: Serializer>(
    forecast: &MemoryForecast,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let means = forecast.mean.map(|mean| mean.round() as u32);
    let deviations = forecast.variance.map(|variance| variance.sqrt().round() as u32);
    let encoded: EncodedForecast = (means, deviations);
    encoded.serialize(serializer)
}

/// Deserializes a forecast.
///
/// # Errors
/// The deserializer's error.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<MemoryForecast, D::Error> {
    let (means, deviations) = EncodedForecast::deserialize(deserializer)?;
    Ok(MemoryForecast {
        mean: means.map(f64::from),
        variance: deviations.map(|deviation| f64::from(deviation).powi(2)),
    })
}
