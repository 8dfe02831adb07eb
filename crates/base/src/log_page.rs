//! Records of the platform's log, as they are read.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{LogOffset, TimeSpan};

/// One record as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: LogOffset,
    /// Its content.
    pub text: Arc<str>,
    /// Time since it was appended, in milliseconds, by the log's clock.
    #[serde(default)]
    pub age_ms: u64,
}

impl LogRecord {
    /// Time since it was appended.
    #[must_use]
    pub fn age(&self) -> TimeSpan {
        TimeSpan(self.age_ms.saturating_mul(TimeSpan::millis(1).0))
    }
}

/// A run of records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset retained.
    pub first: LogOffset,
    /// The offset after the newest record of the stream.
    pub next: LogOffset,
    /// Records, in rising order, from the offset asked for or from `first`.
    pub records: Vec<LogRecord>,
}

impl LogPage {
    /// Checks that the page is a consistent answer to a read from `from`.
    ///
    /// # Errors
    /// What is wrong with the page.
    pub fn validate(&self, from: LogOffset) -> Result<(), &'static str> {
        let start = from.max(self.first);
        let is_contiguous =
            self.records.windows(2).all(|pair| pair[1].offset == pair[0].offset.next());
        if self.records.first().is_some_and(|record| record.offset != start) {
            Err("the first record is not at the requested offset")
        } else if !is_contiguous {
            Err("the offsets are not contiguous")
        } else if self.records.last().is_some_and(|record| record.offset >= self.next) {
            Err("a record lies beyond the end of the log")
        } else {
            Ok(())
        }
    }
}
