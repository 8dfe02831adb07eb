//! Scheduler state and event handling.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::decision_log::DecisionLog;
use crate::runner_health::RunnerHealth;
use crate::{
    CallEnd, CallId, CallRecord, LengthTable, MemoryForecast, PolicyName, PrefixTable, RouteAction,
    RouteCounters, RouteEvent, RouteMember, RouteSettings, RouteSummary, RunnerSummary, RunnerView,
    ServiceView, WaitQueue, subset,
};

/// Key of a wait queue: one is kept per service and model.
pub(crate) type QueueKey = (ServiceName, Option<ModelName>);

/// Number of waiting calls at which a workspace counts as crowded.
const CROWDED_CALLS: usize = 4;

/// Schedules the calls of one entry on runners.
pub struct RouteScheduler {
    pub(crate) settings: RouteSettings,
    pub(crate) services: BTreeMap<ServiceName, ServiceView>,
    pub(crate) slots: BTreeMap<RunnerId, usize>,
    pub(crate) runners: Vec<RunnerView>,
    pub(crate) calls: BTreeMap<CallId, CallRecord>,
    pub(crate) lengths: LengthTable,
    pub(crate) prefixes: PrefixTable,
    pub(crate) queues: BTreeMap<QueueKey, WaitQueue>,
    pub(crate) rng: StdRng,
    pub(crate) counters: RouteCounters,
    pub(crate) decisions: DecisionLog,
    pub(crate) deadlines: BTreeSet<(TimePoint, CallId)>,
    /// When expected waits are checked against deadlines next.
    pub(crate) next_wait_check: TimePoint,
    pub(crate) now: TimePoint,
    /// Whether speeds of runners are learned and used.
    pub(crate) uses_speeds: bool,
    /// Runners whose factor has left or entered the dead band.
    pub(crate) speed_changes: Vec<usize>,
}

impl RouteScheduler {
    /// Creates a scheduler without services and runners.
    #[must_use]
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
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
            next_wait_check: TimePoint::default(),
            now: TimePoint::default(),
            uses_speeds: true,
            speed_changes: Vec::new(),
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle(&mut self, now: TimePoint, event: RouteEvent) -> Vec<RouteAction> {
        self.handle_all(now, [event])
    }

    /// Handles a batch of events that describe one state, and returns the resulting actions.
    /// Except for arriving calls, the batch takes effect as a whole: a runner that is added
    /// must not appear idle before the report of its load is applied.
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
                event => changed |= self.apply_event(now, event),
            }
        }
        if changed {
            actions.extend(self.refuse_expired(now));
            actions.extend(self.refuse_waiting_for_runners(now));
            actions.extend(self.send_waiting(now));
            actions.extend(self.refuse_overdue(now));
            actions.extend(self.refuse_unreachable_deadlines(now));
        }
        self.queues.values_mut().for_each(|queue| queue.record_waiting(now));
        actions
    }

    /// Applies an event to the state; returns whether waiting calls may be affected.
    fn apply_event(&mut self, now: TimePoint, event: RouteEvent) -> bool {
        match event {
            RouteEvent::Service { service, kind, weights, shares } => {
                let view = self.services.entry(service).or_default();
                view.kind = kind;
                view.weights = weights;
                view.shares = shares;
            }
            RouteEvent::Members { service, members } => self.replace_members(&service, members),
            RouteEvent::Report(report) => self.apply_report(now, report),
            RouteEvent::PendingPrefill { runner, tokens } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.runners[slot].pending_prefill = Some((now, tokens));
                }
                return false;
            }
            RouteEvent::OtherForecast { runner, forecast } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.runners[slot].other_forecast = Some(forecast);
                }
                return false;
            }
            RouteEvent::RunnerReached { runner } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.runners[slot].health = RunnerHealth::default();
                }
            }
            RouteEvent::RunnerWait { runner, until } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.runners[slot].ramp.begin(until);
                }
            }
            RouteEvent::RunnerLimit { runner, rate } => {
                let draw = self.rng.random();
                if let Some(&slot) = self.slots.get(&runner) {
                    self.runners[slot].limiter.set_rate(now, rate, draw);
                }
            }
            RouteEvent::RunnerRoom { runner, calls, free_at } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.runners[slot].limiter.set_room(calls, free_at);
                }
            }
            RouteEvent::PauseBound { service, bound, event_tokens } => {
                let view = self.services.entry(service).or_default();
                view.pauses.set_bound(bound, event_tokens);
                return false;
            }
            RouteEvent::SpeedFigure { runner, factor } => {
                self.record_speed_figure(now, &runner, factor);
                return false;
            }
            RouteEvent::SpeedTold(statement) => {
                self.record_speed_statement(now, &statement);
                return false;
            }
            RouteEvent::Cache { runner, event } => {
                if let Some(&slot) = self.slots.get(&runner) {
                    self.prefixes.apply(slot, &event);
                }
            }
            RouteEvent::Progress { call, index } => {
                self.record_progress(now, call, index);
                return false;
            }
            RouteEvent::ProgressHeld { call } => {
                if let Some(record) = self.calls.get_mut(&call) {
                    record.progress_at = None;
                }
                return false;
            }
            RouteEvent::Ended { call, end } => self.end_call(now, call, end),
            RouteEvent::Tick => self.estimate_unreported(now),
            RouteEvent::PeersWaiting { service, waiting_peers } => {
                self.services.entry(service).or_default().waiting_peers = waiting_peers;
            }
            RouteEvent::Arrive(_) => return false,
        }
        true
    }

    /// Records produced tokens, and the time that they took.
    fn record_progress(&mut self, now: TimePoint, call: CallId, index: TokenIndex) {
        let Some(record) = self.calls.get(&call) else { return };
        if let Some(slot) = record.slot {
            self.runners[slot].ramp.record_success(call);
        }
        self.record_token_times(now, call, index);
    }

    /// Returns the workspaces with many calls waiting at this entry.
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

    /// Returns the services with waiting calls that can still meet their first-token target.
    #[must_use]
    pub fn services_waiting_in_time(&self) -> Vec<ServiceName> {
        let waits = |queue: &WaitQueue| !queue.is_empty() && !queue.is_all_late();
        let waiting = self.queues.iter().filter(|(_, queue)| waits(queue));
        let mut services: Vec<ServiceName> = waiting.map(|(key, _)| key.0.clone()).collect();
        services.dedup();
        services
    }

    /// Returns the memory that a call is expected to need; none if the call is unknown.
    #[must_use]
    pub fn call_forecast(&self, call: CallId) -> Option<MemoryForecast> {
        self.calls.get(&call).map(|record| record.forecast)
    }

    /// Returns a summary of the state, for the state dump.
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

    /// Returns a summary of one runner, if it is known.
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

    /// Replaces the runners of a service. A runner that is no longer listed loses its report
    /// and its prefixes but stays known, since its calls may still be running.
    fn replace_members(&mut self, service: &ServiceName, members: Vec<RouteMember>) {
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
        for &removed in view.slots.iter().filter(|slot| !slots.contains(slot)) {
            self.runners[removed].clear_report();
            self.prefixes.remove_runner(removed);
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

    /// Removes a call, and updates load, health and length estimates from how it ended.
    fn end_call(&mut self, now: TimePoint, call: CallId, end: CallEnd) {
        let Some(record) = self.calls.remove(&call) else {
            return;
        };
        self.deadlines.remove(&(record.call.deadline, call));
        let key = (record.call.service.clone(), record.call.model.clone());
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.remove(call);
        }
        let Some(slot) = record.slot else {
            return;
        };
        let runner = &mut self.runners[slot];
        if end == CallEnd::Finished {
            runner.ramp.record_success(call);
            self.record_plain_time(now, slot, &record);
        }
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
            let complete = end == CallEnd::Finished;
            self.lengths.observe(&record.call, record.call.produced_tokens.0, complete);
        }
    }
}
