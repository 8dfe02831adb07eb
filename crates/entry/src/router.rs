//! The service that binds the routing decisions to the calls of this entry.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use base::prelude::*;
use futures_channel::mpsc;
use futures_util::StreamExt;
use route::{
    CallEnd, CallId, RouteAction, RouteCall, RouteDesk, RouteEvent, RouteMember, RouteSettings,
};

use crate::context::EntryContext;
use crate::fleet_cache::FleetChanges;

/// Name of the service in the kernel.
pub const ROUTER: &str = "router";
/// Pause between two ticks of the desk.
const TICK: TimeSpan = TimeSpan::millis(5);

/// What a call has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteOrder {
    /// Go to this runner.
    Send {
        /// The target.
        runner: RunnerId,
    },
    /// Tell the caller that its call was not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        come_back: TimeSpan,
    },
    /// Cancel on the runner, and wait for the next order.
    Withdraw,
}

/// The router of one entry.
pub struct RouterService {
    context: Rc<EntryContext>,
    desk: RefCell<RouteDesk>,
    waiters: RefCell<BTreeMap<CallId, mpsc::UnboundedSender<RouteOrder>>>,
    next_call: Cell<u64>,
    this: Weak<Self>,
}

impl RouterService {
    /// A router with an empty desk.
    #[must_use]
    pub fn new(context: &Rc<EntryContext>, settings: RouteSettings) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            context: Rc::clone(context),
            desk: RefCell::new(RouteDesk::new(settings)),
            waiters: RefCell::default(),
            next_call: Cell::new(1),
            this: this.clone(),
        })
    }

    /// Asks for a runner; the call's number is drawn here.
    ///
    /// # Panics
    /// Never: the service lives as long as its process.
    pub fn open(&self, mut call: RouteCall) -> RouteTicket {
        let id = CallId(self.next_call.get());
        self.next_call.set(id.0 + 1);
        call.call = id;
        let (sender, orders) = mpsc::unbounded();
        self.waiters.borrow_mut().insert(id, sender);
        self.tell(RouteEvent::Arrive(call));
        let router = self.this.upgrade().expect("the router outlives its calls");
        RouteTicket { router, call: id, orders, open: true }
    }

    /// Gives the desk an event and passes its actions on.
    pub fn tell(&self, event: RouteEvent) {
        let actions = self.desk.borrow_mut().handle(self.context.now(), event);
        for action in actions {
            self.pass_on(action);
        }
    }

    fn pass_on(&self, action: RouteAction) {
        let (call, order) = match action {
            RouteAction::Send { call, runner, .. } => (call, RouteOrder::Send { runner }),
            RouteAction::Refuse { call, reason, come_back } => {
                (call, RouteOrder::Refuse { reason, come_back })
            }
            RouteAction::Withdraw { call, .. } => (call, RouteOrder::Withdraw),
        };
        let waiters = self.waiters.borrow();
        if let Some(waiter) = waiters.get(&call) {
            // The receiver ends only with its ticket, which takes the waiter away.
            let _ = waiter.unbounded_send(order);
        }
    }

    /// Tells the desk what a new view changed.
    pub fn update(&self, changes: FleetChanges, reports: Vec<RunnerReport>) {
        if changes.config {
            self.update_services();
        }
        if changes.config || changes.members {
            self.update_members();
        }
        for report in reports {
            self.tell(RouteEvent::Report(report));
        }
    }

    fn update_services(&self) {
        let plan = self.context.fleet.borrow().plan.clone();
        let Some(plan) = plan else { return };
        for (service, entry) in &plan.services {
            let shares = entry.file.workspaces.iter();
            self.tell(RouteEvent::Service {
                service: service.clone(),
                kind: entry.file.kind,
                weights: entry.file.weights,
                shares: shares.map(|rule| (rule.workspace.clone(), rule.share)).collect(),
            });
        }
    }

    fn update_members(&self) {
        let mut members: BTreeMap<ServiceName, Vec<RouteMember>> = BTreeMap::new();
        {
            let fleet = self.context.fleet.borrow();
            for service in fleet.plan.iter().flat_map(|plan| plan.services.keys()) {
                members.insert(service.clone(), Vec::new());
            }
            for record in fleet.runners.values() {
                members.entry(record.service.clone()).or_default().push(RouteMember {
                    runner: record.runner.clone(),
                    place: record.place.clone(),
                    leaving: fleet.is_leaving(record),
                });
            }
        }
        for (service, members) in members {
            self.tell(RouteEvent::Members { service, members });
        }
    }

    /// Notes that a runner refused work because it is leaving.
    pub fn note_leaving(&self, runner: &RunnerId) {
        if self.context.fleet.borrow_mut().note_leaving(runner) {
            self.context.counters.count("runner.leaving_refusal");
            tracing::info!(%runner, step = "send", "runner says that it is leaving");
            self.update_members();
        }
    }

    /// Gives the desk the time until the process ends.
    pub async fn run_ticks(self: Rc<Self>) {
        loop {
            kernel::sleep(TICK.into()).await;
            if !self.waiters.borrow().is_empty() {
                self.tell(RouteEvent::Tick);
            }
        }
    }

    /// Workspaces of which many calls wait here.
    #[must_use]
    pub fn crowded(&self) -> Vec<WorkspaceId> {
        self.desk.borrow().crowded()
    }

    /// The desk's state, for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "open_calls": self.waiters.borrow().len(),
            "desk": self.desk.borrow().summary(),
        })
    }

    fn close(&self, call: CallId, end: CallEnd) {
        self.waiters.borrow_mut().remove(&call);
        self.tell(RouteEvent::Ended { call, end });
    }
}

/// A call's place at the router; dropped without an end, the caller has left.
pub struct RouteTicket {
    router: Rc<RouterService>,
    call: CallId,
    orders: mpsc::UnboundedReceiver<RouteOrder>,
    open: bool,
}

impl RouteTicket {
    /// Waits for what to do next.
    pub async fn order(&mut self) -> RouteOrder {
        match self.orders.next().await {
            Some(order) => order,
            // The sender is dropped only by `end`, after which nobody waits.
            None => std::future::pending().await,
        }
    }

    /// Tells the desk how far the attempt has come.
    pub fn progress(&self, index: TokenIndex) {
        self.router.tell(RouteEvent::Progress { call: self.call, index });
    }

    /// Tells the desk how the attempt ended.
    pub fn end(mut self, end: CallEnd) {
        self.open = false;
        self.router.close(self.call, end);
    }
}

impl Drop for RouteTicket {
    fn drop(&mut self) {
        if self.open {
            self.router.close(self.call, CallEnd::Left);
        }
    }
}
