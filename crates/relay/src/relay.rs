//! The relay of one call.

use base::{AttemptNumber, prelude::*};

use crate::prefix::TokenPrefix;
use crate::{
    EndCause, ReadNumber, RelayAction, RelayCounters, RelayEvent, RelaySettings, StreamCursor,
    StreamToken,
};

/// Where a call is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RelayPhase {
    /// It waits for a runner.
    Placing,
    /// An engine has the current attempt.
    Reading {
        /// The engine.
        runner: RunnerId,
    },
    /// It has ended.
    Finished,
}

/// One call's generation, from the first attempt to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TokenRelay {
    pub(crate) settings: RelaySettings,
    pub(crate) phase: RelayPhase,
    pub(crate) attempt: AttemptNumber,
    pub(crate) read: ReadNumber,
    /// Next token that the caller lacks.
    pub(crate) next: TokenIndex,
    /// Next token of the present reading; behind `next` while a prefix is regained.
    pub(crate) expected: TokenIndex,
    pub(crate) prefix: TokenPrefix,
    /// Readings in a row that brought no new token.
    pub(crate) empty_reads: u32,
    pub(crate) attempts: u32,
    /// An attempt that was not refused was given to an engine.
    pub(crate) may_have_run: bool,
    pub(crate) caller_left: bool,
    pub(crate) stall_at: TimePoint,
    pub(crate) deadline: TimePoint,
    pub(crate) counters: RelayCounters,
}

impl TokenRelay {
    /// A new call, which waits for its first runner: the binding has it placed as
    /// attempt 0 without being told.
    #[must_use]
    pub fn new(settings: RelaySettings) -> Self {
        Self {
            phase: RelayPhase::Placing,
            attempt: AttemptNumber(0),
            read: ReadNumber(0),
            next: TokenIndex(0),
            expected: TokenIndex(0),
            prefix: TokenPrefix::default(),
            empty_reads: 0,
            attempts: 1,
            may_have_run: false,
            caller_left: false,
            stall_at: TimePoint::NEVER,
            deadline: settings.deadline,
            counters: RelayCounters::default(),
            settings,
        }
    }

    /// Goes on with a stream that another entry served, from a verified cursor.
    #[must_use]
    pub fn from_cursor(
        now: TimePoint,
        settings: RelaySettings,
        cursor: &StreamCursor,
    ) -> (Self, Vec<RelayAction>) {
        let mut relay = Self::new(settings);
        relay.attempt = cursor.attempt;
        relay.next = cursor.index.next();
        relay.may_have_run = true;
        let regain = relay.settings.continues_from_prefix && relay.settings.has_prompt;
        relay.expected = if regain { TokenIndex(0) } else { relay.next };
        let actions = relay.resume(now, cursor.runner.clone());
        (relay, actions)
    }

    /// Takes one event and gives what is to be done now.
    pub fn handle(&mut self, now: TimePoint, event: RelayEvent) -> Vec<RelayAction> {
        if self.phase == RelayPhase::Finished {
            self.counters.stale += 1;
            return Vec::new();
        }
        match event {
            RelayEvent::Placed { runner } => self.placed(now, runner),
            RelayEvent::RouteRefused { reason, retry_after } => {
                self.route_refused(reason, retry_after)
            }
            RelayEvent::Refused { attempt, reason, retry_after } if self.is_current(attempt) => {
                self.refused(reason, retry_after)
            }
            RelayEvent::Token { read, token } => self.token(now, read, token),
            RelayEvent::Completed { attempt, read } if self.is_reading(attempt, read) => {
                self.ended()
            }
            RelayEvent::ReadFailed { attempt, read } if self.is_reading(attempt, read) => {
                self.lost(now)
            }
            RelayEvent::RunnerLost { attempt } if self.is_current(attempt) => self.runner_lost(),
            RelayEvent::Withdraw => self.withdraw(),
            RelayEvent::CallerLeft => self.caller_left(),
            RelayEvent::Tick => self.tick(now),
            RelayEvent::Refused { .. }
            | RelayEvent::Completed { .. }
            | RelayEvent::ReadFailed { .. }
            | RelayEvent::RunnerLost { .. } => {
                self.counters.stale += 1;
                Vec::new()
            }
        }
    }

    /// The current attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// The present reading.
    #[must_use]
    pub fn read_number(&self) -> ReadNumber {
        self.read
    }

    /// Tokens that the current attempt continues from, until its first token arrives.
    #[must_use]
    pub fn prefix(&self) -> &[Arc<str>] {
        self.prefix.tokens()
    }

    /// The next token that the caller lacks.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        self.next
    }

    /// Where the call is.
    #[must_use]
    pub fn phase(&self) -> &RelayPhase {
        &self.phase
    }

    /// Whether a [`RelayEvent::Withdraw`] would lose no token.
    #[must_use]
    pub fn can_withdraw(&self) -> bool {
        self.next == TokenIndex(0) && self.settings.has_prompt || self.can_continue()
    }

    /// When the next [`RelayEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> TimePoint {
        self.deadline.min(self.stall_at)
    }

    /// The counts since they were last taken.
    pub fn take_counters(&mut self) -> RelayCounters {
        std::mem::take(&mut self.counters)
    }

    fn is_current(&self, attempt: AttemptNumber) -> bool {
        attempt == self.attempt && matches!(self.phase, RelayPhase::Reading { .. })
    }

    fn is_reading(&self, attempt: AttemptNumber, read: ReadNumber) -> bool {
        self.is_current(attempt) && read == self.read
    }

    fn placed(&mut self, now: TimePoint, runner: RunnerId) -> Vec<RelayAction> {
        if self.phase != RelayPhase::Placing {
            self.counters.stale += 1;
            return Vec::new();
        }
        self.phase = RelayPhase::Reading { runner };
        self.stall_at = now + self.settings.limits.stall_timeout;
        Vec::new()
    }

    fn token(&mut self, now: TimePoint, read: ReadNumber, token: StreamToken) -> Vec<RelayAction> {
        if token.generation != self.settings.generation || !self.is_current(token.attempt) {
            self.counters.crossed += 1;
            return Vec::new();
        }
        if token.index < self.expected {
            self.counters.duplicates += 1;
            return Vec::new();
        }
        if token.index > self.expected {
            self.counters.gaps += 1;
            return if read == self.read { self.lost(now) } else { Vec::new() };
        }
        self.accept(now, token)
    }

    fn accept(&mut self, now: TimePoint, token: StreamToken) -> Vec<RelayAction> {
        let StreamToken { index, text, .. } = token;
        self.expected = index.next();
        self.empty_reads = 0;
        self.stall_at = now + self.settings.limits.stall_timeout;
        self.prefix.push(index.0, &text, self.settings.limits.max_buffered_bytes);
        if index < self.next {
            self.counters.regained += 1;
            return Vec::new();
        }
        self.next = index.next();
        self.counters.accepted += 1;
        if !self.settings.streamed && self.prefix.has_overflowed() {
            return self.give_up(EndCause::TooLarge);
        }
        if !self.settings.streamed || self.caller_left {
            return Vec::new();
        }
        vec![RelayAction::Deliver { index, text }]
    }

    fn ended(&mut self) -> Vec<RelayAction> {
        if self.expected < self.next {
            // The engine has fewer tokens than were delivered: it is not the same attempt.
            return self.runner_lost();
        }
        vec![self.finish(EndCause::Complete, None)]
    }

    fn tick(&mut self, now: TimePoint) -> Vec<RelayAction> {
        if now >= self.deadline {
            return self.give_up(EndCause::DeadlinePassed);
        }
        if now >= self.stall_at {
            return self.lost(now);
        }
        Vec::new()
    }
}
