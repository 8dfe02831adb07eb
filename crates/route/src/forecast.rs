//! How much of a runner's memory its generations will need.

use std::ops::{AddAssign, SubAssign};

/// Output tokens ahead at which memory is forecast.
pub const HORIZON_TOKENS: [u32; 5] = [0, 32, 128, 512, 2_048];

/// Number of horizons.
pub const HORIZON_COUNT: usize = HORIZON_TOKENS.len();

/// Expected tokens in memory at each horizon, with their variance; sums over
/// independent generations.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MemoryForecast {
    /// Expected tokens.
    pub mean: [f64; HORIZON_COUNT],
    /// Variance of the tokens.
    pub variance: [f64; HORIZON_COUNT],
}

impl MemoryForecast {
    /// The forecast of one generation of `context` tokens that is still running at each
    /// horizon with probability `alive`.
    #[must_use]
    pub fn for_generation(context: u32, alive: [f64; HORIZON_COUNT]) -> Self {
        let mut forecast = Self::default();
        for (index, ahead) in HORIZON_TOKENS.iter().enumerate() {
            let tokens = f64::from(context + ahead);
            forecast.mean[index] = tokens * alive[index];
            forecast.variance[index] = tokens * tokens * alive[index] * (1.0 - alive[index]);
        }
        forecast
    }

    /// The same kind of load, `factor` times as much of it.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self { mean: self.mean.map(|m| m * factor), variance: self.variance.map(|v| v * factor) }
    }

    /// The highest chance over all horizons that the load exceeds `tokens`; the sum of
    /// many generations is taken as normal, with the logistic approximation of its tail,
    /// whose error is below 0.01.
    #[must_use]
    pub fn overflow_probability(&self, tokens: f64) -> f64 {
        const LOGISTIC_SCALE: f64 = 1.702;
        let distance = |(mean, variance): (&f64, &f64)| (mean - tokens) / variance.sqrt().max(1.0);
        let distances = self.mean.iter().zip(&self.variance).map(distance);
        let highest = distances.fold(f64::NEG_INFINITY, f64::max);
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
