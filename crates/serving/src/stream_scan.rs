//! Splits a runner's `text/event-stream` into complete events and checks their ids.

use thiserror::Error;

/// Maximum size of an event, in bytes. An event holds a few tokens; a node holds the incomplete
/// event of each of its streams.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// A malformed event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamError {
    /// An event has no `id:` line with a number.
    #[error("event has no numeric id")]
    MissingId,
    /// An event's id is not one higher than that of the previous event.
    #[error("event id {found} does not follow {last}")]
    OutOfOrder {
        /// Id of the previous event.
        last: u64,
        /// Id of the offending event.
        found: u64,
    },
    /// An event is larger than 64 KiB.
    #[error("event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Incremental splitter that returns complete events, unchanged and in order.
#[derive(Debug, Clone, Hash, Default)]
pub struct StreamScanner {
    /// Bytes of the last, incomplete event.
    partial: Vec<u8>,
    last_id: Option<u64>,
    event_count: u64,
    /// Whether events up to the last one may come again.
    may_repeat: bool,
    /// Whether the first events of the run were read elsewhere.
    lacks_begin: bool,
}

impl StreamScanner {
    /// Scanner of a stream whose next event follows `last_id`; any id may come first if that is
    /// `None`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, lacks_begin: last_id.is_some(), ..Self::default() }
    }

    /// Id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of complete events so far.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Number of complete events of the run so far; `None` if its first ones were read elsewhere, or if
    /// another run has gone on after the last one.
    #[must_use]
    pub fn total_events(&self) -> Option<u64> {
        (!self.lacks_begin).then_some(self.event_count)
    }

    /// The events from now on are those of another run.
    pub fn begin_run(&mut self) {
        self.lacks_begin = true;
    }

    /// Bytes of the incomplete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the bytes of an incomplete event. The runner that continues the stream sends
    /// that event from its start.
    pub fn discard_partial_event(&mut self) {
        self.partial.clear();
    }

    /// Skips the events up to the last one if they come again: the runner that continues the stream goes
    /// on after an earlier one.
    pub fn skip_repeats(&mut self) {
        self.may_repeat = true;
    }

    /// Appends bytes and returns all complete new events; empty if there are none yet.
    ///
    /// # Errors
    /// Returns a [`StreamError`] if the stream is malformed. Nothing more of it may be
    /// forwarded then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamError> {
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = find_last_end(&self.partial, searched) else {
            return if self.partial.len() > MAX_EVENT_BYTES {
                Err(StreamError::TooLong)
            } else {
                Ok(Vec::new())
            };
        };
        let tail = self.partial.split_off(end);
        let mut complete = std::mem::replace(&mut self.partial, tail);
        let repeated = self.skip_repeated(&complete)?;
        self.check_events(&complete[repeated..])?;
        complete.drain(..repeated);
        Ok(complete)
    }

    /// Length of the events that come again, in bytes.
    fn skip_repeated(&mut self, events: &[u8]) -> Result<usize, StreamError> {
        let mut start = 0;
        while self.may_repeat && start < events.len() {
            let end = find_first_end(&events[start..]).map_or(events.len(), |end| start + end);
            let found = event_id(&events[start..end]).ok_or(StreamError::MissingId)?;
            self.may_repeat = self.last_id.is_some_and(|last| found <= last);
            if self.may_repeat {
                start = end;
            }
        }
        Ok(start)
    }

    fn check_events(&mut self, events: &[u8]) -> Result<(), StreamError> {
        let mut start = 0;
        while start < events.len() {
            let end = find_first_end(&events[start..]).map_or(events.len(), |end| start + end);
            self.check_event(&events[start..end])?;
            start = end;
        }
        Ok(())
    }

    fn check_event(&mut self, event: &[u8]) -> Result<(), StreamError> {
        let found = event_id(event).ok_or(StreamError::MissingId)?;
        if let Some(last) = self.last_id.filter(|last| found != last + 1) {
            return Err(StreamError::OutOfOrder { last, found });
        }
        self.last_id = Some(found);
        self.event_count += 1;
        Ok(())
    }
}

/// Position after the blank line that ends the last complete event. No such line
/// starts in the first `searched` bytes, which are skipped.
fn find_last_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let start = searched.min(bytes.len());
    bytes[start..].windows(2).rposition(|pair| pair == b"\n\n").map(|at| start + at + 2)
}

/// Position after the blank line that ends the first event.
fn find_first_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2)
}

/// Number in the first `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
