//! The search for a usable checkpoint, from the end of the log backwards.

use base::{LogOffset, LogPage, LogRecord, TimeSpan};

use crate::{CheckpointRecord, ConfigRecord};

/// Records of the first window; each further one is twice as long.
const FIRST_WINDOW_RECORDS: u64 = 64;
/// Most records of a window.
const MAX_WINDOW_RECORDS: u64 = 1_000;

/// A checkpoint found in the log.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FoundCheckpoint {
    pub offset: LogOffset,
    pub age: TimeSpan,
    pub checkpoint: CheckpointRecord,
}

/// A backward search in windows; each window is read forwards.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogSearch {
    /// The search ends below this offset: the reader has folded what lies there.
    floor: LogOffset,
    /// Start of the present window.
    start: LogOffset,
    /// End of the present window, not included.
    end: LogOffset,
    /// Next record to read of the present window.
    at: LogOffset,
    /// End of the whole range that is searched, not included.
    pub top: LogOffset,
    /// The checkpoint of the window with the highest state.
    best: Option<FoundCheckpoint>,
}

/// What comes next in a search.
#[derive(Debug, PartialEq)]
pub(crate) enum SearchStep {
    /// Read on.
    More,
    /// The best usable checkpoint.
    Found(Box<FoundCheckpoint>),
    /// No usable checkpoint in the log.
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

    /// Takes the answer to the last read.
    pub fn take(&mut self, page: &LogPage) -> SearchStep {
        self.floor = self.floor.max(page.first);
        let start = self.at;
        for record in page.records.iter().filter(|record| record.offset < self.end) {
            self.at = self.at.max(record.offset.next());
            let found = usable_checkpoint(record, page.first, self.floor);
            let better = |found: &FoundCheckpoint| {
                let best = self.best.as_ref().map(|best| best.checkpoint.state.offset);
                best.is_none_or(|best| found.checkpoint.state.offset > best)
            };
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

fn is_retained(found: &FoundCheckpoint, first: LogOffset) -> bool {
    found.checkpoint.state.offset.next() >= first
}

/// The checkpoint that `record` holds, if every record after its state is retained and
/// it holds more than the records before `floor`.
pub(crate) fn usable_checkpoint(
    record: &LogRecord,
    first: LogOffset,
    floor: LogOffset,
) -> Option<FoundCheckpoint> {
    let Ok(ConfigRecord::Checkpoint(checkpoint)) = ConfigRecord::decode(&record.text) else {
        return None;
    };
    let as_of = checkpoint.state.offset;
    let usable = as_of < record.offset && as_of.next() >= first && as_of.next() >= floor;
    usable.then_some(FoundCheckpoint { offset: record.offset, age: record.age(), checkpoint })
}
