//! Errors of stream cursors.

use base::MacError;
use thiserror::Error;

/// Why a cursor was rejected. A rejected cursor must not resume any stream.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RelayError {
    /// The signature is missing or invalid.
    #[error("verify cursor: {0}")]
    Signature(#[from] MacError),
    /// The signed text is not a cursor of the supported format.
    #[error("decode cursor: field {field}")]
    Malformed {
        /// The part of the text that could not be parsed.
        field: &'static str,
    },
    /// The cursor was issued to another workspace.
    #[error("cursor of another workspace")]
    WorkspaceMismatch,
}

/// Result of decoding a cursor.
pub type Result<T> = std::result::Result<T, RelayError>;
