//! Classes of calls and the laws of their lengths.

use base::prelude::*;
use config::CallPriority;
use rand::{Rng, RngExt};

/// A lognormal length with a Pareto tail.
#[derive(Debug, Clone, Copy)]
pub struct LengthLaw {
    /// Median of the lognormal body, in tokens.
    pub median: f64,
    /// Standard deviation of the body's logarithm.
    pub sigma: f64,
    /// Share of draws that come from the tail.
    pub tail_share: f64,
    /// Where the tail begins, in tokens.
    pub tail_start: f64,
    /// Exponent of the tail.
    pub tail_exponent: f64,
    /// Longest length, in tokens.
    pub longest: u32,
}

impl LengthLaw {
    /// Draws a length; `factor` scales it before the cut.
    pub fn draw(&self, random: &mut impl Rng, factor: f64) -> TokenCount {
        let tail = random.random_bool(self.tail_share);
        let uniform = open_uniform(random);
        let angle = std::f64::consts::TAU * random.random::<f64>();
        let tokens = if tail {
            self.tail_start * uniform.powf(-1.0 / self.tail_exponent)
        } else {
            let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
            self.median * (self.sigma * normal).exp()
        };
        TokenCount(((tokens * factor) as u32).clamp(1, self.longest))
    }
}

/// A uniform number above 0 and up to 1.
pub fn open_uniform(random: &mut impl Rng) -> f64 {
    1.0 - random.random::<f64>()
}

/// A class of calls.
#[derive(Debug, Clone)]
pub struct CallClass {
    /// Its name in the figures.
    pub name: &'static str,
    /// Share of all calls.
    pub share: f64,
    /// How urgent its calls are.
    pub priority: CallPriority,
    /// Length of the prompt without the prefix.
    pub prompt: LengthLaw,
    /// Length of the prefix that a workspace's calls share, in tokens.
    pub prefix_tokens: u32,
    /// Length of the output; hidden from the policy.
    pub output: LengthLaw,
    /// Time that the caller gives it.
    pub patience: TimeSpan,
    /// Its tokens are passed on as they come.
    pub streamed: bool,
}
