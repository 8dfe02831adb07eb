//! The distribution of output lengths, from finished and from unfinished generations
//! (Kaplan and Meier, 1958, "Nonparametric Estimation from Incomplete Observations").

/// Bins for each doubling of the length.
const BINS_PER_OCTAVE: f64 = 4.0;

/// Bins in all; the last one is open.
const BINS: usize = 72;

/// Observations after which the curve is computed again.
const REFRESH_OBSERVATIONS: u32 = 16;

/// Observations after which older ones count half.
const HALVING_OBSERVATIONS: f64 = 2_000.0;

/// Share of generations that outlive the longest one seen, in each further bin.
const TAIL_SURVIVAL: f64 = 0.8;

/// A product-limit estimate over logarithmic bins.
#[derive(Debug, Clone)]
pub struct LengthEstimate {
    ended: [f64; BINS],
    censored: [f64; BINS],
    observations: f64,
    unseen: u32,
    curve: [f64; BINS + 1],
}

impl Default for LengthEstimate {
    fn default() -> Self {
        Self {
            ended: [0.0; BINS],
            censored: [0.0; BINS],
            observations: 0.0,
            unseen: 0,
            curve: std::array::from_fn(|bin| TAIL_SURVIVAL.powf(bin as f64)),
        }
    }
}

impl LengthEstimate {
    /// A generation ended by itself after `tokens`.
    pub fn observe_complete(&mut self, tokens: u32) {
        self.ended[bin_of(tokens)] += 1.0;
        self.observe();
    }

    /// A generation was cut after `tokens`: it would have been at least that long.
    pub fn observe_censored(&mut self, tokens: u32) {
        self.censored[bin_of(tokens)] += 1.0;
        self.observe();
    }

    /// Observations that the estimate rests on.
    #[must_use]
    pub fn observations(&self) -> f64 {
        self.observations
    }

    /// The chance that a generation is longer than `tokens`.
    #[must_use]
    pub fn survival(&self, tokens: u32) -> f64 {
        let position = position_of(tokens).min(BINS as f64 - 1.0);
        let bin = position as usize;
        let part = position - bin as f64;
        self.curve[bin] + part * (self.curve[bin + 1] - self.curve[bin])
    }

    /// The chance that one which has produced `tokens` still runs `ahead` tokens later.
    #[must_use]
    pub fn conditional_survival(&self, tokens: u32, ahead: u32) -> f64 {
        const LEAST_SURVIVAL: f64 = 1e-9;
        let now = self.survival(tokens).max(LEAST_SURVIVAL);
        (self.survival(tokens + ahead) / now).clamp(0.0, 1.0)
    }

    /// Expected tokens still to come from one which has produced `tokens`.
    #[must_use]
    pub fn expected_remaining(&self, tokens: u32) -> f64 {
        const STEPS: [u32; 8] = [8, 32, 128, 512, 1_024, 2_048, 4_096, 8_192];
        let mut expected = 0.0;
        let mut before = (0, 1.0);
        for ahead in STEPS {
            let alive = self.conditional_survival(tokens, ahead);
            expected += f64::from(ahead - before.0) * f64::midpoint(alive, before.1);
            before = (ahead, alive);
        }
        expected
    }

    fn observe(&mut self) {
        self.observations += 1.0;
        self.unseen += 1;
        if self.unseen >= REFRESH_OBSERVATIONS {
            self.refresh();
        }
        if self.observations >= HALVING_OBSERVATIONS {
            self.observations /= 2.0;
            self.ended = self.ended.map(|count| count / 2.0);
            self.censored = self.censored.map(|count| count / 2.0);
        }
    }

    fn refresh(&mut self) {
        self.unseen = 0;
        let mut at_risk: f64 = self.ended.iter().chain(&self.censored).sum();
        for bin in 0..BINS {
            let survival =
                if at_risk >= 1.0 { 1.0 - self.ended[bin] / at_risk } else { TAIL_SURVIVAL };
            self.curve[bin + 1] = self.curve[bin] * survival;
            at_risk -= self.ended[bin] + self.censored[bin];
        }
    }
}

fn position_of(tokens: u32) -> f64 {
    f64::from(tokens.max(1)).log2() * BINS_PER_OCTAVE
}

fn bin_of(tokens: u32) -> usize {
    (position_of(tokens) as usize).min(BINS - 1)
}
