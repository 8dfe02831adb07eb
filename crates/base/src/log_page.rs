//! Records read from the platform's log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{LogOffset, TimeSpan};

/// A record read from the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record in its stream.
    pub offset: LogOffset,
    /// Content of the record.
    pub text: Arc<str>,
    /// Time since the record was appended, in milliseconds, measured by the log's clock.
    #[serde(default)]
    pub age_ms: u64,
}

impl LogRecord {
    /// Returns the time since the record was appended.
    #[must_use]
    pub fn age(&self) -> TimeSpan {
        TimeSpan(self.age_ms.saturating_mul(TimeSpan::millis(1).0))
    }
}

/// Consecutive records of a stream, and the range of offsets that the stream retains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest retained offset.
    pub first: LogOffset,
    /// The offset after the newest record in the stream.
    pub next: LogOffset,
    /// Records in ascending order, from the requested offset or from `first` if that is later.
    pub records: Vec<LogRecord>,
}

impl LogPage {
    /// Returns what makes the page an inconsistent answer to a read from `from`, or `None` if it
    /// is consistent.
    #[must_use]
    pub fn find_violation(&self, from: LogOffset) -> Option<&'static str> {
        let start = from.max(self.first);
        let is_contiguous =
            self.records.windows(2).all(|pair| pair[1].offset == pair[0].offset.next());
        if self.records.first().is_some_and(|record| record.offset != start) {
            Some("the first record is not at the requested offset")
        } else if !is_contiguous {
            Some("the offsets are not contiguous")
        } else if self.records.last().is_some_and(|record| record.offset >= self.next) {
            Some("a record lies beyond the end of the log")
        } else {
            None
        }
    }
}
