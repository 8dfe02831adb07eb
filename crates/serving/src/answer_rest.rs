//! Decides whether the rest of an answer that has begun is waited for.
//!
//! Load pattern: a node is cut off from a runner, without a sign on the connection, while that answers a
//! call. A runner may also be silent to all for a moment, or take long for its answer, and go on.

use base::prelude::*;

use crate::AnswerPlace;

/// Time without a sign of a runner after which an answer is not waited for any longer. A sound runner
/// may be silent for about a second.
const LOST_SILENCE: TimeSpan = TimeSpan::seconds(1);

/// What is known about the runner of an answer that has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestFacts {
    /// Time since a part of the answer came, or since the runner last counted as reached.
    pub unheard: TimeSpan,
    /// Whether the call can go to another runner, or no runner of its service is reached. Otherwise the
    /// answer is all that it can get, and the cut may heal.
    pub may_leave: bool,
    /// Where the runner answers; `None` if that was not asked.
    pub answered: Option<AnswerPlace>,
}

/// What to do about the rest of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestDecision {
    /// Wait for it.
    Wait,
    /// Ask where the runner answers.
    Ask,
    /// Give it up: this node is cut off from the runner.
    GiveUp,
}

/// Decides what to do about the rest of an answer whose runner counts as not reached.
#[must_use]
pub fn decide_rest(facts: &RestFacts) -> RestDecision {
    if !facts.may_leave || facts.unheard < LOST_SILENCE {
        return RestDecision::Wait;
    }
    match &facts.answered {
        None => RestDecision::Ask,
        Some(AnswerPlace::OtherNode(_)) => RestDecision::GiveUp,
        Some(AnswerPlace::Here | AnswerPlace::Nowhere) => RestDecision::Wait,
    }
}
