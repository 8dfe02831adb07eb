//! Decides which reader writes the next checkpoint, and when.
//!
//! Readers wait in the order of their rank, so that normally one of them writes. A second
//! checkpoint does no harm.

use base::{LogOffset, TimePoint, TimeSpan};

use crate::{CheckpointNeed, SeenCheckpoint, checkpoint_need};

/// Delay that each rank adds before a reader writes.
const ROUTINE_STAGGER: TimeSpan = TimeSpan::seconds(2);
/// The same, where the log has no usable checkpoint or will soon have none.
const URGENT_STAGGER: TimeSpan = TimeSpan::millis(200);
/// Time after a write until the same reader may write again.
const ROUTINE_COOLDOWN: TimeSpan = TimeSpan::seconds(10);
/// The same, where the log has no usable checkpoint or will soon have none.
const URGENT_COOLDOWN: TimeSpan = TimeSpan::millis(500);
/// Divisor of the retention: for one eighth of it, a reader that skipped records because a
/// peer had their state waits to read a checkpoint of another before it writes one.
const WAITS_PER_RETENTION: u64 = 8;

/// Decides whether this reader writes a checkpoint now.
#[derive(Debug, Clone)]
pub(crate) struct CheckpointWriter {
    retention: TimeSpan,
    newest: Option<SeenCheckpoint>,
    /// When to write, unless a reader of a lower rank has written by then.
    write_at: Option<TimePoint>,
    last_ended: Option<TimePoint>,
    /// Until then, skipped records may explain that no checkpoint has been read.
    skipped_until: TimePoint,
    writing: bool,
}

impl CheckpointWriter {
    pub fn new(retention: TimeSpan) -> Self {
        Self {
            retention,
            newest: None,
            write_at: None,
            last_ended: None,
            skipped_until: TimePoint(0),
            writing: false,
        }
    }

    /// Records a checkpoint that was read from the log.
    pub fn observe(&mut self, now: TimePoint, offset: LogOffset, as_of: LogOffset, age: TimeSpan) {
        if self.newest.is_none_or(|newest| as_of >= newest.as_of) {
            self.newest = Some(SeenCheckpoint::new(offset, as_of, now, age, self.retention));
        }
    }

    /// Records that the reader skipped records, among which there may be checkpoints.
    pub fn skip_records(&mut self, now: TimePoint) {
        self.skipped_until = now + TimeSpan(self.retention.0 / WAITS_PER_RETENTION);
    }

    /// Records that the append ended, successfully or not.
    pub fn end_write(&mut self, now: TimePoint) {
        self.writing = false;
        self.last_ended = Some(now);
    }

    /// When a checkpoint may become due by time alone.
    pub fn next_wake(&self) -> TimePoint {
        match (self.writing, self.write_at, &self.newest) {
            (true, ..) => TimePoint::NEVER,
            (_, Some(write_at), _) => write_at,
            (_, None, Some(newest)) => newest.renewal,
            (_, None, None) => self.skipped_until,
        }
    }

    /// Whether to write now; `rank` is this reader's position in the order of writers.
    pub fn start_write(
        &mut self,
        now: TimePoint,
        first: LogOffset,
        next: LogOffset,
        rank: usize,
    ) -> bool {
        let need = checkpoint_need(now, first, next, self.newest.as_ref());
        let has_skipped = self.newest.is_none() && now < self.skipped_until;
        if self.writing || has_skipped || need == CheckpointNeed::None {
            self.write_at = None;
            return false;
        }
        let (stagger, cooldown) = match need {
            CheckpointNeed::Urgent => (URGENT_STAGGER, URGENT_COOLDOWN),
            _ => (ROUTINE_STAGGER, ROUTINE_COOLDOWN),
        };
        let by_rank = now + TimeSpan(stagger.0.saturating_mul(rank as u64));
        let cooled_down = self.last_ended.map_or(TimePoint(0), |ended| ended + cooldown);
        // A need that has become urgent brings the time forward.
        let planned = self.write_at.map_or(by_rank, |write_at| write_at.min(by_rank));
        let write_at = planned.max(cooled_down);
        self.write_at = Some(write_at);
        if now < write_at {
            return false;
        }
        self.write_at = None;
        self.writing = true;
        true
    }
}
