//! Errors of home tags.

use base::MacError;
use thiserror::Error;

/// Why a home tag was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BookingError {
    /// The signature is missing or wrong.
    #[error("verify home tag: {0}")]
    Signature(#[from] MacError),
    /// The signed text is not a home tag of this format.
    #[error("decode home tag: field {field}")]
    Malformed {
        /// The field that could not be read.
        field: &'static str,
    },
}

/// Result of reading a home tag.
pub type Result<T> = std::result::Result<T, BookingError>;
