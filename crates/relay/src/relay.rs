//! State machine that relays the tokens of one call.

use base::{AttemptNumber, prelude::*};

use crate::prefix::TokenPrefix;
use crate::{
    EndCause, ReadNumber, RelayAction, RelayCounters, RelayEvent, RelaySettings, StreamCursor,
    StreamToken,
};

/// Phase of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RelayPhase {
    /// The call waits for a runner.
    Placing,
    /// A runner has the current attempt, whose stream is being read.
    Reading {
        /// The runner that has the attempt.
        runner: RunnerId,
    },
    /// The call has ended.
    Finished,
}

/// Relays one call's generation from its first attempt to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TokenRelay {
    pub(crate) settings: RelaySettings,
    pub(crate) phase: RelayPhase,
    pub(crate) attempt: AttemptNumber,
    pub(crate) read: ReadNumber,
    /// Index of the first token that was not yet accepted for the caller.
    pub(crate) next_index: TokenIndex,
    /// Index of the next token of the current read; less than `next_index` while delivered
    /// tokens are read again to rebuild the prefix.
    pub(crate) expected_index: TokenIndex,
    pub(crate) prefix: TokenPrefix,
    /// Consecutive reads that brought no new token.
    pub(crate) empty_reads: u32,
    pub(crate) attempts: u32,
    /// Whether an engine was given an attempt that it did not refuse.
    pub(crate) may_have_run: bool,
    pub(crate) caller_left: bool,
    pub(crate) stall_at: TimePoint,
    pub(crate) deadline: TimePoint,
    pub(crate) counters: RelayCounters,
}

impl TokenRelay {
    /// Creates the relay of a new call. The adapter has routing place attempt 0 without an
    /// action that requests it.
    #[must_use]
    pub fn new(settings: RelaySettings) -> Self {
        Self {
            phase: RelayPhase::Placing,
            attempt: AttemptNumber(0),
            read: ReadNumber(0),
            next_index: TokenIndex(0),
            expected_index: TokenIndex(0),
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

    /// Resumes a stream that another entry served, from a verified cursor.
    #[must_use]
    pub fn from_cursor(
        now: TimePoint,
        settings: RelaySettings,
        cursor: &StreamCursor,
    ) -> (Self, Vec<RelayAction>) {
        let mut relay = Self::new(settings);
        relay.attempt = cursor.attempt;
        relay.next_index = cursor.index.next();
        relay.may_have_run = true;
        let rebuilds_prefix = relay.settings.continues_from_prefix && relay.settings.has_prompt;
        relay.expected_index = if rebuilds_prefix { TokenIndex(0) } else { relay.next_index };
        let actions = relay.resume(now, cursor.runner.clone());
        (relay, actions)
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, now: TimePoint, event: RelayEvent) -> Vec<RelayAction> {
        if self.phase == RelayPhase::Finished {
            self.counters.stale += 1;
            return Vec::new();
        }
        match event {
            RelayEvent::Placed { runner } => self.handle_placed(now, runner),
            RelayEvent::RouteRefused { reason, retry_after } => {
                self.handle_route_refusal(reason, retry_after)
            }
            RelayEvent::Refused { attempt, reason, retry_after } if self.is_current(attempt) => {
                self.handle_refusal(reason, retry_after)
            }
            RelayEvent::Token { read, token } => self.handle_token(now, read, token),
            RelayEvent::Completed { attempt, read } if self.is_current_read(attempt, read) => {
                self.handle_completed()
            }
            RelayEvent::ReadFailed { attempt, read } if self.is_current_read(attempt, read) => {
                self.handle_read_failure(now)
            }
            RelayEvent::RunnerLost { attempt } if self.is_current(attempt) => {
                self.handle_runner_loss()
            }
            RelayEvent::Withdraw => self.handle_withdrawal(),
            RelayEvent::CallerLeft => self.handle_caller_left(),
            RelayEvent::Tick => self.handle_tick(now),
            RelayEvent::Refused { .. }
            | RelayEvent::Completed { .. }
            | RelayEvent::ReadFailed { .. }
            | RelayEvent::RunnerLost { .. } => {
                self.counters.stale += 1;
                Vec::new()
            }
        }
    }

    /// Number of the current attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Number of the current read.
    #[must_use]
    pub fn read_number(&self) -> ReadNumber {
        self.read
    }

    /// Tokens that the current attempt continues from. Tokens of the attempt itself are
    /// appended as they arrive.
    #[must_use]
    pub fn prefix(&self) -> &[Arc<str>] {
        self.prefix.tokens()
    }

    /// Index of the first token that was not yet accepted for the caller.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        self.next_index
    }

    /// Current phase of the call.
    #[must_use]
    pub fn phase(&self) -> &RelayPhase {
        &self.phase
    }

    /// Whether the call can be withdrawn from its runner without losing an accepted token.
    #[must_use]
    pub fn can_withdraw(&self) -> bool {
        self.next_index == TokenIndex(0) && self.settings.has_prompt || self.can_continue()
    }

    /// Time at which the next [`RelayEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> TimePoint {
        self.deadline.min(self.stall_at)
    }

    /// Returns the counters and resets them.
    pub fn take_counters(&mut self) -> RelayCounters {
        std::mem::take(&mut self.counters)
    }

    fn is_current(&self, attempt: AttemptNumber) -> bool {
        attempt == self.attempt && matches!(self.phase, RelayPhase::Reading { .. })
    }

    fn is_current_read(&self, attempt: AttemptNumber, read: ReadNumber) -> bool {
        self.is_current(attempt) && read == self.read
    }

    fn handle_placed(&mut self, now: TimePoint, runner: RunnerId) -> Vec<RelayAction> {
        if self.phase != RelayPhase::Placing {
            self.counters.stale += 1;
            return Vec::new();
        }
        self.phase = RelayPhase::Reading { runner };
        self.stall_at = now + self.settings.limits.stall_timeout;
        Vec::new()
    }

    fn handle_token(
        &mut self,
        now: TimePoint,
        read: ReadNumber,
        token: StreamToken,
    ) -> Vec<RelayAction> {
        if token.generation != self.settings.generation || !self.is_current(token.attempt) {
            self.counters.crossed += 1;
            return Vec::new();
        }
        if token.index < self.expected_index {
            self.counters.duplicates += 1;
            return Vec::new();
        }
        if token.index > self.expected_index {
            self.counters.gaps += 1;
            return if read == self.read { self.handle_read_failure(now) } else { Vec::new() };
        }
        self.accept_token(now, token)
    }

    fn accept_token(&mut self, now: TimePoint, token: StreamToken) -> Vec<RelayAction> {
        let StreamToken { index, text, .. } = token;
        self.expected_index = index.next();
        self.empty_reads = 0;
        self.stall_at = now + self.settings.limits.stall_timeout;
        self.prefix.push(index.0, &text, self.settings.limits.max_buffered_bytes);
        if index < self.next_index {
            self.counters.regained += 1;
            return Vec::new();
        }
        self.next_index = index.next();
        self.counters.accepted += 1;
        if !self.settings.streamed && self.prefix.has_overflowed() {
            return self.abort(EndCause::TooLarge);
        }
        if !self.settings.streamed || self.caller_left {
            return Vec::new();
        }
        vec![RelayAction::Deliver { index, text }]
    }

    fn handle_completed(&mut self) -> Vec<RelayAction> {
        if self.expected_index < self.next_index {
            // The engine has fewer tokens than were delivered, so this is not the same attempt.
            return self.handle_runner_loss();
        }
        vec![self.finish(EndCause::Complete, None)]
    }

    fn handle_tick(&mut self, now: TimePoint) -> Vec<RelayAction> {
        if now >= self.deadline {
            return self.abort(EndCause::DeadlinePassed);
        }
        if now >= self.stall_at {
            return self.handle_read_failure(now);
        }
        Vec::new()
    }
}
