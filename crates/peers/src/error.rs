//! Errors of exchanges between our processes.

use std::fmt;
use std::net::SocketAddr;

use compio_quic::{ConnectError, ConnectionError, ReadError, WriteError};
use thiserror::Error;

/// Why a peer rejected a request without calling its handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The peer uses another version of the messages.
    UnknownVersion,
    /// The message cannot be decoded, or it is too long.
    Malformed,
    /// The peer serves as many requests as it can.
    Busy,
    /// The peer is stopping.
    Stopping,
}

impl RejectReason {
    const ALL: [Self; 4] = [Self::UnknownVersion, Self::Malformed, Self::Busy, Self::Stopping];

    /// The code of a stream's reset for this reason; zero is reserved for a stream that was
    /// dropped without one.
    #[must_use]
    pub fn code(self) -> u32 {
        match self {
            Self::UnknownVersion => 1,
            Self::Malformed => 2,
            Self::Busy => 3,
            Self::Stopping => 4,
        }
    }

    /// The reason of a stream's reset.
    #[must_use]
    pub fn from_code(code: u64) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| u64::from(reason.code()) == code)
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownVersion => "unknown version of the messages",
            Self::Malformed => "malformed message",
            Self::Busy => "too many requests at once",
            Self::Stopping => "stopping",
        })
    }
}

/// What can go wrong between two of our processes.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The certificate, key or authorities cannot be used.
    #[error("{step}: {reason}")]
    Keys {
        /// Part of the set-up.
        step: &'static str,
        /// The cause, as the TLS library gives it.
        reason: String,
    },
    /// The UDP socket cannot be opened.
    #[error("bind to {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// No connection can be started.
    #[error("start of a connection to {peer}: {source}")]
    Start {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: ConnectError,
    },
    /// The connection was lost before the request was written.
    #[error("{step} to {peer}: {source}")]
    Connect {
        /// Part of the exchange.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: ConnectionError,
    },
    /// The deadline passed before the request was written.
    #[error("{step} to {peer}: deadline passed, nothing sent")]
    NotSentInTime {
        /// Part of the exchange.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
    },
    /// The request is longer than a message may be; it was not sent.
    #[error("request to {peer}: {bytes} bytes, more than {limit}")]
    RequestTooLong {
        /// The peer.
        peer: SocketAddr,
        /// Length of the request, in bytes.
        bytes: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The request has no encoded form; it was not sent.
    #[error("{step}: {source}")]
    Encode {
        /// Part of the exchange.
        step: &'static str,
        /// The cause.
        source: postcard::Error,
    },
    /// The peer rejected the request without calling its handler.
    #[error("request to {peer}: rejected: {reason}")]
    Rejected {
        /// The peer.
        peer: SocketAddr,
        /// Why.
        reason: RejectReason,
    },
    /// The connection or stream failed while the request was written.
    #[error("write to {peer}: {source}")]
    Write {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: WriteError,
    },
    /// The connection or stream failed before the reply was complete.
    #[error("reply of {peer}: {source}")]
    Read {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: ReadError,
    },
    /// The reply is longer than a message may be.
    #[error("reply of {peer}: more than {limit} bytes")]
    ReplyTooLong {
        /// The peer.
        peer: SocketAddr,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The deadline passed after the request was written.
    #[error("reply of {peer}: deadline passed")]
    Deadline {
        /// The peer.
        peer: SocketAddr,
    },
    /// A message is of another version.
    #[error("{step}: version {version} of the messages is not known here")]
    UnknownVersion {
        /// Part of the exchange.
        step: &'static str,
        /// Its version.
        version: u16,
    },
    /// A message cannot be decoded.
    #[error("{step}: {source}")]
    Decode {
        /// Part of the exchange.
        step: &'static str,
        /// The cause.
        source: postcard::Error,
    },
}

impl PeerError {
    /// Whether the peer's handler may have been called with the request.
    ///
    /// False only if no byte of the request was written, or if the peer reported that it
    /// rejected the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Keys { .. }
            | Self::Bind { .. }
            | Self::Start { .. }
            | Self::Connect { .. }
            | Self::NotSentInTime { .. }
            | Self::RequestTooLong { .. }
            | Self::Encode { .. }
            | Self::Rejected { .. } => false,
            Self::Write { .. }
            | Self::Read { .. }
            | Self::ReplyTooLong { .. }
            | Self::Deadline { .. }
            | Self::UnknownVersion { .. }
            | Self::Decode { .. } => true,
        }
    }
}

/// Result of an exchange between our processes.
pub type Result<T> = std::result::Result<T, PeerError>;
