//! Errors in claim records.

use base::prelude::*;
use thiserror::Error;

/// Reason why a record of the stream `orders` was skipped.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The record is not a valid claim.
    #[error("invalid claim at offset {offset}: {source}")]
    Malformed {
        /// Offset of the record.
        offset: LogOffset,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// The format of the claim is not supported, since a newer release wrote it.
    #[error("claim at offset {offset} has unsupported version {version}")]
    UnsupportedVersion {
        /// Offset of the record.
        offset: LogOffset,
        /// Version of the claim.
        version: u32,
    },
}

/// Result of decoding a claim.
pub type Result<T> = std::result::Result<T, OrderError>;
