//! Actions that a [`crate::TokenRelay`] requests from its adapter.

use base::{AttemptNumber, prelude::*};

use crate::ReadNumber;

/// Why a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndCause {
    /// The engine completed the generation.
    Complete,
    /// Routing or the runners refused the call.
    Refused(RefusalReason),
    /// The runner was lost and no other runner can take over the generation.
    RunnerLost,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerLeft,
    /// The full answer exceeds [`crate::RelayLimits::max_buffered_bytes`].
    TooLarge,
}

/// Result of a finished relay.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelayEnd {
    /// Outcome reported to the caller; `NotRun` only if no attempt can have run.
    pub outcome: CallOutcome,
    /// Why the relay ended.
    pub cause: EndCause,
    /// Number of tokens delivered since the start of the generation, by all entries.
    pub delivered: TokenCount,
    /// How long to wait before a retry, if a retry can help.
    pub retry_after: Option<TimeSpan>,
    /// All tokens of the answer, if it was buffered and is complete.
    pub full_answer: Option<Vec<Arc<str>>>,
}

/// An action for the adapter to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RelayAction {
    /// Write this token to the caller, with a cursor for the current attempt and this index.
    Deliver {
        /// Position of the token in the generation.
        index: TokenIndex,
        /// Text of the token.
        text: Arc<str>,
    },
    /// Drop the current read and read the attempt's stream again, starting at `from`.
    Resume {
        /// The runner that has the attempt.
        runner: RunnerId,
        /// The attempt to read.
        attempt: AttemptNumber,
        /// Number under which events of the new read are reported.
        read: ReadNumber,
        /// Index of the first token to read.
        from: TokenIndex,
    },
    /// Have routing place a new attempt, and report `Placed` or `RouteRefused`.
    Retry {
        /// Number of the new attempt.
        attempt: AttemptNumber,
        /// Tokens to continue from; empty to start from the beginning.
        prefix: Vec<Arc<str>>,
        /// Whether the call is still in routing's queue, as it is after `Withdraw`.
        queued: bool,
    },
    /// Tell the runner to cancel an attempt. A failed cancellation is ignored.
    CancelAttempt {
        /// The runner that has the attempt.
        runner: RunnerId,
        /// The attempt to cancel.
        attempt: AttemptNumber,
    },
    /// Report the end to the caller. The relay ignores all later events.
    Finish(RelayEnd),
}
