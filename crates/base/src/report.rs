//! What an engine or plain service reports about itself.

use serde::{Deserialize, Serialize};

use crate::{BlockCount, ModelName, RunnerId, TimeSpan};

/// A load report; it describes the runner as it was `age` before it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// The runner that reports.
    pub runner: RunnerId,
    /// Random number of the runner's start, to tell a restart.
    pub incarnation: u64,
    /// Grows with each report of one incarnation.
    pub sequence: u64,
    /// How old the figures were when this copy was sent on.
    pub age: TimeSpan,
    /// Memory blocks held by running generations.
    pub used_blocks: BlockCount,
    /// All memory blocks; zero for plain services.
    pub total_blocks: BlockCount,
    /// Tokens that fit into one block; zero for plain services.
    pub block_tokens: u32,
    /// Generations or calls that run now.
    pub running: u32,
    /// Generations or calls that wait inside the runner.
    pub waiting: u32,
    /// Preemptions since its start.
    pub preemptions: u64,
    /// Time of a decode step (or of a call, for plain services), averaged.
    pub step: TimeSpan,
    /// The runner has announced that it leaves.
    pub leaving: bool,
    /// Models loaded now.
    pub models: Vec<ModelName>,
    /// Highest fencing number of an order that it has accepted.
    pub fence: u64,
}

/// A change of an engine's prefix cache; published late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one for each event; a jump is a gap.
    pub sequence: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Stored (true) or evicted (false).
    pub stored: bool,
}
