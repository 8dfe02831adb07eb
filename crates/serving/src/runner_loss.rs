//! Tells a runner that has crashed from one that has lost a call and is still up.
//!
//! Load pattern: connections of calls end because a runner has crashed, because one is faulty, or
//! because of the network. What is seen of the runner afterwards tells which.

/// How a call lost its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunnerLoss {
    /// No answer came in time, or none that could be used.
    NoAnswer,
    /// The connection was closed or reset before the answer was complete.
    ConnectionEnded,
}

/// What a new connection to the runner showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It was refused or reset.
    Refused,
    /// It did not come about in time.
    Unreached,
    /// It was accepted, and ended without an answer.
    Ended,
    /// It was accepted, and no answer came in time.
    Silent,
    /// Another runner answered.
    Replaced,
    /// The runner answered.
    Answered,
}

/// Whether a runner that was lost in this way, and then showed this, has crashed.
#[must_use]
pub fn has_crashed(loss: RunnerLoss, outcome: ProbeOutcome) -> bool {
    match outcome {
        ProbeOutcome::Refused | ProbeOutcome::Ended | ProbeOutcome::Replaced => true,
        // The system may accept connections for a process that is gone; but a busy runner that is
        // up is silent, too.
        ProbeOutcome::Silent => loss == RunnerLoss::ConnectionEnded,
        ProbeOutcome::Unreached | ProbeOutcome::Answered => false,
    }
}
