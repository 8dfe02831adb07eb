//! A try that brought no answer, or an error.

use base::prelude::*;
use serde::Deserialize;
use web::{SendFault, WebError};

/// Body of an error answer.
#[derive(Debug, Clone, Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Clone, Deserialize)]
struct ErrorDetail {
    outcome: CallOutcome,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// Why a try did not end as done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No byte was written.
    NotSent,
    /// No answer came, or it was cut.
    NoAnswer,
    /// The system answered with an error.
    Answered {
        /// What became of the call.
        outcome: CallOutcome,
        /// Why.
        reason: String,
        /// When to come back.
        come_back: Option<TimeSpan>,
    },
    /// The answer is of no documented shape.
    Malformed(String),
}

impl From<&WebError> for CallError {
    fn from(error: &WebError) -> Self {
        match error.send_fault() {
            SendFault::NotSent => Self::NotSent,
            SendFault::MaybeSent => Self::NoAnswer,
        }
    }
}

impl CallError {
    /// Reads an error answer.
    pub fn parse(bytes: &[u8]) -> Self {
        match serde_json::from_slice::<ErrorBody>(bytes) {
            Ok(ErrorBody { error }) => Self::Answered {
                outcome: error.outcome,
                reason: error.reason,
                come_back: error.retry_after_ms.map(TimeSpan::millis),
            },
            Err(_) => Self::Malformed(String::from_utf8_lossy(bytes).chars().take(200).collect()),
        }
    }
}
