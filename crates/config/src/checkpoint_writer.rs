//! Who writes the next checkpoint, and when.

use base::{LogOffset, TimePoint, TimeSpan};

use crate::{SeenCheckpoint, checkpoint_due};

/// Time that each reader gives the one before it in the order of choice.
const TURN: TimeSpan = TimeSpan::seconds(2);
/// Time until the same reader may write again.
const PAUSE: TimeSpan = TimeSpan::seconds(10);
/// Part of the retention for which a reader that started from a peer waits for a sight
/// of the checkpoints that are there.
const SIGHTS_PER_RETENTION: u64 = 8;

/// Decides whether this reader writes a checkpoint now.
#[derive(Debug, Clone)]
pub(crate) struct CheckpointWriter {
    retention: TimeSpan,
    seen: Option<SeenCheckpoint>,
    turn: Option<TimePoint>,
    not_before: TimePoint,
    writing: bool,
}

impl CheckpointWriter {
    pub fn new(retention: TimeSpan) -> Self {
        Self { retention, seen: None, turn: None, not_before: TimePoint(0), writing: false }
    }

    /// A checkpoint stands in the log.
    pub fn see(&mut self, now: TimePoint, offset: LogOffset, as_of: LogOffset, age: TimeSpan) {
        if self.seen.is_none_or(|seen| as_of >= seen.as_of) {
            self.seen = Some(SeenCheckpoint::new(offset, as_of, now, age, self.retention));
        }
    }

    /// The reader jumped over records, which may hold checkpoints.
    pub fn skip_records(&mut self, now: TimePoint) {
        let sight = now + TimeSpan(self.retention.0 / SIGHTS_PER_RETENTION);
        self.not_before = self.not_before.max(sight);
    }

    /// The append ended.
    pub fn end_write(&mut self, now: TimePoint) {
        self.writing = false;
        self.not_before = now + PAUSE;
    }

    /// When to look again, if a checkpoint may become due by time alone.
    pub fn next_wake(&self) -> TimePoint {
        let renewal = self.seen.map_or(TimePoint::NEVER, |seen| seen.renewal);
        let turn = self.turn.unwrap_or(renewal);
        if self.writing { TimePoint::NEVER } else { turn.max(self.not_before) }
    }

    /// Whether to write now; `rank` is this reader's place in the order of choice.
    pub fn start_write(
        &mut self,
        now: TimePoint,
        first: LogOffset,
        next: LogOffset,
        rank: usize,
    ) -> bool {
        if self.writing || !checkpoint_due(now, first, next, self.seen.as_ref()) {
            self.turn = None;
            return false;
        }
        let own_turn = now + TimeSpan(TURN.0.saturating_mul(rank as u64));
        let turn = *self.turn.get_or_insert(own_turn);
        if now < turn.max(self.not_before) {
            return false;
        }
        self.turn = None;
        self.writing = true;
        true
    }
}
