//! What is in force: a pure fold over the records of the log.
//!
//! A publish record is accepted if and only if each of its changes names the version
//! that is in force. The rule never looks into a file, so that releases with different
//! schemas fold alike, and races of operators end the same everywhere.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use base::LogOffset;
use thiserror::Error;

use crate::{
    CheckpointRecord, ConfigDelta, ConfigRecord, ConfigState, FileRemoval, FileVersion,
    PublishRecord, RecordError, ResetRecord,
};

/// The file that a rejected reset is said to have been beaten on.
const ALL_FILES: &str = "(all files)";

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum FoldOutcome {
    /// All changes of the record are in force.
    Accepted,
    /// None of its changes is in force.
    Rejected {
        /// The first file whose base is not the version in force.
        file: Arc<str>,
        /// That version; 0 if the file is not there.
        beaten_by: LogOffset,
    },
    /// The record changes nothing.
    Ignored(IgnoredReason),
    /// Records before this one are missing: nothing was folded.
    Stopped {
        /// The record that has to come next.
        wanted: LogOffset,
    },
}

impl fmt::Display for FoldOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted => f.write_str("accepted"),
            Self::Rejected { file, beaten_by } => {
                write!(f, "rejected: {file} is at version {beaten_by}")
            }
            Self::Ignored(reason) => write!(f, "ignored: {reason}"),
            Self::Stopped { wanted } => write!(f, "stopped: record {wanted} is missing"),
        }
    }
}

/// Why a record changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum IgnoredReason {
    /// It was folded before.
    #[error("folded before")]
    AlreadyFolded,
    /// It is a checkpoint, and this reader has folded what it holds.
    #[error("a checkpoint")]
    Checkpoint,
    /// Its text is not a record known here.
    #[error("{0}")]
    Unreadable(RecordError),
    /// It changes no file.
    #[error("it changes no file")]
    Empty,
    /// It changes a file twice.
    #[error("it changes a file twice")]
    RepeatedFile,
}

/// A reader's position and state; clones share the state until one of them changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ConfigFold {
    state: Arc<ConfigState>,
}

impl ConfigFold {
    /// A fold before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The state so far.
    #[must_use]
    pub fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// The last record folded.
    #[must_use]
    pub fn offset(&self) -> LogOffset {
        self.state.offset
    }

    /// The record that has to come next.
    #[must_use]
    pub fn next(&self) -> LogOffset {
        self.state.offset.next()
    }

    /// Folds the record `text` at `offset`.
    pub fn apply(&mut self, offset: LogOffset, text: &str) -> FoldOutcome {
        if let Some(outcome) = self.out_of_turn(offset) {
            return outcome;
        }
        match ConfigRecord::decode(text) {
            Ok(record) => self.apply_record(offset, &record),
            Err(error) => self.skip(offset, IgnoredReason::Unreadable(error)),
        }
    }

    /// Folds a record that was read before.
    pub fn apply_record(&mut self, offset: LogOffset, record: &ConfigRecord) -> FoldOutcome {
        if let Some(outcome) = self.out_of_turn(offset) {
            return outcome;
        }
        match record {
            ConfigRecord::Publish(publish) => self.apply_publish(offset, publish),
            ConfigRecord::Checkpoint(_) => self.skip(offset, IgnoredReason::Checkpoint),
            ConfigRecord::Reset(reset) => self.apply_reset(offset, reset),
        }
    }

    /// Starts from a checkpoint that stands at `offset` of a log that retains records
    /// from `first` on. Done only if that moves this reader forward, and if every record
    /// after the checkpoint's state is still there to be folded.
    pub fn start_from(
        &mut self,
        checkpoint: &CheckpointRecord,
        offset: LogOffset,
        first: LogOffset,
    ) -> bool {
        let as_of = checkpoint.state.offset;
        let usable = as_of < offset && as_of.next() >= first && as_of > self.offset();
        if usable {
            self.state = Arc::new(checkpoint.state.clone());
        }
        usable
    }

    /// Starts from a reset that stands at `offset`, without the records before it. Done
    /// only if that moves this reader forward, and if the reset counts.
    pub fn start_over(&mut self, reset: &ResetRecord, offset: LogOffset) -> bool {
        let counts =
            offset > self.offset() && reset_outcome(offset, reset) == FoldOutcome::Accepted;
        if counts {
            self.state = Arc::new(reset_state(offset, reset));
        }
        counts
    }

    /// Takes a later state from a peer. Done only if that moves this reader forward, and
    /// if the change is complete for it.
    pub fn adopt(&mut self, delta: &ConfigDelta) -> bool {
        let usable = delta.state.offset > self.offset() && delta.above <= self.offset();
        if usable {
            Arc::make_mut(&mut self.state).advance(delta);
        }
        usable
    }

    fn out_of_turn(&self, offset: LogOffset) -> Option<FoldOutcome> {
        if offset <= self.offset() {
            return Some(FoldOutcome::Ignored(IgnoredReason::AlreadyFolded));
        }
        (offset > self.next()).then(|| FoldOutcome::Stopped { wanted: self.next() })
    }

    fn skip(&mut self, offset: LogOffset, reason: IgnoredReason) -> FoldOutcome {
        Arc::make_mut(&mut self.state).set_offset(offset);
        FoldOutcome::Ignored(reason)
    }

    fn apply_reset(&mut self, offset: LogOffset, reset: &ResetRecord) -> FoldOutcome {
        let outcome = reset_outcome(offset, reset);
        if outcome == FoldOutcome::Accepted {
            self.state = Arc::new(reset_state(offset, reset));
        } else {
            Arc::make_mut(&mut self.state).set_offset(offset);
        }
        outcome
    }

    fn apply_publish(&mut self, offset: LogOffset, publish: &PublishRecord) -> FoldOutcome {
        if publish.files.is_empty() {
            return self.skip(offset, IgnoredReason::Empty);
        }
        let paths: BTreeSet<&str> = publish.files.iter().map(|file| &*file.path).collect();
        if paths.len() < publish.files.len() {
            return self.skip(offset, IgnoredReason::RepeatedFile);
        }
        let beaten = publish.files.iter().find(|file| self.state.version(&file.path) != file.base);
        let state = Arc::make_mut(&mut self.state);
        if let Some(file) = beaten {
            let beaten_by = state.version(&file.path);
            state.set_offset(offset);
            return FoldOutcome::Rejected { file: Arc::clone(&file.path), beaten_by };
        }
        for file in &publish.files {
            let (path, author) = (Arc::clone(&file.path), Arc::clone(&publish.author));
            if let Some(text) = &file.text {
                state.removed.remove(&path);
                let text = Arc::clone(text);
                state.files.insert(path, FileVersion { version: offset, author, text });
            } else {
                state.files.remove(&path);
                state.removed.insert(path, FileRemoval { version: offset, author });
            }
        }
        state.accepted = offset;
        state.set_offset(offset);
        FoldOutcome::Accepted
    }
}

/// What becomes of a reset: it follows from its own text and place alone.
pub(crate) fn reset_outcome(offset: LogOffset, reset: &ResetRecord) -> FoldOutcome {
    let paths: BTreeSet<&str> = reset.files.iter().map(|file| &*file.path).collect();
    if reset.files.is_empty() {
        FoldOutcome::Ignored(IgnoredReason::Empty)
    } else if paths.len() < reset.files.len() {
        FoldOutcome::Ignored(IgnoredReason::RepeatedFile)
    } else if reset.after.next() != offset {
        let beaten_by = LogOffset(offset.0 - 1);
        FoldOutcome::Rejected { file: Arc::from(ALL_FILES), beaten_by }
    } else {
        FoldOutcome::Accepted
    }
}

fn reset_state(offset: LogOffset, reset: &ResetRecord) -> ConfigState {
    let file = |file: &crate::ResetFile| {
        let (author, text) = (Arc::clone(&reset.author), Arc::clone(&file.text));
        (Arc::clone(&file.path), FileVersion { version: offset, author, text })
    };
    let files = reset.files.iter().map(file).collect();
    ConfigState { offset, accepted: offset, reset: offset, files, ..ConfigState::default() }
}
