//! Encoding of the configuration and of the list of runners for transfers between nodes: JSON,
//! compressed.
//!
//! Most of either is field names and values that all entries share, so compression leaves less
//! than a fifth.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Maximum size of a decompressed state, in bytes.
const MAX_STATE_BYTES: u64 = 64 << 20;

/// A state that cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum StateCodecError {
    /// The bytes cannot be compressed or decompressed.
    #[error("state of another node: compression: {0}")]
    Compression(#[from] std::io::Error),
    /// The decompressed bytes are not that state, or too long.
    #[error("state of another node: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Result of this module's functions.
pub type Result<T> = std::result::Result<T, StateCodecError>;

/// Encodes the state of a node.
///
/// # Errors
/// [`StateCodecError`].
pub fn encode_state(state: &impl Serialize) -> Result<Vec<u8>> {
    let json = serde_json::to_vec(state)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?)
}

/// Decodes the state of a node.
///
/// # Errors
/// [`StateCodecError`].
pub fn decode_state<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let mut json = Vec::new();
    ZlibDecoder::new(bytes).take(MAX_STATE_BYTES).read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}
