//! Rates of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A rate in requests per second, which may have a fraction.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub f64);

/// A text that is not a rate: not a number, negative or not finite.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a rate in requests per second")]
pub struct RateError;

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let rate: f64 = text.parse().map_err(|_| RateError)?;
        if rate.is_finite() && rate >= 0.0 { Ok(Self(rate)) } else { Err(RateError) }
    }
}
