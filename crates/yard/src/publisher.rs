//! From a set of files to a record in the log, and to what became of it.

use std::collections::BTreeSet;
use std::sync::Arc;

use base::{LogOffset, PublishId, TimePoint, TimeSpan};
use config::{
    ConfigRecord, ConfigState, FaultLevel, FileChange, FileFault, FoldOutcome, check_files,
};
use kernel::{MonotonicClock, sleep};
use platform::{AppendOutcome, LogClient};

use crate::config_reader::{CONFIG_STREAM, ConfigReader};
use crate::file_set::FileSet;

/// Time between two attempts to learn or bring about what became of a record.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(500);

/// What became of a publish record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PublishOutcome {
    /// In force from this offset on.
    Accepted(LogOffset),
    /// Nothing of it is in force.
    Rejected {
        /// Where it stands.
        offset: LogOffset,
        /// The file that had another version.
        file: Arc<str>,
        /// That version; 0 if the file is not there.
        current_version: LogOffset,
        /// Who published that version.
        author: Arc<str>,
    },
    /// The log refused every attempt: nothing was appended.
    NotAppended(Arc<str>),
    /// It may stand in the log; reading on did not tell in time.
    Unknown(Arc<str>),
}

/// The changes that turn what is in force into the files of the folders.
pub(crate) fn changes(set: &FileSet, state: &ConfigState) -> Vec<FileChange> {
    let mut changes = Vec::new();
    for (path, text) in &set.files {
        if state.files.get(path).is_none_or(|file| file.text != *text) {
            let (path, base) = (Arc::clone(path), state.version(path));
            changes.push(FileChange { path, base, text: Some(Arc::clone(text)) });
        }
    }
    let gone = |path: &&Arc<str>| set.owns(path) && !set.files.contains_key(*path);
    for path in state.files.keys().filter(gone) {
        changes.push(FileChange { path: Arc::clone(path), base: state.version(path), text: None });
    }
    changes
}

/// Faults of what would be in force after the publish. Faults of other folders' files
/// that are there already do not hold it up: they come as warnings.
pub(crate) fn check_merged(set: &FileSet, state: &ConfigState) -> Vec<FileFault> {
    let others = state.files.iter().filter(|(path, _)| !set.owns(path));
    let others: Vec<(&str, &str)> = others.map(|(path, file)| (&**path, &*file.text)).collect();
    let before: Vec<(&str, &str)> =
        state.files.iter().map(|(path, file)| (&**path, &*file.text)).collect();
    let known: BTreeSet<String> = check_files(&before).iter().map(FileFault::to_string).collect();
    let own = set.files.iter().map(|(path, text)| (&**path, &**text));
    let merged: Vec<(&str, &str)> = others.into_iter().chain(own).collect();
    let mut faults = check_files(&merged);
    for found in &mut faults {
        if !set.owns(&found.fault.source) && known.contains(&found.to_string()) {
            found.level = FaultLevel::Warning;
        }
    }
    faults
}

/// Appends `record`, whose number is `id`, and finds out what became of it, within `limit`.
///
/// An append whose answer was lost is looked for by its publish id. Where it is not
/// found the same record is appended again: should both stand in the log, the second
/// names versions that the first has replaced, and is rejected. The first one counts.
pub(crate) async fn publish(
    client: &LogClient,
    reader: &mut ConfigReader,
    id: PublishId,
    record: &ConfigRecord,
    limit: TimeSpan,
) -> PublishOutcome {
    let clock = MonotonicClock::new();
    let deadline = clock.now() + limit;
    let text = record.encode();
    let mut in_doubt = false;
    loop {
        let reason = match client.append(CONFIG_STREAM, &text).await {
            AppendOutcome::Accepted(offset) => {
                let unread = || {
                    let reason =
                        format!("it stands at offset {offset}, but the log cannot be read on");
                    PublishOutcome::Unknown(Arc::from(reason))
                };
                let outcome = read_result(reader, id, &clock, deadline).await;
                return outcome.unwrap_or_else(unread);
            }
            AppendOutcome::NotAppended(reason) => reason,
            AppendOutcome::Unknown(reason) => {
                eprintln!("the log's answer was lost ({reason}); looking for record {id}");
                in_doubt = true;
                if let Some(outcome) = look_once(reader, id).await {
                    return outcome;
                }
                reason
            }
        };
        if clock.now() + RETRY_PAUSE >= deadline {
            return if in_doubt {
                PublishOutcome::Unknown(reason)
            } else {
                PublishOutcome::NotAppended(reason)
            };
        }
        sleep(RETRY_PAUSE.into()).await;
    }
}

/// Reads on until the record is found, or the deadline passes.
async fn read_result(
    reader: &mut ConfigReader,
    id: PublishId,
    clock: &MonotonicClock,
    deadline: TimePoint,
) -> Option<PublishOutcome> {
    while clock.now() < deadline {
        if let Some(outcome) = look_once(reader, id).await {
            return Some(outcome);
        }
        sleep(RETRY_PAUSE.into()).await;
    }
    None
}

async fn look_once(reader: &mut ConfigReader, id: PublishId) -> Option<PublishOutcome> {
    let before = Arc::clone(reader.follower().state());
    if let Err(error) = reader.read_on().await {
        eprintln!("{error}");
    }
    let entry = reader.find(id)?;
    match &entry.outcome {
        FoldOutcome::Accepted => Some(PublishOutcome::Accepted(entry.offset)),
        FoldOutcome::Rejected { file, current_version } => {
            let known = reader.follower().history().entries();
            let publisher =
                known.filter(|other| other.offset == *current_version).map(|it| &it.author).next();
            let author = publisher.or_else(|| before.author(file));
            Some(PublishOutcome::Rejected {
                offset: entry.offset,
                file: Arc::clone(file),
                current_version: *current_version,
                author: author.map_or_else(|| Arc::from("unknown"), Arc::clone),
            })
        }
        FoldOutcome::Ignored(reason) => {
            Some(PublishOutcome::Unknown(Arc::from(reason.to_string())))
        }
        FoldOutcome::Stopped { .. } => None,
    }
}

/// One line for each change.
pub(crate) fn describe(changes: &[FileChange], state: &ConfigState) -> Vec<String> {
    let line = |change: &FileChange| {
        let path = &change.path;
        let was =
            state.files.get(path).map(|old| format!("version {} by {}", old.version, old.author));
        match (&change.text, was) {
            (Some(_), None) => format!("add     {path}"),
            (Some(_), Some(was)) => format!("change  {path} ({was})"),
            (None, was) => format!("remove  {path} ({})", was.unwrap_or_default()),
        }
    };
    changes.iter().map(line).collect()
}
