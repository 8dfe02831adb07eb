//! Errors of HTTP exchanges.

use std::net::SocketAddr;

use thiserror::Error;

/// Whether any byte of a request may have reached its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFault {
    /// The connection failed before the first byte: the peer saw nothing.
    NotSent,
    /// The request was written at least in part; its effect is unknown.
    MaybeSent,
}

/// What can go wrong in an HTTP exchange.
#[derive(Debug, Error)]
pub enum WebError {
    /// No connection.
    #[error("connect to {peer}: {source}")]
    Connect {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The deadline passed before a connection stood.
    #[error("connect to {peer}: deadline passed")]
    ConnectDeadline {
        /// The peer.
        peer: SocketAddr,
    },
    /// The exchange failed after the connection stood.
    #[error("{step} with {peer}: {source}")]
    Exchange {
        /// Part of the exchange.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// The deadline passed after the request was written.
    #[error("{step} with {peer}: deadline passed")]
    Deadline {
        /// Part of the exchange.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
    },
    /// A body is longer than its limit.
    #[error("{step}: body longer than {limit} bytes")]
    TooLong {
        /// Part of the exchange.
        step: &'static str,
        /// The limit, in bytes.
        limit: usize,
    },
    /// A body could not be read to its end.
    #[error("{step}: body ended early: {source}")]
    Body {
        /// Part of the exchange.
        step: &'static str,
        /// The cause.
        source: hyper::Error,
    },
    /// A request could not be put together.
    #[error("{step}: {source}")]
    Request {
        /// Part of the exchange.
        step: &'static str,
        /// The cause.
        source: hyper::http::Error,
    },
    /// A body is not the JSON expected.
    #[error("{step}: unexpected JSON: {source}")]
    Json {
        /// Part of the exchange.
        step: &'static str,
        /// The cause.
        source: serde_json::Error,
    },
    /// The peer answered with an error status.
    #[error("{step} with {peer}: status {status}: {text}")]
    Status {
        /// Part of the exchange.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The status.
        status: u16,
        /// Start of the body.
        text: String,
    },
    /// The listening socket failed.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

impl WebError {
    /// Whether the peer may have seen the request.
    #[must_use]
    pub fn send_fault(&self) -> SendFault {
        match self {
            Self::Connect { .. } | Self::ConnectDeadline { .. } | Self::Request { .. } => {
                SendFault::NotSent
            }
            _ => SendFault::MaybeSent,
        }
    }
}

/// Result of an HTTP exchange.
pub type Result<T> = std::result::Result<T, WebError>;
