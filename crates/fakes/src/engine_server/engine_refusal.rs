//! Why an engine's call was not run.

use hyper::StatusCode;
use serde_json::json;
use thiserror::Error;
use web::{WebResponse, json_reply};

use crate::engine::AdmitError;
use crate::reply::error_reply;

/// A call that had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineRefusal {
    /// The body is not JSON of the expected shape.
    #[error("the request is malformed: {0}")]
    Malformed(String),
    /// The prefix was not made by this kind of engine.
    #[error("the prefix is not of this engine's tokens")]
    ForeignPrefix,
    /// A resume asks for tokens that do not exist yet.
    #[error("from is past the newest token")]
    PastNewest,
    /// The model is not loaded.
    #[error("the model is not loaded")]
    ModelMissing,
    /// The attempt is not known.
    #[error("no such generation")]
    Unknown,
    /// The waiting queue is full.
    #[error("the queue is full")]
    QueueFull,
    /// The order's fencing number is below the highest accepted one.
    #[error("the fencing number is old")]
    OldFence,
    /// The step function did not take the request.
    #[error("{0}")]
    Admit(#[from] AdmitError),
}

/// Result of an engine's call.
pub type Result<T> = std::result::Result<T, EngineRefusal>;

impl EngineRefusal {
    /// The answer that says so.
    pub fn reply(&self) -> WebResponse {
        if matches!(self, Self::Admit(AdmitError::Leaving | AdmitError::Killed)) {
            let body = json!({ "error": self.to_string(), "leaving": true });
            return json_reply(StatusCode::SERVICE_UNAVAILABLE, &body);
        }
        error_reply(self.status(), &self.to_string())
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::ForeignPrefix | Self::PastNewest => StatusCode::BAD_REQUEST,
            Self::ModelMissing | Self::Unknown => StatusCode::NOT_FOUND,
            Self::QueueFull => StatusCode::TOO_MANY_REQUESTS,
            Self::OldFence | Self::Admit(AdmitError::Duplicate) => StatusCode::CONFLICT,
            Self::Admit(AdmitError::TooLong) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Admit(AdmitError::Leaving | AdmitError::Killed) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}
