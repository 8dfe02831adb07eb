//! Recovery of a relay from failed reads, lost runners, refusals and withdrawals, and its end.

use base::prelude::*;

use crate::{EndCause, RelayAction, RelayEnd, RelayPhase, TokenRelay};

impl TokenRelay {
    /// Whether a new attempt can continue from the buffered tokens.
    pub(crate) fn can_continue(&self) -> bool {
        self.settings.continues_from_prefix
            && self.settings.has_prompt
            && self.prefix.is_complete(self.next_index.0)
    }

    /// Handles a failed or stalled read: reads again from the same runner, at most
    /// [`crate::RelayLimits::max_empty_reads`] times without a new token.
    pub(crate) fn handle_read_failure(&mut self, now: TimePoint) -> Vec<RelayAction> {
        let RelayPhase::Reading { runner } = &self.phase else { return Vec::new() };
        if self.empty_reads >= self.settings.limits.max_empty_reads {
            return self.handle_runner_loss();
        }
        let runner = runner.clone();
        self.empty_reads += 1;
        self.resume(now, runner)
    }

    pub(crate) fn resume(&mut self, now: TimePoint, runner: RunnerId) -> Vec<RelayAction> {
        self.counters.resumes += 1;
        self.read = self.read.next();
        self.stall_at = now + self.settings.limits.stall_timeout;
        self.phase = RelayPhase::Reading { runner: runner.clone() };
        let (attempt, read, from) = (self.attempt, self.read, self.expected_index);
        vec![RelayAction::Resume { runner, attempt, read, from }]
    }

    /// Handles the loss of the current attempt, which will produce no more tokens.
    pub(crate) fn handle_runner_loss(&mut self) -> Vec<RelayAction> {
        self.may_have_run = true;
        let mut actions = self.cancel_current_attempt();
        actions.push(self.retry_or_finish(EndCause::RunnerLost, None, false));
        actions
    }

    /// Handles a refusal of the current attempt; it was not run, so another runner may take it.
    pub(crate) fn handle_refusal(
        &mut self,
        reason: RefusalReason,
        retry_after: Option<TimeSpan>,
    ) -> Vec<RelayAction> {
        vec![self.retry_or_finish(EndCause::Refused(reason), retry_after, false)]
    }

    pub(crate) fn handle_route_refusal(
        &mut self,
        reason: RefusalReason,
        retry_after: Option<TimeSpan>,
    ) -> Vec<RelayAction> {
        if self.phase != RelayPhase::Placing {
            self.counters.stale += 1;
            return Vec::new();
        }
        vec![self.finish(EndCause::Refused(reason), retry_after)]
    }

    /// Withdraws the call from its runner, which routing needs for another call. This does
    /// not count as a failed attempt: routing limits how often a call is withdrawn.
    pub(crate) fn handle_withdrawal(&mut self) -> Vec<RelayAction> {
        if !matches!(self.phase, RelayPhase::Reading { .. }) || !self.can_withdraw() {
            return Vec::new();
        }
        self.counters.withdrawn += 1;
        self.may_have_run = true;
        self.attempts -= 1;
        let mut actions = self.cancel_current_attempt();
        actions.push(self.retry_or_finish(EndCause::RunnerLost, None, true));
        actions
    }

    pub(crate) fn handle_caller_left(&mut self) -> Vec<RelayAction> {
        let Some(detached_deadline) = self.settings.detached_deadline else {
            return self.abort(EndCause::CallerLeft);
        };
        self.caller_left = true;
        self.deadline = detached_deadline;
        Vec::new()
    }

    /// Ends the call and cancels its current attempt.
    pub(crate) fn abort(&mut self, cause: EndCause) -> Vec<RelayAction> {
        let mut actions = self.cancel_current_attempt();
        self.may_have_run |= !actions.is_empty();
        actions.push(self.finish(cause, None));
        actions
    }

    /// Starts a new attempt if no delivered token would be lost or repeated, and ends the
    /// call otherwise. Late tokens of the old attempt are dropped by its attempt number.
    fn retry_or_finish(
        &mut self,
        cause: EndCause,
        retry_after: Option<TimeSpan>,
        queued: bool,
    ) -> RelayAction {
        let can_start_over = self.next_index == TokenIndex(0) || !self.settings.streamed;
        let possible = self.settings.has_prompt && (can_start_over || self.can_continue());
        if !possible || self.attempts >= self.settings.limits.max_attempts {
            return self.finish(cause, retry_after);
        }
        if self.can_continue() && self.next_index > TokenIndex(0) {
            self.counters.continued += 1;
        } else {
            self.counters.restarts += 1;
            self.prefix.clear();
            self.next_index = TokenIndex(0);
        }
        self.expected_index = self.next_index;
        self.empty_reads = 0;
        self.attempts += 1;
        self.attempt = self.attempt.next();
        self.read = self.read.next();
        self.stall_at = TimePoint::NEVER;
        self.phase = RelayPhase::Placing;
        let prefix = self.prefix.tokens().to_vec();
        RelayAction::Retry { attempt: self.attempt, prefix, queued }
    }

    fn cancel_current_attempt(&mut self) -> Vec<RelayAction> {
        let RelayPhase::Reading { runner } = &self.phase else { return Vec::new() };
        vec![RelayAction::CancelAttempt { runner: runner.clone(), attempt: self.attempt }]
    }

    pub(crate) fn finish(&mut self, cause: EndCause, retry_after: Option<TimeSpan>) -> RelayAction {
        self.phase = RelayPhase::Finished;
        self.stall_at = TimePoint::NEVER;
        let complete = cause == EndCause::Complete;
        let outcome = if complete {
            CallOutcome::Done
        } else if self.may_have_run || self.next_index > TokenIndex(0) {
            CallOutcome::Incomplete
        } else {
            CallOutcome::NotRun
        };
        let buffered = !self.settings.streamed;
        let delivered = if buffered && !complete { 0 } else { self.next_index.0 };
        let full_answer = (buffered && complete).then(|| self.prefix.tokens().to_vec());
        RelayAction::Finish(RelayEnd {
            outcome,
            cause,
            delivered: TokenCount(delivered),
            retry_after,
            full_answer,
        })
    }
}
