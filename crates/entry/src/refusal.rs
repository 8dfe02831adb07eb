//! A call that is answered with an error.

use base::prelude::*;
use hyper::StatusCode;
use web::{WebResponse, refusal_reply};

/// When to come back while the process is not ready.
const NOT_READY_COME_BACK: TimeSpan = TimeSpan::seconds(1);

/// An error answer, before it is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRefusal {
    /// HTTP status.
    pub status: StatusCode,
    /// What became of the call.
    pub outcome: CallOutcome,
    /// Why.
    pub reason: RefusalReason,
    /// For people.
    pub message: String,
    /// When to come back, if that helps.
    pub come_back: Option<TimeSpan>,
}

impl CallRefusal {
    /// A call that was not run.
    pub fn not_run(status: StatusCode, reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            status,
            outcome: CallOutcome::NotRun,
            reason,
            message: message.into(),
            come_back: None,
        }
    }

    /// A malformed request.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, RefusalReason::BadRequest, message)
    }

    /// A caller that is not known.
    pub fn unauthorized(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::UNAUTHORIZED, RefusalReason::Unauthorized, message)
    }

    /// A service, model or path that does not exist for this caller.
    pub fn not_found(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, RefusalReason::NotFound, message)
    }

    /// No configuration yet.
    pub fn not_ready() -> Self {
        let message = "no configuration is in force yet";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, RefusalReason::NotReady, message)
            .come_back(NOT_READY_COME_BACK)
    }

    /// A call whose effect is not known; it is not sent again.
    pub fn unknown(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            outcome: CallOutcome::Unknown,
            ..Self::not_run(StatusCode::BAD_GATEWAY, reason, message)
        }
    }

    /// A refusal by the desk.
    pub fn by_desk(reason: RefusalReason, come_back: TimeSpan) -> Self {
        let status = match reason {
            RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self::not_run(status, reason, "no runner can take the call now").come_back(come_back)
    }

    /// A refusal before the home was asked: if the request names a booking, an earlier
    /// attempt may have run, so that *not run* can't be said.
    #[must_use]
    pub fn of_booking(mut self, may_have_run: bool) -> Self {
        if may_have_run && self.outcome == CallOutcome::NotRun {
            self.outcome = CallOutcome::Unknown;
        }
        self
    }

    /// Says when to come back.
    #[must_use]
    pub fn come_back(mut self, span: TimeSpan) -> Self {
        self.come_back = Some(span);
        self
    }

    /// The answer as it is written.
    #[must_use]
    pub fn reply(&self) -> WebResponse {
        refusal_reply(self.status, self.outcome, self.reason, &self.message, self.come_back)
    }
}
