//! Arrival and queueing of calls, and when those that wait are sent.
//!
//! Load pattern: calls that cannot be sent at once, at many entries that see the same free
//! capacity.

use base::{AttemptNumber, prelude::*};
use rand::RngExt;

use crate::runner_score::RunnerScore;
use crate::scheduler::{QueueKey, RouteScheduler};
use crate::scheduler_refuse::DEFAULT_RETRY_AFTER;
use crate::{
    CallId, CallRecord, MemoryForecast, PolicyName, RouteAction, RouteCall, RouteDecision,
    WaitQueue,
};

/// Length of a turn in which about one of the entries with waiting calls sends one of them.
const TURN_INTERVAL: TimeSpan = TimeSpan::millis(10);

impl RouteScheduler {
    /// Accepts a call: it is queued and sent as soon as a runner admits it, or refused. The
    /// baseline policies send it at once.
    pub(crate) fn arrive(&mut self, now: TimePoint, call: RouteCall) -> Vec<RouteAction> {
        self.counters.arrived += 1;
        let id = call.id;
        let survival = self.lengths.survival_at_horizons(&call, call.produced_tokens.0);
        let mut record = CallRecord::new(now, call);
        record.forecast = MemoryForecast::for_generation(record.context_tokens(), survival);
        if self.settings.policy != PolicyName::Product {
            self.calls.insert(id, record);
            return match self.choose_baseline(id) {
                Some(slot) => vec![self.send(now, id, slot, None)],
                None => vec![self.refuse(now, id, RefusalReason::NoRunner, DEFAULT_RETRY_AFTER)],
            };
        }
        if let Some((reason, retry_after)) = self.find_refusal(now, &record) {
            self.calls.insert(id, record);
            return vec![self.refuse(now, id, reason, retry_after)];
        }
        self.enqueue(id, record);
        self.send_waiting(now)
    }

    /// Adds a call to the queue of its service and model.
    fn enqueue(&mut self, id: CallId, record: CallRecord) {
        let call = &record.call;
        let remaining = self.lengths.expected_remaining(call);
        let work = u64::from(record.context_tokens()) + remaining as u64;
        let share = self.services.entry(call.service.clone()).or_default().share(&call.workspace);
        let key = (call.service.clone(), call.model.clone());
        let queue = self.queues.entry(key).or_default();
        queue.push(call, work, share);
        self.deadlines.insert((call.deadline, id));
        self.calls.insert(id, record);
    }

    /// Sends waiting calls in queue order, as long as a runner admits the next one.
    pub(crate) fn send_waiting(&mut self, now: TimePoint) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        let keys: Vec<QueueKey> = self.queues.keys().cloned().collect();
        for key in keys {
            let view = self.services.entry(key.0.clone()).or_default();
            let (first_token_latency, waiting_peers) =
                (view.first_token_latency(), view.waiting_peers);
            if let Some(queue) = self.queues.get_mut(&key) {
                queue.mark_late(now + first_token_latency);
            }
            let mut may_send_waiting = self.take_turn(now, &key, waiting_peers);
            while let Some(call) = self.queues.get(&key).and_then(WaitQueue::first) {
                // Capacity is left to the calls at other entries that are not late.
                let peers_wait = waiting_peers > 0;
                if peers_wait && self.queues.get(&key).is_some_and(WaitQueue::is_all_late) {
                    break;
                }
                let has_waited = self.calls.get(&call).is_some_and(|call| call.arrived_at < now);
                if peers_wait && has_waited && !std::mem::take(&mut may_send_waiting) {
                    break;
                }
                let Some((slot, score)) = self.choose(now, call, |score| score.admissible) else {
                    break;
                };
                if let Some(queue) = self.queues.get_mut(&key) {
                    queue.dequeue(now, call);
                }
                actions.push(self.send(now, call, slot, Some(score)));
            }
        }
        actions
    }

    /// Decides whether a call that has waited may be sent now. Capacity that becomes free is
    /// seen by all entries at once: in each turn, only about one of those with waiting calls
    /// takes some of it.
    fn take_turn(&mut self, now: TimePoint, key: &QueueKey, waiting_peers: usize) -> bool {
        let Some(queue) = self.queues.get_mut(key) else { return false };
        if waiting_peers == 0 {
            return true;
        }
        if queue.is_empty() || now < queue.next_turn {
            return false;
        }
        queue.next_turn = now + TURN_INTERVAL;
        self.rng.random_bool(1.0 / (1 + waiting_peers) as f64)
    }

    /// Assigns a call to a runner and records the decision.
    fn send(
        &mut self,
        now: TimePoint,
        call: CallId,
        slot: usize,
        score: Option<RunnerScore>,
    ) -> RouteAction {
        let runner = self.runners[slot].runner.clone();
        let pending_prefill = self.runners[slot].pending_prefill_tokens(now);
        self.counters.sent += 1;
        let mut attempt = 0;
        if let Some(record) = self.calls.get_mut(&call) {
            self.deadlines.remove(&(record.call.deadline, call));
            attempt = record.attempt;
            record.attempt += 1;
            record.slot = Some(slot);
            record.sent_at = now;
            record.progress_at = None;
            record.calls_at_send = self.runners[slot].corrected_calls();
            record.prefill_tokens = pending_prefill + u64::from(record.context_tokens());
            self.runners[slot].record_sent(now, call, record.context_tokens());
            self.runners[slot].own_forecast += record.forecast;
            if let Some(view) = self.services.get_mut(&record.call.service) {
                view.own_forecast += record.forecast;
                view.own_calls += 1;
            }
            self.decisions.push(RouteDecision {
                at: now,
                call,
                runner: Some(runner.clone()),
                waited: now.since(record.arrived_at),
                risk: score.map_or(0.0, |score| score.risk),
                cost: score.map_or(0.0, |score| score.cost),
                refusal: None,
            });
        }
        RouteAction::Send { call, runner, attempt: AttemptNumber(attempt) }
    }
}
