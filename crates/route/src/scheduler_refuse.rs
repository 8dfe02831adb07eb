//! Refusal of calls that arrive or wait, and when their callers may come back.
//!
//! Load pattern: more calls than the runners can begin in time. A call that cannot be served is
//! refused as soon as that is known.

use base::prelude::*;
use rand::RngExt;

use crate::scheduler::{QueueKey, RouteScheduler};
use crate::{CallId, CallRecord, RouteAction, RouteDecision, RunnerView, WaitQueue};

/// Retry delay of a refused caller if no better estimate exists, and the
/// minimum delay before jitter.
pub(crate) const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::seconds(1);

/// Maximum retry delay, before jitter.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::seconds(60);

/// Ratio of expected wait to remaining time above which a waiting call is refused. The
/// estimate is rough, and most calls that it puts slightly past their deadline meet it.
const UNREACHABLE_WAIT_RATIO: u64 = 2;

/// Interval between checks of whether waiting calls can still meet their deadline.
const WAIT_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(100);

impl RouteScheduler {
    /// Returns the reason and the retry delay if a call that arrives must be refused.
    pub(crate) fn find_refusal(
        &mut self,
        now: TimePoint,
        record: &CallRecord,
    ) -> Option<(RefusalReason, TimeSpan)> {
        let call = &record.call;
        if call.deadline <= now {
            return Some((RefusalReason::DeadlinePassed, TimeSpan::default()));
        }
        let view = self.services.get(&call.service);
        let slots = view.map_or(&[][..], |view| view.slots.as_slice());
        let tokens = f64::from(record.context_tokens());
        let fits = |runner: &RunnerView| runner.memory_tokens().is_none_or(|all| tokens <= all);
        let can_serve = |runner: &RunnerView| runner.can_serve(call.model.as_ref()) && fits(runner);
        if !slots.iter().any(|slot| can_serve(&self.runners[*slot])) {
            return Some((RefusalReason::NoRunner, DEFAULT_RETRY_AFTER));
        }
        let ahead = self.calls_ahead(record);
        if self.waits_too_long(now, record, ahead) {
            return Some((RefusalReason::RunnersWait, self.late_retry_after(now, record, ahead)));
        }
        let view = self.services.get(&call.service);
        let queue = self.queues.get(&(call.service.clone(), call.model.clone()))?;
        let wait = queue.expected_wait(call.priority);
        let step = TimeSpan::micros(view.map_or(0.0, |view| view.step_micros) as u64);
        let remaining = self.lengths.expected_remaining(call);
        let factor = match step.0 {
            0 => 1.0,
            _ => self.least_factor(now, &call.service, call.model.as_ref()),
        };
        let run = TimeSpan::micros((remaining * step.0 as f64 * factor) as u64);
        let slack = call.deadline.since(now + run);
        if wait > slack && !queue.is_empty() {
            let excess = TimeSpan(wait.0 - slack.0);
            return Some((RefusalReason::Overloaded, self.retry_after(excess)));
        }
        let waiting: usize = self.queues.values().map(WaitQueue::len).sum();
        (waiting >= self.settings.queue_limit)
            .then(|| (RefusalReason::TableFull, self.retry_after(wait)))
    }

    /// Returns the retry delay for a wait that is too long by `excess`, with jitter so that
    /// refused callers do not return all at once.
    fn retry_after(&mut self, excess: TimeSpan) -> TimeSpan {
        let span = excess.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER);
        TimeSpan((span.0 as f64 * self.rng.random_range(0.75..1.25)) as u64)
    }

    /// Refuses waiting calls whose deadline has passed or that no runner can serve any more.
    pub(crate) fn refuse_expired(&mut self, now: TimePoint) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        while let Some(&(deadline, call)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, call));
            actions.push(self.refuse(
                now,
                call,
                RefusalReason::DeadlinePassed,
                TimeSpan::default(),
            ));
        }
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let keys: Vec<QueueKey> = waiting.map(|(key, _)| key.clone()).collect();
        for key in keys {
            let view = self.services.get(&key.0);
            let slots = view.map_or(&[][..], |view| view.slots.as_slice());
            if slots.iter().any(|slot| self.runners[*slot].can_serve(key.1.as_ref())) {
                continue;
            }
            let calls: Vec<CallId> = self.queues[&key].calls().collect();
            for call in calls {
                let retry_after = self.retry_after(DEFAULT_RETRY_AFTER);
                actions.push(self.refuse(now, call, RefusalReason::NoRunner, retry_after));
            }
        }
        actions
    }

    /// Refuses waiting calls whose expected wait is far beyond their deadline, so that their
    /// callers learn it now and not at the deadline.
    pub(crate) fn refuse_unreachable_deadlines(&mut self, now: TimePoint) -> Vec<RouteAction> {
        if now < self.next_wait_check {
            return Vec::new();
        }
        self.next_wait_check = now + WAIT_CHECK_INTERVAL;
        let mut unreachable: Vec<(CallId, TimeSpan)> = Vec::new();
        for (call, wait) in self.queues.values().flat_map(WaitQueue::expected_waits) {
            let left = self.calls.get(&call).map(|record| record.call.deadline.since(now));
            if let Some(excess) = left
                .filter(|left| wait.0 > UNREACHABLE_WAIT_RATIO.saturating_mul(left.0))
                .map(|left| wait.0 - left.0)
            {
                unreachable.push((call, TimeSpan(excess)));
            }
        }
        let mut actions = Vec::new();
        for (call, excess) in unreachable {
            let retry_after = self.retry_after(excess);
            actions.push(self.refuse(now, call, RefusalReason::Overloaded, retry_after));
        }
        actions
    }

    /// Refuses calls that have been late for too long without being sent, so that their
    /// callers learn at once when to retry.
    pub(crate) fn refuse_overdue(&mut self, now: TimePoint) -> Vec<RouteAction> {
        let overdue: Vec<CallId> =
            self.queues.values().flat_map(|queue| queue.overdue(now)).collect();
        let refuse = |call| {
            let retry_after = self.retry_after(DEFAULT_RETRY_AFTER);
            self.refuse(now, call, RefusalReason::Overloaded, retry_after)
        };
        overdue.into_iter().map(refuse).collect()
    }

    /// Removes a call and records its refusal.
    pub(crate) fn refuse(
        &mut self,
        now: TimePoint,
        call: CallId,
        reason: RefusalReason,
        retry_after: TimeSpan,
    ) -> RouteAction {
        self.counters.refused += 1;
        let mut waited = TimeSpan::default();
        if let Some(record) = self.calls.remove(&call) {
            waited = now.since(record.arrived_at);
            self.deadlines.remove(&(record.call.deadline, call));
            if let Some(queue) = self.queues.get_mut(&(record.call.service, record.call.model)) {
                queue.remove(call);
            }
        }
        self.decisions.push(RouteDecision {
            at: now,
            call,
            runner: None,
            waited,
            risk: 0.0,
            cost: 0.0,
            refusal: Some(reason),
        });
        RouteAction::Refuse { call, reason, retry_after }
    }
}
