//! One exchange through the callers' interface.

use std::net::SocketAddr;

use base::TimeSpan;
use compio::time::timeout;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};
use web::{SseReader, WebError, full_body, read_bounded, send_once};

use crate::traffic::CallError;

/// Time for a connection.
const CONNECT_LIMIT: TimeSpan = TimeSpan::seconds(1);
/// Longest whole answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The body of an answer that is no error.
pub enum ReplyBody {
    /// A whole answer.
    Whole(Bytes),
    /// Server-sent events.
    Events(SseReader),
}

/// An answer that is no error.
pub struct CallReply {
    /// Its body.
    pub body: ReplyBody,
}

impl CallReply {
    /// Sends one request once; `limit` bounds the wait for the head, and for a whole body.
    pub async fn send(
        peer: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
        limit: TimeSpan,
    ) -> Result<Self, CallError> {
        let mut builder = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .header(CONTENT_TYPE, "application/json")
            .body(full_body(body))
            .map_err(|source| CallError::from(&WebError::Request { step: "call", source }))?;
        let response = send_once(peer, request, CONNECT_LIMIT, limit)
            .await
            .map_err(|error| CallError::from(&error))?;
        let status = response.status();
        let content = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let streamed = content.is_some_and(|content| content.starts_with("text/event-stream"));
        if status.is_success() && streamed {
            return Ok(Self { body: ReplyBody::Events(SseReader::new(response.into_body())) });
        }
        let reading = read_bounded("answer", response.into_body(), MAX_ANSWER_BYTES);
        let bytes = timeout(limit.into(), reading)
            .await
            .map_err(|_| CallError::NoAnswer)?
            .map_err(|error| CallError::from(&error))?;
        if status.is_success() {
            return Ok(Self { body: ReplyBody::Whole(bytes) });
        }
        Err(CallError::parse(&bytes))
    }

    /// The whole body.
    pub fn whole(self) -> Result<Bytes, CallError> {
        match self.body {
            ReplyBody::Whole(bytes) => Ok(bytes),
            ReplyBody::Events(_) => Err(CallError::Malformed("events in place of JSON".to_owned())),
        }
    }

    /// The events.
    pub fn events(self) -> Result<SseReader, CallError> {
        match self.body {
            ReplyBody::Events(reader) => Ok(reader),
            ReplyBody::Whole(_) => Err(CallError::Malformed("JSON in place of events".to_owned())),
        }
    }
}
