//! What a [`crate::TokenRelay`] wants done.

use base::{AttemptNumber, prelude::*};

use crate::ReadNumber;

/// Why a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndCause {
    /// The engine completed the generation.
    Complete,
    /// The call was refused by routing or by the runners.
    Refused(RefusalReason),
    /// The runner was lost and the generation cannot go on elsewhere.
    RunnerLost,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller left.
    CallerLeft,
    /// The whole answer is larger than what an entry holds.
    TooLarge,
}

/// How a relay ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelayEnd {
    /// What the caller is told. A call is not run only if no attempt can have run.
    pub outcome: CallOutcome,
    /// Why.
    pub cause: EndCause,
    /// Tokens delivered from the start of the generation, over all entries.
    pub delivered: TokenCount,
    /// When to come back, if that helps.
    pub retry_after: Option<TimeSpan>,
    /// The whole answer, if it was held and is complete.
    pub full_answer: Option<Vec<Arc<str>>>,
}

/// An action for the binding.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RelayAction {
    /// Write this token to the caller, with a cursor for this attempt and index.
    Deliver {
        /// Its position.
        index: TokenIndex,
        /// Its text.
        text: Arc<str>,
    },
    /// Drop the present reading and read the attempt's stream from `from` on.
    Resume {
        /// The runner.
        runner: RunnerId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Number to report the new reading under.
        read: ReadNumber,
        /// First token wanted.
        from: TokenIndex,
    },
    /// Have a new attempt placed by routing, and give `Placed` or `RouteRefused`.
    Retry {
        /// The new attempt.
        attempt: AttemptNumber,
        /// Tokens to continue from; empty: from the start.
        prefix: Vec<Arc<str>>,
        /// Routing still has the call in its queue (after `Withdraw`).
        queued: bool,
    },
    /// Tell the runner to cancel an attempt; its failure has no effect.
    CancelAttempt {
        /// The runner.
        runner: RunnerId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Tell the caller the end; the relay takes no more events.
    Finish(RelayEnd),
}
