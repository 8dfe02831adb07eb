//! Encoding of the messages between nodes: a version byte, then the message in postcard.

use thiserror::Error;

use crate::PeerMessage;

/// Version of the messages. Raised when an older node could not read a message, or misread it.
pub const MESSAGE_VERSION: u8 = 5;

/// A message that cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The message has no bytes.
    #[error("message of another node: it is empty")]
    Empty,
    /// The sender uses another version of the messages.
    #[error("message of another node: version {0} instead of {MESSAGE_VERSION}")]
    OtherVersion(u8),
    /// The message is malformed.
    #[error("message of another node: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Result of this module's functions.
pub type Result<T> = std::result::Result<T, MessageError>;

/// Encodes a message.
///
/// # Errors
/// [`MessageError::Malformed`] if a part of it cannot be serialized.
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>> {
    Ok(postcard::to_extend(message, vec![MESSAGE_VERSION])?)
}

/// Decodes a message.
///
/// # Errors
/// [`MessageError`].
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage> {
    match bytes.split_first() {
        None => Err(MessageError::Empty),
        Some((&MESSAGE_VERSION, body)) => Ok(postcard::from_bytes(body)?),
        Some((version, _)) => Err(MessageError::OtherVersion(*version)),
    }
}
