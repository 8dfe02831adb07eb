//! Encoding of a configuration for transfers between nodes: JSON, compressed.
//!
//! Most of a configuration is field names and values that all routes share, so compression
//! leaves about a tenth of it.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use thiserror::Error;

use crate::ServingPlan;

/// Maximum size of a decompressed configuration, in bytes.
const MAX_PLAN_BYTES: u64 = 64 << 20;

/// A configuration that cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum PlanCodecError {
    /// The bytes cannot be compressed or decompressed.
    #[error("configuration between nodes: compression: {0}")]
    Compression(#[from] std::io::Error),
    /// The decompressed bytes are not a configuration, or too long.
    #[error("configuration between nodes: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Result of this module's functions.
pub type Result<T> = std::result::Result<T, PlanCodecError>;

/// Encodes a configuration.
///
/// # Errors
/// [`PlanCodecError`].
pub fn encode_plan(plan: &ServingPlan) -> Result<Vec<u8>> {
    let json = serde_json::to_vec(plan)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?)
}

/// Decodes a configuration.
///
/// # Errors
/// [`PlanCodecError`].
pub fn decode_plan(bytes: &[u8]) -> Result<ServingPlan> {
    let mut json = Vec::new();
    ZlibDecoder::new(bytes).take(MAX_PLAN_BYTES).read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}
