//! State of one service as known to this entry.

use base::prelude::*;
use config::{PolicyWeights, ServiceKind};

use crate::{MemoryForecast, PauseModel};

/// Upper bound of the estimated number of entries that share the runners.
const MAX_ESTIMATED_ENTRIES: f64 = 64.0;

/// Weight of the newest report in the moving average of the step time.
const STEP_WEIGHT: f64 = 0.02;

/// Weight of the newest report in the moving average of the number of entries.
const ESTIMATED_ENTRIES_WEIGHT: f64 = 0.02;

/// Prefill time per prompt token before any was observed, in microseconds.
const DEFAULT_PREFILL_MICROS: f64 = 150.0;

/// Relative step of the median of the prefill time per token, at each observation.
const PREFILL_STEP: f64 = 0.05;

/// Weight of the newest call in the moving average of the time to first token.
const FIRST_TOKEN_WEIGHT: f64 = 0.05;

/// Configuration, runners and load of a service.
#[derive(Debug)]
pub struct ServiceView {
    /// Kind of its runners.
    pub kind: ServiceKind,
    /// Cost weights of the service.
    pub weights: PolicyWeights,
    /// Weight of each workspace in fair queueing.
    pub shares: Vec<(WorkspaceId, u32)>,
    /// Its runners, as indexes into the scheduler's runner list.
    pub slots: Vec<usize>,
    /// Number of round-robin choices made so far.
    pub round_robin_turn: usize,
    /// Memory forecast of this entry's calls at all its runners.
    pub own_forecast: MemoryForecast,
    /// Number of calls at all its runners, as last reported.
    pub reported_calls: u32,
    /// Number of calls of this entry at all its runners.
    pub own_calls: u32,
    /// Estimated number of entries that share the runners: moving average of the ratio of
    /// all reported calls to those of this entry.
    pub estimated_entries: f64,
    /// Moving average of the step time of its runners, in microseconds.
    pub step_micros: f64,
    /// Moving average of the time from sending a call to its first token, in microseconds.
    pub first_token_micros: f64,
    /// Number of other entries with waiting calls that can still meet their first-token target.
    pub waiting_peers: usize,
    /// Median time that a prompt token which waits for prefill adds to the time to first token,
    /// in microseconds.
    pub prefill_micros: f64,
    /// Usual pauses between tokens, or times of plain calls.
    pub pauses: PauseModel,
    /// Until when the figures that runners state replace observed times as evidence of speed.
    pub figures_until: TimePoint,
    /// When the speeds of its runners are settled next.
    pub next_settle: TimePoint,
    /// When the most recent report of any of its runners arrived.
    pub last_report_at: TimePoint,
}

impl Default for ServiceView {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Model,
            weights: PolicyWeights::default(),
            shares: Vec::new(),
            slots: Vec::new(),
            round_robin_turn: 0,
            own_forecast: MemoryForecast::default(),
            reported_calls: 0,
            own_calls: 0,
            estimated_entries: 1.0,
            step_micros: 0.0,
            first_token_micros: 0.0,
            waiting_peers: 0,
            prefill_micros: DEFAULT_PREFILL_MICROS,
            pauses: PauseModel::default(),
            figures_until: TimePoint::default(),
            next_settle: TimePoint::default(),
            last_report_at: TimePoint::default(),
        }
    }
}

impl ServiceView {
    /// Returns the fair-queueing weight of a workspace; 1 if none is configured.
    #[must_use]
    pub fn share(&self, workspace: &WorkspaceId) -> u32 {
        let found = self.shares.iter().find(|(name, _)| name == workspace);
        found.map_or(1, |(_, share)| *share)
    }

    /// Returns whether speeds of its runners are learned: the runners state figures, pauses have a
    /// bound, or calls are placed by their expected time.
    #[must_use]
    pub fn wants_speeds(&self, now: TimePoint) -> bool {
        self.kind == ServiceKind::Plain || self.pauses.has_bound() || now < self.figures_until
    }

    /// Records that a runner's number of reported calls changed from `before` to `now`, and
    /// updates the estimated number of entries.
    pub fn observe_reported_calls(&mut self, before: u32, now: u32) {
        self.reported_calls = (self.reported_calls + now).saturating_sub(before);
        let entries = f64::from(self.reported_calls) / f64::from(self.own_calls.max(1));
        let entries = entries.clamp(1.0, MAX_ESTIMATED_ENTRIES);
        self.estimated_entries += ESTIMATED_ENTRIES_WEIGHT * (entries - self.estimated_entries);
    }

    /// Records the time from sending a call to its first token. When it was sent,
    /// `prefill_tokens` waited for prefill at its runner, its own prompt included.
    pub fn observe_first_token(&mut self, span: TimeSpan, prefill_tokens: u64) {
        let span = span.0 as f64;
        if prefill_tokens > 0 {
            let is_longer = span > self.prefill_micros * prefill_tokens as f64;
            self.prefill_micros *= 1.0 + if is_longer { PREFILL_STEP } else { -PREFILL_STEP };
        }
        if self.first_token_micros <= 0.0 {
            self.first_token_micros = span;
        }
        self.first_token_micros += FIRST_TOKEN_WEIGHT * (span - self.first_token_micros);
    }

    /// Returns the expected time in which a runner prefills `tokens`.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> TimeSpan {
        TimeSpan::micros((tokens as f64 * self.prefill_micros) as u64)
    }

    /// Returns the average time from sending a call to its first token.
    #[must_use]
    pub fn first_token_latency(&self) -> TimeSpan {
        TimeSpan::micros(self.first_token_micros as u64)
    }

    /// Records the step time of a report that arrived at `now`.
    pub fn observe_step(&mut self, now: TimePoint, step: TimeSpan) {
        self.last_report_at = now;
        let step = step.0 as f64;
        if self.step_micros <= 0.0 {
            self.step_micros = step;
        }
        self.step_micros += STEP_WEIGHT * (step - self.step_micros);
    }

    /// Forecasts the load of other entries, which now hold `tokens`: it is assumed to grow
    /// like this entry's own load, or to stay constant while that load is too small to
    /// extrapolate from.
    #[must_use]
    pub fn other_forecast(&self, tokens: f64) -> MemoryForecast {
        const MIN_OWN_TOKENS: f64 = 2_000.0;
        let own = self.own_forecast.mean[0];
        if own < MIN_OWN_TOKENS {
            return MemoryForecast {
                mean: [tokens; crate::HORIZON_COUNT],
                ..MemoryForecast::default()
            };
        }
        self.own_forecast.scaled(tokens / own)
    }
}
