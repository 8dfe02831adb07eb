//! Messages that transfer the table of a stopping home to its adopter.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{BookingKey, BookingState};

/// Converts between the clock of a home and that of the process that holds its table.
///
/// An adopter does not know how long the table was in transit, so it honors a tag longer
/// than the home would have, by the transit time. This is safe: it retains the entries
/// longer by the same time, and keys that the home had evicted belong to tags that had
/// already expired when the table was exported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeClock {
    /// Reference time on the home's clock.
    pub home_time: TimePoint,
    /// The same time on the holder's clock.
    pub local_time: TimePoint,
}

impl HomeClock {
    /// Converts a time of the home's clock to the holder's clock.
    #[must_use]
    pub fn local_time_of(&self, instant: TimePoint) -> TimePoint {
        if instant == TimePoint::NEVER {
            return instant;
        }
        if instant >= self.home_time {
            self.local_time + instant.since(self.home_time)
        } else {
            self.local_time - self.home_time.since(instant)
        }
    }

    /// Converts a time of the holder's clock to the home's clock.
    #[must_use]
    pub fn home_time_of(&self, now: TimePoint) -> TimePoint {
        Self { home_time: self.local_time, local_time: self.home_time }.local_time_of(now)
    }
}

/// One booking of a handed-over table. A send in flight is transferred as unknown.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BookingHandover {
    /// Identity of the booking.
    pub key: BookingKey,
    /// Hash of the request, from [`crate::BookingCall::fingerprint`].
    pub fingerprint: u64,
    /// State of the booking.
    pub state: BookingState,
    /// Minimum time for which the entry must be retained.
    pub retention: TimeSpan,
}

/// A complete table, exported for one adopter and encoded with `postcard`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TableHandover {
    /// The stopping incarnation.
    pub from: VmIncarnation,
    /// The only incarnation that may adopt the table. A later process at the same address
    /// cannot tell what that incarnation has run.
    pub to: VmIncarnation,
    /// The incarnations that the stopping process answers for, including its own, each with
    /// the time on its clock at which the table was exported.
    pub homes: Vec<(VmIncarnation, TimePoint)>,
    /// All bookings of the table.
    pub entries: Vec<BookingHandover>,
}
