//! Kaplan-Meier estimate of output lengths, from complete and from censored generations
//! (Kaplan and Meier, 1958, "Nonparametric Estimation from Incomplete Observations").

/// Histogram bins per doubling of the length.
const BINS_PER_OCTAVE: f64 = 4.0;

/// Number of histogram bins; the last one has no upper bound.
const BINS: usize = 72;

/// Number of new observations after which the survival curve is recomputed.
const REFRESH_OBSERVATIONS: u32 = 16;

/// Number of observations at which the weight of all earlier ones is halved.
const HALVING_OBSERVATIONS: f64 = 2_000.0;

/// Survival per bin beyond the longest observed generation, and of the prior.
const TAIL_SURVIVAL: f64 = 0.8;

/// Product-limit estimate of the length distribution over logarithmic bins.
#[derive(Debug, Clone)]
pub struct LengthEstimate {
    completed: [f64; BINS],
    censored: [f64; BINS],
    observations: f64,
    pending_observations: u32,
    curve: [f64; BINS + 1],
}

impl Default for LengthEstimate {
    fn default() -> Self {
        Self {
            completed: [0.0; BINS],
            censored: [0.0; BINS],
            observations: 0.0,
            pending_observations: 0,
            curve: std::array::from_fn(|bin| TAIL_SURVIVAL.powf(bin as f64)),
        }
    }
}

impl LengthEstimate {
    /// Records a generation that completed after `tokens`.
    pub fn observe_complete(&mut self, tokens: u32) {
        self.completed[bin_of(tokens)] += 1.0;
        self.observe();
    }

    /// Records a generation that was cut off after `tokens`: a right-censored observation,
    /// which counts as at least that long.
    pub fn observe_censored(&mut self, tokens: u32) {
        self.censored[bin_of(tokens)] += 1.0;
        self.observe();
    }

    /// Returns the number of observations, after decay of the older ones.
    #[must_use]
    pub fn observations(&self) -> f64 {
        self.observations
    }

    /// Returns the probability that a generation is longer than `tokens`.
    #[must_use]
    pub fn survival(&self, tokens: u32) -> f64 {
        let position = position_of(tokens).min(BINS as f64 - 1.0);
        let bin = position as usize;
        let part = position - bin as f64;
        self.curve[bin] + part * (self.curve[bin + 1] - self.curve[bin])
    }

    /// Returns the probability that a generation which has produced `tokens` still runs
    /// `ahead` tokens later.
    #[must_use]
    pub fn conditional_survival(&self, tokens: u32, ahead: u32) -> f64 {
        conditional_survival(&|tokens| self.survival(tokens), tokens, ahead)
    }

    /// Returns the expected number of further tokens of a generation which has produced
    /// `tokens`.
    #[must_use]
    pub fn expected_remaining(&self, tokens: u32) -> f64 {
        expected_remaining(&|tokens| self.survival(tokens), tokens)
    }

    fn observe(&mut self) {
        self.observations += 1.0;
        self.pending_observations += 1;
        if self.pending_observations >= REFRESH_OBSERVATIONS {
            self.refresh();
        }
        if self.observations >= HALVING_OBSERVATIONS {
            self.observations /= 2.0;
            self.completed = self.completed.map(|count| count / 2.0);
            self.censored = self.censored.map(|count| count / 2.0);
        }
    }

    /// Recomputes the survival curve.
    fn refresh(&mut self) {
        self.pending_observations = 0;
        let mut at_risk: f64 = self.completed.iter().chain(&self.censored).sum();
        for bin in 0..BINS {
            let survival =
                if at_risk >= 1.0 { 1.0 - self.completed[bin] / at_risk } else { TAIL_SURVIVAL };
            self.curve[bin + 1] = self.curve[bin] * survival;
            at_risk -= self.completed[bin] + self.censored[bin];
        }
    }
}

/// Returns the probability that a generation which has produced `tokens` still runs `ahead`
/// tokens later; `survival` is the probability that a generation is longer than its argument.
pub fn conditional_survival(survival: &dyn Fn(u32) -> f64, tokens: u32, ahead: u32) -> f64 {
    const MIN_SURVIVAL: f64 = 1e-9;
    if ahead == 0 {
        return 1.0;
    }
    let now = survival(tokens).max(MIN_SURVIVAL);
    (survival(tokens.saturating_add(ahead)) / now).clamp(0.0, 1.0)
}

/// Returns the expected number of further tokens of a generation which has produced `tokens`,
/// by trapezoidal integration of the conditional survival. Tokens beyond the last step are not
/// counted.
pub fn expected_remaining(survival: &dyn Fn(u32) -> f64, tokens: u32) -> f64 {
    const STEPS: [u32; 8] = [8, 32, 128, 512, 1_024, 2_048, 4_096, 8_192];
    let mut expected = 0.0;
    let mut previous = (0, 1.0);
    for ahead in STEPS {
        let survival = conditional_survival(survival, tokens, ahead);
        expected += f64::from(ahead - previous.0) * f64::midpoint(survival, previous.1);
        previous = (ahead, survival);
    }
    expected
}

/// Returns the fractional bin position of a length.
fn position_of(tokens: u32) -> f64 {
    f64::from(tokens.max(1)).log2() * BINS_PER_OCTAVE
}

/// Returns the bin that a length is counted in.
fn bin_of(tokens: u32) -> usize {
    (position_of(tokens) as usize).min(BINS - 1)
}
