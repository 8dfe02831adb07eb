//! The configuration in force: a pure fold over the records of the log.
//!
//! A publish record is accepted if and only if each of its changes names the version
//! that is in force. The fold never parses a file, so that releases with different schemas
//! agree, and concurrent publishes have the same outcome everywhere.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use base::LogOffset;
use thiserror::Error;

use crate::{
    CheckpointRecord, ConfigDelta, ConfigRecord, ConfigState, FileRemoval, FileVersion,
    PublishRecord, RecordError, ResetRecord,
};

/// Shown as the conflicting file of a rejected reset, which replaces all files.
const ALL_FILES: &str = "(all files)";

/// The outcome of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum FoldOutcome {
    /// All changes of the record are in force.
    Accepted,
    /// None of its changes is in force.
    Rejected {
        /// The first file whose base is not the version in force.
        file: Arc<str>,
        /// That version; 0 if the file is not there.
        current_version: LogOffset,
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
            Self::Rejected { file, current_version } => {
                write!(f, "rejected: {file} is at version {current_version}")
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
    /// It is a checkpoint, whose state this reader has folded.
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

/// A reader's offset and state; clones share the state until one of them changes.
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
        if let Some(outcome) = self.out_of_sequence(offset) {
            return outcome;
        }
        match ConfigRecord::decode(text) {
            Ok(record) => self.apply_record(offset, &record),
            Err(error) => self.skip(offset, IgnoredReason::Unreadable(error)),
        }
    }

    /// Folds a record that has been decoded.
    pub fn apply_record(&mut self, offset: LogOffset, record: &ConfigRecord) -> FoldOutcome {
        if let Some(outcome) = self.out_of_sequence(offset) {
            return outcome;
        }
        match record {
            ConfigRecord::Publish(publish) => self.apply_publish(offset, publish),
            ConfigRecord::Checkpoint(_) => self.skip(offset, IgnoredReason::Checkpoint),
            ConfigRecord::Reset(reset) => self.apply_reset(offset, reset),
        }
    }

    /// Starts from a checkpoint at `offset` of a log that retains the records from `first`
    /// on. Done only if that moves this reader forward, and if every record after the
    /// checkpoint's state is retained; says whether it was done.
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

    /// Starts from a reset at `offset`, without the records before it. Done only if that
    /// moves this reader forward, and if the reset is accepted; says whether it was done.
    pub fn start_from_reset(&mut self, reset: &ResetRecord, offset: LogOffset) -> bool {
        let usable =
            offset > self.offset() && reset_outcome(offset, reset) == FoldOutcome::Accepted;
        if usable {
            self.state = Arc::new(reset_state(offset, reset));
        }
        usable
    }

    /// Adopts a later state from a peer. Done only if that moves this reader forward, and
    /// if the delta is complete for it; says whether it was done.
    pub fn adopt(&mut self, delta: &ConfigDelta) -> bool {
        let usable = delta.state.offset > self.offset() && delta.above <= self.offset();
        if usable {
            Arc::make_mut(&mut self.state).advance(delta);
        }
        usable
    }

    fn out_of_sequence(&self, offset: LogOffset) -> Option<FoldOutcome> {
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
        let conflict =
            publish.files.iter().find(|file| self.state.version(&file.path) != file.base);
        let state = Arc::make_mut(&mut self.state);
        if let Some(file) = conflict {
            let current_version = state.version(&file.path);
            state.set_offset(offset);
            return FoldOutcome::Rejected { file: Arc::clone(&file.path), current_version };
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

/// The outcome of a reset, which depends on its content and offset alone.
pub(crate) fn reset_outcome(offset: LogOffset, reset: &ResetRecord) -> FoldOutcome {
    let paths: BTreeSet<&str> = reset.files.iter().map(|file| &*file.path).collect();
    if reset.files.is_empty() {
        FoldOutcome::Ignored(IgnoredReason::Empty)
    } else if paths.len() < reset.files.len() {
        FoldOutcome::Ignored(IgnoredReason::RepeatedFile)
    } else if reset.after.next() != offset {
        let current_version = LogOffset(offset.0 - 1);
        FoldOutcome::Rejected { file: Arc::from(ALL_FILES), current_version }
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
