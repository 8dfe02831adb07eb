//! What the services of one node share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::prelude::*;
use kernel::{MonotonicClock, StopSignal};
use serving::{
    BudgetSettings, FleetLoads, PeerTable, PlanVersion, RetryBudget, RunnerTable, ServingPlan,
};
use settings::NodeSettings;

use crate::metrics::NodeMetrics;

/// State that several services read; each part has one writer.
pub struct NodeContext {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Random number of this start.
    pub incarnation: VmIncarnation,
    /// What it counts.
    pub metrics: NodeMetrics,
    /// The configuration in force.
    pub plan: RefCell<Option<Rc<ServingPlan>>>,
    /// The runners.
    pub runners: RefCell<RunnerTable>,
    /// End of the list of runners as far as it was read.
    pub runners_offset: Cell<LogOffset>,
    /// When the list of runners was last known to be current; none before the first time.
    pub runners_updated: Cell<Option<TimePoint>>,
    /// When the store last answered this node; none before the first time.
    pub store_answered_at: Cell<Option<TimePoint>>,
    /// The other nodes.
    pub peers: RefCell<PeerTable>,
    /// What they have at the runners.
    pub peer_loads: RefCell<FleetLoads>,
    /// Repeated sends that this node may spend.
    pub retry_budget: RefCell<RetryBudget>,
    /// Raised when the process is told to stop.
    pub stop: StopSignal,
    /// Requests of callers in progress.
    pub active_requests: Cell<usize>,
    /// Bytes of bodies that are held for them.
    reserved_body_bytes: Cell<usize>,
    clock: MonotonicClock,
}

impl NodeContext {
    /// The state of a node that has just started.
    #[must_use]
    pub fn new(settings: NodeSettings) -> Rc<Self> {
        let clock = MonotonicClock::new();
        let budget = RetryBudget::new(retry_budget_settings(&settings), clock.now());
        Rc::new(Self {
            incarnation: VmIncarnation(rand::random()),
            metrics: NodeMetrics::new(),
            plan: RefCell::default(),
            runners: RefCell::new(RunnerTable::new(settings.drain)),
            runners_offset: Cell::default(),
            runners_updated: Cell::default(),
            store_answered_at: Cell::default(),
            peers: RefCell::default(),
            peer_loads: RefCell::default(),
            retry_budget: RefCell::new(budget),
            stop: StopSignal::new(),
            active_requests: Cell::default(),
            reserved_body_bytes: Cell::default(),
            settings,
            clock,
        })
    }

    /// The process's clock.
    #[must_use]
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// The present instant.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn plan(&self) -> Option<Rc<ServingPlan>> {
        self.plan.borrow().clone()
    }

    /// Its version.
    #[must_use]
    pub fn plan_version(&self) -> Option<PlanVersion> {
        self.plan.borrow().as_ref().map(|plan| plan.version)
    }

    /// Age of the list of runners.
    #[must_use]
    pub fn runners_age(&self) -> TimeSpan {
        self.runners_updated.get().map_or(TimeSpan(u64::MAX), |at| self.now().since(at))
    }

    /// Whether the store has answered this node lately.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        /// Longer than any pause between two reads of a node that reads for the others.
        const RECENT_SPAN: TimeSpan = TimeSpan::millis(1_500);
        self.store_answered_at.get().is_some_and(|at| self.now().since(at) < RECENT_SPAN)
    }

    /// Nodes that read the store before this one has to.
    #[must_use]
    pub fn readers_before(&self) -> usize {
        self.peers.borrow().readers_ahead_of(self.now(), &self.settings.vm)
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.plan.borrow().is_some() && self.runners_updated.get().is_some();
        known && !self.stop.is_raised() && !self.is_isolated()
    }

    /// Whether neither the store nor any other node has been heard for a while.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        /// Silence from which callers are better off elsewhere.
        const ISOLATION_SPAN: TimeSpan = TimeSpan::millis(1_500);
        self.runners_age() > ISOLATION_SPAN
            && self.peers.borrow().all_silent_since(self.now() - ISOLATION_SPAN)
    }

    /// Books `bytes` of a request's body until the guard is dropped; none if the bodies in
    /// progress take too much of the process's memory already.
    #[must_use]
    pub fn reserve_body(self: &Rc<Self>, bytes: usize) -> Option<BodyReservation> {
        /// Part of the memory that bodies may take.
        const BODY_SHARE_DIVISOR: usize = 4;
        let limit = (self.settings.memory_mb as usize * (1 << 20)) / BODY_SHARE_DIVISOR;
        let reserved =
            self.reserved_body_bytes.get().checked_add(bytes).filter(|sum| *sum <= limit)?;
        self.reserved_body_bytes.set(reserved);
        Some(BodyReservation { context: Rc::clone(self), bytes })
    }

    /// Counts a request until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> RequestGuard {
        self.active_requests.set(self.active_requests.get() + 1);
        RequestGuard { context: Rc::clone(self) }
    }
}

/// Memory reserved for a body.
pub struct BodyReservation {
    context: Rc<NodeContext>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.context.reserved_body_bytes.set(self.context.reserved_body_bytes.get() - self.bytes);
    }
}

/// A request in progress.
pub struct RequestGuard {
    context: Rc<NodeContext>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.context.active_requests.set(self.context.active_requests.get() - 1);
    }
}

/// The retry budget that the settings give.
#[must_use]
pub fn retry_budget_settings(settings: &NodeSettings) -> BudgetSettings {
    BudgetSettings {
        ratio: settings.retry_ratio,
        slack: settings.retry_slack,
        window: settings.retry_window(),
    }
}
