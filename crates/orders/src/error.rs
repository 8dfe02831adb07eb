//! Errors of the claims.

use base::prelude::*;
use thiserror::Error;

/// Why a record of the stream `orders` was passed over.
#[derive(Debug, Error)]
pub enum OrderError {
    /// It is not a claim.
    #[error("read claim at offset {offset}: {source}")]
    Malformed {
        /// Its offset.
        offset: LogOffset,
        /// The cause.
        source: serde_json::Error,
    },
    /// It was written by a newer release.
    #[error("read claim at offset {offset}: version {version} is not known")]
    UnsupportedVersion {
        /// Its offset.
        offset: LogOffset,
        /// Its version.
        version: u32,
    },
}

/// Result of reading a claim.
pub type Result<T> = std::result::Result<T, OrderError>;
