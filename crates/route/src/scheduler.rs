//! The scheduler: every routing decision of one entry.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::decision_log::DecisionLog;
use crate::{
    CallEnd, CallId, CallRecord, LengthTable, MemoryForecast, PolicyName, PrefixTable, RouteAction,
    RouteCounters, RouteEvent, RouteMember, RouteSettings, RouteSummary, RunnerSummary, RunnerView,
    ServiceView, WaitQueue, subset,
};

/// Age of a runner's last report from which the scheduler goes on without it.
const UNREPORTED_SPAN: TimeSpan = TimeSpan::seconds(1);

/// Time between two forecasts of a runner that does not report.
const REFRESH_PERIOD: TimeSpan = TimeSpan::millis(250);

/// A queue is kept for each service and model.
pub(crate) type QueueName = (ServiceName, Option<ModelName>);

/// Waiting calls from which on a workspace counts as crowded.
const CROWDED_CALLS: usize = 4;

/// Routing state of one entry.
pub struct RouteScheduler {
    pub(crate) settings: RouteSettings,
    pub(crate) services: BTreeMap<ServiceName, ServiceView>,
    pub(crate) slots: BTreeMap<RunnerId, usize>,
    pub(crate) runners: Vec<RunnerView>,
    pub(crate) calls: BTreeMap<CallId, CallRecord>,
    pub(crate) lengths: LengthTable,
    pub(crate) prefixes: PrefixTable,
    pub(crate) queues: BTreeMap<QueueName, WaitQueue>,
    pub(crate) random: StdRng,
    pub(crate) counters: RouteCounters,
    pub(crate) decisions: DecisionLog,
    pub(crate) deadlines: BTreeSet<(TimePoint, CallId)>,
    /// When waits are forecast anew.
    pub(crate) next_forecast: TimePoint,
    pub(crate) now: TimePoint,
}

impl RouteScheduler {
    /// An empty scheduler.
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
            counters: RouteCounters::default(),
            decisions: DecisionLog::default(),
            deadlines: BTreeSet::new(),
            next_forecast: TimePoint::default(),
            now: TimePoint::default(),
        }
    }

    /// Takes one event and gives what is to be done now.
    pub fn handle(&mut self, now: TimePoint, event: RouteEvent) -> Vec<RouteAction> {
        self.handle_all(now, [event])
    }

    /// Takes events that describe one state, and gives what is to be done after the last:
    /// a runner whose load comes behind it must not look empty meanwhile.
    pub fn handle_all(
        &mut self,
        now: TimePoint,
        events: impl IntoIterator<Item = RouteEvent>,
    ) -> Vec<RouteAction> {
        self.now = now;
        let mut actions = Vec::new();
        let mut changed = false;
        for event in events {
            match event {
                RouteEvent::Arrive(call) => actions.extend(self.arrive(now, call)),
                event => changed |= self.note(now, event),
            }
        }
        if changed {
            actions.extend(self.refuse_late(now));
            actions.extend(self.send_waiting(now));
            actions.extend(self.refuse_overdue(now));
            actions.extend(self.refuse_hopeless(now));
        }
        actions
    }

    /// Takes what an event tells; whether calls that wait may be concerned.
    fn note(&mut self, now: TimePoint, event: RouteEvent) -> bool {
        match event {
            RouteEvent::Service { service, kind, weights, shares } => {
                let view = self.services.entry(service).or_default();
                view.kind = kind;
                view.weights = weights;
                view.shares = shares;
            }
            RouteEvent::Members { service, members } => self.take_members(&service, members),
            RouteEvent::Report(report) => self.take_report(now, report),
            RouteEvent::PendingPrefill { runner, tokens } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.runners[slot].pending_prefill = Some((now, tokens));
                }
                return false;
            }
            RouteEvent::Cache { runner, event } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.prefixes.apply(slot, &event);
                }
            }
            RouteEvent::Progress { call, index } => {
                self.progress(now, call, index);
                return false;
            }
            RouteEvent::Ended { call, end } => self.end(now, call, end),
            RouteEvent::Tick => self.refresh_unreported(now),
            RouteEvent::PeersWaiting { service, peers_waiting } => {
                self.services.entry(service).or_default().peers_waiting = peers_waiting;
            }
            RouteEvent::Arrive(_) => return false,
        }
        true
    }

    fn progress(&mut self, now: TimePoint, call: CallId, index: TokenIndex) {
        let Some(record) = self.calls.get_mut(&call) else { return };
        let is_first = record.call.produced_tokens.0 == 0;
        record.call.produced_tokens = TokenCount(index.0 + 1);
        if let Some(view) = self.services.get_mut(&record.call.service).filter(|_| is_first) {
            view.observe_first_token(now.since(record.sent_at));
        }
    }

    /// Workspaces of which many calls wait at this entry.
    #[must_use]
    pub fn crowded_workspaces(&self) -> Vec<WorkspaceId> {
        let mut counts: BTreeMap<&WorkspaceId, usize> = BTreeMap::new();
        for call in self.queues.values().flat_map(WaitQueue::calls) {
            if let Some(record) = self.calls.get(&call) {
                *counts.entry(&record.call.workspace).or_default() += 1;
            }
        }
        let many = counts.into_iter().filter(|(_, count)| *count >= CROWDED_CALLS);
        many.map(|(workspace, _)| workspace.clone()).collect()
    }

    /// The services for which calls wait here that can still be served in time.
    #[must_use]
    pub fn services_waiting_in_time(&self) -> Vec<ServiceName> {
        let waits = |queue: &WaitQueue| !queue.is_empty() && !queue.is_all_late();
        let waiting = self.queues.iter().filter(|(_, queue)| waits(queue));
        let mut services: Vec<ServiceName> = waiting.map(|(name, _)| name.0.clone()).collect();
        services.dedup();
        services
    }

    /// The scheduler's state, for the dump.
    #[must_use]
    pub fn summary(&self) -> RouteSummary {
        let waiting = self.queues.iter().map(|((service, model), queue)| {
            let model = model.as_ref().map_or("", |model| model.as_str());
            (format!("{service}/{model}"), queue.len())
        });
        let runners = self.runners.iter().map(|view| (view.runner.clone(), self.summarize(view)));
        RouteSummary {
            policy: self.settings.policy,
            counters: RouteCounters { cache_gaps: self.prefixes.gaps(), ..self.counters },
            running: self.calls.values().filter(|record| record.slot.is_some()).count(),
            waiting: waiting.collect(),
            length_groups: self.lengths.len(),
            runners: runners.collect(),
            decisions: self.decisions.to_vec(),
        }
    }

    /// What is known of one runner.
    #[must_use]
    pub fn runner_summary(&self, runner: &RunnerId) -> Option<RunnerSummary> {
        self.slots.get(runner).map(|slot| self.summarize(&self.runners[*slot]))
    }

    fn summarize(&self, view: &RunnerView) -> RunnerSummary {
        RunnerSummary {
            calls: view.corrected_calls(),
            own_calls: view.own_calls.len(),
            used_share: view.memory_tokens().map(|memory| view.used_tokens() / memory),
            prefill_tokens: view.pending_prefill_tokens(self.now),
            report_age: self.now.since(view.reported_at),
            leaving: view.leaving,
            ejected_for: view.health.ejected_until.since(self.now),
        }
    }

    fn take_members(&mut self, service: &ServiceName, members: Vec<RouteMember>) {
        let entry = format!("{}/{}", self.settings.place, self.settings.seed);
        let members = match self.settings.policy {
            PolicyName::Product => subset::choose(&entry, &self.settings.place, members),
            _ => members,
        };
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
        let view = self.services.entry(service.clone()).or_default();
        for &gone in view.slots.iter().filter(|slot| !slots.contains(slot)) {
            self.runners[gone].clear_report();
            self.prefixes.remove_runner(gone);
        }
        let used = || slots.iter().map(|slot| &self.runners[*slot]);
        view.reported_calls = used().map(RunnerView::reported_calls).sum();
        view.own_calls = used().map(|runner| runner.own_calls.len() as u32).sum();
        view.own_forecast = MemoryForecast::default();
        used().for_each(|runner| view.own_forecast += runner.own_forecast);
        for &slot in &slots {
            self.runners[slot].service = Some(service.clone());
        }
        view.slots = slots;
    }

    fn take_report(&mut self, now: TimePoint, report: RunnerReport) {
        let Some(&slot) = self.slots.get(&report.runner) else {
            return;
        };
        let step = report.step;
        let busy = report.running > 0;
        let before = self.runners[slot].reported_calls();
        let incarnation = self.runners[slot].incarnation();
        if !self.runners[slot].apply_report(now, report) {
            return;
        }
        if incarnation != self.runners[slot].incarnation() {
            self.prefixes.remove_runner(slot);
        }
        if self.settings.policy != PolicyName::Product {
            return;
        }
        self.runners[slot].admission_draw = self.random.random();
        self.refresh_forecast(now, slot, step);
        let calls = self.runners[slot].reported_calls();
        let Some(view) = self.service_of(slot) else {
            return;
        };
        view.observe_reported_calls(before, calls);
        view.observe_step(now, step);
        let average = view.step_micros;
        if busy {
            self.runners[slot].health.record_step(now, step, average);
        }
    }

    fn end(&mut self, now: TimePoint, call: CallId, end: CallEnd) {
        let Some(record) = self.calls.remove(&call) else {
            return;
        };
        self.deadlines.remove(&(record.call.deadline, call));
        let name = (record.call.service.clone(), record.call.model.clone());
        if let Some(queue) = self.queues.get_mut(&name) {
            queue.remove(call);
        }
        let Some(slot) = record.slot else {
            return;
        };
        let runner = &mut self.runners[slot];
        runner.record_ended(now, call, record.context_tokens());
        runner.own_forecast -= record.forecast;
        match end {
            CallEnd::Finished => {
                runner.health.record_success();
                self.counters.finished += 1;
            }
            CallEnd::Refused | CallEnd::Failed => {
                runner.health.record_failure(now);
                self.counters.failed += 1;
            }
            CallEnd::Cancelled => (),
        }
        if let Some(view) = self.services.get_mut(&record.call.service) {
            view.own_forecast -= record.forecast;
            view.own_calls = view.own_calls.saturating_sub(1);
        }
        if end != CallEnd::Refused {
            let whole = end == CallEnd::Finished;
            self.lengths.observe(&record.call, record.call.produced_tokens.0, whole);
        }
    }

    /// Goes on without reports: the load of other entries is taken to be like this
    /// entry's own, spread evenly.
    fn refresh_unreported(&mut self, now: TimePoint) {
        if self.settings.policy != PolicyName::Product {
            return;
        }
        for slot in 0..self.runners.len() {
            let runner = &self.runners[slot];
            let late = now.since(runner.received_at) > UNREPORTED_SPAN && runner.report.is_some();
            if !late || now.since(runner.forecast_at) < REFRESH_PERIOD {
                continue;
            }
            let step = runner.report.as_ref().map_or(TimeSpan::default(), |report| report.step);
            self.refresh_forecast(now, slot, step);
            let Some(view) = self.service_of(slot) else {
                continue;
            };
            let own_tokens = view.own_forecast.mean[0] / view.slots.len().max(1) as f64;
            let other_tokens = (view.estimated_entries - 1.0) * own_tokens;
            let admission_draw = self.random.random();
            let runner = &mut self.runners[slot];
            runner.other_tokens = other_tokens;
            runner.admission_draw = admission_draw;
            runner.sent_calls = 0;
        }
    }

    fn service_of(&mut self, slot: usize) -> Option<&mut ServiceView> {
        self.services.get_mut(self.runners[slot].service.as_ref()?)
    }

    /// Computes what the calls of this entry at a runner will need, and what the calls of
    /// others held when it reported.
    fn refresh_forecast(&mut self, now: TimePoint, slot: usize, step: TimeSpan) {
        let reported = self.runners[slot].reported_at;
        let steps_since = now.since(reported).0.checked_div(step.0).unwrap_or(0) as u32;
        let mut own_tokens = 0.0;
        let mut forecast = MemoryForecast::default();
        for call in &self.runners[slot].own_calls {
            let Some(record) = self.calls.get_mut(call) else {
                continue;
            };
            let alive =
                self.lengths.survival_at_horizons(&record.call, record.call.produced_tokens.0);
            record.forecast = MemoryForecast::for_generation(record.context_tokens(), alive);
            forecast += record.forecast;
            if record.sent_at <= reported {
                let since = steps_since.min(record.call.produced_tokens.0);
                own_tokens += f64::from(record.context_tokens() - since);
            }
        }
        let runner = &mut self.runners[slot];
        runner.forecast_at = now;
        let before = std::mem::replace(&mut runner.own_forecast, forecast);
        let known = own_tokens + runner.freed_tokens() as f64;
        runner.other_tokens = (runner.used_tokens() - known).max(0.0);
        if let Some(view) = self.service_of(slot) {
            view.own_forecast -= before;
            view.own_forecast += forecast;
        }
    }
}
