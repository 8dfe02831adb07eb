//! Outcomes and refusal reasons reported to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Outcome of a call, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The call ran and its complete answer was delivered.
    Done,
    /// The call was refused; no runner executed any part of it.
    NotRun,
    /// The call was sent at most once; it is not known whether it ran.
    Unknown,
    /// The stream ended early; the delivered tokens are valid.
    Incomplete,
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Incomplete => "incomplete",
        })
    }
}

/// Why a call was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No configuration has been loaded yet.
    NotReady,
    /// The process is shutting down.
    Stopping,
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// The caller's API key is missing or unknown.
    Unauthorized,
    /// The service, model or path is not in the configuration.
    NotFound,
    /// No runner can accept the call.
    NoRunner,
    /// The predicted queueing time exceeds the deadline.
    Overloaded,
    /// A table or queue of this process is full.
    TableFull,
    /// The deadline has passed.
    DeadlinePassed,
    /// The booking has no valid home tag.
    HomeTagMissing,
    /// The response of the runner or of the home was lost or did not arrive by the deadline.
    AnswerLost,
    /// Every runner has named a time before which it accepts no call.
    RunnersWait,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::NoRunner => "no_runner",
            Self::Overloaded => "overloaded",
            Self::TableFull => "table_full",
            Self::DeadlinePassed => "deadline_passed",
            Self::HomeTagMissing => "home_tag_missing",
            Self::AnswerLost => "answer_lost",
            Self::RunnersWait => "runners_wait",
        })
    }
}
