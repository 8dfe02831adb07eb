//! Errors of HTTP exchanges.

use std::net::SocketAddr;

use hyper::StatusCode;
use thiserror::Error;

use crate::interim_scan::MAX_INTERIM_RESPONSES;

/// Whether a failed request may have reached its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFault {
    /// The request failed before its first byte was written.
    NotSent,
    /// The request may have been written, at least in part; its effect is unknown.
    MaybeSent,
}

/// An error of an HTTP server or client.
#[derive(Debug, Error)]
pub enum WebError {
    /// The connection could not be established.
    #[error("connect to {peer}: {source}")]
    Connect {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The deadline passed before the connection was established.
    #[error("connect to {peer}: deadline passed")]
    ConnectDeadline {
        /// The peer.
        peer: SocketAddr,
    },
    /// The exchange failed after the connection was established.
    #[error("{step} with {peer}: {source}")]
    Exchange {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// The deadline passed after the connection was established.
    #[error("{step} with {peer}: deadline passed")]
    Deadline {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
    },
    /// A body or a server-sent event exceeds its limit.
    #[error("{step}: body longer than {limit} bytes")]
    TooLong {
        /// The step that failed.
        step: &'static str,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The head has a status that no answer has.
    #[error("{step} with {peer}: {status} is no status of an answer")]
    OddStatus {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// More interim responses precede the final one than there may be.
    #[error("{step}: more than {MAX_INTERIM_RESPONSES} interim responses")]
    TooManyInterim {
        /// The step that failed.
        step: &'static str,
    },
    /// There is no memory left for a head or a body.
    #[error("{step}: no memory left for what is read")]
    MemoryFull {
        /// The step that failed.
        step: &'static str,
    },
    /// A body could not be read to its end.
    #[error("{step}: body ended early: {source}")]
    Body {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        source: hyper::Error,
    },
    /// A request could not be built.
    #[error("{step}: {source}")]
    Request {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        source: hyper::http::Error,
    },
    /// A body could not be encoded as JSON, or is not the expected JSON.
    #[error("{step}: unexpected JSON: {source}")]
    Json {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        source: serde_json::Error,
    },
    /// The peer answered with an error status.
    #[error("{step} with {peer}: status {status}: {text}")]
    Status {
        /// The step that failed.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The HTTP status code.
        status: u16,
        /// The start of the response's body.
        text: String,
    },
    /// The listening socket could not be set up.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

impl WebError {
    /// Whether the connection ended in the middle of the exchange.
    #[must_use]
    pub fn is_connection_end(&self) -> bool {
        match self {
            Self::Exchange { source, .. } | Self::Body { source, .. } => !source.is_parse(),
            _ => false,
        }
    }

    /// Whether the peer may have received the request.
    #[must_use]
    pub fn send_fault(&self) -> SendFault {
        match self {
            Self::Connect { .. } | Self::ConnectDeadline { .. } | Self::Request { .. } => {
                SendFault::NotSent
            }
            // The connection had ended before the request was taken.
            Self::Exchange { source, .. } if source.is_canceled() => SendFault::NotSent,
            _ => SendFault::MaybeSent,
        }
    }
}

/// Result with a [`WebError`].
pub type Result<T> = std::result::Result<T, WebError>;
