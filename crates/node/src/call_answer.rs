//! Answers that end a call: a runner's, or one of the node itself.

use base::prelude::*;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use platform::copy_reply_headers;
use serde_json::json;
use serving::{AttemptTracker, FinalStatus};
use web::{WebResponse, full_body, json_reply};

use crate::call::Call;
use crate::call_log::{RequestOutcome, RequestSummary, log_end};
use crate::context::NodeContext;

/// Reason of a failure because no runner of the service is reached, and no other node takes the call.
pub const RUNNERS_UNREACHED: &str = "runners_unreached";

/// Marks the response to a request that failed with [`RUNNERS_UNREACHED`].
#[derive(Debug, Clone, Copy)]
pub struct Unreached;

/// Why no runner answered a request.
#[derive(Debug, Clone, Copy)]
pub struct CallFailure {
    /// Reason, sent to the caller and logged.
    pub reason: &'static str,
    /// Time after which the caller may retry, if the request did not run.
    pub retry_after: TimeSpan,
}

/// An error answer that the node gives itself.
#[derive(Debug, Clone, Copy)]
pub struct CallRejection {
    /// HTTP status.
    pub status: StatusCode,
    /// Reason, sent to the caller and logged.
    pub reason: &'static str,
    /// Value of the `Retry-After` header, if any.
    pub retry_after: Option<TimeSpan>,
}

impl CallRejection {
    /// An answer without a time to come back.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn reply(self) -> WebResponse {
        let body = json!({ "error": self.reason });
        let mut response = json_reply(self.status, &body);
        if let Some(span) = self.retry_after {
            let text = format!("{:.3}", span.as_seconds());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Forwards a runner's complete answer unchanged.
pub fn forward_answer(context: &NodeContext, call: &Call, answer: &Response<Bytes>) -> WebResponse {
    let status = answer.status();
    log_end(
        context,
        call,
        RequestSummary { outcome: RequestOutcome::Answered, reason: "", status: status.as_u16() },
    );
    let mut response = Response::new(full_body(answer.body().clone()));
    *response.status_mut() = status;
    *response.headers_mut() = copy_reply_headers(answer.headers());
    response
}

/// Builds the answer to a request that failed: the last server error of a runner if there
/// is one, otherwise a rejection whose status tells whether the request may have run.
pub fn fail_call(
    context: &NodeContext,
    call: &Call,
    tracker: &AttemptTracker,
    error_answer: Option<Response<Bytes>>,
    failure: CallFailure,
) -> WebResponse {
    if let Some(answer) = error_answer {
        return forward_answer(context, call, &answer);
    }
    let (outcome, status) = match tracker.final_status() {
        FinalStatus::NotRun => (RequestOutcome::NotRun, StatusCode::SERVICE_UNAVAILABLE),
        FinalStatus::Unknown if call.deadline <= context.now() => {
            (RequestOutcome::Unknown, StatusCode::GATEWAY_TIMEOUT)
        }
        FinalStatus::Unknown => (RequestOutcome::Unknown, StatusCode::BAD_GATEWAY),
    };
    let reason = failure.reason;
    log_end(context, call, RequestSummary { outcome, reason, status: status.as_u16() });
    let retry_after =
        (tracker.final_status() == FinalStatus::NotRun).then_some(failure.retry_after);
    let mut response = CallRejection { status, reason, retry_after }.reply();
    if reason == RUNNERS_UNREACHED {
        response.extensions_mut().insert(Unreached);
    }
    response
}
