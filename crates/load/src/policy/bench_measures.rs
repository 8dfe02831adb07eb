//! What a run measures.
//!
//! The stall time is the sum, over all gaps between consecutive tokens of a generation
//! that end inside the window, of the part of the gap beyond 48 ms. A gap counts in full
//! whatever caused it: a long step, a preemption, a withdrawal or a lost runner, and
//! whether the tokens are passed on at once or not.

use base::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::policy::{BenchCall, TurnAwayFigures, TurnAwayMeasures, TurnedAway, Workload};

/// Gap between tokens beyond which a stream stalls.
pub const STALL_GAP: TimeSpan = TimeSpan::millis(48);

/// First token after which a complete call is worth less.
const FIRST_TOKEN_TARGET: TimeSpan = TimeSpan::millis(750);
/// Worth of a complete call whose first token was late, relative to one in time.
const LATE_WORTH: f64 = 0.15;
const HISTOGRAM_DIGITS: u8 = 3;
const LONGEST_MICROS: u64 = 600_000_000;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Counters of a run, filled by the simulation.
#[derive(Debug)]
pub struct BenchMeasures {
    window: (TimePoint, TimePoint),
    gaps: Histogram<u64>,
    first_tokens: Vec<Histogram<u64>>,
    stall: TimeSpan,
    preemptions: u64,
    recomputed: u64,
    withdrawals: u64,
    refusals: u64,
    arrived: Vec<u64>,
    met: Vec<u64>,
    missed: Vec<u64>,
    wanted_tokens: Vec<u64>,
    met_tokens: Vec<u64>,
    goodput_tokens: u64,
    worth: f64,
    turn_aways: TurnAwayMeasures,
}

/// Figures of one class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassFigures {
    /// The class.
    pub class: String,
    /// Share of its calls that were not complete at their deadline, of those decided.
    pub miss_share: f64,
    /// First token, in milliseconds, from the first arrival.
    pub first_token_p50: f64,
    /// The same, 95th percentile.
    pub first_token_p95: f64,
    /// The same, 99th percentile.
    pub first_token_p99: f64,
}

/// Figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct PolicyFigures {
    /// Calls that arrived in the window.
    pub calls: u64,
    /// Stall time, in seconds.
    pub stall_seconds: f64,
    /// Preemptions per 1,000 generations.
    pub preemptions: f64,
    /// Withdrawals per 1,000 generations.
    pub withdrawals: f64,
    /// Tokens computed again per generation.
    pub recomputed: f64,
    /// Gap between tokens, in milliseconds.
    pub gap_p50: f64,
    /// The same, 95th percentile.
    pub gap_p95: f64,
    /// The same, 99th percentile.
    pub gap_p99: f64,
    /// The same, 99.9th percentile.
    pub gap_p999: f64,
    /// First token of all classes together, in milliseconds, from the first arrival.
    pub first_token_p50: f64,
    /// The same, 95th percentile.
    pub first_token_p95: f64,
    /// The same, 99th percentile.
    pub first_token_p99: f64,
    /// Refusals per 1,000 calls.
    pub refusals: f64,
    /// Tokens of calls that were complete in time, per second.
    pub goodput: f64,
    /// Worth of all calls relative to that of as many complete calls with a first token in
    /// time; calls that are complete with a late first token count a part.
    pub worth: f64,
    /// Calls that were turned away by a runner or refused by an entry.
    pub turn_aways: TurnAwayFigures,
    /// Jain's index over the workspaces' shares of wanted tokens that they got in time.
    pub fairness: f64,
    /// By class.
    pub classes: Vec<ClassFigures>,
}

impl BenchMeasures {
    /// Counters for the calls and tokens of `window`.
    #[must_use]
    pub fn new(workload: &Workload, window: (TimePoint, TimePoint)) -> Self {
        let classes = workload.classes.len();
        let workspaces = workload.workspaces.len();
        Self {
            window,
            gaps: empty_histogram(),
            first_tokens: (0..classes).map(|_| empty_histogram()).collect(),
            stall: TimeSpan::default(),
            preemptions: 0,
            recomputed: 0,
            withdrawals: 0,
            refusals: 0,
            arrived: vec![0; classes],
            met: vec![0; classes],
            missed: vec![0; classes],
            wanted_tokens: vec![0; workspaces],
            met_tokens: vec![0; workspaces],
            goodput_tokens: 0,
            worth: 0.0,
            turn_aways: TurnAwayMeasures::default(),
        }
    }

    /// Whether `now` is inside the window.
    #[must_use]
    pub fn covers(&self, now: TimePoint) -> bool {
        self.window.0 <= now && now < self.window.1
    }

    /// A call arrived for the first time.
    pub fn arrived(&mut self, call: &BenchCall) {
        if self.covers(call.arrival) {
            self.arrived[call.class] += 1;
        }
    }

    /// The first token of a call came, or its caller gave up waiting for it.
    pub fn first_token(&mut self, now: TimePoint, call: &BenchCall) {
        if self.covers(call.arrival) {
            self.first_tokens[call.class].saturating_record(now.since(call.arrival).0);
        }
    }

    /// Two tokens of a generation came with this gap.
    pub fn gap(&mut self, now: TimePoint, gap: TimeSpan) {
        if self.covers(now) {
            self.gaps.saturating_record(gap.0);
            self.stall = self.stall + TimeSpan(gap.0.saturating_sub(STALL_GAP.0));
        }
    }

    /// A call was complete in time, or missed its deadline.
    pub fn decided(&mut self, now: TimePoint, call: &BenchCall, met: bool) {
        let tokens = u64::from(call.length.0);
        if met && self.covers(now) {
            self.goodput_tokens += tokens;
        }
        if !self.covers(call.arrival) {
            return;
        }
        self.wanted_tokens[call.workspace] += tokens;
        if met {
            self.met[call.class] += 1;
            self.met_tokens[call.workspace] += tokens;
        } else {
            self.missed[call.class] += 1;
        }
    }

    /// Engines preempted and computed again this often.
    pub fn preempted(&mut self, preemptions: u64, recomputed: u64) {
        self.preemptions += preemptions;
        self.recomputed += recomputed;
    }

    /// An entry took a generation off its runner.
    pub fn withdrawn(&mut self, now: TimePoint) {
        self.withdrawals += u64::from(self.covers(now));
    }

    /// A call was refused by an entry; `again` if it had been turned away or refused before.
    pub fn refused(&mut self, now: TimePoint, again: bool) {
        if !self.covers(now) {
            return;
        }
        self.refusals += 1;
        if again {
            self.turn_aways.refused_again();
        }
    }

    /// A runner turned a request away.
    pub fn turned_away(&mut self, now: TimePoint, request: TurnedAway) {
        if self.covers(now) {
            self.turn_aways.turned_away(now, request);
        }
    }

    /// The first token came of a call that was turned away or refused, or its caller gave up
    /// waiting for it.
    pub fn returned_first_token(&mut self, now: TimePoint, call: &BenchCall) {
        if self.covers(call.arrival) {
            self.turn_aways.first_token(now.since(call.arrival));
        }
    }

    /// A call was complete in time.
    pub fn add_worth(&mut self, call: &BenchCall, first_token: TimePoint) {
        if self.covers(call.arrival) {
            let late = first_token.since(call.arrival) > FIRST_TOKEN_TARGET;
            self.worth += if late { LATE_WORTH } else { 1.0 };
        }
    }

    /// The figures.
    #[must_use]
    pub fn figures(&self, workload: &Workload) -> PolicyFigures {
        let calls: u64 = self.arrived.iter().sum();
        let per_thousand = |count: u64| 1_000.0 * count as f64 / calls.max(1) as f64;
        let seconds = self.window.1.since(self.window.0).as_seconds();
        let classes = workload.classes.iter().enumerate();
        let first_tokens = self.all_first_tokens();
        PolicyFigures {
            calls,
            stall_seconds: self.stall.as_seconds(),
            preemptions: per_thousand(self.preemptions),
            withdrawals: per_thousand(self.withdrawals),
            recomputed: per_thousand(self.recomputed) / 1_000.0,
            gap_p50: millis(&self.gaps, 0.5),
            gap_p95: millis(&self.gaps, 0.95),
            gap_p99: millis(&self.gaps, 0.99),
            gap_p999: millis(&self.gaps, 0.999),
            first_token_p50: millis(&first_tokens, 0.5),
            first_token_p95: millis(&first_tokens, 0.95),
            first_token_p99: millis(&first_tokens, 0.99),
            refusals: per_thousand(self.refusals),
            goodput: self.goodput_tokens as f64 / seconds,
            worth: self.worth / calls.max(1) as f64,
            turn_aways: self.turn_aways.figures(calls),
            fairness: self.fairness(),
            classes: classes.map(|(index, class)| self.class(index, class.name)).collect(),
        }
    }

    fn all_first_tokens(&self) -> Histogram<u64> {
        let mut all = self.gaps.clone();
        all.reset();
        for histogram in &self.first_tokens {
            all += histogram;
        }
        all
    }

    fn class(&self, index: usize, name: &str) -> ClassFigures {
        let decided = self.met[index] + self.missed[index];
        ClassFigures {
            class: name.into(),
            miss_share: self.missed[index] as f64 / decided.max(1) as f64,
            first_token_p50: millis(&self.first_tokens[index], 0.5),
            first_token_p95: millis(&self.first_tokens[index], 0.95),
            first_token_p99: millis(&self.first_tokens[index], 0.99),
        }
    }

    fn fairness(&self) -> f64 {
        let pairs = self.met_tokens.iter().zip(&self.wanted_tokens).filter(|(_, w)| **w > 0);
        let shares: Vec<f64> = pairs.map(|(met, wanted)| *met as f64 / *wanted as f64).collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 1.0 }
    }
}

/// An empty histogram of times in microseconds.
pub(super) fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MICROS, HISTOGRAM_DIGITS).expect("valid bounds")
}

/// A quantile of times in microseconds, in milliseconds.
pub(super) fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}
