//! The published files as of one offset of the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::LogOffset;
use serde::{Deserialize, Serialize};

/// Records for which a removed file's version is kept, so that a late duplicate of the record
/// that created the file cannot restore it.
const REMOVED_MEMORY_RECORDS: u64 = 65_536;

/// A file in force.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileVersion {
    /// Offset of the record that gave it this content.
    pub version: LogOffset,
    /// Who published it.
    pub author: Arc<str>,
    /// Its content.
    pub text: Arc<str>,
}

/// A file that was removed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileRemoval {
    /// Offset of the record that removed it.
    pub version: LogOffset,
    /// Who removed it.
    pub author: Arc<str>,
}

/// The published files as of one offset: a function of the log up to there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigState {
    /// The last record that was folded; 0 before the first.
    pub offset: LogOffset,
    /// The last record that was accepted; 0 before the first.
    pub accepted: LogOffset,
    /// The last reset that was accepted; 0 if there was none. No delta starts before it.
    pub reset: LogOffset,
    /// Files by path.
    pub files: BTreeMap<Arc<str>, FileVersion>,
    /// Removed files by path, for a bounded number of records.
    pub removed: BTreeMap<Arc<str>, FileRemoval>,
}

/// The changes after an offset; the whole state if `above` is 0.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The delta is complete for a reader that has folded this offset or a later one.
    pub above: LogOffset,
    /// The state after the changes, with only the files whose version is above `above`.
    pub state: ConfigState,
}

impl ConfigState {
    /// The version that a change of `path` must name as its base; 0 for a file that does
    /// not exist and was not removed recently.
    #[must_use]
    pub fn version(&self, path: &str) -> LogOffset {
        let live = self.files.get(path).map(|file| file.version);
        live.or_else(|| self.removed.get(path).map(|file| file.version)).unwrap_or_default()
    }

    /// Who published the version of `path` that is in force, or removed it.
    #[must_use]
    pub fn author(&self, path: &str) -> Option<&Arc<str>> {
        let live = self.files.get(path).map(|file| &file.author);
        live.or_else(|| self.removed.get(path).map(|file| &file.author))
    }

    /// The delta for a reader that has folded `above`: only the changes, or the whole state
    /// if there was a reset since or removals may have been dropped meanwhile.
    #[must_use]
    pub fn delta(&self, above: LogOffset) -> ConfigDelta {
        let too_far = above.0 + REMOVED_MEMORY_RECORDS < self.offset.0;
        if above.0 == 0 || above < self.reset || too_far {
            return ConfigDelta { above: LogOffset(0), state: self.clone() };
        }
        let newer = |version: LogOffset| version > above;
        let files = self.files.iter().filter(|(_, file)| newer(file.version));
        let removed = self.removed.iter().filter(|(_, file)| newer(file.version));
        let state = Self {
            offset: self.offset,
            accepted: self.accepted,
            reset: self.reset,
            files: files.map(|(path, file)| (Arc::clone(path), file.clone())).collect(),
            removed: removed.map(|(path, file)| (Arc::clone(path), file.clone())).collect(),
        };
        ConfigDelta { above, state }
    }

    /// Moves to a later state of the same log; the caller has checked that it is later
    /// and that `delta` is complete for this state.
    pub(crate) fn advance(&mut self, delta: &ConfigDelta) {
        if delta.above.0 == 0 {
            self.clone_from(&delta.state);
            return;
        }
        for (path, removal) in &delta.state.removed {
            self.files.remove(path);
            self.removed.insert(Arc::clone(path), removal.clone());
        }
        for (path, file) in &delta.state.files {
            self.removed.remove(path);
            self.files.insert(Arc::clone(path), file.clone());
        }
        self.accepted = delta.state.accepted;
        self.set_offset(delta.state.offset);
    }

    /// Moves to `offset`, and drops removals that are too old.
    pub(crate) fn set_offset(&mut self, offset: LogOffset) {
        self.offset = offset;
        let oldest = offset.0.saturating_sub(REMOVED_MEMORY_RECORDS);
        if !self.removed.is_empty() {
            self.removed.retain(|_, file| file.version.0 >= oldest);
        }
    }
}
