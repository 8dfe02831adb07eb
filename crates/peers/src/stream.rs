//! Reading one message from a stream, within a limit.

use compio_quic::{ReadError, RecvStream};

/// Reads to the stream's end; none if it is longer than `limit` bytes.
pub(crate) async fn read_message(
    receiver: &mut RecvStream,
    limit: usize,
) -> Result<Option<Vec<u8>>, ReadError> {
    let mut message = Vec::new();
    while let Some(chunk) = receiver.read_chunk(limit + 1, true).await? {
        if message.len() + chunk.bytes.len() > limit {
            return Ok(None);
        }
        message.extend_from_slice(&chunk.bytes);
    }
    Ok(Some(message))
}
