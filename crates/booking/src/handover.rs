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
    pub home_time: TimePoint,
    /// The same instant on the holder's clock.
    pub local_time: TimePoint,
}

impl HomeClock {
    /// An instant of the home on the holder's clock.
    #[must_use]
    pub fn to_local(self, instant: TimePoint) -> TimePoint {
        if instant == TimePoint::NEVER {
            return instant;
        }
        if instant >= self.home_time {
            self.local_time + instant.since(self.home_time)
        } else {
            self.local_time - self.home_time.since(instant)
        }
    }

    /// The home's reading at `now` of the holder.
    #[must_use]
    pub fn to_home(self, now: TimePoint) -> TimePoint {
        Self { home_time: self.local_time, local_time: self.home_time }.to_local(now)
    }
}

/// One booking of the table; a send in flight travels as unknown.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BookingHandover {
    /// The booking.
    pub key: BookingKey,
    /// Hash of its request.
    pub fingerprint: u64,
    /// What is known.
    pub state: BookingState,
    /// How long the entry has to be kept.
    pub retention: TimeSpan,
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
    pub entries: Vec<BookingHandover>,
}
