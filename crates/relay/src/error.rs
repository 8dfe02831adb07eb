//! Errors of stream cursors.

use base::MacError;
use thiserror::Error;

/// Why a cursor was refused; no stream may be resumed by it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RelayError {
    /// The signature is missing or wrong.
    #[error("verify cursor: {0}")]
    Signature(#[from] MacError),
    /// The signed text is not a cursor of this format.
    #[error("decode cursor: field {field}")]
    Malformed {
        /// The field that could not be read.
        field: &'static str,
    },
    /// The cursor belongs to another workspace.
    #[error("cursor of another workspace")]
    WorkspaceMismatch,
}

/// Result of reading a cursor.
pub type Result<T> = std::result::Result<T, RelayError>;
