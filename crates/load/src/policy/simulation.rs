//! One run: arrivals, engines, reports and faults on one line of virtual time.

use std::collections::{BTreeMap, BTreeSet};

use base::{AttemptNumber, CacheEvent, prelude::*};
use fakes::engine::{AdmitError, AttemptKey, EngineModel, EngineRequest, StepResult};
use rand::{SeedableRng, rngs::StdRng};
use route::{CallEnd, CallId, RouteAction, RouteCall, RouteEvent};

use crate::policy::bench_call::{INDEX_BITS, call_index};
use crate::policy::bench_desk::{runner_id, runner_number};
use crate::policy::call_state::CallState;
use crate::policy::simulation_engines::REPORT_PERIOD;
use crate::policy::{
    ArrivalPlan, BenchCall, BenchDesk, BenchMeasures, BenchSettings, FaultName, PolicyFigures,
};

const TICK_PERIOD: TimeSpan = TimeSpan::millis(10);
const COME_BACKS: u32 = 3;
const BURST_FACTOR: f64 = 2.0;

#[derive(Debug)]
pub(super) enum BenchEvent {
    Arrive(usize),
    Deadline(usize),
    Step(usize),
    Report(usize),
    Deliver { entry: usize, report: RunnerReport, cache: Vec<CacheEvent> },
    Tick(usize),
    Members,
    FaultBegin,
    FaultEnd,
    Kill(usize),
    EntryCancels(Vec<(usize, AttemptKey)>),
}

pub(super) struct Simulation {
    pub(super) settings: BenchSettings,
    pub(super) calls: Vec<BenchCall>,
    pub(super) states: Vec<CallState>,
    pub(super) desk: BenchDesk,
    pub(super) engines: Vec<EngineModel>,
    pub(super) steps: Vec<Option<StepResult>>,
    pub(super) restarts: u64,
    pub(super) events: BTreeMap<(TimePoint, u64), BenchEvent>,
    pub(super) events_put: u64,
    pub(super) now: TimePoint,
    pub(super) random: StdRng,
    pub(super) measures: BenchMeasures,
    pub(super) fault_on: bool,
    /// Entries and the runners that they know to leave.
    pub(super) known_leaving: BTreeSet<(usize, usize)>,
}

/// Runs the bench once.
#[must_use]
pub fn simulate(settings: &BenchSettings) -> PolicyFigures {
    let mut simulation = Simulation::new(settings.clone());
    simulation.start();
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        if now > settings.until {
            break;
        }
        simulation.now = now;
        simulation.take(event);
    }
    simulation.close();
    simulation.measures.figures(&settings.workload)
}

impl Simulation {
    fn new(settings: BenchSettings) -> Self {
        let workload = &settings.workload;
        let burst = settings.fault == FaultName::Burst;
        let plan = ArrivalPlan {
            seed: settings.seed,
            rate: settings.load * workload.capacity,
            until: settings.until,
            burst: settings.fault_window,
            burst_factor: if burst { BURST_FACTOR } else { 1.0 },
        };
        let calls = plan.draw(workload);
        let engine = |i| EngineModel::new(runner_id(i), i as u64, workload.engine.clone());
        Self {
            states: vec![CallState::default(); calls.len()],
            desk: BenchDesk::new(settings.policy, settings.seed, workload, &calls),
            engines: (0..workload.runners).map(engine).collect(),
            steps: vec![None; workload.runners],
            restarts: workload.runners as u64,
            events: BTreeMap::new(),
            events_put: 0,
            now: TimePoint::default(),
            random: StdRng::seed_from_u64(settings.seed ^ 0x7265_706f_7274),
            measures: BenchMeasures::new(workload, settings.window),
            fault_on: false,
            known_leaving: BTreeSet::new(),
            calls,
            settings,
        }
    }

    fn start(&mut self) {
        let workload = self.settings.workload.clone();
        for entry in 0..workload.entries {
            let shares = workload.workspaces.iter().map(|w| (w.workspace.clone(), 1));
            let event = RouteEvent::Service {
                service: workload.service(),
                kind: config::ServiceKind::Model,
                weights: workload.weights,
                shares: shares.collect(),
            };
            self.tell(entry, event);
            self.put(TimeSpan::micros(1_300 * entry as u64), BenchEvent::Tick(entry));
        }
        self.tell_members();
        for runner in 0..workload.runners {
            let phase = REPORT_PERIOD.0 * runner as u64 / workload.runners as u64;
            self.put(TimeSpan::micros(phase), BenchEvent::Report(runner));
        }
        for index in 0..self.calls.len() {
            self.states[index].entry = self.calls[index].entry;
            self.put_at(self.calls[index].arrival, BenchEvent::Arrive(index));
            self.put_at(self.calls[index].deadline, BenchEvent::Deadline(index));
            self.measures.arrived(&self.calls[index]);
        }
        self.put_at(self.settings.fault_window.0, BenchEvent::FaultBegin);
        self.put_at(self.settings.fault_window.1, BenchEvent::FaultEnd);
    }

    pub(super) fn put_at(&mut self, at: TimePoint, event: BenchEvent) {
        self.events_put += 1;
        self.events.insert((at, self.events_put), event);
    }

    pub(super) fn put(&mut self, after: TimeSpan, event: BenchEvent) {
        self.put_at(self.now + after, event);
    }

    fn take(&mut self, event: BenchEvent) {
        match event {
            BenchEvent::Arrive(index) => self.arrive(index),
            BenchEvent::Deadline(index) => self.pass_deadline(index),
            BenchEvent::Step(runner) => self.step(runner),
            BenchEvent::Report(runner) => self.report(runner),
            BenchEvent::Deliver { entry, report, cache } => self.deliver(entry, report, cache),
            BenchEvent::Tick(entry) => {
                self.put(TICK_PERIOD, BenchEvent::Tick(entry));
                if !self.entry_is_gone(entry) {
                    self.tell(entry, RouteEvent::Tick);
                }
            }
            BenchEvent::Members => self.tell_members(),
            BenchEvent::FaultBegin => self.begin_fault(),
            BenchEvent::FaultEnd => self.end_fault(),
            BenchEvent::Kill(runner) => self.kill(runner),
            BenchEvent::EntryCancels(attempts) => {
                for (runner, key) in attempts {
                    self.engines[runner].cancel(key);
                }
            }
        }
    }

    pub(super) fn entry_is_gone(&self, entry: usize) -> bool {
        entry == 0 && self.fault_on && self.settings.fault == FaultName::EntryGone
    }

    pub(super) fn call_id(&self, index: usize) -> CallId {
        CallId((self.states[index].number << INDEX_BITS) | index as u64)
    }

    pub(super) fn key(&self, index: usize) -> AttemptKey {
        let attempt = AttemptNumber(self.states[index].attempt);
        AttemptKey { generation: GenerationId(index as u64), attempt }
    }

    /// A caller asks; it asks for the rest if it has a part already.
    fn arrive(&mut self, index: usize) {
        if self.states[index].decided {
            return;
        }
        let state = &mut self.states[index];
        state.number += 1;
        if state.entry == 0 && self.fault_on && self.settings.fault == FaultName::EntryGone {
            state.entry = 1 + index % (self.settings.workload.entries - 1);
        }
        let entry = state.entry;
        let produced = TokenCount(state.produced);
        let call = &self.calls[index];
        let class = &self.settings.workload.classes[call.class];
        let event = RouteEvent::Arrive(RouteCall {
            id: self.call_id(index),
            service: self.settings.workload.service(),
            model: Some("model".parse().expect("a valid name")),
            workspace: self.settings.workload.workspaces[call.workspace].workspace.clone(),
            priority: class.priority,
            prompt_tokens: call.prompt_tokens,
            max_tokens: TokenCount(class.output.longest),
            length_hint: None,
            prefix_hash: call.prefix,
            first_token_target: None,
            deadline: call.deadline,
            streamed: class.streamed,
            movable: true,
            produced_tokens: produced,
            tried_runners: Vec::new(),
        });
        self.tell(entry, event);
    }

    pub(super) fn tell(&mut self, entry: usize, event: RouteEvent) {
        for action in self.desk.handle(entry, self.now, event) {
            match action {
                RouteAction::Send { call, runner, .. } => self.send(call, &runner),
                RouteAction::Refuse { call, retry_after, .. } => self.refuse(call, retry_after),
                RouteAction::Withdraw { call, .. } => {
                    self.measures.withdrawn(self.now);
                    self.cancel(call_index(call));
                }
            }
        }
    }

    fn send(&mut self, call: CallId, runner: &RunnerId) {
        let index = call_index(call);
        let runner = runner_number(runner);
        if let Some(until) = self.turn_away_end(runner) {
            return self.turn_away(index, runner, until);
        }
        self.states[index].attempt += 1;
        let law = &self.settings.workload.classes[self.calls[index].class];
        let request = EngineRequest {
            key: self.key(index),
            priority: law.priority as u8,
            prompt_tokens: self.calls[index].prompt_tokens,
            prefix: self.calls[index].prefix,
            prefix_tokens: TokenCount(law.prefix_tokens),
            length: self.calls[index].length,
            produced: TokenCount(self.states[index].produced),
        };
        match self.engines[runner].admit(request) {
            Ok(()) => {
                self.states[index].runner = Some(runner);
                self.wake(runner);
            }
            Err(AdmitError::Leaving) => self.refuse_leaving(index, runner),
            Err(_) => self.end_and_ask_again(index, CallEnd::Failed),
        }
    }

    pub(super) fn end_and_ask_again(&mut self, index: usize, end: CallEnd) {
        self.states[index].runner = None;
        let call = self.call_id(index);
        self.tell(self.states[index].entry, RouteEvent::Ended { call, end });
        self.put(TimeSpan::millis(1), BenchEvent::Arrive(index));
    }

    fn refuse(&mut self, call: CallId, retry_after: TimeSpan) {
        let index = call_index(call);
        self.measures.refused(self.now, self.states[index].has_returned());
        self.states[index].refused += 1;
        let in_time = self.now + retry_after < self.calls[index].deadline;
        if in_time && self.states[index].refused <= COME_BACKS {
            self.put(retry_after, BenchEvent::Arrive(index));
        } else {
            self.decide(index, false);
        }
    }

    fn cancel(&mut self, index: usize) {
        if let Some(runner) = self.states[index].runner.take() {
            let key = self.key(index);
            self.engines[runner].cancel(key);
        }
    }

    pub(super) fn decide(&mut self, index: usize, met: bool) {
        self.states[index].decided = true;
        match self.states[index].first_token {
            Some(first) if met => self.measures.add_worth(&self.calls[index], first),
            Some(_) => (),
            None => self.record_first_token(index, self.calls[index].deadline),
        }
        self.measures.decided(self.now, &self.calls[index], met);
    }

    fn pass_deadline(&mut self, index: usize) {
        if self.states[index].decided {
            return;
        }
        self.cancel(index);
        self.decide(index, false);
        let call = self.call_id(index);
        self.tell(self.states[index].entry, RouteEvent::Ended { call, end: CallEnd::Cancelled });
    }

    pub(super) fn calls_where(&self, wanted: impl Fn(&CallState) -> bool) -> Vec<usize> {
        let states = self.states.iter().enumerate();
        let open = states.filter(|(_, state)| !state.decided && wanted(state));
        open.map(|(index, _)| index).collect()
    }

    /// Counts callers that still wait for their first token at the end.
    fn close(&mut self) {
        for index in self.calls_where(|state| state.newest.is_none() && state.number > 0) {
            self.record_first_token(index, self.now);
        }
    }

    /// The first token of a call came at this time, or its caller gave up then.
    pub(super) fn record_first_token(&mut self, index: usize, at: TimePoint) {
        self.measures.first_token(at, &self.calls[index]);
        if self.states[index].has_returned() {
            self.measures.returned_first_token(at, &self.calls[index]);
        }
    }
}
