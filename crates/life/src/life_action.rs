//! What is to be done for a stream.

use base::prelude::*;

use crate::{LifeStep, StepNumber};

/// What is to be done for a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LifeAction {
    /// Forward what has just come from the source.
    Forward,
    /// Hold it: the next runner may make the same events again.
    Hold,
    /// Forward what was held, since the next runner has not taken over.
    ForwardHeld,
    /// Begin a step.
    Begin(StepNumber, LifeStep),
    /// Close what the step has opened.
    CloseStep(StepNumber),
    /// Close the connection to the source.
    CloseSource,
    /// Make the answer to the step the source; what was held is dropped.
    Switch(StepNumber),
    /// Find out where a runner answers.
    Ask(RunnerId),
    /// Have another node stop the run at a runner, which keeps its memory.
    StopRun(RunnerId, VmId),
    /// Have another node end the run that was left at a runner.
    EndRun(RunnerId, VmId),
    /// End the stream.
    End(LifeEnd),
}

/// How a stream has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LifeEnd {
    /// It was delivered whole.
    Streamed,
    /// Its caller has left.
    CallerLeft,
    /// The deadline of its call has passed.
    DeadlinePassed,
    /// No place is known where it could go on.
    NoPlace,
}
