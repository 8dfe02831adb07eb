//! What nodes tell each other about parts of prompts that may crash runners.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::RunnerIncarnation;

/// A crash of a runner, as one node saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The runner that crashed.
    pub runner: RunnerIncarnation,
    /// Parts of the prompts that it was about to answer for this node.
    pub parts: Vec<PromptPart>,
    /// Time for which the crash still counts.
    pub left: TimeSpan,
}

/// A part, and the time for which a statement about it still holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedPart {
    /// The part.
    pub part: PromptPart,
    /// Time left.
    pub left: TimeSpan,
}

/// What one node knows about parts of prompts, in each of its heartbeats. Remaining times take
/// the place of deadlines, since nodes do not share a clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// Crashes that the node saw lately.
    pub crashes: Vec<CrashReport>,
    /// Parts that are blocked.
    pub blocked: Vec<TimedPart>,
    /// Parts that the node saw answered, and that another node suspects.
    pub safe: Vec<TimedPart>,
}
