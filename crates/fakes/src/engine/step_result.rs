//! What one step of an engine did.

use base::{TokenIndex, prelude::*};

use crate::engine::AttemptKey;

/// One output token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepToken {
    /// The attempt that produced it.
    pub key: AttemptKey,
    /// Its position in the whole output.
    pub index: TokenIndex,
    /// It is the last one.
    pub last: bool,
}

/// What one step did; its tokens are there at `until`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepResult {
    /// Output tokens, at most one for each generation.
    pub tokens: Vec<StepToken>,
    /// Attempts that lost their memory and wait again.
    pub preempted: Vec<AttemptKey>,
    /// End of the step.
    pub until: TimePoint,
    /// Length of the step; zero when there was nothing to do.
    pub duration: TimeSpan,
}

impl StepResult {
    /// Attempts that are complete with this step.
    pub fn finished(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.tokens.iter().filter(|token| token.last).map(|token| token.key)
    }
}
