//! Answers and request bodies of the stand-ins.

use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use web::{WebRequest, WebResponse, json_reply, read_bounded};

/// Longest request body that a stand-in reads, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;

pub(crate) fn ok_reply(value: &impl Serialize) -> WebResponse {
    json_reply(StatusCode::OK, value)
}

pub(crate) fn error_reply(status: StatusCode, message: &str) -> WebResponse {
    json_reply(status, &json!({ "error": message }))
}

pub(crate) fn no_route(method: &Method, path: &str) -> WebResponse {
    error_reply(StatusCode::NOT_FOUND, &format!("no route for {method} {path}"))
}

/// The whole body, or the answer that refuses it.
pub(crate) async fn read_body(request: WebRequest) -> std::result::Result<Bytes, WebResponse> {
    read_bounded("request body", request.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|error| error_reply(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// The body as JSON, or the answer that refuses it.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: WebRequest,
) -> std::result::Result<T, WebResponse> {
    let bytes = read_body(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| error_reply(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// The value of a query parameter; `None` if it is missing or not of type `T`.
pub(crate) fn query_value<T: std::str::FromStr>(query: &str, name: &str) -> Option<T> {
    let pair = query.split('&').filter_map(|pair| pair.split_once('='));
    pair.into_iter().find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
}

/// Answers a `POST /fault`: reads the fault and has it set.
pub(crate) async fn take_fault<T: DeserializeOwned>(
    request: WebRequest,
    set: impl FnOnce(T),
) -> WebResponse {
    match read_json(request).await {
        Ok(fault) => {
            set(fault);
            ok_reply(&json!({}))
        }
        Err(refusal) => refusal,
    }
}
