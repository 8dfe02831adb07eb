//! Records of the log's configuration stream, in a versioned envelope.
//!
//! The meaning of a version never changes: a new meaning gets a new version, and a version
//! is written only once every process that folds the stream can read it.

use std::sync::Arc;

use base::{LogOffset, PublishId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ConfigState;

/// The version that is written, and the only one that is read.
const RECORD_VERSION: u16 = 1;

/// A change of one file.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileChange {
    /// Name of the file.
    pub path: Arc<str>,
    /// The version that it replaces; 0 for a file that is not there.
    pub base: LogOffset,
    /// Its new content; none removes it.
    pub text: Option<Arc<str>>,
}

/// One publish command of an operator: all its changes, or none.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRecord {
    /// Random number, to find the record after a lost answer.
    pub id: PublishId,
    /// Who published.
    pub author: Arc<str>,
    /// A note for the next shift.
    pub note: Arc<str>,
    /// The changes; each path once.
    pub files: Vec<FileChange>,
}

/// A file of a [`ResetRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResetFile {
    /// Name of the file.
    pub path: Arc<str>,
    /// Its content.
    pub text: Arc<str>,
}

/// An operator's reset to these files and no others, whatever was in force.
///
/// It is used when the configuration in force can no longer be determined, because its
/// records have expired. It depends on no earlier record, so every reader can start from it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResetRecord {
    /// Random number, to find the record after a lost answer.
    pub id: PublishId,
    /// Who published.
    pub author: Arc<str>,
    /// A note for the next shift.
    pub note: Arc<str>,
    /// The newest record that the operator saw; the reset is accepted only as the next one.
    pub after: LogOffset,
    /// All files; each path once.
    pub files: Vec<ResetFile>,
}

/// The part of an operator's record that the history keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordHeading {
    /// Its number.
    pub id: PublishId,
    /// Who published.
    pub author: Arc<str>,
    /// The note for the next shift.
    pub note: Arc<str>,
    /// Files that it sets, changes or removes.
    pub paths: Vec<Arc<str>>,
}

/// The whole configuration as of an offset, to start from when older records have expired.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointRecord {
    /// The state; its `offset` is the last record that it includes.
    pub state: ConfigState,
}

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A change.
    Publish(PublishRecord),
    /// The whole state.
    Checkpoint(CheckpointRecord),
    /// A reset.
    Reset(ResetRecord),
}

/// Why a text is not a record of the version known here; every reader ignores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum RecordError {
    /// Not a record at all.
    #[error("not a configuration record")]
    Malformed,
    /// A record of another version.
    #[error("configuration record of version {0}")]
    UnknownVersion(u16),
}

#[derive(Deserialize)]
struct VersionProbe {
    version: u16,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope<R> {
    version: u16,
    record: R,
}

impl ConfigRecord {
    /// The heading of an operator's record; none for checkpoints.
    #[must_use]
    pub fn heading(&self) -> Option<RecordHeading> {
        let (id, author, note, paths) = match self {
            Self::Checkpoint(_) => return None,
            Self::Publish(record) => {
                let paths = record.files.iter().map(|file| Arc::clone(&file.path));
                (record.id, &record.author, &record.note, paths.collect())
            }
            Self::Reset(record) => {
                let paths = record.files.iter().map(|file| Arc::clone(&file.path));
                (record.id, &record.author, &record.note, paths.collect())
            }
        };
        Some(RecordHeading { id, author: Arc::clone(author), note: Arc::clone(note), paths })
    }

    /// The text that is appended to the log.
    ///
    /// # Panics
    /// Never: every record has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Arc<str> {
        let envelope = Envelope { version: RECORD_VERSION, record: self };
        Arc::from(serde_json::to_string(&envelope).expect("records have a JSON form"))
    }

    /// Decodes a record's text.
    ///
    /// # Errors
    /// [`RecordError`], the same in every reader of this version.
    pub fn decode(text: &str) -> Result<Self, RecordError> {
        if let Ok(Envelope { version: RECORD_VERSION, record }) = serde_json::from_str(text) {
            return Ok(record);
        }
        match serde_json::from_str::<VersionProbe>(text) {
            Ok(VersionProbe { version }) if version != RECORD_VERSION => {
                Err(RecordError::UnknownVersion(version))
            }
            _ => Err(RecordError::Malformed),
        }
    }
}
