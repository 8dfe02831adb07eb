//! The sound binding and the broken ones.

use super::faults::{LifeFaults, apply, enabled};
use super::world::LifeWorld;
use crate::{ModelRun, explore};

/// How the binding around the life of a stream behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LifeVariant {
    /// As the actions say; the next runner has a copy.
    Copied,
    /// As the actions say; no copy is kept.
    Uncopied,
    /// With a copy, three disruptions at shorter intervals.
    CopiedOften,
    /// The same without a copy.
    UncopiedOften,
    /// It closes the source before the next runner is connected to.
    ClosedBeforeConnect,
    /// It closes the source before the next runner has taken the copy.
    ClosedBeforeTaken,
    /// It closes the source before answers of the next runner arrive.
    ClosedBeforeAnswer,
    /// It does not ask a runner that leaves.
    LeavingNotAsked,
    /// It has no run ended that was left at a runner which answers only another node.
    LeftNotEnded,
    /// It closes a silent source beside the next runner, where that is to be stopped.
    ClosedNotStopped,
    /// It takes a stopped run's memory for used if its runner has not answered in 250 ms.
    SilentTakenForUsed,
    /// It has a run moved from a silent source once only.
    MovedOnce,
    /// It has no run moved from a silent source while a copy is kept, though its runner answers nobody.
    CopyBeforeMove,
    /// As the actions say; a copy or a move that is never answered counts.
    UnansweredMove,
}

impl LifeVariant {
    /// The sound ones.
    pub const SOUND: [Self; 4] =
        [Self::Copied, Self::Uncopied, Self::CopiedOften, Self::UncopiedOften];

    /// Faults that streams were lost by earlier.
    pub const FAULTS: [Self; 4] = [
        Self::ClosedBeforeConnect,
        Self::ClosedBeforeTaken,
        Self::ClosedBeforeAnswer,
        Self::LeavingNotAsked,
    ];

    /// Rules of the loop in `crates/node/src/streams`, and a wait of the state machine, that break a rule.
    pub const FINDINGS: [Self; 6] = [
        Self::LeftNotEnded,
        Self::ClosedNotStopped,
        Self::SilentTakenForUsed,
        Self::MovedOnce,
        Self::CopyBeforeMove,
        Self::UnansweredMove,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Copied => "sound: copy at the next runner",
            Self::Uncopied => "sound: no copy",
            Self::CopiedOften => "sound: copy, three disruptions",
            Self::UncopiedOften => "sound: no copy, three disruptions",
            Self::ClosedBeforeConnect => "source closed before connecting",
            Self::ClosedBeforeTaken => "source closed before copy taken",
            Self::ClosedBeforeAnswer => "source closed before answers",
            Self::LeavingNotAsked => "leaving runner not asked",
            Self::LeftNotEnded => "run left at work",
            Self::ClosedNotStopped => "silent source closed, not stopped",
            Self::SilentTakenForUsed => "silent memory taken for used",
            Self::MovedOnce => "move asked for once",
            Self::CopyBeforeMove => "no move while a copy is kept",
            Self::UnansweredMove => "copy or move never answered",
        }
    }

    fn is_broken(self) -> bool {
        !Self::SOUND.contains(&self)
    }

    /// Whether it is meant to lose a stream.
    pub(super) fn loses_streams(self) -> bool {
        self.is_broken() && !matches!(self, Self::LeftNotEnded | Self::ClosedNotStopped)
    }

    fn has_copy(self) -> bool {
        !matches!(
            self,
            Self::Uncopied
                | Self::UncopiedOften
                | Self::LeavingNotAsked
                | Self::MovedOnce
                | Self::UnansweredMove
        )
    }

    fn faults(self) -> LifeFaults {
        match self {
            Self::CopiedOften | Self::UncopiedOften => LifeFaults::THREE,
            _ => LifeFaults::TWO,
        }
    }
}

/// Checks that a stream ends without its rest only if no place could have given it, that its caller gets each
/// event once and in order, that two runners do not work on it for longer than the rules allow, and
/// that no step is waited for until the deadline.
#[must_use]
pub fn check_lives(variant: LifeVariant) -> ModelRun {
    explore(
        "lives",
        (variant.name(), variant.is_broken()),
        LifeWorld::new(variant, variant.has_copy(), variant.faults()),
        enabled,
        |world, step| apply(world, *step),
        |world| world.violation,
    )
}
