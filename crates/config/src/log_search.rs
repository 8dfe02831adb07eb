//! The search backwards from the log's end for a record to start from.

use base::{LogOffset, LogPage, LogRecord, TimeSpan};

use crate::ConfigRecord;

/// Records of the first window; each further one has twice as many.
const FIRST_WINDOW_RECORDS: u64 = 64;
/// Most records of a window.
const MAX_WINDOW_RECORDS: u64 = 1_000;

/// A record of the log from which a reader can start.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FoundStart {
    pub offset: LogOffset,
    pub age: TimeSpan,
    /// The last record that its state includes.
    pub as_of: LogOffset,
    pub record: ConfigRecord,
}

/// A backward search in windows; each window is read forwards.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogSearch {
    /// The search ends at this offset: the reader has folded the records before it.
    floor: LogOffset,
    /// Start of the current window.
    start: LogOffset,
    /// End of the current window, not included.
    end: LogOffset,
    /// Next record to read in the current window.
    at: LogOffset,
    /// End of the whole range that is searched, not included.
    pub top: LogOffset,
    /// The usable record of the current window with the latest state.
    best: Option<FoundStart>,
}

/// The next step of a search.
#[derive(Debug, PartialEq)]
pub(crate) enum SearchStep {
    /// Read again, as [`LogSearch::read`] says.
    More,
    /// The best record to start from.
    Found(Box<FoundStart>),
    /// The log has no record to start from.
    Exhausted,
}

impl LogSearch {
    /// Searches a log that retains `first` to before `next`, down to `floor`.
    pub fn new(first: LogOffset, next: LogOffset, floor: LogOffset) -> Self {
        let floor = floor.max(first);
        let start = LogOffset(next.0.saturating_sub(FIRST_WINDOW_RECORDS)).max(floor);
        Self { floor, start, end: next, at: start, top: next, best: None }
    }

    /// The next read: first record, and how many.
    pub fn read(&self) -> (LogOffset, usize) {
        (self.at, self.end.0.saturating_sub(self.at.0).clamp(1, MAX_WINDOW_RECORDS) as usize)
    }

    /// Applies the result of the last read.
    pub fn take(&mut self, page: &LogPage) -> SearchStep {
        self.floor = self.floor.max(page.first);
        let start = self.at;
        for record in page.records.iter().filter(|record| record.offset < self.end) {
            self.at = self.at.max(record.offset.next());
            let found = usable_start(record, page.first, self.floor);
            let better =
                |found: &FoundStart| self.best.as_ref().is_none_or(|best| found.as_of > best.as_of);
            self.best = found.filter(better).or(self.best.take());
        }
        if self.at < self.end && self.at > start {
            return SearchStep::More;
        }
        if let Some(best) = self.best.take_if(|best| is_retained(best, page.first)) {
            return SearchStep::Found(Box::new(best));
        }
        if self.start <= self.floor {
            return SearchStep::Exhausted;
        }
        let length = (2 * (self.end.0 - self.start.0)).min(MAX_WINDOW_RECORDS);
        self.end = self.start;
        self.start = LogOffset(self.end.0.saturating_sub(length)).max(self.floor);
        self.at = self.start;
        SearchStep::More
    }
}

fn is_retained(found: &FoundStart, first: LogOffset) -> bool {
    found.as_of.next() >= first
}

/// The start that `record` gives, if every record after its state is retained and its state
/// includes at least the records before `floor`.
pub(crate) fn usable_start(
    record: &LogRecord,
    first: LogOffset,
    floor: LogOffset,
) -> Option<FoundStart> {
    let content = ConfigRecord::decode(&record.text).ok()?;
    let as_of = match &content {
        ConfigRecord::Checkpoint(checkpoint) => checkpoint.state.offset,
        ConfigRecord::Reset(reset) if reset.after.next() == record.offset => record.offset,
        _ => return None,
    };
    let is_reset = matches!(content, ConfigRecord::Reset(_));
    let usable =
        (is_reset || as_of < record.offset) && as_of.next() >= first && as_of.next() >= floor;
    let (offset, age) = (record.offset, record.age());
    usable.then_some(FoundStart { offset, age, as_of, record: content })
}
