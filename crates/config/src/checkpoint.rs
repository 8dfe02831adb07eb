//! When the whole state has to be written to the log again.

use base::{LogOffset, TimePoint, TimeSpan};

/// Records after a checkpoint's state until the next one is due.
const MAX_RECORDS_BEHIND: u64 = 512;
/// A checkpoint is renewed after this part of the log's retention.
const RENEWALS_PER_RETENTION: u64 = 4;
/// Least retained records for which the place of the checkpoint among them counts.
const MIN_JUDGED_RECORDS: u64 = 8;

/// The newest checkpoint that a reader has seen in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenCheckpoint {
    /// Where it stands.
    pub offset: LogOffset,
    /// The last record that its state includes.
    pub as_of: LogOffset,
    /// When it is to be renewed for its age alone.
    pub renewal: TimePoint,
}

impl SeenCheckpoint {
    /// A checkpoint read now, of that age, in a log that keeps records for `retention`.
    #[must_use]
    pub fn new(
        offset: LogOffset,
        as_of: LogOffset,
        read: TimePoint,
        age: TimeSpan,
        retention: TimeSpan,
    ) -> Self {
        let life = TimeSpan(retention.0 / RENEWALS_PER_RETENTION);
        // An age over the whole life means: at once.
        Self { offset, as_of, renewal: read + TimeSpan(life.0.saturating_sub(age.0)) }
    }
}

/// How much a log needs a new checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckpointNeed {
    /// The newest one will do.
    None,
    /// It is old, or many records follow on it.
    Routine,
    /// There is none to start from, or it comes near the end that expires.
    Urgent,
}

/// How much a log that retains records from `first` to before `next` needs a checkpoint
/// beyond `newest`.
#[must_use]
pub fn checkpoint_need(
    now: TimePoint,
    first: LogOffset,
    next: LogOffset,
    newest: Option<&SeenCheckpoint>,
) -> CheckpointNeed {
    let usable = |seen: &&SeenCheckpoint| seen.offset >= first && seen.as_of.next() >= first;
    let Some(newest) = newest.filter(usable) else {
        return if next.0 > 1 { CheckpointNeed::Urgent } else { CheckpointNeed::None };
    };
    let retained = next.0.saturating_sub(first.0);
    let behind = next.0.saturating_sub(newest.as_of.0);
    let margin = newest.as_of.0 + 1 - first.0;
    let near_end = first.0 > 1
        && retained >= MIN_JUDGED_RECORDS
        && margin.saturating_mul(RENEWALS_PER_RETENTION) < retained;
    if near_end {
        CheckpointNeed::Urgent
    } else if now >= newest.renewal || behind > MAX_RECORDS_BEHIND {
        CheckpointNeed::Routine
    } else {
        CheckpointNeed::None
    }
}
