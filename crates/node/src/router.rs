//! The service that binds the call dispatcher to the calls of this node.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use base::prelude::*;
use config::{PolicyWeights, ServiceKind};
use dispatch::{CallDispatcher, CallHandle, RouteCommand};
use futures_channel::mpsc;
use kernel::StopSignal;
use route::{CallEnd, CallId, PolicyName, RouteCall, RouteEvent, RouteSettings, RunnerSummary};
use serving::{RunnerIncarnation, RunnerLoad};

use crate::context::NodeContext;

/// Pause between two ticks of the dispatcher while calls wait.
const TICK: TimeSpan = TimeSpan::millis(10);
/// Pause between two sums of the runners' loads.
const LOAD_PERIOD: TimeSpan = TimeSpan::millis(100);
/// Calls that may wait in this node.
const QUEUE_LIMIT: usize = 2_000;

/// A call of this node that is at a runner or waits for one.
struct LocalCall {
    runner: Option<RunnerId>,
    /// The runner that keeps a copy of it.
    backup: Option<RunnerId>,
    tokens: u32,
    started: bool,
    /// Raised when its runner leaves.
    leaving: StopSignal,
}

type LocalCalls = Rc<RefCell<BTreeMap<CallId, LocalCall>>>;

/// The router of one node.
pub struct RouterService {
    context: Rc<NodeContext>,
    dispatcher: Rc<CallDispatcher>,
    calls: LocalCalls,
    reports: Cell<u64>,
    /// Other nodes have told loads that the dispatcher does not know yet.
    peer_loads_changed: Cell<bool>,
    /// Asks for a heartbeat, so that the other nodes learn of a new call at once.
    heartbeat_requests: Rc<RefCell<mpsc::Sender<()>>>,
    this: Weak<Self>,
}

impl RouterService {
    /// A router with an empty desk.
    #[must_use]
    pub fn new(context: &Rc<NodeContext>, heartbeat_requests: mpsc::Sender<()>) -> Rc<Self> {
        let settings = RouteSettings {
            policy: PolicyName::Product,
            seed: rand::random(),
            place: context.settings.place.clone(),
            queue_limit: QUEUE_LIMIT,
        };
        let calls = LocalCalls::default();
        let heartbeat_requests = Rc::new(RefCell::new(heartbeat_requests));
        let (sent_calls, wanted) = (Rc::clone(&calls), Rc::clone(&heartbeat_requests));
        let on_send = move |call: CallId, runner: &RunnerId| {
            if let Some(own) = sent_calls.borrow_mut().get_mut(&call) {
                own.runner = Some(runner.clone());
            }
            try_request_heartbeat(&wanted);
        };
        let dispatcher = CallDispatcher::new(settings, context.clock(), on_send);
        Rc::new_cyclic(|this| Self {
            context: Rc::clone(context),
            dispatcher,
            calls,
            reports: Cell::default(),
            peer_loads_changed: Cell::default(),
            heartbeat_requests,
            this: this.clone(),
        })
    }

    /// Asks for a runner; the call's number is drawn here.
    ///
    /// # Panics
    /// Never: the service lives as long as its process.
    pub fn open(&self, mut call: RouteCall) -> RouteTicket {
        if self.peer_loads_changed.get() {
            self.dispatcher.handle_all(self.load_events());
        }
        let id = self.dispatcher.next_call_id();
        call.id = id;
        let leaving = StopSignal::new();
        let own = LocalCall {
            runner: None,
            backup: None,
            tokens: call.prompt_tokens.0,
            started: false,
            leaving: leaving.clone(),
        };
        self.calls.borrow_mut().insert(id, own);
        let router = self.this.upgrade().expect("the router outlives its calls");
        let handle = self.dispatcher.open(call);
        let waits = self.calls.borrow().get(&id).is_some_and(|own| own.runner.is_none());
        if waits {
            self.request_heartbeat();
        }
        RouteTicket { own: CallGuard { router, call: id }, handle, leaving }
    }

    /// The services for which calls wait here that can still be served in time.
    #[must_use]
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        self.dispatcher.state().services_waiting_in_time()
    }

    /// Asks for a heartbeat, so that the other nodes learn at once what changed here.
    pub fn request_heartbeat(&self) {
        try_request_heartbeat(&self.heartbeat_requests);
    }

    /// Notes that another node has told other loads than before.
    pub fn mark_loads_changed(&self) {
        self.peer_loads_changed.set(true);
    }

    /// Tells the dispatcher about the services of the configuration in force.
    pub fn apply_plan_services(&self) {
        let Some(plan) = self.context.plan() else { return };
        for (service, entry) in &plan.services {
            let kind = if entry.engine.is_some() { ServiceKind::Model } else { ServiceKind::Plain };
            let service = service.clone();
            let weights = PolicyWeights { preemptions: 1.0, gap_tail: 1.0, stall: 1.0 };
            self.dispatcher.handle(RouteEvent::Service {
                service,
                kind,
                weights,
                shares: Vec::new(),
            });
        }
        self.update_members();
    }

    /// Tells the dispatcher about the runners, and calls whose runner leaves that it does.
    pub fn update_members(&self) {
        let Some(plan) = self.context.plan() else { return };
        let now = self.context.now();
        let members = |service: &ServiceName| RouteEvent::Members {
            service: service.clone(),
            members: self.context.runners.borrow().route_members(service, now),
        };
        let mut events: Vec<RouteEvent> = plan.services.keys().map(members).collect();
        events.extend(self.load_events());
        self.dispatcher.handle_all(events);
        let runners = self.context.runners.borrow();
        for own in self.calls.borrow().values() {
            if own.runner.as_ref().is_some_and(|runner| runners.is_leaving(runner)) {
                own.leaving.raise();
            }
        }
    }

    /// Notes that a runner leaves, as its reply or its report says, and tells the others.
    pub fn mark_leaving(&self, runner: &RunnerId, source: &str) {
        if self.context.runners.borrow_mut().mark_leaving(runner) {
            tracing::info!(event = "runner_changed", %runner, state = "leaving", source);
            self.update_members();
            self.request_heartbeat();
        }
    }

    /// Takes what runners told another node.
    pub fn apply_leaving(&self, starts: &[RunnerIncarnation]) {
        let mut changed = false;
        for start in starts {
            if self.context.runners.borrow_mut().mark_incarnation_leaving(start) {
                let runner = &start.runner;
                tracing::info!(event = "runner_changed", %runner, state = "leaving", source = "node");
                changed = true;
            }
        }
        if changed {
            self.update_members();
        }
    }

    /// What this node has at the runners.
    #[must_use]
    pub fn local_loads(&self) -> Vec<RunnerLoad> {
        let mut loads: BTreeMap<RunnerId, RunnerLoad> = BTreeMap::new();
        for own in self.calls.borrow().values() {
            let Some(runner) = &own.runner else { continue };
            let tokens = own.tokens;
            let prefill_tokens = if own.started { 0 } else { tokens };
            let run = RunnerLoad { runner: runner.clone(), calls: 1, prefill_tokens, tokens };
            serving::add_load(&mut loads, &run);
            if let Some(backup) = &own.backup {
                let copy =
                    RunnerLoad { runner: backup.clone(), calls: 0, prefill_tokens: 0, tokens };
                serving::add_load(&mut loads, &copy);
            }
        }
        loads.into_values().collect()
    }

    /// The load of every runner, over all nodes.
    fn load_events(&self) -> Vec<RouteEvent> {
        let Some(plan) = self.context.plan() else { return Vec::new() };
        self.peer_loads_changed.set(false);
        let mut sums = self.context.peer_loads.borrow().totals();
        for load in self.local_loads() {
            serving::add_load(&mut sums, &load);
        }
        let sequence = self.reports.get() + 1;
        self.reports.set(sequence);
        let runners = self.context.runners.borrow();
        let loads = self.context.peer_loads.borrow();
        let peers_waiting = |service: &ServiceName| RouteEvent::PeersWaiting {
            service: service.clone(),
            peers_waiting: loads.has_waiting_calls(service),
        };
        let mut events: Vec<RouteEvent> = plan.services.keys().map(peers_waiting).collect();
        for entry in runners.entries().filter(|entry| entry.removed_at.is_none()) {
            let record = &entry.record;
            let Some(service) = plan.services.get(&record.service) else { continue };
            let memory = service.engine.as_ref().map_or(0, |engine| engine.kv_capacity.0);
            let load = sums.get(&record.runner);
            let tokens = load.map_or(0, |load| u64::from(load.prefill_tokens));
            events.push(RouteEvent::PendingPrefill { runner: record.runner.clone(), tokens });
            events.push(RouteEvent::Report(RunnerReport {
                runner: record.runner.clone(),
                incarnation: record.started_unix_ms,
                sequence,
                age: TimeSpan::default(),
                used_blocks: base::BlockCount(load.map_or(0, |load| load.tokens)),
                total_blocks: base::BlockCount(memory),
                block_tokens: 1,
                running: load.map_or(0, |load| load.calls),
                waiting: 0,
                preemptions: 0,
                step: TimeSpan::default(),
                leaving: false,
                models: Vec::new(),
                fence: 0,
            }));
        }
        events
    }

    /// Gives the dispatcher time and loads until the process ends.
    pub async fn run_ticks(self: Rc<Self>) {
        let mut next_report = TimePoint::default();
        loop {
            let now = self.context.now();
            if now >= next_report {
                next_report = now + LOAD_PERIOD;
                self.dispatcher.handle_all(self.load_events());
            }
            if self.has_waiting_calls() {
                self.dispatcher.handle(RouteEvent::Tick);
                kernel::sleep(TICK.into()).await;
            } else {
                kernel::sleep(next_report.since(now).into()).await;
            }
        }
    }

    fn has_waiting_calls(&self) -> bool {
        self.calls.borrow().values().any(|own| own.runner.is_none())
    }
}

fn try_request_heartbeat(wanted: &RefCell<mpsc::Sender<()>>) {
    // A full channel has asked already.
    let _ = wanted.borrow_mut().try_send(());
}

/// Takes the call out of the node's books when it is dropped.
struct CallGuard {
    router: Rc<RouterService>,
    call: CallId,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.router.calls.borrow_mut().remove(&self.call);
    }
}

/// A call's place at the dispatcher and in the node's books.
pub struct RouteTicket {
    handle: CallHandle,
    own: CallGuard,
    leaving: StopSignal,
}

impl RouteTicket {
    /// Waits for what to do next.
    pub async fn order(&mut self) -> RouteCommand {
        self.handle.next_command().await
    }

    /// What the dispatcher knows of a runner, for the log.
    #[must_use]
    pub fn runner_summary(&self, runner: &RunnerId) -> Option<RunnerSummary> {
        self.own.router.dispatcher.state().runner_summary(runner)
    }

    /// Notes that `produced` tokens have come.
    pub fn record_progress(&self, prompt: TokenCount, produced: u32) {
        let router = &self.own.router;
        if let Some(own) = router.calls.borrow_mut().get_mut(&self.own.call) {
            if !own.started {
                own.started = true;
                router.request_heartbeat();
            }
            own.tokens = prompt.0.saturating_add(produced);
        }
        self.handle.report_progress(TokenIndex(produced.saturating_sub(1)));
    }

    /// Raised when the call's runner leaves.
    #[must_use]
    pub fn leaving(&self) -> StopSignal {
        self.leaving.clone()
    }

    /// Books the call at another runner; none if there is none.
    pub fn relocate(&mut self) -> Option<RunnerId> {
        let now = self.own.router.context.now();
        let runner = self.own.router.dispatcher.state_mut().relocate(now, self.own.call)?;
        self.set_runner(runner.clone());
        Some(runner)
    }

    /// Books the call at the runner that keeps a copy of it.
    pub fn relocate_to(&mut self, runner: &RunnerId) {
        let now = self.own.router.context.now();
        self.own.router.dispatcher.state_mut().relocate_to(now, self.own.call, runner);
        self.set_runner(runner.clone());
    }

    fn set_runner(&mut self, runner: RunnerId) {
        self.leaving = StopSignal::new();
        if let Some(own) = self.own.router.calls.borrow_mut().get_mut(&self.own.call) {
            own.runner = Some(runner);
            own.backup = None;
            own.leaving = self.leaving.clone();
        }
    }

    /// Chooses a runner that keeps a copy of the call, and books the copy there.
    pub fn choose_backup(&self) -> Option<RunnerId> {
        let now = self.own.router.context.now();
        let backup = self.own.router.dispatcher.state().choose_backup(now, self.own.call);
        if let Some(own) = self.own.router.calls.borrow_mut().get_mut(&self.own.call) {
            own.backup.clone_from(&backup);
        }
        backup
    }

    /// Tells the dispatcher how the attempt ended.
    pub fn finish(self, end: CallEnd) {
        self.handle.end(end);
    }
}
