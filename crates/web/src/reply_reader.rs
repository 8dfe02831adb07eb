//! Reads complete responses and charges what is kept of them to the budget.

use base::TimeSpan;
use compio::time::timeout;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};

use crate::metered_read::MAX_IDLE_READ_BYTES;
use crate::read_budget::{ReadCharge, ReadFault, record_given_up};
use crate::reply_body::ReplyBody;
use crate::{Result, WebError};

/// Largest size for which a declared length is relied on, in bytes.
const MAX_FIRST_CAPACITY: usize = 64 << 10;
/// Bytes of a steadily read body that have to arrive in each stall timeout. A peer that sends
/// single bytes now and then would otherwise occupy its reader without end.
const MIN_STEADY_BYTES: usize = 256;

/// Reads a complete body of at most `limit` bytes. The rest of a longer one is not read.
///
/// # Errors
/// [`WebError::TooLong`] and [`WebError::MemoryFull`] if it is not accepted, [`WebError::Body`] if it
/// cannot be read to its end.
pub async fn read_whole(step: &'static str, body: ReplyBody, limit: usize) -> Result<Bytes> {
    let mut reader = ReplyReader::new(step, body, limit);
    while !reader.read_part().await? {}
    Ok(Bytes::from(reader.bytes))
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
            return Ok(Bytes::from(reader.bytes));
        }
    }
}

/// What has been read of a body.
struct ReplyReader {
    step: &'static str,
    body: ReplyBody,
    /// Largest body, in bytes.
    limit: usize,
    bytes: Vec<u8>,
    /// For the capacity of `bytes`.
    charge: ReadCharge,
}

impl ReplyReader {
    fn new(step: &'static str, body: ReplyBody, limit: usize) -> Self {
        let charge = body.open_charge();
        Self { step, body, limit, bytes: Vec::new(), charge }
    }

    /// Reads at least [`MIN_STEADY_BYTES`], or to the end; returns whether the body has ended.
    async fn read_progress(&mut self) -> Result<bool> {
        let begin = self.bytes.len();
        while self.bytes.len() < begin + MIN_STEADY_BYTES {
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
            self.make_room(chunk.len())?;
            self.bytes.extend_from_slice(&chunk);
        }
        Ok(false)
    }

    /// Makes room for `further` bytes.
    fn make_room(&mut self, further: usize) -> Result<()> {
        let length = self.bytes.len() + further;
        if length > self.limit {
            record_given_up(self.step, self.body.meter().peer(), length, ReadFault::TooLong);
            return Err(WebError::TooLong { step: self.step, limit: self.limit });
        }
        if length <= self.bytes.capacity() {
            return Ok(());
        }
        let rest = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        let declared = length.saturating_add(rest).min(MAX_FIRST_CAPACITY);
        let capacity = length.max(2 * self.bytes.capacity()).max(declared).min(self.limit);
        if !self.charge.keep(self.step, capacity) {
            return Err(WebError::MemoryFull { step: self.step });
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn body_error(&self, source: hyper::Error) -> WebError {
        let step = self.step;
        match self.body.meter().fault() {
            Some(ReadFault::MemoryFull) => WebError::MemoryFull { step },
            Some(ReadFault::TooLong) => WebError::TooLong { step, limit: MAX_IDLE_READ_BYTES },
            None => WebError::Body { step, source },
        }
    }
}
