//! The service that binds the routing decisions to the calls of this entry.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use dispatch::{CallDispatcher, CallHandle};
use route::{RouteCall, RouteEvent, RouteMember, RouteSettings};

use crate::context::EntryContext;
use crate::fleet_cache::FleetChanges;

/// Name of the service in the kernel.
pub const ROUTER: &str = "router";
/// Pause between two ticks of the desk.
const TICK: TimeSpan = TimeSpan::millis(5);

/// The router of one entry.
pub struct RouterService {
    context: Rc<EntryContext>,
    dispatcher: Rc<CallDispatcher>,
}

impl RouterService {
    /// A router with an empty desk.
    #[must_use]
    pub fn new(context: &Rc<EntryContext>, settings: RouteSettings) -> Rc<Self> {
        let dispatcher = CallDispatcher::new(settings, context.clock, |_, _| ());
        Rc::new(Self { context: Rc::clone(context), dispatcher })
    }

    /// Asks for a runner; the call's number is drawn here.
    pub fn open(&self, mut call: RouteCall) -> CallHandle {
        call.id = self.dispatcher.next_call_id();
        self.dispatcher.open(call)
    }

    /// Gives the desk an event and passes its actions on.
    pub fn tell(&self, event: RouteEvent) {
        self.dispatcher.handle(event);
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
            if self.dispatcher.open_calls() > 0 {
                self.tell(RouteEvent::Tick);
            }
        }
    }

    /// Workspaces of which many calls wait here.
    #[must_use]
    pub fn crowded(&self) -> Vec<WorkspaceId> {
        self.dispatcher.state().crowded_workspaces()
    }

    /// The desk's state, for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "open_calls": self.dispatcher.open_calls(),
            "desk": self.dispatcher.state().summary(),
        })
    }
}
