//! Events that a [`crate::TokenRelay`] handles.

use std::fmt;
use std::str::FromStr;

use base::{AttemptNumber, prelude::*};

/// Number of one read of an attempt's stream: the response to its `POST`, or a resumption.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReadNumber(pub u32);

impl ReadNumber {
    /// The number that follows this one.
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

/// A token as received from an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamToken {
    /// The generation that the token belongs to.
    pub generation: GenerationId,
    /// The attempt that produced the token.
    pub attempt: AttemptNumber,
    /// Position of the token in the generation.
    pub index: TokenIndex,
    /// Text of the token.
    pub text: Arc<str>,
}

/// An event for the relay. `attempt` and `read` are those of the action that opened the
/// stream; the relay ignores late events of earlier attempts and reads.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RelayEvent {
    /// Routing chose a runner. The adapter posts the current attempt there, with
    /// [`crate::TokenRelay::attempt`] and [`crate::TokenRelay::prefix`], and reports the
    /// stream under [`crate::TokenRelay::read_number`].
    Placed {
        /// The chosen runner.
        runner: RunnerId,
    },
    /// Routing refused the call; no engine has received this attempt.
    RouteRefused {
        /// Why routing refused.
        reason: RefusalReason,
        /// How long to wait before a retry.
        retry_after: Option<TimeSpan>,
    },
    /// The runner did not run this attempt: either no byte was written to it, or its
    /// response status says so.
    Refused {
        /// The refused attempt.
        attempt: AttemptNumber,
        /// Why it was refused.
        reason: RefusalReason,
        /// How long to wait before a retry.
        retry_after: Option<TimeSpan>,
    },
    /// A token arrived.
    Token {
        /// The read that delivered the token.
        read: ReadNumber,
        /// The token.
        token: StreamToken,
    },
    /// The engine reported that the generation is complete.
    Completed {
        /// The completed attempt.
        attempt: AttemptNumber,
        /// The read that delivered the report.
        read: ReadNumber,
    },
    /// A read ended without the engine's completion marker.
    ReadFailed {
        /// The attempt that was read.
        attempt: AttemptNumber,
        /// The failed read.
        read: ReadNumber,
    },
    /// The runner is gone or no longer knows the attempt.
    RunnerLost {
        /// The lost attempt.
        attempt: AttemptNumber,
    },
    /// Routing takes the call off its runner and keeps it in its queue. If the relay returns
    /// no action, the attempt stays where it is and the adapter must report this to routing.
    Withdraw,
    /// The caller disconnected.
    CallerLeft,
    /// A timer expired; due at [`crate::TokenRelay::next_tick`].
    Tick,
}
