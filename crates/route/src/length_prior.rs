//! Length estimate of a call from what its caller states, for use before enough similar calls
//! have been observed.
//!
//! Load pattern: many entries, each of which sees only a few generations.

use crate::RouteCall;

/// Median length as a share of the caller's output limit.
const MEDIAN_LIMIT_SHARE: f64 = 0.25;
/// Weight of the caller's own estimate against the limit, in the logarithm of the median.
const HINT_WEIGHT: f64 = 0.3;
/// Standard deviation of the logarithm of the length.
const LOG_DEVIATION: f64 = 0.8;
/// Scale at which the logistic function approximates the normal CDF.
const LOGISTIC_SCALE: f64 = 1.702;

/// Log-normal distribution of a call's length, truncated at the caller's output limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LengthPrior {
    log_median: f64,
    limit: u32,
    /// Untruncated probability of a length above the limit.
    above_limit: f64,
}

impl LengthPrior {
    /// Creates the prior of a call; none if the call states no limit or no estimate. A limit
    /// alone says little: many callers state the same large one for all calls.
    #[must_use]
    pub fn for_call(call: &RouteCall) -> Option<Self> {
        let limit = call.max_tokens.0;
        let hint = call.length_hint.filter(|_| limit > 0)?;
        let by_limit = (f64::from(limit) * MEDIAN_LIMIT_SHARE).max(1.0).ln();
        let by_hint = f64::from(hint.0.clamp(1, limit)).ln();
        let log_median = by_limit + HINT_WEIGHT * (by_hint - by_limit);
        let above_limit = untruncated_survival(log_median, limit);
        Some(Self { log_median, limit, above_limit })
    }

    /// Returns the probability that the generation is longer than `tokens`.
    #[must_use]
    pub fn survival(&self, tokens: u32) -> f64 {
        if tokens >= self.limit {
            return 0.0;
        }
        let survival = untruncated_survival(self.log_median, tokens);
        ((survival - self.above_limit) / (1.0 - self.above_limit)).clamp(0.0, 1.0)
    }
}

fn untruncated_survival(log_median: f64, tokens: u32) -> f64 {
    let distance = (f64::from(tokens.max(1)).ln() - log_median) / LOG_DEVIATION;
    1.0 / (1.0 + (LOGISTIC_SCALE * distance).exp())
}
