//! Message bodies: complete, streamed, and read up to a size limit.

use std::convert::Infallible;
use std::pin::Pin;

use base::TimeSpan;
use compio::time::timeout;
use futures_util::{Stream, StreamExt};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Bytes, Frame, Incoming};

use crate::{Result, WebError};

/// A body over its limit is still read and discarded up to this multiple of the limit.
const DISCARD_FACTOR: usize = 4;

/// An outgoing body of a request or response; producing it cannot fail.
pub type WebBody = Pin<Box<dyn Body<Data = Bytes, Error = Infallible>>>;

/// A body whose bytes are all available.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> WebBody {
    Box::pin(Full::new(bytes.into()))
}

/// A body that ends when `chunks` ends. It is dropped when the peer disconnects.
pub fn stream_body(chunks: impl Stream<Item = Bytes> + 'static) -> WebBody {
    Box::pin(StreamBody::new(chunks.map(|chunk| Ok(Frame::data(chunk)))))
}

/// Reads a complete body of at most `limit` bytes.
///
/// The excess of a longer body is read and discarded up to four times the limit, since a
/// peer that is still writing would not read the answer.
///
/// # Errors
/// [`WebError::TooLong`] if the body exceeds the limit, [`WebError::Body`] if it
/// cannot be read to its end.
pub async fn read_bounded(
    step: &'static str,
    mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
    limit: usize,
) -> Result<Bytes> {
    let declared_length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut bytes = Vec::with_capacity(declared_length.min(limit));
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| WebError::Body { step, source })?;
        let Ok(chunk) = frame.into_data() else { continue };
        length += chunk.len();
        if length <= limit {
            bytes.extend_from_slice(&chunk);
        } else if length > limit.saturating_mul(DISCARD_FACTOR) {
            break;
        }
    }
    if length > limit {
        return Err(WebError::TooLong { step, limit });
    }
    Ok(Bytes::from(bytes))
}

/// Reads and drops what is still to come of a request's body after its response, at most `max_bytes`
/// and until `limit` has passed. A connection that closes with unread bytes is reset, and a peer that
/// is still writing would not see the response.
pub fn discard_body(mut body: Incoming, max_bytes: usize, limit: TimeSpan) {
    if body.is_end_stream() {
        return;
    }
    let reading = async move {
        let mut left = max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return };
            left = rest;
        }
    };
    compio::runtime::spawn(timeout(limit.into(), reading)).detach();
}
