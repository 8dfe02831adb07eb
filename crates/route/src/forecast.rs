//! Forecast of the KV-cache memory that running generations will need.

use std::ops::{AddAssign, SubAssign};

/// Forecast horizons, in output tokens from now.
pub const HORIZON_TOKENS: [u32; 5] = [0, 32, 128, 512, 2_048];

/// Number of forecast horizons.
pub const HORIZON_COUNT: usize = HORIZON_TOKENS.len();

/// Expected share of a generation's present memory from which a horizon counts as within its
/// life.
const MIN_ALIVE_SHARE: f64 = 0.1;

/// Mean and variance of the tokens in memory at each horizon. Forecasts of independent
/// generations can be added.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MemoryForecast {
    /// Expected number of tokens.
    pub mean: [f64; HORIZON_COUNT],
    /// Variance of the number of tokens.
    pub variance: [f64; HORIZON_COUNT],
}

impl MemoryForecast {
    /// Creates the forecast of one generation of `context` tokens; `survival` is the
    /// probability that it is still running at each horizon.
    #[must_use]
    pub fn for_generation(context: u32, survival: [f64; HORIZON_COUNT]) -> Self {
        let mut forecast = Self::default();
        for (index, ahead) in HORIZON_TOKENS.iter().enumerate() {
            let tokens = f64::from(context + ahead);
            forecast.mean[index] = tokens * survival[index];
            forecast.variance[index] = tokens * tokens * survival[index] * (1.0 - survival[index]);
        }
        forecast
    }

    /// Returns the forecast of `factor` times as much load of the same kind.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self { mean: self.mean.map(|m| m * factor), variance: self.variance.map(|v| v * factor) }
    }

    /// Returns the highest probability over all horizons that the load exceeds `capacity`
    /// tokens. The sum over many generations is assumed to be normally distributed; its CDF
    /// is approximated by the logistic function, with an error below 0.01.
    #[must_use]
    pub fn overflow_probability(&self, capacity: f64) -> f64 {
        self.highest_overflow(capacity, |_| true)
    }

    /// Returns the same as [`Self::overflow_probability`], but over the horizons at which the
    /// generation of forecast `call` is still likely to run.
    #[must_use]
    pub fn overflow_probability_during(&self, capacity: f64, call: &Self) -> f64 {
        let is_alive = |index: usize| call.mean[index] >= MIN_ALIVE_SHARE * call.mean[0];
        self.highest_overflow(capacity, is_alive)
    }

    fn highest_overflow(&self, capacity: f64, is_included: impl Fn(usize) -> bool) -> f64 {
        const LOGISTIC_SCALE: f64 = 1.702;
        let distance =
            |(mean, variance): (&f64, &f64)| (mean - capacity) / variance.sqrt().max(1.0);
        let horizons = self.mean.iter().zip(&self.variance).enumerate();
        let included = horizons.filter(|(index, _)| is_included(*index));
        let highest =
            included.map(|(_, horizon)| distance(horizon)).fold(f64::NEG_INFINITY, f64::max);
        1.0 / (1.0 + (-LOGISTIC_SCALE * highest).exp())
    }
}

impl AddAssign for MemoryForecast {
    fn add_assign(&mut self, other: Self) {
        for index in 0..HORIZON_COUNT {
            self.mean[index] += other.mean[index];
            self.variance[index] += other.variance[index];
        }
    }
}

impl SubAssign for MemoryForecast {
    fn sub_assign(&mut self, other: Self) {
        for index in 0..HORIZON_COUNT {
            self.mean[index] = (self.mean[index] - other.mean[index]).max(0.0);
            self.variance[index] = (self.variance[index] - other.variance[index]).max(0.0);
        }
    }
}
