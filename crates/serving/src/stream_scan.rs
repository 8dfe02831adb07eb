//! Cutting the bytes of a runner's stream into whole events, with their numbers.

use thiserror::Error;

/// Longest event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamError {
    /// An event has no number.
    #[error("event without a number")]
    MissingId,
    /// An event's number does not follow the one before.
    #[error("event {found} after event {last}")]
    OutOfOrder {
        /// Number of the event before.
        last: u64,
        /// Number found.
        found: u64,
    },
    /// An event is longer than 1 MiB.
    #[error("event of more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Passes whole events on, unchanged and in order.
#[derive(Debug, Clone, Hash, Default)]
pub struct StreamScanner {
    rest: Vec<u8>,
    last: Option<u64>,
    events: u64,
}

impl StreamScanner {
    /// Number of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Whole events so far.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Whether bytes of an unfinished event are held.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops the bytes of an unfinished event: another runner sends it anew.
    pub fn discard_partial_event(&mut self) {
        self.rest.clear();
    }

    /// Takes bytes and gives those that complete events.
    ///
    /// # Errors
    /// [`StreamError`]; nothing more may be passed on then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamError> {
        let seen = self.rest.len().saturating_sub(1);
        self.rest.extend_from_slice(bytes);
        let Some(end) = find_last_end(&self.rest, seen) else {
            return if self.rest.len() > MAX_EVENT_BYTES {
                Err(StreamError::TooLong)
            } else {
                Ok(Vec::new())
            };
        };
        let tail = self.rest.split_off(end);
        let whole = std::mem::replace(&mut self.rest, tail);
        self.check(&whole)?;
        Ok(whole)
    }

    fn check(&mut self, whole: &[u8]) -> Result<(), StreamError> {
        let mut at = 0;
        while at < whole.len() {
            let end = find_first_end(&whole[at..]).map_or(whole.len(), |end| at + end);
            self.check_event(&whole[at..end])?;
            at = end;
        }
        Ok(())
    }

    fn check_event(&mut self, event: &[u8]) -> Result<(), StreamError> {
        let found = event_number(event).ok_or(StreamError::MissingId)?;
        if let Some(last) = self.last.filter(|last| found != last + 1) {
            return Err(StreamError::OutOfOrder { last, found });
        }
        self.last = Some(found);
        self.events += 1;
        Ok(())
    }
}

/// End of the last whole event; `seen` bytes at the start hold none.
fn find_last_end(bytes: &[u8], seen: usize) -> Option<usize> {
    let start = seen.min(bytes.len());
    bytes[start..].windows(2).rposition(|pair| pair == b"\n\n").map(|at| start + at + 2)
}

fn find_first_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2)
}

fn event_number(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
