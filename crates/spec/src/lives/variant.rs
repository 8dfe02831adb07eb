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
    /// As the actions say, with a copy; the source confirms orders and goes on, also with closed requests.
    Ignoring,
    /// As the actions say, with a copy; the run may end whole while the links of this node are held back.
    Tail,
    /// The same without a copy.
    UncopiedTail,
    /// As the actions say, with a copy; another node may get no answer to an order in time.
    OrderedLate,
    /// The same without a copy.
    UncopiedOrderedLate,
    /// As the actions say, with a copy; the next runner may leave too.
    NextLeaves,
    /// The same without a copy.
    UncopiedNextLeaves,
    /// It closes the source before the next runner is connected to.
    ClosedBeforeConnect,
    /// It closes the source before the next runner has taken the copy.
    ClosedBeforeTaken,
    /// It closes the source before answers of the next runner arrive.
    ClosedBeforeAnswer,
    /// It does not ask a runner that leaves.
    LeavingNotAsked,
    /// It takes events that are read after a confirmed stop for ones of a source that goes on, and frees the copy.
    LateTakenForGoingOn,
    /// It takes an order that is not answered in time for refused, and frees the copy.
    UnansweredTakenForRefused,
    /// It takes a place whose first answer is not read in time for one that has refused.
    LateHeadTakenForRefused,
    /// It closes a source that has been silent for a second while no other runner has the run.
    SilentSourceClosed,
    /// Another node takes an order that is answered late for refused, and frees the copy and the memory that the
    /// answer names.
    MoveTakenForRefused,
    /// It waits for 2 s after a confirmed stop before it asks the next runner.
    SentAfterWait,
    /// As the actions say, with a copy; the next runner may leave, and this node may be slow.
    NextLeavesSlow,
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
    /// As the actions say, with a copy; three disruptions, of a slow node too.
    SlowOften,
    /// As the actions say; the source ignores orders, and this node may be behind by 800 ms.
    IgnoringFarBehind,
}

impl LifeVariant {
    /// The sound ones.
    pub const SOUND: [Self; 11] = [
        Self::Copied,
        Self::Uncopied,
        Self::CopiedOften,
        Self::UncopiedOften,
        Self::Ignoring,
        Self::Tail,
        Self::UncopiedTail,
        Self::OrderedLate,
        Self::UncopiedOrderedLate,
        Self::NextLeaves,
        Self::UncopiedNextLeaves,
    ];

    /// Faults that streams were lost by earlier.
    pub const FAULTS: [Self; 4] = [
        Self::ClosedBeforeConnect,
        Self::ClosedBeforeTaken,
        Self::ClosedBeforeAnswer,
        Self::LeavingNotAsked,
    ];

    /// Rules by which time that passed at this node was taken for something that a runner did.
    pub const LATE_READS: [Self; 3] =
        [Self::LateTakenForGoingOn, Self::UnansweredTakenForRefused, Self::LateHeadTakenForRefused];

    /// Rules by which a place was given up before another one was certain.
    pub const EARLY_ENDS: [Self; 3] =
        [Self::SilentSourceClosed, Self::MoveTakenForRefused, Self::SentAfterWait];

    /// Rules of the loop in `crates/node/src/streams` that break a rule, and what is open in the state machine.
    pub const FINDINGS: [Self; 9] = [
        Self::LeftNotEnded,
        Self::ClosedNotStopped,
        Self::SilentTakenForUsed,
        Self::MovedOnce,
        Self::CopyBeforeMove,
        Self::UnansweredMove,
        Self::SlowOften,
        Self::IgnoringFarBehind,
        Self::NextLeavesSlow,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Copied => "sound: copy at the next runner",
            Self::Uncopied => "sound: no copy",
            Self::CopiedOften => "sound: copy, three disruptions",
            Self::UncopiedOften => "sound: no copy, three disruptions",
            Self::Ignoring => "sound: source ignores orders",
            Self::Tail => "sound: run ends behind held links",
            Self::UncopiedTail => "sound: the same, no copy",
            Self::OrderedLate => "sound: late order of another node",
            Self::UncopiedOrderedLate => "sound: late order, no copy",
            Self::NextLeaves => "sound: next runner leaves",
            Self::UncopiedNextLeaves => "sound: next runner leaves, no copy",
            Self::ClosedBeforeConnect => "source closed before connecting",
            Self::ClosedBeforeTaken => "source closed before copy taken",
            Self::ClosedBeforeAnswer => "source closed before answers",
            Self::LeavingNotAsked => "leaving runner not asked",
            Self::LateTakenForGoingOn => "late events taken for going on",
            Self::UnansweredTakenForRefused => "late order taken for refused",
            Self::LateHeadTakenForRefused => "late head taken for refused",
            Self::SilentSourceClosed => "silent source closed",
            Self::MoveTakenForRefused => "late order of a move taken for refused",
            Self::SentAfterWait => "stopped run sent after a wait",
            Self::NextLeavesSlow => "next runner leaves, slow node",
            Self::LeftNotEnded => "run left at work",
            Self::ClosedNotStopped => "silent source closed, not stopped",
            Self::SilentTakenForUsed => "silent memory taken for used",
            Self::MovedOnce => "move asked for once",
            Self::CopyBeforeMove => "no move while a copy is kept",
            Self::UnansweredMove => "copy or move never answered",
            Self::SlowOften => "slow node, three disruptions",
            Self::IgnoringFarBehind => "source ignores orders, far behind",
        }
    }

    fn is_broken(self) -> bool {
        !Self::SOUND.contains(&self)
    }

    /// Whether it is meant to lose a stream.
    pub(super) fn loses_streams(self) -> bool {
        self.is_broken()
            && !matches!(
                self,
                Self::LeftNotEnded
                    | Self::ClosedNotStopped
                    | Self::SlowOften
                    | Self::IgnoringFarBehind
            )
    }

    fn has_copy(self) -> bool {
        !matches!(
            self,
            Self::Uncopied
                | Self::UncopiedOften
                | Self::UncopiedTail
                | Self::SilentSourceClosed
                | Self::UncopiedOrderedLate
                | Self::UncopiedNextLeaves
                | Self::MoveTakenForRefused
                | Self::LeavingNotAsked
                | Self::MovedOnce
                | Self::UnansweredMove
        )
    }

    fn faults(self) -> LifeFaults {
        match self {
            Self::CopiedOften | Self::UncopiedOften => LifeFaults::THREE,
            Self::SlowOften => LifeFaults::THREE_SLOW,
            Self::Tail | Self::UncopiedTail | Self::SilentSourceClosed => LifeFaults::TAIL,
            Self::OrderedLate | Self::UncopiedOrderedLate | Self::MoveTakenForRefused => {
                LifeFaults::ORDERS
            }
            Self::NextLeaves | Self::UncopiedNextLeaves | Self::SentAfterWait => LifeFaults::NEXT,
            Self::NextLeavesSlow => LifeFaults::NEXT_SLOW,
            Self::Ignoring => LifeFaults::SLOW_BY_LITTLE,
            Self::IgnoringFarBehind
            | Self::LateTakenForGoingOn
            | Self::UnansweredTakenForRefused
            | Self::LateHeadTakenForRefused => LifeFaults::SLOW,
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
