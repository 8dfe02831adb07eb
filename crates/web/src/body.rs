//! Bodies: whole, streamed, and read within a limit.

use std::convert::Infallible;
use std::pin::Pin;

use futures_util::{Stream, StreamExt};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Bytes, Frame, Incoming};

use crate::{Result, WebError};

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
/// # Errors
/// [`WebError::TooLong`] as soon as the limit is passed, [`WebError::Body`] if the peer
/// ends early.
pub async fn read_bounded(step: &'static str, mut body: Incoming, limit: usize) -> Result<Bytes> {
    let announced = body.size_hint().lower();
    if announced > limit as u64 {
        return Err(WebError::TooLong { step, limit });
    }
    let mut whole = Vec::with_capacity(announced as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| WebError::Body { step, source })?;
        let Ok(chunk) = frame.into_data() else { continue };
        if whole.len() + chunk.len() > limit {
            return Err(WebError::TooLong { step, limit });
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(Bytes::from(whole))
}
