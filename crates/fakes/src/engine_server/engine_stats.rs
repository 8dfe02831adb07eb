//! What an engine's stand-in has done, for checks from outside.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Body of `GET /stats`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Tokens computed again, after a preemption or for a continuation.
    pub recomputed: u64,
    /// Attempts by generation, then by number.
    pub generations: BTreeMap<String, BTreeMap<u32, AttemptStats>>,
    /// Orders, in order of arrival.
    pub orders: Vec<OrderStats>,
    /// Transfers from the weight store, by model.
    pub weight_loads: BTreeMap<String, u64>,
    /// Transfers that the weight store refused or lost.
    pub weight_failures: u64,
    /// Generations lost because their model was unloaded under them.
    pub unload_losses: u64,
}

/// One attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AttemptStats {
    /// Tokens that the attempt was given to continue from.
    pub continued_from: u32,
    /// Tokens that exist, with those that it was given.
    pub produced: u32,
    /// It produced its whole output.
    pub finished: bool,
    /// It was cancelled by request.
    pub cancelled: bool,
    /// It was dropped because nobody read it.
    pub abandoned: bool,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStats {
    /// Its fencing number.
    pub fence: u64,
    /// When it came, in milliseconds since the engine's start.
    pub at_ms: u64,
    /// The models that it wanted.
    pub models: Vec<ModelName>,
    /// Whether it was accepted.
    pub accepted: bool,
}
