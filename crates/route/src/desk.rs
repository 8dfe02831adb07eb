//! The desk: every routing decision of one entry.

use std::collections::BTreeMap;

use base::{AttemptNumber, prelude::*};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    CallEnd, CallId, CallRecord, LengthTable, MemoryForecast, PolicyName, PrefixTable, RouteAction,
    RouteCall, RouteEvent, RouteMember, RouteSettings, RunnerView, ServiceView, WaitQueue,
    baseline, runner_score,
};

/// Time after which a refused caller may try again when nothing better is known.
const DEFAULT_COME_BACK: TimeSpan = TimeSpan::seconds(1);

/// Largest random part of a runner's cost, so that entries do not all choose alike.
const SCORE_NOISE: f64 = 0.15;

/// A queue is kept for each service and model.
type QueueName = (ServiceName, Option<ModelName>);

/// Routing state of one entry.
pub struct RouteDesk {
    settings: RouteSettings,
    services: BTreeMap<ServiceName, ServiceView>,
    slots: BTreeMap<RunnerId, usize>,
    runners: Vec<RunnerView>,
    calls: BTreeMap<CallId, CallRecord>,
    lengths: LengthTable,
    prefixes: PrefixTable,
    queues: BTreeMap<QueueName, WaitQueue>,
    random: StdRng,
}

impl RouteDesk {
    /// An empty desk.
    #[must_use]
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            settings,
            services: BTreeMap::new(),
            slots: BTreeMap::new(),
            runners: Vec::new(),
            calls: BTreeMap::new(),
            lengths: LengthTable::default(),
            prefixes: PrefixTable::default(),
            queues: BTreeMap::new(),
        }
    }

    /// Takes one event and gives what is to be done now.
    pub fn handle(&mut self, now: TimePoint, event: RouteEvent) -> Vec<RouteAction> {
        match event {
            RouteEvent::Service { service, kind, weights, shares } => {
                let view = self.services.entry(service).or_default();
                view.kind = kind;
                view.weights = weights;
                view.shares = shares;
            }
            RouteEvent::Members { service, members } => self.take_members(&service, members),
            RouteEvent::Report(report) => self.take_report(now, report),
            RouteEvent::Cache { runner, event } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.prefixes.take(slot, &event);
                }
            }
            RouteEvent::Arrive(call) => return self.arrive(now, call),
            RouteEvent::Progress { call, index } => {
                if let Some(record) = self.calls.get_mut(&call) {
                    record.call.produced = TokenCount(index.0 + 1);
                }
                return Vec::new();
            }
            RouteEvent::Ended { call, end } => self.end(now, call, end),
            RouteEvent::Tick => (),
        }
        self.send_waiting(now)
    }

    /// The desk's state, for the dump.
    #[must_use]
    pub fn summary(&self) -> String {
        format!("{:?}: {} calls", self.settings.policy, self.calls.len())
    }

    fn take_members(&mut self, service: &ServiceName, members: Vec<RouteMember>) {
        let mut slots = Vec::with_capacity(members.len());
        for member in members {
            let next = self.runners.len();
            let slot = *self.slots.entry(member.runner.clone()).or_insert(next);
            if slot == next {
                self.runners.push(RunnerView::new(member.runner, member.place));
            }
            self.runners[slot].leaving = member.leaving;
            slots.push(slot);
        }
        self.services.entry(service.clone()).or_default().slots = slots;
    }

    fn take_report(&mut self, now: TimePoint, report: RunnerReport) {
        let Some(&slot) = self.slots.get(&report.runner) else {
            return;
        };
        let step = report.step;
        let before = self.runners[slot].reported_calls();
        if self.runners[slot].take_report(now, report)
            && self.settings.policy == PolicyName::Product
        {
            self.runners[slot].ticket = self.random.random();
            self.refresh_forecast(now, slot, step);
            let now = self.runners[slot].reported_calls();
            if let Some(view) = self.service_of(slot) {
                view.observe_calls(before, now);
            }
        }
    }

    fn service_of(&mut self, slot: usize) -> Option<&mut ServiceView> {
        self.services.values_mut().find(|view| view.slots.contains(&slot))
    }

    /// Computes what the calls of this entry at a runner will need, and what the calls of
    /// others held when it reported.
    fn refresh_forecast(&mut self, now: TimePoint, slot: usize, step: TimeSpan) {
        let reported = self.runners[slot].reported;
        let steps_since = now.since(reported).0.checked_div(step.0).unwrap_or(0) as u32;
        let mut own_tokens = 0.0;
        let mut forecast = MemoryForecast::default();
        let mut service = None;
        for call in &self.runners[slot].own {
            let Some(record) = self.calls.get_mut(call) else {
                continue;
            };
            let alive = self.lengths.alive(&record.call, record.call.produced.0);
            record.forecast = MemoryForecast::of_generation(record.context(), alive);
            forecast += record.forecast;
            if record.sent <= reported {
                let since = steps_since.min(record.call.produced.0);
                own_tokens += f64::from(record.context() - since);
            }
            service = Some(record.call.service.clone());
        }
        let runner = &mut self.runners[slot];
        let before = std::mem::replace(&mut runner.own_forecast, forecast);
        let known = own_tokens + runner.freed_tokens() as f64;
        runner.other_tokens = (runner.used_tokens() - known).max(0.0);
        if let Some(view) = service.and_then(|service| self.services.get_mut(&service)) {
            view.own_forecast -= before;
            view.own_forecast += forecast;
        }
    }

    fn arrive(&mut self, now: TimePoint, call: RouteCall) -> Vec<RouteAction> {
        let id = call.call;
        let name = (call.service.clone(), call.model.clone());
        let alive = self.lengths.alive(&call, call.produced.0);
        let mut record = CallRecord::new(now, call);
        record.forecast = MemoryForecast::of_generation(record.context(), alive);
        if self.settings.policy == PolicyName::Product {
            let view = self.services.entry(name.0.clone()).or_default();
            let ahead = self.lengths.estimate(&record.call).expected_ahead(record.call.produced.0);
            let work = u64::from(record.context()) + ahead as u64;
            let share = view.share(&record.call.workspace);
            let queue = self.queues.entry(name).or_default();
            queue.push(id, record.call.priority, &record.call.workspace, work, share);
            self.calls.insert(id, record);
            return self.send_waiting(now);
        }
        self.calls.insert(id, record);
        match self.choose_baseline(id) {
            Some(slot) => vec![self.send(now, id, slot)],
            None => vec![self.refuse(id, RefusalReason::NoRunner, DEFAULT_COME_BACK)],
        }
    }

    fn choose_baseline(&mut self, id: CallId) -> Option<usize> {
        let call = &self.calls.get(&id)?.call;
        let view = self.services.entry(call.service.clone()).or_default();
        let serves = |slot: &usize| self.runners[*slot].serves(call.model.as_ref());
        let open: Vec<usize> = view.slots.iter().copied().filter(serves).collect();
        let policy = self.settings.policy;
        baseline::choose(policy, &self.runners, &open, &mut view.turn, &mut self.random)
    }

    fn send_waiting(&mut self, now: TimePoint) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        let names: Vec<QueueName> = self.queues.keys().cloned().collect();
        for name in names {
            while let Some(call) = self.queues.get(&name).and_then(WaitQueue::first) {
                let Some(slot) = self.choose(now, call) else {
                    break;
                };
                if let Some(queue) = self.queues.get_mut(&name) {
                    queue.remove(call);
                }
                actions.push(self.send(now, call, slot));
            }
        }
        actions
    }

    fn choose(&mut self, now: TimePoint, id: CallId) -> Option<usize> {
        let record = self.calls.get(&id)?;
        let view = self.services.get(&record.call.service)?;
        let model = record.call.model.as_ref();
        let mut best: Option<(f64, usize)> = None;
        for &slot in &view.slots {
            let runner = &self.runners[slot];
            if !runner.serves(model) {
                continue;
            }
            let cached = runner_score::is_cached(&self.prefixes, slot, record);
            let score = runner_score::score(now, record, view, runner, cached);
            let noise = SCORE_NOISE * self.random.random::<f64>();
            if score.open && best.is_none_or(|(cost, _)| score.cost + noise < cost) {
                best = Some((score.cost + noise, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    fn send(&mut self, now: TimePoint, call: CallId, slot: usize) -> RouteAction {
        let runner = self.runners[slot].runner.clone();
        let mut attempt = 0;
        if let Some(record) = self.calls.get_mut(&call) {
            attempt = record.attempt;
            record.attempt += 1;
            record.slot = Some(slot);
            record.sent = now;
            self.runners[slot].sent(now, call, record.context());
            self.runners[slot].own_forecast += record.forecast;
            if let Some(view) = self.services.get_mut(&record.call.service) {
                view.own_forecast += record.forecast;
                view.own_calls += 1;
            }
        }
        RouteAction::Send { call, runner, attempt: AttemptNumber(attempt) }
    }

    fn refuse(&mut self, call: CallId, reason: RefusalReason, come_back: TimeSpan) -> RouteAction {
        self.calls.remove(&call);
        RouteAction::Refuse { call, reason, come_back }
    }

    fn end(&mut self, now: TimePoint, call: CallId, end: CallEnd) {
        let Some(record) = self.calls.remove(&call) else {
            return;
        };
        if let Some(slot) = record.slot {
            self.runners[slot].ended(now, call, record.context());
            self.runners[slot].own_forecast -= record.forecast;
            if let Some(view) = self.services.get_mut(&record.call.service) {
                view.own_forecast -= record.forecast;
                view.own_calls = view.own_calls.saturating_sub(1);
            }
        }
        for queue in self.queues.values_mut() {
            queue.remove(call);
        }
        if end != CallEnd::Refused {
            let whole = end == CallEnd::Finished;
            self.lengths.observe(&record.call, record.call.produced.0, whole);
        }
    }
}
