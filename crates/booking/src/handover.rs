//! The table of a stopping home on its way to its adopter.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{BookingKey, BookingState};

/// How the clock of a home reads on the clock of the process that holds its table.
///
/// Transit only delays the moment of adoption, so an adopter judges a tag to live
/// longer than its home would have, never shorter than its table's memory: keys that the
/// home evicted had tags that were already past their end at the hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeClock {
    /// An instant on the home's clock.
    pub theirs: TimePoint,
    /// The same instant on the holder's clock.
    pub ours: TimePoint,
}

impl HomeClock {
    /// An instant of the home on the holder's clock.
    #[must_use]
    pub fn translate(&self, instant: TimePoint) -> TimePoint {
        if instant == TimePoint::NEVER {
            return instant;
        }
        if instant >= self.theirs {
            self.ours + instant.since(self.theirs)
        } else {
            self.ours - self.theirs.since(instant)
        }
    }

    /// The home's reading at `now` of the holder.
    #[must_use]
    pub fn reading(&self, now: TimePoint) -> TimePoint {
        Self { theirs: self.ours, ours: self.theirs }.translate(now)
    }
}

/// One booking of the table; a send in flight travels as unknown.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryHandover {
    /// The booking.
    pub key: BookingKey,
    /// Hash of its request.
    pub fingerprint: u64,
    /// What is known.
    pub state: BookingState,
    /// How long the entry has to be kept.
    pub keep: TimeSpan,
}

/// A whole table: made once per stop, sent to one adopter, encoded by `postcard`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TableHandover {
    /// The incarnation that stops.
    pub from: VmIncarnation,
    /// The only adopter. A later process at its address can't tell what it has run.
    pub to: VmIncarnation,
    /// The incarnations that it answers for, itself among them, each with the reading
    /// of its clock when the table was made.
    pub homes: Vec<(VmIncarnation, TimePoint)>,
    /// All bookings.
    pub entries: Vec<EntryHandover>,
}
