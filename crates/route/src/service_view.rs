//! One service as this entry sees it.

use base::prelude::*;
use config::{PolicyWeights, ServiceKind};

use crate::MemoryForecast;

/// Highest number of entries that are taken to share the runners.
const MAX_ESTIMATED_ENTRIES: f64 = 64.0;

/// Weight of the newest report in the averaged step time.
const STEP_WEIGHT: f64 = 0.02;

/// Weight of the newest report in the averaged number of entries.
const ESTIMATED_ENTRIES_WEIGHT: f64 = 0.02;

/// Weight of the newest call in the averaged time to its first token.
const FIRST_TOKEN_WEIGHT: f64 = 0.05;

/// What is known about a service.
#[derive(Debug)]
pub struct ServiceView {
    /// Kind of its targets.
    pub kind: ServiceKind,
    /// What its users weigh.
    pub weights: PolicyWeights,
    /// Relative share of each workspace.
    pub shares: Vec<(WorkspaceId, u32)>,
    /// Its runners, as positions in the scheduler's list.
    pub slots: Vec<usize>,
    /// Number of round-robin choices made so far.
    pub round_robin_turn: usize,
    /// Forecast of this entry's calls at all its runners.
    pub own_forecast: MemoryForecast,
    /// Calls at all its runners, as last reported.
    pub reported_calls: u32,
    /// Calls of this entry at all its runners.
    pub own_calls: u32,
    /// Calls at the runners for each one of this entry, averaged over time: as many
    /// entries seem to share the runners.
    pub estimated_entries: f64,
    /// Step time of its runners, in microseconds, averaged.
    pub step_micros: f64,
    /// Time from the send of a call to its first token, in microseconds, averaged.
    pub first_token_micros: f64,
    /// Calls wait at other entries that can still be served in time.
    pub peers_waiting: bool,
    /// When the newest report of any of its runners arrived.
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
            peers_waiting: false,
            last_report_at: TimePoint::default(),
        }
    }
}

impl ServiceView {
    /// The share of a workspace; 1 if none is published.
    #[must_use]
    pub fn share(&self, workspace: &WorkspaceId) -> u32 {
        let found = self.shares.iter().find(|(name, _)| name == workspace);
        found.map_or(1, |(_, share)| *share)
    }

    /// Takes a changed count of reported calls.
    pub fn observe_reported_calls(&mut self, before: u32, now: u32) {
        self.reported_calls = (self.reported_calls + now).saturating_sub(before);
        let entries = f64::from(self.reported_calls) / f64::from(self.own_calls.max(1));
        let entries = entries.clamp(1.0, MAX_ESTIMATED_ENTRIES);
        self.estimated_entries += ESTIMATED_ENTRIES_WEIGHT * (entries - self.estimated_entries);
    }

    /// Takes the time that a call's first token took from its send.
    pub fn observe_first_token(&mut self, span: TimeSpan) {
        let span = span.0 as f64;
        if self.first_token_micros <= 0.0 {
            self.first_token_micros = span;
        }
        self.first_token_micros += FIRST_TOKEN_WEIGHT * (span - self.first_token_micros);
    }

    /// Time that a call's first token takes from its send.
    #[must_use]
    pub fn first_token_latency(&self) -> TimeSpan {
        TimeSpan::micros(self.first_token_micros as u64)
    }

    /// Takes the step time of a report that arrived now.
    pub fn observe_step(&mut self, now: TimePoint, step: TimeSpan) {
        self.last_report_at = now;
        let step = step.0 as f64;
        if self.step_micros <= 0.0 {
            self.step_micros = step;
        }
        self.step_micros += STEP_WEIGHT * (step - self.step_micros);
    }

    /// What load of other entries, now of `tokens`, will need: it grows as this entry's
    /// own load does.
    #[must_use]
    pub fn other_forecast(&self, tokens: f64) -> MemoryForecast {
        const ENOUGH_TOKENS: f64 = 2_000.0;
        let own = self.own_forecast.mean[0];
        if own < ENOUGH_TOKENS {
            return MemoryForecast {
                mean: [tokens; crate::HORIZON_COUNT],
                ..MemoryForecast::default()
            };
        }
        self.own_forecast.scaled(tokens / own)
    }
}
