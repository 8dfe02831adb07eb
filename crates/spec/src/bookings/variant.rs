//! The sound binding and the broken ones.

use super::step::{apply, enabled};
use super::world::{BookingBounds, BookingWorld};
use crate::{ModelRun, explore};

const LIVES: BookingBounds =
    BookingBounds { calls: 3, crashes: 1, restarts: 0, stops: 0, seconds: 2 };
const STOPS: BookingBounds =
    BookingBounds { calls: 2, crashes: 0, restarts: 0, stops: 2, seconds: 0 };
const STOP_LIVES: BookingBounds =
    BookingBounds { calls: 2, crashes: 0, restarts: 0, stops: 1, seconds: 2 };
const STOP_RESTART: BookingBounds =
    BookingBounds { calls: 2, crashes: 1, restarts: 1, stops: 1, seconds: 0 };

/// How the binding around the coordinators behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BookingVariant {
    /// Three requests, a crash, and the tag's whole life.
    Sound,
    /// Two requests, and two planned stops: refused adoption, or adoption in a chain.
    SoundStops,
    /// Two requests, a planned stop, and the tag's whole life.
    SoundStopLives,
    /// Two requests, a planned stop, a crash, and a new start at the same address.
    SoundStopCrash,
    /// An entry that gets no answer from a home runs the booking itself.
    ForwarderRuns,
    /// A home forgets its table while its tags live (a restart under the same number).
    TableLost,
    /// A home whose hand-over is not confirmed goes back to serving.
    ServesAfterLostAck,
    /// A home whose hand-over is not confirmed asks a second adopter.
    SecondAdopter,
    /// A new process takes a table that was meant for the one before it.
    NewStartAdopts,
    /// A home that has sent its table away says not run of keys that it does not know.
    OldHomeSaysNotRun,
    /// A client library sends a request again on a new connection.
    ClientResends,
    /// A broken connection is reported as if no byte was written.
    BreakSaidNotSent,
}

impl BookingVariant {
    /// All variants, the sound one first.
    pub const ALL: [Self; 12] = [
        Self::Sound,
        Self::SoundStops,
        Self::SoundStopLives,
        Self::SoundStopCrash,
        Self::ForwarderRuns,
        Self::TableLost,
        Self::ServesAfterLostAck,
        Self::SecondAdopter,
        Self::NewStartAdopts,
        Self::OldHomeSaysNotRun,
        Self::ClientResends,
        Self::BreakSaidNotSent,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound: crash and expiry",
            Self::SoundStops => "sound: two stops",
            Self::SoundStopLives => "sound: stop and expiry",
            Self::SoundStopCrash => "sound: stop, crash and new start",
            Self::ForwarderRuns => "forwarder runs it",
            Self::TableLost => "table lost, incarnation kept",
            Self::ServesAfterLostAck => "serves again after a lost ack",
            Self::SecondAdopter => "second adopter after a lost ack",
            Self::NewStartAdopts => "new start takes an old table",
            Self::OldHomeSaysNotRun => "old home says not run",
            Self::ClientResends => "HTTP client resends",
            Self::BreakSaidNotSent => "break reported as not sent",
        }
    }

    fn is_sound(self) -> bool {
        use BookingVariant::{Sound, SoundStopCrash, SoundStopLives, SoundStops};
        matches!(self, Sound | SoundStops | SoundStopLives | SoundStopCrash)
    }

    fn bounds(self) -> BookingBounds {
        match self {
            Self::Sound | Self::ForwarderRuns | Self::TableLost => LIVES,
            Self::SoundStopLives => STOP_LIVES,
            Self::SoundStopCrash | Self::NewStartAdopts => STOP_RESTART,
            _ => STOPS,
        }
    }
}

/// Checks that a booking runs at most once, that *not run* is said only of what has not
/// run and is not under way, and that one process at most answers for a stopped home.
#[must_use]
pub fn check_bookings(variant: BookingVariant) -> ModelRun {
    explore(
        "bookings",
        (variant.name(), !variant.is_sound()),
        BookingWorld::new(variant.bounds()),
        |world| enabled(world, variant),
        |world, step| apply(world, step, variant),
        |world| world.violation,
    )
}
