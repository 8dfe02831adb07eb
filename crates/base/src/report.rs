//! Load reports and cache events of runners.

use serde::{Deserialize, Serialize};

use crate::{BlockCount, ModelName, RunnerId, TimeSpan};

/// Load report of a runner; it describes the runner `age` before this copy was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// The runner that reports.
    pub runner: RunnerId,
    /// Random number chosen at the start of the runner, to detect a restart.
    pub incarnation: u64,
    /// Increases with each report of an incarnation.
    pub sequence: u64,
    /// Age of the values when this copy of the report was sent.
    pub age: TimeSpan,
    /// KV cache blocks held by running generations.
    pub used_blocks: BlockCount,
    /// Total number of KV cache blocks; zero for plain services.
    pub total_blocks: BlockCount,
    /// Tokens per KV cache block; zero for plain services.
    pub block_tokens: u32,
    /// Generations or calls that are running.
    pub running: u32,
    /// Generations or calls in the runner's queue.
    pub waiting: u32,
    /// Preemptions since the start of the runner.
    pub preemptions: u64,
    /// Mean duration of a decode step, or of a call for plain services.
    pub step: TimeSpan,
    /// The runner has announced that it is draining.
    pub leaving: bool,
    /// Loaded models.
    pub models: Vec<ModelName>,
    /// Highest fencing number of the orders that the runner has accepted.
    pub fence: u64,
}

/// A change of an engine's prefix cache. Events are published with delay, and some are lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one with each event; a larger step means that events were lost.
    pub sequence: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was stored (true) or evicted (false).
    pub stored: bool,
}
