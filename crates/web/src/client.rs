//! A client that sends a request exactly once, on a connection of its own.
//!
//! A pooled client may send again on its own when a kept connection turns out closed; a
//! call that must not be repeated cannot go that way.

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

/// Longest JSON answer that [`fetch`] accepts, in bytes.
const MAX_FETCH_BYTES: usize = 64 << 20;
/// Longest part of an error body that is kept, in bytes.
const MAX_ERROR_TEXT_BYTES: usize = 300;

/// Connects within `connect_limit`, sends `request` once, and gives the response's head
/// within `head_limit` after that.
///
/// # Errors
/// Errors whose [`WebError::send_fault`] is `NotSent` mean that no byte was written.
pub async fn send_once(
    peer: SocketAddr,
    request: Request<WebBody>,
    connect_limit: TimeSpan,
    head_limit: TimeSpan,
) -> Result<Response<Incoming>> {
    let exchange = open_exchange(peer, request, connect_limit, head_limit).await?;
    exchange.connection.detach();
    Ok(exchange.response)
}

/// A response whose connection ends when this is dropped.
pub struct WebExchange {
    /// The response; its body may still be on its way.
    pub response: Response<Incoming>,
    /// The connection.
    pub connection: ConnectionTask,
}

/// The task that drives a connection: dropping it closes the connection.
pub struct ConnectionTask {
    task: JoinHandle<()>,
}

impl ConnectionTask {
    /// Lets the connection live until its exchange ends.
    pub fn detach(self) {
        self.task.detach();
    }
}

/// As [`send_once`], for an exchange that is ended by closing its connection.
///
/// # Errors
/// As [`send_once`].
pub async fn open_exchange(
    peer: SocketAddr,
    mut request: Request<WebBody>,
    connect_limit: TimeSpan,
    head_limit: TimeSpan,
) -> Result<WebExchange> {
    let stream = timeout(connect_limit.into(), TcpStream::connect(peer))
        .await
        .map_err(|_| WebError::ConnectDeadline { peer })?
        .map_err(|source| WebError::Connect { peer, source })?;
    // Small writes of a stream must not wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    if !request.headers().contains_key(HOST) {
        let host = HeaderValue::from_str(&peer.to_string())
            .map_err(|source| WebError::Request { step: "host header", source: source.into() })?;
        request.headers_mut().insert(HOST, host);
    }
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|source| WebError::Exchange { step: "handshake", peer, source })?;
    let task = spawn(async move {
        // An end in mid-body reaches the reader of the body; there is nothing to add here.
        let _ = connection.await;
    });
    let connection = ConnectionTask { task };
    let response = timeout(head_limit.into(), sender.send_request(request))
        .await
        .map_err(|_| WebError::Deadline { step: "request", peer })?
        .map_err(|source| WebError::Exchange { step: "request", peer, source })?;
    Ok(WebExchange { response, connection })
}

/// Sends one request with an optional JSON body and reads the whole answer.
///
/// # Errors
/// [`WebError::Status`] for statuses from 400, and all errors of [`send_once`].
pub async fn fetch(
    step: &'static str,
    method: Method,
    peer: SocketAddr,
    path: &str,
    body: Bytes,
    limit: TimeSpan,
) -> Result<Bytes> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(body))
        .map_err(|source| WebError::Request { step, source })?;
    let whole = async {
        let response = send_once(peer, request, limit, limit).await?;
        let status = response.status();
        let bytes = read_bounded(step, response.into_body(), MAX_FETCH_BYTES).await?;
        if status.as_u16() >= 400 {
            let text = String::from_utf8_lossy(&bytes).chars().take(MAX_ERROR_TEXT_BYTES).collect();
            return Err(WebError::Status { step, peer, status: status.as_u16(), text });
        }
        Ok(bytes)
    };
    timeout(limit.into(), whole).await.map_err(|_| WebError::Deadline { step, peer })?
}

/// Gets a JSON document.
///
/// # Errors
/// As [`fetch`], and [`WebError::Json`].
pub async fn fetch_json<T: DeserializeOwned>(
    step: &'static str,
    peer: SocketAddr,
    path: &str,
    limit: TimeSpan,
) -> Result<T> {
    let bytes = fetch(step, Method::GET, peer, path, Bytes::new(), limit).await?;
    serde_json::from_slice(&bytes).map_err(|source| WebError::Json { step, source })
}

/// Posts a JSON document and reads a JSON answer.
///
/// # Errors
/// As [`fetch`], and [`WebError::Json`].
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
