//! When the log needs a new checkpoint.

use base::{LogOffset, TimePoint, TimeSpan};

/// Records after a checkpoint's state beyond which the next one is due.
const MAX_RECORDS_BEHIND: u64 = 512;
/// A checkpoint is renewed this often within the log's retention.
const RENEWALS_PER_RETENTION: u64 = 4;
/// Fewest retained records for which the position of the checkpoint among them counts.
const MIN_JUDGED_RECORDS: u64 = 8;

/// The newest checkpoint that a reader has seen in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenCheckpoint {
    /// Offset of its record.
    pub offset: LogOffset,
    /// The last record that its state includes.
    pub as_of: LogOffset,
    /// When it is to be renewed because of its age alone.
    pub renewal: TimePoint,
}

impl SeenCheckpoint {
    /// A checkpoint read at `read`, of that age, in a log that keeps records for `retention`.
    #[must_use]
    pub fn new(
        offset: LogOffset,
        as_of: LogOffset,
        read: TimePoint,
        age: TimeSpan,
        retention: TimeSpan,
    ) -> Self {
        let interval = TimeSpan(retention.0 / RENEWALS_PER_RETENTION);
        // Older than the renewal interval: it is due at once.
        Self { offset, as_of, renewal: read + TimeSpan(interval.0.saturating_sub(age.0)) }
    }
}

/// How urgently a log needs a new checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckpointNeed {
    /// The newest one is sufficient.
    None,
    /// The newest one is old, or many records follow it.
    Routine,
    /// There is none to start from, or the newest one is about to expire.
    Urgent,
}

/// How urgently a log that retains the records from `first` to before `next` needs a
/// checkpoint newer than `newest`.
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
    let expires_soon = first.0 > 1
        && retained >= MIN_JUDGED_RECORDS
        && margin.saturating_mul(RENEWALS_PER_RETENTION) < retained;
    if expires_soon {
        CheckpointNeed::Urgent
    } else if now >= newest.renewal || behind > MAX_RECORDS_BEHIND {
        CheckpointNeed::Routine
    } else {
        CheckpointNeed::None
    }
}
