//! Who writes the next checkpoint, and when.

use base::{LogOffset, TimePoint, TimeSpan};

use crate::{CheckpointNeed, SeenCheckpoint, checkpoint_need};

/// Time that each reader gives the one before it in the order of choice.
const ROUTINE_TURN: TimeSpan = TimeSpan::seconds(2);
/// The same, where the log has no usable checkpoint or will soon have none.
const URGENT_TURN: TimeSpan = TimeSpan::millis(200);
/// Time until the same reader may write again.
const ROUTINE_PAUSE: TimeSpan = TimeSpan::seconds(10);
/// The same, where the log has no usable checkpoint or will soon have none.
const URGENT_PAUSE: TimeSpan = TimeSpan::millis(500);
/// Part of the retention for which a reader that started from a peer waits for a sight
/// of the checkpoints that are there.
const SIGHTS_PER_RETENTION: u64 = 8;

/// Decides whether this reader writes a checkpoint now.
#[derive(Debug, Clone)]
pub(crate) struct CheckpointWriter {
    retention: TimeSpan,
    seen: Option<SeenCheckpoint>,
    /// Deadline by which the readers before this one should have written.
    turn: Option<TimePoint>,
    ended: Option<TimePoint>,
    blind_until: TimePoint,
    writing: bool,
}

impl CheckpointWriter {
    pub fn new(retention: TimeSpan) -> Self {
        Self {
            retention,
            seen: None,
            turn: None,
            ended: None,
            blind_until: TimePoint(0),
            writing: false,
        }
    }

    /// A checkpoint stands in the log.
    pub fn see(&mut self, now: TimePoint, offset: LogOffset, as_of: LogOffset, age: TimeSpan) {
        if self.seen.is_none_or(|seen| as_of >= seen.as_of) {
            self.seen = Some(SeenCheckpoint::new(offset, as_of, now, age, self.retention));
        }
    }

    /// The reader jumped over records, which may hold checkpoints.
    pub fn skip_records(&mut self, now: TimePoint) {
        self.blind_until = now + TimeSpan(self.retention.0 / SIGHTS_PER_RETENTION);
    }

    /// The append ended.
    pub fn end_write(&mut self, now: TimePoint) {
        self.writing = false;
        self.ended = Some(now);
    }

    /// When to look again, if a checkpoint may become due by time alone.
    pub fn next_wake(&self) -> TimePoint {
        match (self.writing, self.turn, &self.seen) {
            (true, ..) => TimePoint::NEVER,
            (_, Some(turn), _) => turn,
            (_, None, Some(seen)) => seen.renewal,
            (_, None, None) => self.blind_until,
        }
    }

    /// Whether to write now; `rank` is this reader's place in the order of choice.
    pub fn start_write(
        &mut self,
        now: TimePoint,
        first: LogOffset,
        next: LogOffset,
        rank: usize,
    ) -> bool {
        let need = checkpoint_need(now, first, next, self.seen.as_ref());
        let blind = self.seen.is_none() && now < self.blind_until;
        if self.writing || blind || need == CheckpointNeed::None {
            self.turn = None;
            return false;
        }
        let (turn, pause) = match need {
            CheckpointNeed::Urgent => (URGENT_TURN, URGENT_PAUSE),
            _ => (ROUTINE_TURN, ROUTINE_PAUSE),
        };
        let own_turn = now + TimeSpan(turn.0.saturating_mul(rank as u64));
        let rested = self.ended.map_or(TimePoint(0), |ended| ended + pause);
        // A need that grows brings the turn forward.
        let turn = self.turn.map_or(own_turn, |turn| turn.min(own_turn)).max(rested);
        self.turn = Some(turn);
        if now < turn {
            return false;
        }
        self.turn = None;
        self.writing = true;
        true
    }
}
