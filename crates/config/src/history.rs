//! The history of publishes: the newest records of operators and their outcomes.

use std::collections::VecDeque;
use std::sync::Arc;

use base::{LogOffset, PublishId, TimePoint, TimeSpan};
use serde::Serialize;

use crate::{FoldOutcome, RecordHeading};

/// Records that are kept.
const MAX_ENTRIES: usize = 512;
/// Paths of a record that are kept.
const MAX_PATHS: usize = 16;

/// One publish or reset record and its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryEntry {
    /// Its offset in the log.
    pub offset: LogOffset,
    /// Its number.
    pub id: PublishId,
    /// Who published.
    pub author: Arc<str>,
    /// The note for the next shift.
    pub note: Arc<str>,
    /// Files that it changes; only the first few.
    pub paths: Vec<Arc<str>>,
    /// Its outcome.
    pub outcome: FoldOutcome,
    /// When it was appended.
    pub appended: TimePoint,
}

/// A history entry in the form that is shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HistoryLine {
    /// Its offset in the log.
    pub offset: LogOffset,
    /// Who published.
    pub author: Arc<str>,
    /// The note for the next shift.
    pub note: Arc<str>,
    /// Files that it changes; only the first few.
    pub files: Vec<Arc<str>>,
    /// `accepted`, or `rejected` and why.
    pub outcome: Arc<str>,
    /// Time since it was appended, in milliseconds.
    pub age_ms: u64,
}

/// A bounded list of the newest publish and reset records, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PublishHistory {
    entries: VecDeque<HistoryEntry>,
}

impl PublishHistory {
    /// Adds a record that was appended `age` before `now`; a full list drops its oldest.
    pub fn push(
        &mut self,
        now: TimePoint,
        age: TimeSpan,
        offset: LogOffset,
        heading: RecordHeading,
        outcome: FoldOutcome,
    ) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        let mut paths = heading.paths;
        paths.truncate(MAX_PATHS);
        self.entries.push_back(HistoryEntry {
            offset,
            id: heading.id,
            author: heading.author,
            note: heading.note,
            paths,
            outcome,
            appended: now - age,
        });
    }

    /// The entries, oldest first.
    #[must_use]
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.entries.iter()
    }

    /// The entries in the form that is shown, oldest first.
    #[must_use]
    pub fn lines(&self, now: TimePoint) -> Vec<HistoryLine> {
        self.entries.iter().map(|entry| entry.line(now)).collect()
    }
}

impl HistoryEntry {
    fn line(&self, now: TimePoint) -> HistoryLine {
        HistoryLine {
            offset: self.offset,
            author: Arc::clone(&self.author),
            note: Arc::clone(&self.note),
            files: self.paths.clone(),
            outcome: Arc::from(self.outcome.to_string()),
            age_ms: now.since(self.appended).as_millis(),
        }
    }
}
