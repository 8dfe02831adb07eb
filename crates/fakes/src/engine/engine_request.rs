//! What an engine is asked for.

use base::{AttemptNumber, prelude::*};
use thiserror::Error;

/// One attempt at one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The generation.
    pub generation: GenerationId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
}

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// Which attempt this is.
    pub key: AttemptKey,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Hash of the prompt's start.
    pub prefix: u64,
    /// Tokens of the prompt that `prefix` covers.
    pub prefix_tokens: TokenCount,
    /// Length of the whole output, with what earlier attempts produced.
    pub length: TokenCount,
    /// Tokens that earlier attempts produced; the attempt continues after them.
    pub produced: TokenCount,
}

/// Why an engine did not take a request; it ran no part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmitError {
    /// The engine is leaving.
    #[error("the engine is leaving")]
    Leaving,
    /// The engine is dead.
    #[error("the engine is dead")]
    Killed,
    /// The attempt is already there.
    #[error("the attempt is already known")]
    Duplicate,
    /// The context can never fit into the engine's memory.
    #[error("the context does not fit into the engine's memory")]
    TooLong,
}
