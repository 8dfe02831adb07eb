//! A caller, as tests need one: raw requests, and streams that can be cut.

use std::net::SocketAddr;

use base::TimeSpan;
use hyper::Request;
use serde_json::{Value, json};
use web::{SseEvent, SseReader, full_body, read_bounded, send_once};

use crate::Result;

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Time for one exchange.
const EXCHANGE_TIME: TimeSpan = TimeSpan::seconds(30);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// The `Retry-After` header.
    pub retry_after: Option<String>,
    /// The body as JSON; null if it is none.
    pub body: Value,
}

impl CallAnswer {
    /// The outcome that an error answer names; `done` for others.
    #[must_use]
    pub fn outcome(&self) -> String {
        match self.body["error"]["outcome"].as_str() {
            Some(outcome) => outcome.to_owned(),
            None if self.status < 400 => "done".to_owned(),
            None => format!("status {}", self.status),
        }
    }
}

/// Someone who calls with the key of one workspace.
#[derive(Debug, Clone)]
pub struct TestCaller {
    key: String,
}

impl TestCaller {
    /// A caller with this key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self { key: key.to_owned() }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// If the exchange fails.
    pub async fn send(
        &self,
        peer: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<CallAnswer> {
        let response = self.exchange(peer, method, path, headers, body).await?;
        let status = response.status().as_u16();
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let bytes = read_bounded("answer", response.into_body(), MAX_ANSWER_BYTES).await?;
        let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok(CallAnswer { status, retry_after, body })
    }

    /// Looks up addresses and a home tag.
    ///
    /// # Errors
    /// If the exchange fails.
    pub async fn lookup(&self, peer: SocketAddr) -> Result<CallAnswer> {
        self.send(peer, "GET", "/v1/addresses", &[], "").await
    }

    /// A home tag from `peer`; empty if it gives none.
    ///
    /// # Errors
    /// If the exchange fails.
    pub async fn home_tag(&self, peer: SocketAddr) -> Result<String> {
        let answer = self.lookup(peer).await?;
        Ok(answer.body["home_tag"].as_str().unwrap_or_default().to_owned())
    }

    /// Books under `key`.
    ///
    /// # Errors
    /// If the exchange fails: the caller then knows nothing.
    pub async fn book(
        &self,
        peer: SocketAddr,
        service: &str,
        key: &str,
        tag: &str,
        deadline_ms: u64,
    ) -> Result<CallAnswer> {
        let deadline = deadline_ms.to_string();
        let headers = [
            ("idempotency-key", key),
            ("x-yard-home", tag),
            ("x-yard-deadline-ms", deadline.as_str()),
        ];
        let path = format!("/v1/services/{service}/bookings");
        self.send(peer, "POST", &path, &headers, r#"{"pair":1}"#).await
    }

    /// Asks for a whole generation of `tokens` tokens.
    ///
    /// # Errors
    /// If the exchange fails.
    pub async fn complete(
        &self,
        peer: SocketAddr,
        model: &str,
        prompt: &str,
        deadline_ms: u64,
    ) -> Result<CallAnswer> {
        let body = completion_body(model, prompt, false, deadline_ms);
        self.send(peer, "POST", "/v1/completions", &[], &body).await
    }

    /// Asks for a streamed generation.
    ///
    /// # Errors
    /// If the exchange fails.
    pub async fn stream(
        &self,
        peer: SocketAddr,
        model: &str,
        prompt: &str,
        deadline_ms: u64,
    ) -> Result<TokenStream> {
        let body = completion_body(model, prompt, true, deadline_ms);
        let response = self.exchange(peer, "POST", "/v1/completions", &[], &body).await?;
        TokenStream::open(response).await
    }

    /// Resumes a stream after `cursor`.
    ///
    /// # Errors
    /// If the exchange fails.
    pub async fn resume(&self, peer: SocketAddr, cursor: &str) -> Result<TokenStream> {
        let headers = [("last-event-id", cursor)];
        let path = "/v1/completions/resume";
        let response = self.exchange(peer, "GET", path, &headers, "").await?;
        TokenStream::open(response).await
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<hyper::Response<hyper::body::Incoming>> {
        let mut builder = Request::builder().method(method).uri(path);
        builder = builder.header("authorization", format!("Bearer {}", self.key));
        if !body.is_empty() {
            builder = builder.header("content-type", "application/json");
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(full_body(body.to_owned()))
            .map_err(|source| web::WebError::Request { step: "test call", source })?;
        Ok(send_once(peer, request, EXCHANGE_TIME, EXCHANGE_TIME).await?)
    }
}

fn completion_body(model: &str, prompt: &str, stream: bool, deadline_ms: u64) -> String {
    json!({
        "model": model,
        "prompt": prompt,
        "max_tokens": 100_000,
        "stream": stream,
        "deadline_ms": deadline_ms,
    })
    .to_string()
}

/// A stream of tokens, read event by event; dropping it cuts the connection.
pub struct TokenStream {
    /// HTTP status.
    pub status: u16,
    /// The tokens read so far, in the order in which they came.
    pub tokens: Vec<(u64, String)>,
    /// Id of the last event.
    pub cursor: String,
    /// The error that ended the stream, if any.
    pub error: Option<Value>,
    /// Whether the stream ended with its end mark.
    pub done: bool,
    reader: Option<SseReader>,
}

impl TokenStream {
    /// Takes a response over; the error of one that is no stream is read now.
    async fn open(response: hyper::Response<hyper::body::Incoming>) -> Result<Self> {
        let status = response.status().as_u16();
        let mut stream = Self {
            status,
            tokens: Vec::new(),
            cursor: String::new(),
            error: None,
            done: false,
            reader: None,
        };
        if status == 200 {
            stream.reader = Some(SseReader::new(response.into_body()));
        } else {
            let bytes = read_bounded("answer", response.into_body(), MAX_ANSWER_BYTES).await?;
            let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            stream.error = Some(body["error"].clone());
        }
        Ok(stream)
    }

    /// Reads one event; false once the stream is over.
    ///
    /// # Errors
    /// If the connection breaks in the middle.
    pub async fn read(&mut self) -> Result<bool> {
        let Some(reader) = &mut self.reader else { return Ok(false) };
        let Some(event) = reader.next().await? else { return Ok(false) };
        self.take(&event);
        Ok(!self.done && self.error.is_none())
    }

    /// Reads until `count` tokens are there or the stream is over.
    ///
    /// # Errors
    /// If the connection breaks in the middle.
    pub async fn read_tokens(&mut self, count: usize) -> Result<()> {
        while self.tokens.len() < count && self.read().await? {}
        Ok(())
    }

    /// Reads to the end of the stream.
    ///
    /// # Errors
    /// If the connection breaks in the middle.
    pub async fn read_all(&mut self) -> Result<()> {
        while self.read().await? {}
        Ok(())
    }

    fn take(&mut self, event: &SseEvent) {
        if event.data == "[DONE]" {
            self.done = true;
            return;
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or(Value::Null);
        if event.event == "error" {
            self.error = Some(data["error"].clone());
            return;
        }
        if let Some(id) = &event.id {
            self.cursor.clone_from(id);
        }
        let token = data["token"].as_str().unwrap_or_default().to_owned();
        self.tokens.push((data["index"].as_u64().unwrap_or(u64::MAX), token));
    }
}
