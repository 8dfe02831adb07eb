//! The last decisions with their reasons.

use std::collections::VecDeque;

use crate::DeskDecision;

/// Decisions kept.
const DECISION_LIMIT: usize = 16;

/// The last decisions of a desk.
#[derive(Debug, Default)]
pub struct DecisionLog {
    decisions: VecDeque<DeskDecision>,
}

impl DecisionLog {
    /// Adds the newest one.
    pub fn push(&mut self, decision: DeskDecision) {
        if self.decisions.len() == DECISION_LIMIT {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// All of them, the newest last.
    #[must_use]
    pub fn to_vec(&self) -> Vec<DeskDecision> {
        self.decisions.iter().cloned().collect()
    }
}
