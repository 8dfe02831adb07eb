//! Server-sent events (WHATWG HTML, section 9.2): encoding and incremental parsing.

use std::fmt::Write as _;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};

use crate::{Result, WebError};

/// Maximum size of an event that a reader accepts, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SseEvent {
    /// The event's id, if any.
    pub id: Option<String>,
    /// The event's type; empty for the default type, `message`.
    pub event: String,
    /// The event's data. Multiple data lines are joined without line breaks.
    pub data: String,
}

impl SseEvent {
    /// Creates an event of the default type.
    #[must_use]
    pub fn new(id: Option<String>, data: String) -> Self {
        Self { id, event: String::new(), data }
    }

    /// Encodes the event in the wire format.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut text = String::with_capacity(self.data.len() + 64);
        if let Some(id) = &self.id {
            let _ = writeln!(text, "id: {id}");
        }
        if !self.event.is_empty() {
            let _ = writeln!(text, "event: {}", self.event);
        }
        let _ = write!(text, "data: {}\n\n", self.data);
        Bytes::from(text)
    }
}

/// Reads events from a response's body.
pub struct SseReader {
    body: Incoming,
    buffer: Vec<u8>,
    ended: bool,
}

impl SseReader {
    /// Creates a reader of `body`.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self { body, buffer: Vec::new(), ended: false }
    }

    /// Returns the next complete event, or `None` at the end of the body. Blocks without a data
    /// line are skipped.
    ///
    /// # Errors
    /// [`WebError::Body`] if the body cannot be read to its end, [`WebError::TooLong`] for an
    /// event over 1 MiB.
    pub async fn next(&mut self) -> Result<Option<SseEvent>> {
        loop {
            if let Some(end) = find_blank_line(&self.buffer) {
                let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
                if let Some(event) = parse_block(&block) {
                    return Ok(Some(event));
                }
                continue;
            }
            if self.ended {
                return Ok(None);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(WebError::TooLong { step: "event", limit: MAX_EVENT_BYTES });
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        self.buffer.extend_from_slice(&chunk);
                    }
                }
                Some(Err(source)) => return Err(WebError::Body { step: "event", source }),
                None => self.ended = true,
            }
        }
    }
}

fn find_blank_line(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n")
}

fn parse_block(block: &[u8]) -> Option<SseEvent> {
    let text = String::from_utf8_lossy(block);
    let mut event = SseEvent::default();
    let mut has_data = false;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = Some(value.to_owned()),
            "event" => value.clone_into(&mut event.event),
            "data" => {
                event.data.push_str(value);
                has_data = true;
            }
            _ => (),
        }
    }
    has_data.then_some(event)
}
