//! A client that sends each request at most once, on a connection of its own.
//!
//! A pooling client may resend a request by itself when a reused connection turns out to be
//! closed, which is not allowed for calls that must not be repeated.

use std::net::SocketAddr;

use base::TimeSpan;
use compio::net::TcpStream;
use compio::runtime::{JoinHandle, spawn};
use compio::time::timeout;
use cyper_core::HyperStream;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{WebBody, full_body, read_bounded};
use crate::{Result, WebError};

/// Maximum size of a response body that [`fetch`] accepts, in bytes.
const MAX_FETCH_BYTES: usize = 64 << 20;
/// Maximum length of the part of an error body that is kept, in characters.
const MAX_ERROR_TEXT_CHARS: usize = 300;

/// Connects within `connect_timeout`, sends `request` once, and returns when the response's
/// head has arrived, within `head_timeout` after that. The body is not yet read.
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
    Ok(exchange.response)
}

/// A response and its connection, which closes when this is dropped.
pub struct WebExchange {
    /// The response; its body may not have arrived yet.
    pub response: Response<Incoming>,
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
    PeerConnection::open(peer, connect_timeout).await?.send(request, head_timeout).await
}

/// An open connection on which nothing has been sent.
pub struct PeerConnection {
    peer: SocketAddr,
    stream: TcpStream,
}

impl PeerConnection {
    /// Connects within `limit`.
    ///
    /// # Errors
    /// [`WebError::ConnectDeadline`] and [`WebError::Connect`].
    pub async fn open(peer: SocketAddr, limit: TimeSpan) -> Result<Self> {
        let stream = timeout(limit.into(), TcpStream::connect(peer))
            .await
            .map_err(|_| WebError::ConnectDeadline { peer })?
            .map_err(|source| WebError::Connect { peer, source })?;
        // Disables Nagle's algorithm: small writes must not wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        Ok(Self { peer, stream })
    }

    /// Sends `request` and returns when the response's head has arrived, within
    /// `head_timeout`.
    ///
    /// # Errors
    /// If [`WebError::send_fault`] of the error is `NotSent`, no byte was written.
    pub async fn send(
        self,
        mut request: Request<WebBody>,
        head_timeout: TimeSpan,
    ) -> Result<WebExchange> {
        let Self { peer, stream } = self;
        if !request.headers().contains_key(HOST) {
            let host = HeaderValue::from_str(&peer.to_string()).map_err(|source| {
                WebError::Request { step: "host header", source: source.into() }
            })?;
            request.headers_mut().insert(HOST, host);
        }
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(HyperStream::new_plain(stream))
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
            .map_err(|source| WebError::Exchange { step: "request", peer, source })?;
        Ok(WebExchange { response, connection })
    }
}

/// Sends one request with an optional JSON body and reads the complete response within
/// `limit`.
///
/// # Errors
/// [`WebError::Status`] for statuses from 400, and all errors of [`fetch_reply`].
pub async fn fetch(
    step: &'static str,
    method: Method,
    peer: SocketAddr,
    path: &str,
    body: Bytes,
    limit: TimeSpan,
) -> Result<Bytes> {
    let reply = fetch_reply(step, method, peer, path, body, limit).await?;
    check_status(step, peer, reply)
}

/// Returns the body of a response.
///
/// # Errors
/// [`WebError::Status`] for statuses from 400.
pub fn check_status(step: &'static str, peer: SocketAddr, reply: Response<Bytes>) -> Result<Bytes> {
    let status = reply.status().as_u16();
    let bytes = reply.into_body();
    if status >= 400 {
        let text = String::from_utf8_lossy(&bytes).chars().take(MAX_ERROR_TEXT_CHARS).collect();
        return Err(WebError::Status { step, peer, status, text });
    }
    Ok(bytes)
}

/// Like [`fetch`], but returns the response with its headers, whatever its status is.
///
/// # Errors
/// [`WebError::TooLong`] and [`WebError::Body`] for the body, and all errors of
/// [`send_once`].
pub async fn fetch_reply(
    step: &'static str,
    method: Method,
    peer: SocketAddr,
    path: &str,
    body: Bytes,
    limit: TimeSpan,
) -> Result<Response<Bytes>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(body))
        .map_err(|source| WebError::Request { step, source })?;
    let exchange = async {
        let response = send_once(peer, request, limit, limit).await?;
        let (parts, body) = response.into_parts();
        let bytes = read_bounded(step, body, MAX_FETCH_BYTES).await?;
        Ok(Response::from_parts(parts, bytes))
    };
    timeout(limit.into(), exchange).await.map_err(|_| WebError::Deadline { step, peer })?
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
