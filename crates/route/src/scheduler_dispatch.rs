//! Arrival, queueing, choice of a runner, and refusal of calls.

use base::{AttemptNumber, prelude::*};
use config::ServiceKind;
use rand::RngExt;

use crate::runner_score::{self, RunnerScore};
use crate::scheduler::{QueueKey, RouteScheduler};
use crate::{
    CallId, CallRecord, MemoryForecast, PolicyName, RouteAction, RouteCall, RouteDecision,
    WaitQueue, baseline,
};

/// Retry delay of a refused caller if no better estimate exists, and the
/// minimum delay before jitter.
const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::seconds(1);

/// Maximum retry delay, before jitter.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::seconds(60);

/// Amplitude of the noise added to a runner's cost, so that entries do not all choose the
/// same runner.
const SCORE_NOISE: f64 = 0.15;

/// At most one in this many runners of a service is treated as ejected, or one if there are
/// fewer. If more are ejected, or all of them, the ejections are ignored.
const EJECTED_SHARE_DIVISOR: usize = 3;

/// Ratio of expected wait to remaining time above which a waiting call is refused. The
/// estimate is rough, and most calls that it puts slightly past their deadline meet it.
const UNREACHABLE_WAIT_RATIO: u64 = 2;

/// Length of a turn in which about one of the entries with waiting calls sends one of them.
const TURN_INTERVAL: TimeSpan = TimeSpan::millis(10);

/// Interval between checks of whether waiting calls can still meet their deadline.
const WAIT_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(100);

/// Time by which a runner's last report may lag behind the newest one of its service before
/// the runner is treated as ejected.
const MAX_REPORT_LAG: TimeSpan = TimeSpan::millis(1_500);

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

    /// Returns the reason and the retry delay if a call that arrives must be refused.
    fn find_refusal(
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
        if !slots.iter().any(|slot| self.runners[*slot].can_serve(call.model.as_ref())) {
            return Some((RefusalReason::NoRunner, DEFAULT_RETRY_AFTER));
        }
        let queue = self.queues.get(&(call.service.clone(), call.model.clone()))?;
        let wait = queue.expected_wait(call.priority);
        let step = TimeSpan::micros(view.map_or(0.0, |view| view.step_micros) as u64);
        let remaining = self.lengths.expected_remaining(call);
        let run = TimeSpan::micros((remaining * step.0 as f64) as u64);
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
                .filter(|left| wait.0 > UNREACHABLE_WAIT_RATIO * left.0)
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

    /// Chooses a runner by the baseline policy in use.
    fn choose_baseline(&mut self, id: CallId) -> Option<usize> {
        let call = &self.calls.get(&id)?.call;
        let view = self.services.entry(call.service.clone()).or_default();
        let can_serve = |slot: &usize| self.runners[*slot].can_serve(call.model.as_ref());
        let candidates: Vec<usize> = view.slots.iter().copied().filter(can_serve).collect();
        let policy = self.settings.policy;
        baseline::choose(
            policy,
            &self.runners,
            &candidates,
            &mut view.round_robin_turn,
            &mut self.rng,
        )
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

    /// Returns the runner with the lowest cost among those whose score satisfies `allow`.
    pub(crate) fn choose(
        &mut self,
        now: TimePoint,
        id: CallId,
        allow: fn(&RunnerScore) -> bool,
    ) -> Option<(usize, RunnerScore)> {
        let record = self.calls.get(&id)?;
        let view = self.services.get(&record.call.service)?;
        let model = record.call.model.as_ref();
        let is_healthy = |slot: usize| {
            let runner = &self.runners[slot];
            let is_silent = view.last_report_at.since(runner.received_at) > MAX_REPORT_LAG;
            runner.health.is_available(now) && !(is_silent && runner.report.is_some())
        };
        let serving =
            view.slots.iter().copied().filter(|slot| self.runners[*slot].can_serve(model));
        let (healthy, ejected): (Vec<usize>, Vec<usize>) =
            serving.partition(|slot| is_healthy(*slot));
        let max_ejected = ((healthy.len() + ejected.len()) / EJECTED_SHARE_DIVISOR).max(1);
        let too_many = healthy.is_empty() || ejected.len() > max_ejected;
        let readmitted = if too_many { ejected.as_slice() } else { &[] };
        let candidates =
            self.untried_first(&record.call, healthy.iter().chain(readmitted).copied());
        let mut best: Option<(f64, usize, RunnerScore)> = None;
        for slot in candidates {
            let cached = runner_score::is_cached(&self.prefixes, slot, record);
            let score = runner_score::score(now, record, view, &self.runners[slot], cached);
            let noise = match view.kind {
                ServiceKind::Model => SCORE_NOISE,
                ServiceKind::Plain => 1.0,
            };
            let cost = score.cost + noise * self.rng.random::<f64>();
            if allow(&score) && best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, slot, score));
            }
        }
        best.map(|(_, slot, score)| (slot, score))
    }

    /// Returns the candidates that the call has not tried yet, or all if it has tried all.
    fn untried_first(
        &self,
        call: &RouteCall,
        candidates: impl Iterator<Item = usize>,
    ) -> Vec<usize> {
        let all: Vec<usize> = candidates.collect();
        if call.tried_runners.is_empty() {
            return all;
        }
        let is_new = |slot: &&usize| !call.tried_runners.contains(&self.runners[**slot].runner);
        let untried: Vec<usize> = all.iter().filter(is_new).copied().collect();
        if untried.is_empty() { all } else { untried }
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

    /// Removes a call and records its refusal.
    fn refuse(
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
