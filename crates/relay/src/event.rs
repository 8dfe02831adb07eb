//! What a [`crate::TokenRelay`] is told.

use std::fmt;
use std::str::FromStr;

use base::{AttemptNumber, prelude::*};

/// One reading of an attempt's stream: the answer to its `POST`, or a resumption.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReadNumber(pub u32);

impl ReadNumber {
    /// The next reading.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ReadNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ReadNumber {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A token as an engine sent it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamToken {
    /// The generation that it belongs to.
    pub generation: GenerationId,
    /// The attempt that produced it.
    pub attempt: AttemptNumber,
    /// Its position.
    pub index: TokenIndex,
    /// Its text.
    pub text: Arc<str>,
}

/// An event for the relay. `attempt` and `read` are those of the action that opened the
/// stream; events of earlier ones may still come and have no effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RelayEvent {
    /// Routing has chosen a runner. Post the current attempt there, with
    /// [`crate::TokenRelay::attempt`] and [`crate::TokenRelay::prefix`], and report the
    /// stream under [`crate::TokenRelay::read_number`].
    Placed {
        /// The runner.
        runner: RunnerId,
    },
    /// Routing refused the call: no engine has this attempt.
    RouteRefused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Option<TimeSpan>,
    },
    /// The runner did not run this attempt: no byte was written, or a status says so.
    Refused {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Option<TimeSpan>,
    },
    /// A token arrived.
    Token {
        /// The reading that it came by.
        read: ReadNumber,
        /// The token.
        token: StreamToken,
    },
    /// The engine said that the generation is complete.
    Completed {
        /// The attempt.
        attempt: AttemptNumber,
        /// The reading.
        read: ReadNumber,
    },
    /// A reading ended without the engine's last word.
    ReadFailed {
        /// The attempt.
        attempt: AttemptNumber,
        /// The reading.
        read: ReadNumber,
    },
    /// The runner no longer has the attempt: it does not know it, or it is gone.
    RunnerLost {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Routing takes the call off its runner and keeps it queued. Without any action in
    /// return the relay stays where it is, and routing must be told so.
    Withdraw,
    /// The caller left.
    CallerLeft,
    /// Time passed; to be given at [`crate::TokenRelay::next_tick`].
    Tick,
}
