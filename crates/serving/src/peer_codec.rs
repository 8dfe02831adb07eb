//! Encoding of the messages between nodes: a version byte, the message in postcard, then the
//! sections of a heartbeat, if it has any.

use thiserror::Error;

use crate::{HeartbeatSections, PeerMessage};

/// Version of the messages. Raised when an older node could not read a message, or misread it.
/// Builds without heartbeat sections ignore the bytes after the message.
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
    /// A section of a heartbeat has this many bytes, which is too long.
    #[error("section of a heartbeat: {0} bytes")]
    SectionTooLong(usize),
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
    let bytes = postcard::to_extend(message, vec![MESSAGE_VERSION])?;
    match message {
        PeerMessage::Heartbeat(heartbeat) if !heartbeat.sections.is_empty() => {
            Ok(postcard::to_extend(&heartbeat.sections, bytes)?)
        }
        _ => Ok(bytes),
    }
}

/// Decodes a message.
///
/// # Errors
/// [`MessageError`].
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage> {
    match bytes.split_first() {
        None => Err(MessageError::Empty),
        Some((&MESSAGE_VERSION, body)) => decode_body(body),
        Some((version, _)) => Err(MessageError::OtherVersion(*version)),
    }
}

/// Decodes a message without its version byte.
fn decode_body(body: &[u8]) -> Result<PeerMessage> {
    let (mut message, rest) = postcard::take_from_bytes::<PeerMessage>(body)?;
    if let PeerMessage::Heartbeat(heartbeat) = &mut message
        && !rest.is_empty()
    {
        // Newer builds may append bytes that this one cannot read; the heartbeat still counts.
        heartbeat.sections = postcard::from_bytes::<HeartbeatSections>(rest).unwrap_or_default();
    }
    Ok(message)
}
