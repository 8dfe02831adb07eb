//! Builders for JSON, plain text and error responses.

use base::{CallOutcome, RefusalReason, TimeSpan};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;

use crate::{WebResponse, full_body};

/// Builds a JSON response.
///
/// # Panics
/// If `value` cannot be encoded as JSON, such as a map whose keys are not strings.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> WebResponse {
    let bytes = serde_json::to_vec(value).expect("a reply value must be encodable as JSON");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}

/// Builds a plain text response, without a content type.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> WebResponse {
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    response
}

/// Builds a JSON error response. `retry_after` also sets the `Retry-After` header, rounded up
/// to whole seconds and at least 1.
pub fn refusal_reply(
    status: StatusCode,
    outcome: CallOutcome,
    reason: RefusalReason,
    message: &str,
    retry_after: Option<TimeSpan>,
) -> WebResponse {
    let body = json!({ "error": {
        "outcome": outcome,
        "reason": reason,
        "message": message,
        "retry_after_ms": retry_after.map(TimeSpan::as_millis),
    }});
    let mut response = json_reply(status, &body);
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}
