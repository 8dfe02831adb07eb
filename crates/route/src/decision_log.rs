//! Bounded log of recent scheduling decisions, for the state dump.

use std::collections::VecDeque;

use crate::RouteDecision;

/// Maximum number of decisions kept.
const MAX_DECISIONS: usize = 16;

/// Most recent decisions of a scheduler.
#[derive(Debug, Default)]
pub struct DecisionLog {
    decisions: VecDeque<RouteDecision>,
}

impl DecisionLog {
    /// Appends a decision and drops the oldest one if the log is full.
    pub fn push(&mut self, decision: RouteDecision) {
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Returns all decisions, newest last.
    #[must_use]
    pub fn to_vec(&self) -> Vec<RouteDecision> {
        self.decisions.iter().cloned().collect()
    }
}
