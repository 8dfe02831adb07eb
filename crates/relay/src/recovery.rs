//! What a relay does when a stream breaks, is taken off its runner or has to end.

use base::prelude::*;

use crate::{EndCause, RelayAction, RelayEnd, RelayPhase, TokenRelay};

impl TokenRelay {
    /// Whether a new attempt may go on from the tokens kept.
    pub(crate) fn can_continue(&self) -> bool {
        self.settings.continues_from_prefix
            && self.settings.has_prompt
            && self.prefix.holds(self.next.0)
    }

    /// A reading broke or stalled: read again from the same runner, a few times.
    pub(crate) fn lost(&mut self, now: TimePoint) -> Vec<RelayAction> {
        let RelayPhase::Reading { runner } = &self.phase else { return Vec::new() };
        if self.empty_reads >= self.settings.limits.max_empty_reads {
            return self.runner_lost();
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
        let (attempt, read, from) = (self.attempt, self.read, self.expected);
        vec![RelayAction::Resume { runner, attempt, read, from }]
    }

    /// The current attempt will bring no more tokens.
    pub(crate) fn runner_lost(&mut self) -> Vec<RelayAction> {
        self.may_have_run = true;
        let mut actions = self.cancel();
        actions.push(self.restart(EndCause::RunnerLost, None, false));
        actions
    }

    /// The current attempt was not run: another runner may take the call.
    pub(crate) fn refused(
        &mut self,
        reason: RefusalReason,
        retry_after: Option<TimeSpan>,
    ) -> Vec<RelayAction> {
        vec![self.restart(EndCause::Refused(reason), retry_after, false)]
    }

    pub(crate) fn route_refused(
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

    /// Routing wants the runner for another call. It does not count as an attempt that
    /// failed: how often a call yields is for routing to bound.
    pub(crate) fn withdraw(&mut self) -> Vec<RelayAction> {
        if !matches!(self.phase, RelayPhase::Reading { .. }) || !self.can_withdraw() {
            return Vec::new();
        }
        self.counters.withdrawn += 1;
        self.may_have_run = true;
        self.attempts -= 1;
        let mut actions = self.cancel();
        actions.push(self.restart(EndCause::RunnerLost, None, true));
        actions
    }

    pub(crate) fn caller_left(&mut self) -> Vec<RelayAction> {
        let Some(detached_deadline) = self.settings.detached_deadline else {
            return self.give_up(EndCause::CallerLeft);
        };
        self.caller_left = true;
        self.deadline = detached_deadline;
        Vec::new()
    }

    /// Ends the call and what an engine still does for it.
    pub(crate) fn give_up(&mut self, cause: EndCause) -> Vec<RelayAction> {
        let mut actions = self.cancel();
        self.may_have_run |= !actions.is_empty();
        actions.push(self.finish(cause, None));
        actions
    }

    /// A new attempt elsewhere if no delivered token would be lost or come twice; else
    /// the end. Tokens of the attempt that is left behind are dropped by its number.
    fn restart(
        &mut self,
        cause: EndCause,
        retry_after: Option<TimeSpan>,
        queued: bool,
    ) -> RelayAction {
        let fresh = self.next == TokenIndex(0) || !self.settings.streamed;
        let possible = self.settings.has_prompt && (fresh || self.can_continue());
        if !possible || self.attempts >= self.settings.limits.max_attempts {
            return self.finish(cause, retry_after);
        }
        if self.can_continue() && self.next > TokenIndex(0) {
            self.counters.continued += 1;
        } else {
            self.counters.restarts += 1;
            self.prefix.clear();
            self.next = TokenIndex(0);
        }
        self.expected = self.next;
        self.empty_reads = 0;
        self.attempts += 1;
        self.attempt = self.attempt.next();
        self.read = self.read.next();
        self.stall_at = TimePoint::NEVER;
        self.phase = RelayPhase::Placing;
        let prefix = self.prefix.tokens().to_vec();
        RelayAction::Retry { attempt: self.attempt, prefix, queued }
    }

    fn cancel(&mut self) -> Vec<RelayAction> {
        let RelayPhase::Reading { runner } = &self.phase else { return Vec::new() };
        vec![RelayAction::CancelAttempt { runner: runner.clone(), attempt: self.attempt }]
    }

    pub(crate) fn finish(&mut self, cause: EndCause, retry_after: Option<TimeSpan>) -> RelayAction {
        self.phase = RelayPhase::Finished;
        self.stall_at = TimePoint::NEVER;
        let complete = cause == EndCause::Complete;
        let outcome = if complete {
            CallOutcome::Done
        } else if self.may_have_run || self.next > TokenIndex(0) {
            CallOutcome::Incomplete
        } else {
            CallOutcome::NotRun
        };
        let held = !self.settings.streamed;
        let delivered = if held && !complete { 0 } else { self.next.0 };
        let full_answer = (held && complete).then(|| self.prefix.tokens().to_vec());
        RelayAction::Finish(RelayEnd {
            outcome,
            cause,
            delivered: TokenCount(delivered),
            retry_after,
            full_answer,
        })
    }
}
