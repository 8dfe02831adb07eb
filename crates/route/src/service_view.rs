//! One service as this entry sees it.

use base::prelude::*;
use config::{PolicyWeights, ServiceKind};

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
}

impl Default for ServiceView {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Model,
            weights: PolicyWeights::default(),
            shares: Vec::new(),
            slots: Vec::new(),
            turn: 0,
        }
    }
}
