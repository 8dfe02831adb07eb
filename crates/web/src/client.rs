//! A client that sends each request at most once, on a connection of its own.
//!
//! A pooling client may resend a request by itself when a reused connection turns out to be
//! closed, which is not allowed for calls that must not be repeated.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use base::TimeSpan;
use compio::net::TcpStream;
use compio::runtime::{JoinHandle, spawn};
use compio::time::timeout;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{WebBody, full_body};
use crate::metered_read::{MAX_IDLE_READ_BYTES, ReadMeter};
use crate::read_budget::ReadFault;
use crate::read_ledger::ReadPart;
use crate::reply_body::ReplyBody;
use crate::reply_reader::{read_steadily, read_whole};
use crate::socket_stream::socket_stream;
use crate::{Result, WebError};

/// Maximum size of a response body that [`fetch`] accepts, in bytes.
pub const MAX_FETCH_BYTES: usize = 64 << 20;
/// Limit of a head whose whole exchange has a shorter one.
const HEAD_LIMIT: TimeSpan = TimeSpan::seconds(3_600);
/// Maximum length of the part of an error body that is kept, in characters.
const MAX_ERROR_TEXT_CHARS: usize = 300;

/// Connects within `connect_timeout`, sends `request` once, and returns when the response's
/// head has arrived, within `head_timeout` after that. The body is not yet read; what its reader
/// keeps of it is charged to nothing.
///
/// # Errors
/// If [`WebError::send_fault`] of the error is `NotSent`, no byte was written.
pub async fn send_once(
    peer: SocketAddr,
    request: Request<WebBody>,
    connect_timeout: TimeSpan,
    head_timeout: TimeSpan,
) -> Result<Response<Incoming>> {
    let exchange = open_exchange(peer, request, connect_timeout, head_timeout).await?;
    exchange.connection.detach();
    Ok(exchange.response.map(ReplyBody::into_unbounded))
}

/// A response and its connection, which closes when this is dropped.
pub struct WebExchange {
    /// The response; its body may not have arrived yet.
    pub response: Response<ReplyBody>,
    /// The task that drives the connection.
    pub connection: ConnectionTask,
}

/// The task that drives a connection. Dropping it closes the connection.
pub struct ConnectionTask {
    task: JoinHandle<()>,
}

impl ConnectionTask {
    /// Keeps the connection open until its exchange ends.
    pub fn detach(self) {
        self.task.detach();
    }
}

/// Like [`send_once`], but the caller can end the exchange by closing its connection.
///
/// # Errors
/// Same as [`send_once`].
pub async fn open_exchange(
    peer: SocketAddr,
    request: Request<WebBody>,
    connect_timeout: TimeSpan,
    head_timeout: TimeSpan,
) -> Result<WebExchange> {
    let connection = WebConnection::open(peer, connect_timeout).await?;
    connection.send(request, head_timeout).await
}

/// Like [`open_exchange`], for state that this process works by: its bytes may also take the reserve of
/// the budget.
///
/// # Errors
/// Same as [`send_once`].
pub async fn open_state_exchange(
    peer: SocketAddr,
    request: Request<WebBody>,
    connect_timeout: TimeSpan,
    head_timeout: TimeSpan,
) -> Result<WebExchange> {
    let connection = WebConnection::open(peer, connect_timeout).await?;
    send_on(connection.stream, peer, request, head_timeout, ReadPart::State).await
}

/// A connection on which nothing has been sent.
pub struct WebConnection {
    peer: SocketAddr,
    stream: TcpStream,
}

impl WebConnection {
    /// Connects within `connect_timeout`.
    ///
    /// # Errors
    /// [`WebError::Connect`] and [`WebError::ConnectDeadline`].
    pub async fn open(peer: SocketAddr, connect_timeout: TimeSpan) -> Result<Self> {
        let stream = timeout(connect_timeout.into(), TcpStream::connect(peer))
            .await
            .map_err(|_| WebError::ConnectDeadline { peer })?
            .map_err(|source| WebError::Connect { peer, source })?;
        // Disables Nagle's algorithm: small writes must not wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        Ok(Self { peer, stream })
    }

    /// Sends `request` and returns when the response's head has arrived, within `head_timeout`.
    ///
    /// # Errors
    /// Same as [`send_once`], except those of connecting.
    pub async fn send(
        self,
        request: Request<WebBody>,
        head_timeout: TimeSpan,
    ) -> Result<WebExchange> {
        send_on(self.stream, self.peer, request, head_timeout, ReadPart::Call).await
    }
}

/// Statuses that an answer can have. A peer that sends another one may have followed the request; nothing more is
/// read from its connection.
const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;

async fn send_on(
    stream: TcpStream,
    peer: SocketAddr,
    mut request: Request<WebBody>,
    head_timeout: TimeSpan,
    part: ReadPart,
) -> Result<WebExchange> {
    if !request.headers().contains_key(HOST) {
        let host = HeaderValue::from_str(&peer.to_string())
            .map_err(|source| WebError::Request { step: "host header", source: source.into() })?;
        request.headers_mut().insert(HOST, host);
    }
    let meter = ReadMeter::new(part, peer);
    let stream = socket_stream(stream, Some(meter.clone()))
        .map_err(|source| WebError::Connect { peer, source })?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream)
        .await
        .map_err(|source| WebError::Exchange { step: "handshake", peer, source })?;
    let task = spawn(async move {
        // An error in mid-body is also reported to the reader of the body.
        let _ = connection.await;
    });
    let connection = ConnectionTask { task };
    let response = timeout(head_timeout.into(), sender.send_request(request))
        .await
        .map_err(|_| WebError::Deadline { step: "request", peer })?
        .map_err(|source| read_error(&meter, "request", source))?;
    meter.end_head();
    let status = response.status();
    if !ANSWER_STATUSES.contains(&status.as_u16()) {
        return Err(WebError::OddStatus { step: "request", peer, status });
    }
    let response = response.map(|body| ReplyBody::new(body, meter));
    Ok(WebExchange { response, connection })
}

/// The error of an exchange whose head did not arrive.
fn read_error(meter: &ReadMeter, step: &'static str, source: hyper::Error) -> WebError {
    match meter.fault() {
        Some(ReadFault::MemoryFull) => WebError::MemoryFull { step },
        Some(ReadFault::TooLong) => WebError::TooLong { step, limit: MAX_IDLE_READ_BYTES },
        Some(ReadFault::TooManyInterim) => WebError::TooManyInterim { step },
        None => WebError::Exchange { step, peer: meter.peer(), source },
    }
}

/// Time that an exchange may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchLimit {
    /// For the whole exchange.
    Whole(TimeSpan),
    /// For a response of unknown size: a limit on the whole would discard what has arrived, and
    /// the next try would begin anew.
    Steady {
        /// Until the head of the response.
        head: TimeSpan,
        /// Between two parts of its body.
        stall: TimeSpan,
    },
}

/// A complete response.
#[derive(Debug)]
pub struct WebAnswer {
    /// Status; may be that of an error.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub bytes: Bytes,
}

impl WebAnswer {
    /// The body, unless the status is that of an error.
    ///
    /// # Errors
    /// [`WebError::Status`] for statuses from 400.
    pub fn check_status(self, step: &'static str, peer: SocketAddr) -> Result<Bytes> {
        let status = self.status.as_u16();
        if status < 400 {
            return Ok(self.bytes);
        }
        let text =
            String::from_utf8_lossy(&self.bytes).chars().take(MAX_ERROR_TEXT_CHARS).collect();
        Err(WebError::Status { step, peer, status, text })
    }
}

/// Sends one request with an optional JSON body and reads the complete response within
/// `limit`.
///
/// # Errors
/// [`WebError::Status`] for statuses from 400, and all errors of [`fetch_answer`].
pub async fn fetch(
    step: &'static str,
    method: Method,
    peer: SocketAddr,
    path: &str,
    body: Bytes,
    limit: TimeSpan,
) -> Result<Bytes> {
    let limit = FetchLimit::Whole(limit);
    let answer = fetch_answer(step, method, peer, path, body, limit, MAX_FETCH_BYTES).await?;
    answer.check_status(step, peer)
}

/// Like [`fetch`], but returns the head too, also that of an error status, and accepts a body of
/// at most `max_bytes`. A response that is read steadily counts as state of this process.
///
/// # Errors
/// [`WebError::TooLong`], [`WebError::MemoryFull`] and [`WebError::Body`] for the body, and all
/// errors of [`send_once`].
pub async fn fetch_answer(
    step: &'static str,
    method: Method,
    peer: SocketAddr,
    path: &str,
    body: Bytes,
    limit: FetchLimit,
    max_bytes: usize,
) -> Result<WebAnswer> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(body))
        .map_err(|source| WebError::Request { step, source })?;
    let (FetchLimit::Whole(until_head) | FetchLimit::Steady { head: until_head, .. }) = limit;
    let exchange = async {
        let exchange = match limit {
            // The whole exchange has a limit, in the time of the process.
            FetchLimit::Whole(_) => open_exchange(peer, request, until_head, HEAD_LIMIT).await?,
            FetchLimit::Steady { .. } => {
                open_state_exchange(peer, request, until_head, until_head).await?
            }
        };
        let (head, body) = exchange.response.into_parts();
        let bytes = match limit {
            FetchLimit::Whole(_) => read_whole(step, body, max_bytes).await?,
            FetchLimit::Steady { stall, .. } => read_steadily(step, body, max_bytes, stall).await?,
        };
        Ok(WebAnswer { status: head.status, headers: head.headers, bytes })
    };
    match limit {
        FetchLimit::Steady { .. } => exchange.await,
        FetchLimit::Whole(whole) => {
            let outcome = kernel::own_timeout(whole, exchange).await;
            outcome.ok_or(WebError::Deadline { step, peer })?
        }
    }
}

/// Gets a JSON document.
///
/// # Errors
/// Those of [`fetch`], and [`WebError::Json`].
pub async fn fetch_json<T: DeserializeOwned>(
    step: &'static str,
    peer: SocketAddr,
    path: &str,
    limit: TimeSpan,
) -> Result<T> {
    let bytes = fetch(step, Method::GET, peer, path, Bytes::new(), limit).await?;
    serde_json::from_slice(&bytes).map_err(|source| WebError::Json { step, source })
}

/// Posts a JSON document and reads a JSON response.
///
/// # Errors
/// Those of [`fetch`], and [`WebError::Json`].
pub async fn post_json<T: DeserializeOwned>(
    step: &'static str,
    peer: SocketAddr,
    path: &str,
    body: &impl Serialize,
    limit: TimeSpan,
) -> Result<T> {
    let body = serde_json::to_vec(body).map_err(|source| WebError::Json { step, source })?;
    let bytes = fetch(step, Method::POST, peer, path, body.into(), limit).await?;
    serde_json::from_slice(&bytes).map_err(|source| WebError::Json { step, source })
}
