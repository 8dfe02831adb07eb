//! The versioned envelope of a message: a version number, then the message in `postcard`.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{PeerError, Result};

/// Version of the messages; any other one is rejected.
pub const MESSAGE_VERSION: u16 = 1;
/// Longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Encodes a message for `step`.
///
/// # Errors
/// [`PeerError::Encode`].
pub fn encode_message(step: &'static str, message: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_stdvec(&(MESSAGE_VERSION, message))
        .map_err(|source| PeerError::Encode { step, source })
}

/// Decodes a message for `step`.
///
/// # Errors
/// [`PeerError::UnknownVersion`] and [`PeerError::Decode`].
pub fn decode_message<T: DeserializeOwned>(step: &'static str, bytes: &[u8]) -> Result<T> {
    let (version, body) = postcard::take_from_bytes::<u16>(bytes)
        .map_err(|source| PeerError::Decode { step, source })?;
    if version != MESSAGE_VERSION {
        return Err(PeerError::UnknownVersion { step, version });
    }
    postcard::from_bytes(body).map_err(|source| PeerError::Decode { step, source })
}
