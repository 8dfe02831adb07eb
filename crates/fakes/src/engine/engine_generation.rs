//! A generation inside an engine.

use crate::engine::{AttemptKey, EngineRequest};

/// Place of a generation in the order of service: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// 0 is the most urgent.
    pub priority: u8,
    /// Number of the arrival at this engine.
    pub arrival: u64,
}

/// A generation that waits or runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineGeneration {
    /// What was asked for.
    pub request: EngineRequest,
    /// Output tokens so far, with those of earlier attempts.
    pub produced: u32,
    /// Tokens of prompt and output whose keys and values are in memory.
    pub computed: u32,
    /// Memory blocks held.
    pub blocks: u32,
    /// Tokens computed before that have to be computed again.
    pub lost: u32,
}

impl EngineGeneration {
    /// A generation that holds nothing yet.
    #[must_use]
    pub fn new(request: EngineRequest) -> Self {
        let produced = request.produced.0;
        let lost = if produced > 0 { request.prompt_tokens.0 + produced } else { 0 };
        Self { request, produced, computed: 0, blocks: 0, lost }
    }

    /// Tokens of prompt and output so far.
    #[must_use]
    pub fn context(&self) -> u32 {
        self.request.prompt_tokens.0 + self.produced
    }

    /// Tokens still to be computed before the next output token.
    #[must_use]
    pub fn prefill_left(&self) -> u32 {
        self.context().saturating_sub(self.computed)
    }

    /// Whether the whole output is there.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.produced >= self.request.length.0
    }

    /// Its attempt.
    #[must_use]
    pub fn key(&self) -> AttemptKey {
        self.request.key
    }

    /// Gives up its memory; all of it has to be computed again.
    pub fn preempt(&mut self) {
        self.lost = self.computed;
        self.computed = 0;
        self.blocks = 0;
    }
}
