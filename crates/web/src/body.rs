//! Bodies: whole, streamed, and read within a limit.

use std::convert::Infallible;
use std::pin::Pin;

use futures_util::{Stream, StreamExt};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Bytes, Frame, Incoming};

use crate::{Result, WebError};

/// How many times its limit a body may be long to be read to its end all the same.
const DISCARD_FACTOR: usize = 4;

/// A body of a response or request; it cannot fail on our side.
pub type WebBody = Pin<Box<dyn Body<Data = Bytes, Error = Infallible>>>;

/// A body of known bytes.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> WebBody {
    Box::pin(Full::new(bytes.into()))
}

/// A body that ends when `chunks` does; it is dropped when the peer leaves.
pub fn stream_body(chunks: impl Stream<Item = Bytes> + 'static) -> WebBody {
    Box::pin(StreamBody::new(chunks.map(|chunk| Ok(Frame::data(chunk)))))
}

/// Reads a whole body of at most `limit` bytes.
///
/// A longer one is read on for a while and thrown away, since a peer that is still
/// writing would not see the answer.
///
/// # Errors
/// [`WebError::TooLong`] if the limit is passed, [`WebError::Body`] if the peer ends
/// early.
pub async fn read_bounded(step: &'static str, mut body: Incoming, limit: usize) -> Result<Bytes> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut whole = Vec::with_capacity(announced.min(limit));
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| WebError::Body { step, source })?;
        let Ok(chunk) = frame.into_data() else { continue };
        length += chunk.len();
        if length <= limit {
            whole.extend_from_slice(&chunk);
        } else if length > limit.saturating_mul(DISCARD_FACTOR) {
            break;
        }
    }
    if length > limit {
        return Err(WebError::TooLong { step, limit });
    }
    Ok(Bytes::from(whole))
}
