//! The calls of a run: the same for every policy.

use base::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::CallId;
use xxhash_rust::xxh3::xxh3_64;

use crate::policy::{Workload, call_class::open_uniform};

/// Low bits of a call number that hold the index of the call.
pub(crate) const INDEX_BITS: u32 = 32;

/// Index of a call among the run's calls.
pub(crate) fn call_index(call: CallId) -> usize {
    (call.0 & ((1 << INDEX_BITS) - 1)) as usize
}

/// One call as its caller makes it.
#[derive(Debug, Clone)]
pub struct BenchCall {
    /// Its class.
    pub class: usize,
    /// Its workspace.
    pub workspace: usize,
    /// The entry that the caller uses first.
    pub entry: usize,
    /// When it first arrives.
    pub arrival: TimePoint,
    /// When its caller has no more use for it.
    pub deadline: TimePoint,
    /// Length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Hash of the shared start of the prompt.
    pub prefix: u64,
    /// Length of the output; hidden from the policy.
    pub length: TokenCount,
}

/// When calls arrive, and how fast.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalPlan {
    /// Seed of all draws.
    pub seed: u64,
    /// Calls per second.
    pub rate: f64,
    /// No call arrives later.
    pub until: TimePoint,
    /// Between these two instants the rate is `burst_factor` times as high.
    pub burst: (TimePoint, TimePoint),
    /// Factor of the burst.
    pub burst_factor: f64,
}

impl ArrivalPlan {
    /// Draws all calls of a run: Poisson arrivals.
    #[must_use]
    pub fn draw(&self, workload: &Workload) -> Vec<BenchCall> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut calls = Vec::new();
        let mut now = TimePoint::default();
        loop {
            let burst = self.burst.0 <= now && now < self.burst.1;
            let rate = self.rate * if burst { self.burst_factor } else { 1.0 };
            let seconds = -open_uniform(&mut random).ln() / rate;
            now = now + TimeSpan::micros((seconds * 1e6) as u64);
            if now > self.until {
                return calls;
            }
            calls.push(draw_call(workload, now, &mut random));
        }
    }
}

fn draw_call(workload: &Workload, arrival: TimePoint, random: &mut StdRng) -> BenchCall {
    let class = draw_weighted(workload.classes.iter().map(|class| class.share), random);
    let weights = workload.workspaces.iter().map(|workspace| workspace.weight);
    let workspace = draw_weighted(weights, random);
    let law = &workload.classes[class];
    let number = random.random_range(0..workload.prefixes);
    let own_tokens = law.prompt.draw(random, 1.0);
    let factor = if law.streamed || law.patience > TimeSpan::seconds(60) {
        workload.workspaces[workspace].length_factor
    } else {
        1.0
    };
    BenchCall {
        class,
        workspace,
        entry: random.random_range(0..workload.entries),
        arrival,
        deadline: arrival + law.patience,
        prompt_tokens: TokenCount(own_tokens.0 + law.prefix_tokens),
        prefix: xxh3_64(format!("{class}/{workspace}/{number}").as_bytes()),
        length: law.output.draw(random, factor),
    }
}

fn draw_weighted(weights: impl Iterator<Item = f64> + Clone, random: &mut StdRng) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = random.random::<f64>() * total;
    for (index, weight) in weights.clone().enumerate() {
        left -= weight;
        if left <= 0.0 {
            return index;
        }
    }
    weights.count() - 1
}
