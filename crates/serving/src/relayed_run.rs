//! Decides what becomes of a run that is read through another node.
//!
//! Load pattern: a node that relays streams for one that is cut off from their runners is killed, freezes or
//! is cut off itself, while the runs are sound. A node may also be silent for a moment and go on, so that a
//! run is taken from a silent one only after it was stopped.

use base::prelude::*;

/// Silence after which a node that answers no question counts as lost. A sound one may be silent for
/// about a second.
const LOST_SILENCE: TimeSpan = TimeSpan::millis(1_500);

/// What is known about the node that a stream comes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayFacts {
    /// Its connection has ended.
    pub is_lost: bool,
    /// It has answered a question, asked since something last came from it.
    pub answers: bool,
    /// Time since something last came from it, in which this node ran.
    pub silence: TimeSpan,
    /// Another node may be asked to stop the run and to move it.
    pub may_move: bool,
}

/// What to do about a stream that comes through another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayDecision {
    /// Wait for the node, and ask it again.
    Wait,
    /// Have a further node stop the run and move it, and read what comes until then.
    MoveRun,
    /// Give the node up, and go on where the run or its memory is.
    LeaveNode,
}

/// Decides what to do about a stream whose node is lost, or has been asked since it fell silent.
#[must_use]
pub fn decide_relay(facts: RelayFacts) -> RelayDecision {
    if facts.is_lost {
        return RelayDecision::LeaveNode;
    }
    if facts.answers {
        return RelayDecision::Wait;
    }
    if facts.silence >= LOST_SILENCE {
        return RelayDecision::LeaveNode;
    }
    if facts.may_move { RelayDecision::MoveRun } else { RelayDecision::Wait }
}
