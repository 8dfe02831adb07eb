//! Connects the call dispatcher to the calls of this node.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use base::prelude::*;
use config::{PolicyWeights, ServiceKind};
use dispatch::CallDispatcher;
use futures_channel::mpsc;
use futures_util::StreamExt;
use kernel::StopSignal;
use route::{CallId, PolicyName, RouteCall, RouteEvent, RouteMember, RouteSettings};
use serving::{RunnerIncarnation, RunnerKey, ServingPlan};

use crate::call::Call;
use crate::context::NodeContext;
use crate::limit_share::{limit_events, room_events};
use crate::load_account::LoadAccount;
use crate::local_call::{LocalCall, LocalCalls};
use crate::reach::exclude_unreached;
use crate::route_ticket::RouteTicket;
use crate::runner_gate;
use crate::speed_share::{figure_events, pause_bounds, runner_keys};

/// Interval between ticks of the call dispatcher while calls are queued.
const TICK_PERIOD: TimeSpan = TimeSpan::millis(10);
/// Interval at which the call dispatcher receives the runners' summed loads.
const LOAD_UPDATE_PERIOD: TimeSpan = TimeSpan::millis(100);
/// Maximum number of calls queued on this node.
const QUEUE_LIMIT: usize = 2_000;

/// Assigns the calls of this node to runners.
pub struct RouterService {
    pub(crate) context: Rc<NodeContext>,
    pub(crate) dispatcher: Rc<CallDispatcher>,
    pub(crate) calls: LocalCalls,
    pub(crate) loads: LoadAccount,
    /// Runners by the keys that heartbeats name them by.
    pub(crate) runner_keys: RefCell<BTreeMap<RunnerKey, RunnerId>>,
    /// Services that the dispatcher knows, with the memory of each of their runners: those of the
    /// configuration in force, and those of earlier ones that still have runners. Calls that were
    /// matched under an earlier one are decided with them.
    served: RefCell<BTreeMap<ServiceName, u32>>,
    /// Whether the dispatcher knows of a limit.
    dispatcher_limited: Cell<bool>,
    /// Whether the dispatcher knows of a runner with little room.
    dispatcher_confined: Cell<bool>,
    /// Requests an immediate heartbeat, so that the other nodes learn of a new call at once.
    heartbeat_requests: Rc<RefCell<mpsc::Sender<()>>>,
    weak_self: Weak<Self>,
}

impl RouterService {
    /// Creates a router without runners or calls.
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
        let (sent_calls, requests) = (Rc::clone(&calls), Rc::clone(&heartbeat_requests));
        let on_send = move |id: CallId, runner: &RunnerId| {
            let mut calls = sent_calls.borrow_mut();
            let Some(call) = calls.get_mut(&id) else { return };
            call.runner = Some(runner.clone());
            // A plain call has ended before it would matter to other nodes.
            if call.tokens > 0 {
                try_request_heartbeat(&requests);
            }
        };
        let dispatcher = CallDispatcher::new(settings, context.clock(), on_send);
        let loads = LoadAccount::new(context, &dispatcher, &calls);
        Rc::new_cyclic(|weak_self| Self {
            context: Rc::clone(context),
            dispatcher,
            calls,
            loads,
            runner_keys: RefCell::default(),
            served: RefCell::default(),
            dispatcher_limited: Cell::default(),
            dispatcher_confined: Cell::default(),
            heartbeat_requests,
            weak_self: weak_self.clone(),
        })
    }

    /// Queues a call for a runner and assigns its id.
    ///
    /// # Panics
    /// Never: the router lives as long as the process.
    pub fn open(&self, mut call: RouteCall) -> RouteTicket {
        if self.loads.has_peer_changes() {
            self.dispatcher.handle_all(self.load_events());
        } else if !self.context.speed_figures.borrow().is_empty() {
            self.dispatcher.handle_all(figure_events(&self.context));
        }
        self.update_room();
        let id = self.dispatcher.next_call_id();
        call.id = id;
        let leaving = StopSignal::new();
        let local = LocalCall {
            service: call.service.clone(),
            runner: None,
            backup: None,
            tokens: call.prompt_tokens.0,
            started: false,
            leaving: leaving.clone(),
        };
        self.calls.borrow_mut().insert(id, local);
        let router = self.weak_self.upgrade().expect("the router outlives its calls");
        let handle = self.dispatcher.open(call);
        let is_waiting = self.calls.borrow().get(&id).is_some_and(|call| call.runner.is_none());
        if is_waiting {
            self.request_heartbeat();
        }
        RouteTicket::new(router, id, handle, leaving)
    }

    /// Services with calls queued on this node that can still be served in time, except those of
    /// which it reaches no runner: the other nodes need not keep room for such calls.
    #[must_use]
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let mut services = self.dispatcher.state().services_waiting_in_time();
        let reach = self.context.reach.borrow();
        services.retain(|service| !reach.is_lost(service));
        services
    }

    /// Requests an immediate heartbeat, which tells the other nodes what changed here.
    pub fn request_heartbeat(&self) {
        try_request_heartbeat(&self.heartbeat_requests);
    }

    /// Passes the services of the active configuration to the dispatcher.
    pub fn update_services(&self) {
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
        self.dispatcher.handle_all(pause_bounds(&plan));
        self.update_members();
    }

    /// Adds the services of the configuration in force to those that the dispatcher is told of.
    fn record_services(&self, plan: &ServingPlan) {
        let mut served = self.served.borrow_mut();
        for (service, entry) in &plan.services {
            let memory = entry.engine.as_ref().map_or(0, |engine| engine.kv_capacity.0);
            match served.get_mut(service) {
                Some(known) => *known = memory,
                None => drop(served.insert(service.clone(), memory)),
            }
        }
    }

    /// The runners of all services that the dispatcher knows. A service that is no longer
    /// configured and has no runner left is passed once more, without any, and then forgotten.
    fn member_events(&self, plan: &ServingPlan) -> Vec<RouteEvent> {
        let now = self.context.now();
        let mut events = Vec::new();
        self.served.borrow_mut().retain(|service, _| {
            let members = self.usable_members(service, now);
            let is_kept = !members.is_empty() || plan.services.contains_key(service);
            events.push(RouteEvent::Members { service: service.clone(), members });
            is_kept
        });
        events
    }

    /// Passes the current runners to the dispatcher and signals calls whose runner is leaving.
    pub fn update_members(&self) {
        kernel::mark_step("update_members");
        let Some(plan) = self.context.plan() else { return };
        *self.runner_keys.borrow_mut() = runner_keys(&self.context);
        self.record_services(&plan);
        let mut events = self.member_events(&plan);
        let regained = std::mem::take(&mut *self.context.regained_runners.borrow_mut());
        events.extend(regained.into_iter().map(|runner| RouteEvent::RunnerReached { runner }));
        events.extend(self.load_events());
        self.dispatcher.handle_all(events);
        let runners = self.context.runners.borrow();
        for call in self.calls.borrow().values() {
            if call.runner.as_ref().is_some_and(|runner| runners.is_leaving(runner)) {
                call.leaving.raise();
            }
        }
    }

    /// The runners of a service; those in evacuated places, and those that this node does not reach,
    /// count as leaving.
    fn usable_members(&self, service: &ServiceName, now: TimePoint) -> Vec<RouteMember> {
        let members = self.context.runners.borrow().route_members(service, now);
        let members = self.context.evacuations.borrow().exclude(members);
        exclude_unreached(&self.context, service, members)
    }

    /// Records that this start of a runner is leaving, as its reply or report states, and
    /// notifies the other nodes.
    pub fn mark_leaving(&self, runner: &RunnerIncarnation, source: &str) {
        if runner_gate::mark_leaving(&self.context, runner, source) {
            self.update_members();
            self.request_heartbeat();
        }
    }

    /// Applies what answers of runners have changed, and notifies the other nodes, until the
    /// process ends.
    pub async fn follow_runner_changes(self: Rc<Self>, mut changes: mpsc::Receiver<()>) {
        while changes.next().await.is_some() {
            self.update_members();
            self.request_heartbeat();
        }
    }

    /// Applies the leaving runners that another node reported.
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

    /// After how long a caller may come back if every runner that serves the call waits.
    #[must_use]
    pub fn wait_retry_after(&self, call: &Call) -> Option<TimeSpan> {
        let has_limits = !self.context.limits.borrow().is_empty()
            || !self.context.brittle.borrow().is_empty()
            || !self.context.cold.borrow().is_empty();
        if self.context.waits.borrow().is_empty() && !has_limits {
            return None;
        }
        self.update_members();
        let (now, model) = (self.context.now(), call.head.model.as_ref());
        self.dispatcher.state_mut().wait_retry_after(now, &call.service, model)
    }

    /// Dispatcher events with the load of every runner, summed over all nodes, and with what runners
    /// state about their speed, limits and room.
    fn load_events(&self) -> Vec<RouteEvent> {
        if self.context.plan().is_none() {
            return Vec::new();
        }
        let mut events = self.loads.events(&self.served.borrow());
        events.extend(figure_events(&self.context));
        events.extend(limit_events(&self.context, &self.dispatcher_limited));
        events.extend(room_events(&self.context, &self.dispatcher_confined));
        events
    }

    /// Passes the room at brittle runners to the dispatcher if it has changed.
    fn update_room(&self) {
        if self.context.room_changed.take() {
            self.dispatcher.handle_all(room_events(&self.context, &self.dispatcher_confined));
        }
    }

    /// Sends ticks and load updates to the dispatcher until the process ends.
    pub async fn run_ticks(self: Rc<Self>) {
        let mut next_update = TimePoint::default();
        loop {
            let now = self.context.now();
            if now >= next_update {
                kernel::mark_step("update_loads");
                next_update = now + LOAD_UPDATE_PERIOD;
                runner_gate::log_ended_waits(&self.context);
                self.dispatcher.handle_all(self.load_events());
            }
            if self.has_waiting_calls() {
                self.update_room();
                self.dispatcher.handle(RouteEvent::Tick);
                kernel::sleep(TICK_PERIOD.into()).await;
            } else {
                kernel::sleep(next_update.since(now).into()).await;
            }
        }
    }

    fn has_waiting_calls(&self) -> bool {
        self.calls.borrow().values().any(|call| call.runner.is_none())
    }
}

fn try_request_heartbeat(requests: &RefCell<mpsc::Sender<()>>) {
    // A full channel already holds a request.
    let _ = requests.borrow_mut().try_send(());
}
