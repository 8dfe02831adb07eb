//! The desk: every routing decision of one entry.

use std::collections::BTreeMap;

use base::{AttemptNumber, prelude::*};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    CallEnd, CallId, CallRecord, LengthTable, PolicyName, RouteAction, RouteCall, RouteEvent,
    RouteMember, RouteSettings, RunnerView, ServiceView, baseline,
};

/// Time after which a refused caller may try again when nothing better is known.
const DEFAULT_COME_BACK: TimeSpan = TimeSpan::seconds(1);

/// Routing state of one entry.
pub struct RouteDesk {
    settings: RouteSettings,
    services: BTreeMap<ServiceName, ServiceView>,
    slots: BTreeMap<RunnerId, usize>,
    runners: Vec<RunnerView>,
    calls: BTreeMap<CallId, CallRecord>,
    lengths: LengthTable,
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
            RouteEvent::Report(report) => {
                if let Some(&slot) = self.slots.get(&report.runner) {
                    self.runners[slot].take_report(now, report);
                }
            }
            RouteEvent::Arrive(call) => return self.arrive(now, call),
            RouteEvent::Progress { call, index } => {
                if let Some(record) = self.calls.get_mut(&call) {
                    record.call.produced = TokenCount(index.0 + 1);
                }
            }
            RouteEvent::Ended { call, end } => self.end(now, call, end),
            RouteEvent::Cache { .. } | RouteEvent::Tick => (),
        }
        Vec::new()
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

    fn arrive(&mut self, now: TimePoint, call: RouteCall) -> Vec<RouteAction> {
        let id = call.call;
        let view = self.services.entry(call.service.clone()).or_default();
        let serves = |slot: &usize| self.runners[*slot].serves(call.model.as_ref());
        let open: Vec<usize> = view.slots.iter().copied().filter(serves).collect();
        let policy = self.settings.policy;
        let chosen =
            baseline::choose(policy, &self.runners, &open, &mut view.turn, &mut self.random);
        self.calls.insert(id, CallRecord::new(now, call));
        match chosen {
            Some(slot) => vec![self.send(now, id, slot)],
            None => vec![self.refuse(id, RefusalReason::NoRunner, DEFAULT_COME_BACK)],
        }
    }

    fn send(&mut self, now: TimePoint, call: CallId, slot: usize) -> RouteAction {
        let runner = self.runners[slot].runner.clone();
        let mut attempt = 0;
        if let Some(record) = self.calls.get_mut(&call) {
            attempt = record.attempt;
            record.attempt += 1;
            record.slot = Some(slot);
            self.runners[slot].sent(now, call, record.context());
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
        }
        if end != CallEnd::Refused {
            let whole = end == CallEnd::Finished;
            self.lengths.observe(&record.call, record.call.produced.0, whole);
        }
    }
}

/// Whether a policy holds calls at the entry.
#[must_use]
pub fn holds_calls(policy: PolicyName) -> bool {
    policy == PolicyName::Product
}
