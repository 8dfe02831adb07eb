//! Accounts for the load of the calls of this node on runners, and for its sum over all nodes.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use dispatch::CallDispatcher;
use route::{CallId, MemoryForecast, RouteEvent};
use serving::{RunnerLoad, RunnerRecord};

use crate::context::NodeContext;
use crate::local_call::{LocalCall, LocalCalls};

/// The loads of the runners.
pub(crate) struct LoadAccount {
    context: Rc<NodeContext>,
    dispatcher: Rc<CallDispatcher>,
    calls: LocalCalls,
    /// Sequence number of the last load reports given to the dispatcher.
    sequence: Cell<u64>,
    /// Whether other nodes have reported loads that the dispatcher has not received yet.
    peers_changed: Cell<bool>,
}

impl LoadAccount {
    /// Accounts for `calls`, whose memory `dispatcher` forecasts.
    pub(crate) fn new(
        context: &Rc<NodeContext>,
        dispatcher: &Rc<CallDispatcher>,
        calls: &LocalCalls,
    ) -> Self {
        Self {
            context: Rc::clone(context),
            dispatcher: Rc::clone(dispatcher),
            calls: Rc::clone(calls),
            sequence: Cell::default(),
            peers_changed: Cell::default(),
        }
    }

    /// Records that another node has reported changed loads.
    pub(crate) fn mark_peers_changed(&self) {
        self.peers_changed.set(true);
    }

    /// Whether other nodes have reported loads that the dispatcher has not received yet.
    pub(crate) fn has_peer_changes(&self) -> bool {
        self.peers_changed.get()
    }

    /// Load that the calls of this node put on each runner, including backup copies, as the other
    /// nodes learn it.
    ///
    /// While this node reaches no runner of a service, only streams that have begun count: other
    /// calls may never have arrived, and the other nodes would take the runners for busy until these
    /// calls end.
    pub(crate) fn local_loads(&self) -> Vec<RunnerLoad> {
        let reach = self.context.reach.borrow();
        let counts = |call: &LocalCall| call.started || !reach.is_lost(&call.service);
        let mut loads: BTreeMap<RunnerId, RunnerLoad> = BTreeMap::new();
        for load in self.run_loads(counts).iter().chain(&self.copy_loads(counts)) {
            serving::add_load(&mut loads, load);
        }
        loads.into_values().collect()
    }

    /// Load of each call that `counts` at its runner.
    fn run_loads(&self, counts: impl Fn(&LocalCall) -> bool) -> Vec<RunnerLoad> {
        let state = self.dispatcher.state();
        let run_load = |(id, call): (&CallId, &LocalCall)| {
            let forecast = state.call_forecast(*id).unwrap_or_default();
            let prefill_tokens = if call.started { 0 } else { call.tokens };
            let runner = call.runner.clone()?;
            Some(RunnerLoad { runner, calls: 1, prefill_tokens, forecast })
        };
        self.calls.borrow().iter().filter(|(_, call)| counts(call)).filter_map(run_load).collect()
    }

    /// Load of the backup copy of each call that `counts`, at the runner that keeps it.
    fn copy_loads(&self, counts: impl Fn(&LocalCall) -> bool) -> Vec<RunnerLoad> {
        let state = self.dispatcher.state();
        let copy_load = |(id, call): (&CallId, &LocalCall)| {
            let forecast = state.call_forecast(*id).unwrap_or_default();
            let runner = call.backup.clone()?;
            Some(RunnerLoad { runner, calls: 0, prefill_tokens: 0, forecast })
        };
        self.calls.borrow().iter().filter(|(_, call)| counts(call)).filter_map(copy_load).collect()
    }

    /// Dispatcher events with the load of every runner of the `served` services, summed over all
    /// nodes, and the waits that runners asked for. With each service comes the memory of each of
    /// its runners.
    pub(crate) fn events(&self, served: &BTreeMap<ServiceName, u32>) -> Vec<RouteEvent> {
        self.peers_changed.set(false);
        let mut loads = self.context.peer_loads.borrow().totals();
        for load in self.copy_loads(|_| true) {
            serving::add_load(&mut loads, &load);
        }
        let other_forecasts: BTreeMap<RunnerId, MemoryForecast> =
            loads.iter().map(|(runner, load)| (runner.clone(), load.forecast)).collect();
        for load in self.run_loads(|_| true) {
            serving::add_load(&mut loads, &load);
        }
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let now = self.context.now();
        let waits = self.context.waits.borrow();
        let runners = self.context.runners.borrow();
        let peer_loads = self.context.peer_loads.borrow();
        let peers_waiting = |service: &ServiceName| RouteEvent::PeersWaiting {
            service: service.clone(),
            waiting_peers: peer_loads.waiting_nodes(service),
        };
        let mut events: Vec<RouteEvent> = served.keys().map(peers_waiting).collect();
        for entry in runners.entries() {
            let record = &entry.record;
            if entry.removed_at.is_none()
                && let Some(&memory) = served.get(&record.service)
            {
                let load = loads.get(&record.runner);
                let tokens = load.map_or(0, |load| u64::from(load.prefill_tokens));
                events.push(RouteEvent::PendingPrefill { runner: record.runner.clone(), tokens });
                let forecast = other_forecasts.get(&record.runner).copied().unwrap_or_default();
                let runner = record.runner.clone();
                events.push(RouteEvent::OtherForecast { runner, forecast });
                events.push(RouteEvent::Report(load_report(record, load, memory, sequence)));
            }
            // After its report, which may be the first one of this start. Removed runners too: they
            // may still be usable.
            if let Some(until) = waits.end(now, &record.incarnation()) {
                events.push(RouteEvent::RunnerWait { runner: record.runner.clone(), until });
            }
        }
        events
    }
}

/// The load of a runner, summed over all nodes, as a report to the dispatcher.
fn load_report(
    record: &RunnerRecord,
    load: Option<&RunnerLoad>,
    memory: u32,
    sequence: u64,
) -> RunnerReport {
    RunnerReport {
        runner: record.runner.clone(),
        incarnation: record.started_unix_ms,
        sequence,
        age: TimeSpan::default(),
        used_blocks: base::BlockCount(load.map_or(0, RunnerLoad::tokens)),
        total_blocks: base::BlockCount(memory),
        block_tokens: 1,
        running: load.map_or(0, |load| load.calls),
        waiting: 0,
        preemptions: 0,
        step: TimeSpan::default(),
        leaving: false,
        models: Vec::new(),
        fence: 0,
    }
}
