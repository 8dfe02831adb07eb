//! How a call ended, as the caller is told.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The call ran and its whole answer was delivered.
    Done,
    /// The call was refused; no target ran any part of it.
    NotRun,
    /// The call was sent at most once; whether it ran is not known.
    Unknown,
    /// A stream ended early; its delivered tokens are valid.
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
    /// No configuration is in force yet.
    NotReady,
    /// The process is stopping.
    Stopping,
    /// The request is malformed or breaks a limit.
    BadRequest,
    /// The caller's key is missing or wrong.
    Unauthorized,
    /// The service, model or path is not in the configuration.
    NotFound,
    /// No runner can take the call.
    NoRunner,
    /// The forecast wait passes the deadline.
    Overloaded,
    /// A table or queue of this process is full.
    TableFull,
    /// The deadline has passed.
    DeadlinePassed,
    /// The booking carries no valid home tag.
    HomeTagMissing,
    /// The target's or the home's answer is lost, or later than the deadline.
    AnswerLost,
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
        })
    }
}
