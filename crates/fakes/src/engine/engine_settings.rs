//! Sizes and costs of an engine.

use base::prelude::*;

/// Sizes and costs of one engine; the costs add up to the time of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Tokens that fit into one memory block.
    pub block_tokens: u32,
    /// Memory blocks for running generations.
    pub total_blocks: BlockCount,
    /// Memory blocks of the prefix cache.
    pub cache_blocks: BlockCount,
    /// Generations that may run at once.
    pub running_limit: usize,
    /// Tokens computed in one step, prefill and decode together.
    pub step_tokens: u32,
    /// Time of an empty step.
    pub base_cost: TimeSpan,
    /// Time for each decoding generation of a step.
    pub sequence_cost: TimeSpan,
    /// Time for each prefilled token of a step.
    pub prefill_cost: TimeSpan,
    /// Time for each 1,000 tokens of context read by a step.
    pub context_cost: TimeSpan,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            block_tokens: 16,
            total_blocks: BlockCount(4_096),
            cache_blocks: BlockCount(512),
            running_limit: 256,
            step_tokens: 512,
            base_cost: TimeSpan::millis(14),
            sequence_cost: TimeSpan::micros(100),
            prefill_cost: TimeSpan::micros(35),
            context_cost: TimeSpan::micros(150),
        }
    }
}

impl EngineSettings {
    /// Blocks that `tokens` of context occupy.
    #[must_use]
    pub fn blocks_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.block_tokens)
    }
}
