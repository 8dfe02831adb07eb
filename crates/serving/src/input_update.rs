//! What nodes tell each other about inputs of calls that may crash runners.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{CallInput, RunnerIncarnation};

/// A crash of a runner, as one node saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The runner that crashed.
    pub runner: RunnerIncarnation,
    /// Inputs of the calls that it was about to answer for this node.
    pub inputs: Vec<CallInput>,
    /// Time for which the crash still counts.
    pub left: TimeSpan,
}

/// An input, and the time for which a statement about it still holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedInput {
    /// The input.
    pub input: CallInput,
    /// Time left.
    pub left: TimeSpan,
}

/// What one node knows about inputs of calls, in each of its heartbeats. Remaining times take
/// the place of deadlines, since nodes do not share a clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InputUpdate {
    /// Crashes that the node saw lately.
    pub crashes: Vec<CrashReport>,
    /// Inputs that are blocked.
    pub blocked: Vec<TimedInput>,
    /// Inputs that the node saw answered, and that another node suspects.
    pub safe: Vec<TimedInput>,
}
