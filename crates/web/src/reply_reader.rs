//! Reads complete responses and charges what is kept of them to the budget.

use base::TimeSpan;
use compio::time::timeout;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};

use crate::metered_read::MAX_IDLE_READ_BYTES;
use crate::read_budget::{ReadCharge, ReadFault, record_given_up};
use crate::reply_body::ReplyBody;
use crate::{Result, WebError};

/// Largest segment for which a declared length is relied on, in bytes.
const MAX_DECLARED_SEGMENT_BYTES: usize = 64 << 10;
/// Smallest segment of a body that does not fit into one, in bytes.
const MIN_SEGMENT_BYTES: usize = 16 << 10;
/// Bytes of a steadily read body that have to arrive in each stall timeout. A peer that sends
/// single bytes now and then would otherwise occupy its reader without end.
const MIN_STEADY_BYTES: usize = 256;

/// Reads a complete body of at most `limit` bytes. The rest of a longer one is not read.
///
/// # Errors
/// [`WebError::TooLong`] and [`WebError::MemoryFull`] if it is not accepted, [`WebError::Body`] if it
/// cannot be read to its end.
pub async fn read_whole(step: &'static str, body: ReplyBody, limit: usize) -> Result<Bytes> {
    read_whole_noting(step, body, limit, || ()).await
}

/// Like [`read_whole`]; calls `note` for each part that has come.
///
/// # Errors
/// Same as [`read_whole`].
pub async fn read_whole_noting(
    step: &'static str,
    body: ReplyBody,
    limit: usize,
    mut note: impl FnMut(),
) -> Result<Bytes> {
    let mut reader = ReplyReader::new(step, body, limit);
    while !reader.read_part().await? {
        note();
    }
    Ok(reader.into_bytes())
}

/// Reads a complete body of at most `limit` bytes, for as long as at least
/// [`MIN_STEADY_BYTES`] of it, or its end, arrive in each `stall_timeout`.
///
/// # Errors
/// [`WebError::Deadline`] if too little arrives in time, and the errors of [`read_whole`].
pub async fn read_steadily(
    step: &'static str,
    body: ReplyBody,
    limit: usize,
    stall_timeout: TimeSpan,
) -> Result<Bytes> {
    let peer = body.meter().peer();
    let mut reader = ReplyReader::new(step, body, limit);
    loop {
        let has_ended = timeout(stall_timeout.into(), reader.read_progress())
            .await
            .map_err(|_| WebError::Deadline { step, peer })??;
        if has_ended {
            return Ok(reader.into_bytes());
        }
    }
}

/// What has been read of a body.
///
/// It is kept in segments until it is complete. A single buffer that grows by doubling has to be moved,
/// and the places that it leaves are of no use to the next larger one: many bodies that arrive at once
/// then take twice the memory that is charged.
struct ReplyReader {
    step: &'static str,
    body: ReplyBody,
    /// Largest body, in bytes.
    limit: usize,
    segments: Vec<Vec<u8>>,
    /// Bytes in all segments.
    length: usize,
    /// Capacity of all segments, in bytes.
    capacity: usize,
    /// For the capacity.
    charge: ReadCharge,
}

impl ReplyReader {
    fn new(step: &'static str, body: ReplyBody, limit: usize) -> Self {
        let charge = body.open_charge();
        Self { step, body, limit, segments: Vec::new(), length: 0, capacity: 0, charge }
    }

    /// Reads at least [`MIN_STEADY_BYTES`], or to the end; returns whether the body has ended.
    async fn read_progress(&mut self) -> Result<bool> {
        let begin = self.length;
        while self.length < begin + MIN_STEADY_BYTES {
            if self.read_part().await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Reads the next part; returns whether the body has ended.
    async fn read_part(&mut self) -> Result<bool> {
        let Some(frame) = self.body.frame().await else { return Ok(true) };
        let frame = frame.map_err(|source| self.body_error(source))?;
        if let Ok(chunk) = frame.into_data() {
            self.keep_chunk(&chunk)?;
        }
        Ok(false)
    }

    fn keep_chunk(&mut self, chunk: &[u8]) -> Result<()> {
        let length = self.length + chunk.len();
        if length > self.limit {
            record_given_up(self.step, self.body.meter().peer(), length, ReadFault::TooLong);
            return Err(WebError::TooLong { step: self.step, limit: self.limit });
        }
        let room = (self.capacity - self.length).min(chunk.len());
        let (fitting, rest) = chunk.split_at(room);
        if let Some(segment) = self.segments.last_mut() {
            segment.extend_from_slice(fitting);
        }
        if !rest.is_empty() {
            let segment = self.open_segment(length, rest.len())?;
            segment.extend_from_slice(rest);
        }
        self.length = length;
        Ok(())
    }

    /// Opens a segment for `needed` bytes, with which the body has `length`.
    fn open_segment(&mut self, length: usize, needed: usize) -> Result<&mut Vec<u8>> {
        let rest = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        let declared = needed.saturating_add(rest).min(MAX_DECLARED_SEGMENT_BYTES);
        let least = if self.segments.is_empty() { 0 } else { MIN_SEGMENT_BYTES };
        let most = needed + (self.limit - length);
        let capacity = needed.max(declared).max(least).min(most);
        if !self.charge.keep(self.step, self.capacity + capacity) {
            return Err(WebError::MemoryFull { step: self.step });
        }
        self.capacity += capacity;
        Ok(self.segments.push_mut(Vec::with_capacity(capacity)))
    }

    /// The complete body. Its segments are freed one after the other while they are joined, without
    /// other tasks in between.
    fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().into();
        }
        let mut whole = Vec::with_capacity(self.length);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        whole.into()
    }

    fn body_error(&self, source: hyper::Error) -> WebError {
        let step = self.step;
        match self.body.meter().fault() {
            Some(ReadFault::MemoryFull) => WebError::MemoryFull { step },
            Some(ReadFault::TooLong) => WebError::TooLong { step, limit: MAX_IDLE_READ_BYTES },
            Some(ReadFault::TooManyInterim) => WebError::TooManyInterim { step },
            None => WebError::Body { step, source },
        }
    }
}
