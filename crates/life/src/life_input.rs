//! What happens to a stream.

use base::prelude::*;
use serving::OrderAnswer;

use crate::{SeenPlace, StepNumber};

/// What happens to a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LifeInput {
    /// Events have come from the source; so many of the run were read in all, `None` if its begin was read
    /// elsewhere.
    Events(Option<u64>),
    /// The source has delivered the stream to its end.
    SourceEnded,
    /// The connection to the source has ended before the end of the stream.
    SourceLost,
    /// A runner has announced that it leaves, or asked for a wait.
    RunnerLeaves(RunnerId),
    /// A question to a runner was answered.
    Asked(RunnerId, SeenPlace),
    /// A step has ended. One that is no longer under way changes nothing.
    StepEnded(StepNumber, StepOutcome),
    /// The caller has closed its connection.
    CallerLeft,
    /// A stored deadline has passed, see [`StreamLife::due`](crate::StreamLife::due).
    Due,
}

/// How a step has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StepOutcome {
    /// Copied, connected, answered, or taken.
    Done,
    /// What a source has answered to the order to stop the run. [`OrderAnswer::Unknown`] also from a node that was
    /// offered the run, and has ordered it.
    Ordered(OrderAnswer),
    /// A node that was offered the run at the source has taken it, and has it go on there.
    Returned,
    /// Refused or not reached.
    Refused,
}
