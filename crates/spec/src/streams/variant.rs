//! The sound binding and the broken ones.

use super::step::{apply, enabled};
use super::world::StreamWorld;
use crate::{ModelRun, explore};

/// The call that a relay serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StreamKind {
    /// Streamed; engines can't continue from a prefix.
    Stream,
    /// Streamed; engines can continue.
    ContinuedStream,
    /// Held until it is whole; engines can't continue.
    Whole,
    /// Held until it is whole; engines can continue.
    ContinuedWhole,
}

impl StreamKind {
    /// All kinds.
    pub const ALL: [Self; 4] =
        [Self::Stream, Self::ContinuedStream, Self::Whole, Self::ContinuedWhole];

    pub(super) fn is_streamed(self) -> bool {
        matches!(self, Self::Stream | Self::ContinuedStream)
    }

    pub(super) fn continues(self) -> bool {
        matches!(self, Self::ContinuedStream | Self::ContinuedWhole)
    }

    fn name(self) -> &'static str {
        match self {
            Self::Stream => "sound: stream",
            Self::ContinuedStream => "sound: stream, continues",
            Self::Whole => "sound: whole answer",
            Self::ContinuedWhole => "sound: whole answer, continues",
        }
    }
}

/// How the binding around the relay behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamVariant {
    /// As the relay's documentation says.
    Sound,
    /// It counts tokens itself and ignores their index.
    AnyIndex,
    /// It takes every token for one of the current attempt.
    AnyAttempt,
    /// It takes the last word of any reading for that of the present one.
    AnyEnd,
    /// It has an attempt continued without giving the prefix.
    PrefixDropped,
    /// Its cursors name the first attempt whatever attempt delivers.
    CursorOfFirstAttempt,
}

impl StreamVariant {
    /// The broken variants, each with a call in which it does harm.
    pub const BROKEN: [(StreamKind, Self); 5] = [
        (StreamKind::Stream, Self::AnyIndex),
        (StreamKind::Whole, Self::AnyAttempt),
        (StreamKind::Stream, Self::AnyEnd),
        (StreamKind::ContinuedStream, Self::PrefixDropped),
        (StreamKind::ContinuedStream, Self::CursorOfFirstAttempt),
    ];

    fn name(self, kind: StreamKind) -> &'static str {
        match self {
            Self::Sound => kind.name(),
            Self::AnyIndex => "index of tokens ignored",
            Self::AnyAttempt => "attempt of tokens ignored",
            Self::AnyEnd => "end of an old reading taken",
            Self::PrefixDropped => "continued without the prefix",
            Self::CursorOfFirstAttempt => "cursor of the first attempt",
        }
    }
}

/// Checks that a caller gets each token once, in order and from one line of attempts,
/// that *done* means all tokens, that *incomplete after N* means N delivered, and that
/// *not run* means that no engine has run it.
#[must_use]
pub fn check_streams(kind: StreamKind, variant: StreamVariant) -> ModelRun {
    explore(
        "streams",
        (variant.name(kind), variant != StreamVariant::Sound),
        StreamWorld::new(kind),
        enabled,
        |world, step| apply(world, step, variant),
        |world| world.violation,
    )
}
