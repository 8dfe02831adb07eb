//! Errors of home tags.

use base::MacError;
use thiserror::Error;

/// Why a home tag was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BookingError {
    /// The signature is missing or invalid.
    #[error("verify home tag: {0}")]
    Signature(#[from] MacError),
    /// The signed text is not a home tag of the supported format.
    #[error("decode home tag: field {field}")]
    Malformed {
        /// The part of the text that could not be parsed.
        field: &'static str,
    },
}

/// Result of decoding a home tag.
pub type Result<T> = std::result::Result<T, BookingError>;
