//! Answers in the shapes that callers see.

use base::{CallOutcome, RefusalReason, TimeSpan};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;

use crate::{WebResponse, full_body};

/// A JSON answer.
///
/// # Panics
/// If `value` has no JSON form, such as a map with keys that are not text.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> WebResponse {
    let bytes = serde_json::to_vec(value).expect("values of replies have a JSON form");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}

/// A plain text answer.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> WebResponse {
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    response
}

/// An error answer with its outcome, and with when to come back where that helps.
pub fn refusal_reply(
    status: StatusCode,
    outcome: CallOutcome,
    reason: RefusalReason,
    message: &str,
    come_back: Option<TimeSpan>,
) -> WebResponse {
    let body = json!({ "error": {
        "outcome": outcome,
        "reason": reason,
        "message": message,
        "retry_after_ms": come_back.map(TimeSpan::as_millis),
    }});
    let mut response = json_reply(status, &body);
    if let Some(span) = come_back {
        let seconds = span.as_millis().div_ceil(1_000).max(1);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}
