//! State shared by the services of one node.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use kernel::{MonotonicClock, StopSignal};
use serving::{
    BrittleTable, BudgetSettings, CallTimes, ColdSettings, ColdTable, EndTable, EraView,
    EvacuationTable, FleetLoads, FleetMembers, FleetReach, ForwardTable, HedgeLimit, HedgeTimer,
    InputTable, LimitTable, PeerTable, PlanVersion, ReachTable, RetryBudget, RunnerTable,
    ServingPlan, StopWindow, TransferPacer, WaitTable,
};
use settings::NodeSettings;
use web::ReadLimits;

use crate::forward::LateOrders;
use crate::memory_pool::{MemoryPool, MemoryReservation};
use crate::metrics::NodeMetrics;
use crate::open_calls::OpenCalls;
use crate::ordered_runs::OrderedRuns;
use crate::runner_probe::LostCalls;
use crate::speed_share::SpeedFigure;
use crate::state_transfer::EncodedPlan;

/// The bodies of requests, and what is read from runners and other nodes, may each take one part in
/// this many of the process's memory.
const BODY_SHARE_DIVISOR: usize = 4;
/// State that is read may take one further part in this many.
const STATE_SHARE_DIVISOR: usize = 16;
/// Connections and what is read may together take one part in this many.
const CONNECTION_SHARE_DIVISOR: usize = 2;

/// Shared state of a node. Several services read it; each part has one writer.
pub struct NodeContext {
    /// Process settings as read at the start.
    pub settings: NodeSettings,
    /// Random number that identifies this start of the process.
    pub incarnation: VmIncarnation,
    /// Counters and histograms.
    pub metrics: NodeMetrics,
    /// The active configuration; `None` until one has been received.
    pub plan: RefCell<Option<Rc<ServingPlan>>>,
    /// The configuration as other nodes fetch it; of an older version until it is used.
    pub encoded_plan: RefCell<Option<EncodedPlan>>,
    /// When a node was first seen with a newer configuration than the active one.
    pub newer_plan_since: Cell<Option<TimePoint>>,
    /// Limits of transfers of the configuration to other nodes.
    pub transfers: RefCell<TransferPacer>,
    /// Known runners and their state.
    pub runners: RefCell<RunnerTable>,
    /// Places whose runners may be sent no requests.
    pub evacuations: RefCell<EvacuationTable>,
    /// Runners that asked this node to send them nothing for some time.
    pub waits: RefCell<WaitTable>,
    /// Limits on the requests that runners take from all nodes.
    pub limits: RefCell<LimitTable>,
    /// How runners end runs that go on elsewhere.
    pub run_ends: RefCell<EndTable>,
    /// Runs that this node has lately ordered runners to stop.
    pub ordered_runs: RefCell<OrderedRuns>,
    /// Runs that were ordered to stop for another node, and that nobody goes on with yet.
    pub late_orders: LateOrders,
    /// Cold runners.
    pub cold: RefCell<ColdTable>,
    /// Brittle runners.
    pub brittle: RefCell<BrittleTable>,
    /// Whether the room at a brittle runner has changed since the dispatcher was told.
    pub room_changed: Cell<bool>,
    /// The nodes that share what a runner can take.
    pub members: RefCell<FleetMembers>,
    /// Figures of speed that runners stated and that the dispatcher has not received yet.
    pub speed_figures: RefCell<Vec<SpeedFigure>>,
    /// Inputs of calls that crash runners.
    pub inputs: RefCell<InputTable>,
    /// Which runners this node reaches.
    pub reach: RefCell<ReachTable>,
    /// Which shares of the services' runners the other nodes reach.
    pub fleet_reach: RefCell<FleetReach>,
    /// Signals that are raised while this node does not reach all runners of a service.
    pub impairments: RefCell<BTreeMap<ServiceName, StopSignal>>,
    /// Runners that are reached again, which the dispatcher has not received yet.
    pub regained_runners: RefCell<Vec<RunnerId>>,
    /// When other nodes last answered a question, while that is recent.
    pub node_answers: RefCell<BTreeMap<VmId, TimePoint>>,
    /// Nodes that did not take a forwarded call lately.
    pub forwards: RefCell<ForwardTable>,
    /// Calls that were lost by runners which are being probed.
    pub lost_calls: RefCell<LostCalls>,
    /// Newest era of the store that the store or another node has named.
    pub store_era: RefCell<EraView>,
    /// Offset in the newest era up to which the list of runners has been read; 0 if it has not.
    pub runners_offset: Cell<LogOffset>,
    /// When the list of runners was last known to be current; `None` before the first read.
    pub runners_updated: Cell<Option<TimePoint>>,
    /// When the store last answered this node; `None` before the first answer.
    pub store_answered_at: Cell<Option<TimePoint>>,
    /// The other nodes of the fleet.
    pub peers: RefCell<PeerTable>,
    /// Load that the other nodes put on each runner.
    pub peer_loads: RefCell<FleetLoads>,
    /// Budget of retries that this node may spend.
    pub retry_budget: RefCell<RetryBudget>,
    /// Limit of the second sends of slow requests.
    pub hedge_limit: RefCell<HedgeLimit>,
    /// Times of sends, for second sends of slow requests.
    pub hedge_timer: RefCell<HedgeTimer>,
    /// Times of calls from their arrival to their end.
    pub call_times: RefCell<CallTimes>,
    /// Times of calls from their last send to their end.
    pub work_times: RefCell<CallTimes>,
    /// Plain calls under way.
    pub open_calls: OpenCalls,
    /// Streams under way that have no response head yet.
    pub headless_streams: OpenCalls,
    /// Streams under way whose response head has been sent.
    pub open_streams: OpenCalls,
    /// Until when this node takes and answers calls; `None` until it is asked to stop.
    pub stop_window: Cell<Option<StopWindow>>,
    /// Raised when the process is asked to stop, after `stop_window` was set.
    pub stop: StopSignal,
    /// Number of callers' requests in progress.
    pub active_requests: Cell<usize>,
    /// Memory for the bodies of these requests.
    request_memory: Rc<MemoryPool>,
    /// Signals the router that an answer has changed what is known about a runner.
    runner_changes: RefCell<mpsc::Sender<()>>,
    /// Signals that blocked inputs of calls have changed.
    block_changes: RefCell<mpsc::Sender<()>>,
    clock: MonotonicClock,
}

impl NodeContext {
    /// Creates the state of a node that has just started.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        runner_changes: mpsc::Sender<()>,
        block_changes: mpsc::Sender<()>,
    ) -> Rc<Self> {
        let clock = MonotonicClock::new();
        let budget = RetryBudget::new(retry_budget_settings(&settings), clock.now());
        let body_bytes = memory_bytes(&settings) / BODY_SHARE_DIVISOR;
        Rc::new(Self {
            incarnation: VmIncarnation(rand::random()),
            metrics: NodeMetrics::new(),
            plan: RefCell::default(),
            encoded_plan: RefCell::default(),
            newer_plan_since: Cell::default(),
            transfers: RefCell::new(TransferPacer::new(settings.link_mbps)),
            runners: RefCell::new(RunnerTable::new(settings.drain)),
            store_era: RefCell::default(),
            evacuations: RefCell::default(),
            waits: RefCell::default(),
            limits: RefCell::default(),
            run_ends: RefCell::default(),
            ordered_runs: RefCell::default(),
            late_orders: LateOrders::default(),
            cold: RefCell::default(),
            brittle: RefCell::default(),
            room_changed: Cell::default(),
            members: RefCell::new(FleetMembers::new(settings.vm.clone(), clock.now())),
            speed_figures: RefCell::default(),
            inputs: RefCell::default(),
            reach: RefCell::default(),
            fleet_reach: RefCell::default(),
            impairments: RefCell::default(),
            regained_runners: RefCell::default(),
            node_answers: RefCell::default(),
            forwards: RefCell::default(),
            lost_calls: RefCell::default(),
            runners_offset: Cell::default(),
            runners_updated: Cell::default(),
            store_answered_at: Cell::default(),
            peers: RefCell::default(),
            peer_loads: RefCell::default(),
            retry_budget: RefCell::new(budget),
            hedge_limit: RefCell::new(HedgeLimit::new(settings.hedge_share)),
            hedge_timer: RefCell::default(),
            call_times: RefCell::default(),
            work_times: RefCell::default(),
            open_calls: OpenCalls::default(),
            headless_streams: OpenCalls::default(),
            open_streams: OpenCalls::default(),
            stop_window: Cell::default(),
            stop: StopSignal::new(),
            active_requests: Cell::default(),
            request_memory: MemoryPool::new(body_bytes),
            runner_changes: RefCell::new(runner_changes),
            block_changes: RefCell::new(block_changes),
            settings,
            clock,
        })
    }

    /// The process's monotonic clock.
    #[must_use]
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The active configuration.
    #[must_use]
    pub fn plan(&self) -> Option<Rc<ServingPlan>> {
        self.plan.borrow().clone()
    }

    /// Signals the router that an answer has changed what is known about a runner.
    pub fn signal_runner_change(&self) {
        // A full channel already holds a signal.
        let _ = self.runner_changes.borrow_mut().try_send(());
    }

    /// Signals that blocked inputs of calls have changed.
    pub fn signal_block_change(&self) {
        // A full channel already holds a signal.
        let _ = self.block_changes.borrow_mut().try_send(());
    }

    /// Version of the active configuration.
    #[must_use]
    pub fn plan_version(&self) -> Option<PlanVersion> {
        self.plan.borrow().as_ref().map(|plan| plan.version)
    }

    /// The newest era of the store.
    #[must_use]
    pub fn newest_era(&self) -> StoreEra {
        self.store_era.borrow().newest()
    }

    /// Records an era that `source` named. If it is higher, what was read of the list of runners
    /// stays, but its offset is void.
    pub fn observe_store_era(&self, era: StoreEra, source: &str) {
        let now = self.now();
        let Some(before) = self.store_era.borrow_mut().observe(now, era) else { return };
        let offset = self.runners_offset.take().0;
        tracing::info!(
            event = "store_era",
            era = era.0,
            before = before.0,
            source,
            runners_offset = offset
        );
        self.metrics.store_eras.inc();
        self.signal_block_change();
        self.peers.borrow_mut().set_store_era(era);
        self.evacuations.borrow_mut().mark_store_return(now);
        if self.runners_updated.get().is_some() {
            self.metrics.cursors_dropped.inc();
            self.runners.borrow_mut().mark_store_return(now);
        }
    }

    /// Time since the list of runners was last current; the maximum before the first read.
    #[must_use]
    pub fn runners_age(&self) -> TimeSpan {
        self.runners_updated.get().map_or(TimeSpan(u64::MAX), |at| self.now().since(at))
    }

    /// Whether the store has answered this node recently.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        /// Longer than any pause between reads of a node that reads for the others.
        const RECENT_SPAN: TimeSpan = TimeSpan::millis(1_500);
        self.store_answered_at.get().is_some_and(|at| self.now().since(at) < RECENT_SPAN)
    }

    /// Number of nodes ranked before this one for reading the store on behalf of the fleet.
    #[must_use]
    pub fn readers_before(&self) -> usize {
        let reaches_store = self.is_store_reachable();
        self.peers.borrow().readers_ahead_of(self.now(), &self.settings.vm, reaches_store)
    }

    /// Whether a newer configuration has been known for so long that this node reads it from the
    /// store itself: transfers from other nodes do not come through.
    #[must_use]
    pub fn is_plan_overdue(&self) -> bool {
        /// Longer than a transfer from another node takes, even if some are busy first.
        const OVERDUE_SPAN: TimeSpan = TimeSpan::millis(1_000);
        self.newer_plan_since.get().is_some_and(|since| self.now().since(since) >= OVERDUE_SPAN)
    }

    /// Whether this node can serve callers: it knows the configuration and the runners, is
    /// not stopping and is not isolated.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.plan.borrow().is_some() && self.runners_updated.get().is_some();
        known && !self.stop.is_raised() && !self.is_isolated()
    }

    /// Whether the list of runners is outdated and all other nodes have fallen silent.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        /// Silence after which callers are served better by other nodes.
        const ISOLATION_SPAN: TimeSpan = TimeSpan::millis(1_500);
        self.runners_age() > ISOLATION_SPAN
            && self.peers.borrow().all_silent_since(self.now() - ISOLATION_SPAN)
    }

    /// Reserves `bytes` for a request's body until the returned reservation is dropped.
    ///
    /// Returns `None` if the reserved bodies would exceed their share of the process's memory.
    #[must_use]
    pub fn reserve_body(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.request_memory.open();
        reservation.grow_to(bytes).then_some(reservation)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> RequestGuard {
        self.active_requests.set(self.active_requests.get() + 1);
        RequestGuard { context: Rc::clone(self) }
    }
}

/// Counts one request in progress; uncounted when dropped.
pub struct RequestGuard {
    context: Rc<NodeContext>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.context.active_requests.set(self.context.active_requests.get() - 1);
    }
}

fn memory_bytes(settings: &NodeSettings) -> usize {
    settings.memory_mb as usize * (1 << 20)
}

/// Bounds what this process keeps of what it reads.
pub fn install_read_budget(settings: &NodeSettings) {
    let bytes = memory_bytes(settings);
    web::install_read_budget(ReadLimits {
        kept: bytes / BODY_SHARE_DIVISOR,
        reserve: bytes / STATE_SHARE_DIVISOR,
        shared: bytes / CONNECTION_SHARE_DIVISOR,
    });
}

/// What cold runners bear beyond their rate, from the settings.
#[must_use]
pub fn cold_settings(settings: &NodeSettings) -> ColdSettings {
    ColdSettings { overshoot: settings.cold_overshoot, slack: settings.cold_start_slack }
}

/// Retry budget parameters from the settings.
#[must_use]
pub fn retry_budget_settings(settings: &NodeSettings) -> BudgetSettings {
    BudgetSettings {
        ratio: settings.retry_ratio,
        slack: settings.retry_slack,
        window: settings.retry_window(),
    }
}
