//! One service as this entry sees it.

use base::prelude::*;
use config::{PolicyWeights, ServiceKind};

use crate::MemoryForecast;

/// What is known about a service.
#[derive(Debug)]
pub struct ServiceView {
    /// Kind of its targets.
    pub kind: ServiceKind,
    /// What its users weigh.
    pub weights: PolicyWeights,
    /// Relative share of each workspace.
    pub shares: Vec<(WorkspaceId, u32)>,
    /// Its runners, as positions in the desk's list.
    pub slots: Vec<usize>,
    /// Count of choices made in turn.
    pub turn: usize,
    /// Forecast of this entry's calls at all its runners.
    pub own_forecast: MemoryForecast,
    /// Calls at the runners for each one of this entry, averaged over time.
    pub entry_factor: f64,
}

impl Default for ServiceView {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Model,
            weights: PolicyWeights::default(),
            shares: Vec::new(),
            slots: Vec::new(),
            turn: 0,
            own_forecast: MemoryForecast::default(),
            entry_factor: 1.0,
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

    /// What load of other entries, now of `tokens`, will need: it grows as this entry's
    /// own load does.
    #[must_use]
    pub fn other_forecast(&self, tokens: f64) -> MemoryForecast {
        const ENOUGH_TOKENS: f64 = 2_000.0;
        let own = self.own_forecast.mean[0];
        if own < ENOUGH_TOKENS {
            return MemoryForecast { mean: [tokens; crate::HORIZONS], ..MemoryForecast::default() };
        }
        self.own_forecast.scaled(tokens / own)
    }
}
