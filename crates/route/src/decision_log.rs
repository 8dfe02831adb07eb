//! The last decisions with their reasons.

use std::collections::VecDeque;

use crate::RouteDecision;

/// Decisions kept.
const DECISION_LIMIT: usize = 16;

/// The last decisions of a scheduler.
#[derive(Debug, Default)]
pub struct DecisionLog {
    decisions: VecDeque<RouteDecision>,
}

impl DecisionLog {
    /// Adds the newest one.
    pub fn push(&mut self, decision: RouteDecision) {
        if self.decisions.len() == DECISION_LIMIT {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// All of them, the newest last.
    #[must_use]
    pub fn to_vec(&self) -> Vec<RouteDecision> {
        self.decisions.iter().cloned().collect()
    }
}
