//! Message bodies: complete, streamed, and read up to a size limit.

use std::convert::Infallible;
use std::net::SocketAddr;
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

/// Reads a complete body for as long as `admit` accepts its length so far, in bytes. The rest of
/// a body that is not accepted is not read.
///
/// # Errors
/// [`WebError::Body`] if the body cannot be read to its end, and the errors of `admit`.
pub async fn read_admitted(
    step: &'static str,
    mut body: Incoming,
    mut admit: impl FnMut(usize) -> Result<()>,
) -> Result<Bytes> {
    /// Largest size for which a declared length is relied on, in bytes.
    const MAX_FIRST_CAPACITY: usize = 64 << 10;
    let declared_length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut bytes = Vec::with_capacity(declared_length.min(MAX_FIRST_CAPACITY));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| WebError::Body { step, source })?;
        let Ok(chunk) = frame.into_data() else { continue };
        admit(bytes.len() + chunk.len())?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(Bytes::from(bytes))
}

/// Bytes of a steadily read body that have to arrive in each stall timeout. A peer that sends
/// single bytes now and then would otherwise occupy its reader without end.
const MIN_STEADY_BYTES: usize = 256;

/// Reads a complete body of at most `limit` bytes, for as long as at least
/// [`MIN_STEADY_BYTES`] of it, or its end, arrive in each `stall_timeout`.
///
/// # Errors
/// [`WebError::Deadline`] if too little arrives in time, [`WebError::TooLong`] and
/// [`WebError::Body`] as of [`read_bounded`].
pub async fn read_steadily(
    step: &'static str,
    peer: SocketAddr,
    mut body: Incoming,
    limit: usize,
    stall_timeout: TimeSpan,
) -> Result<Bytes> {
    let mut bytes = Vec::new();
    loop {
        let reading = read_progress(step, &mut body, &mut bytes, limit);
        let has_ended = timeout(stall_timeout.into(), reading)
            .await
            .map_err(|_| WebError::Deadline { step, peer })??;
        if has_ended {
            return Ok(Bytes::from(bytes));
        }
    }
}

/// Reads at least [`MIN_STEADY_BYTES`] of a body, or to its end; returns whether it has ended.
async fn read_progress(
    step: &'static str,
    body: &mut Incoming,
    bytes: &mut Vec<u8>,
    limit: usize,
) -> Result<bool> {
    let begin = bytes.len();
    while bytes.len() < begin + MIN_STEADY_BYTES {
        let Some(frame) = body.frame().await else { return Ok(true) };
        let frame = frame.map_err(|source| WebError::Body { step, source })?;
        let Ok(chunk) = frame.into_data() else { continue };
        if bytes.len() + chunk.len() > limit {
            return Err(WebError::TooLong { step, limit });
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(false)
}
