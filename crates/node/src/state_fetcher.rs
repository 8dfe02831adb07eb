//! Fetching of newer state from the other nodes: the configuration and the list of runners.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use rand::seq::IndexedRandom;
use serving::{RunnerRecord, ServingPlan};

use crate::context::NodeContext;
use crate::dependency::DependencyState;
use crate::follow_configuration::{PlanTransfer, apply_plan};
use crate::follow_runners::{assume_cold, log_list_changes, new_starts, record_read};
use crate::metrics::OutcomeLabels;
use crate::peer_server::{RUNNERS_PATH, RunnersAnswer};
use crate::router::RouterService;
use crate::state_transfer::{Result, TransferError, fetch_plan, fetch_state};

/// Age of the list of runners from which it is fetched from a node that has read further.
const STALE_LIST_SPAN: TimeSpan = TimeSpan::millis(500);
/// Time for which a node without a configuration waits to be told of evacuations. Nodes of an older
/// build never do so, and the store may be away.
const EVACUATIONS_TIMEOUT: TimeSpan = TimeSpan::seconds(3);
/// Pause until the same is fetched again from another node, in milliseconds; random, so that
/// those who were turned away together do not return together.
const FETCH_PAUSE_RANGE_MS: std::ops::Range<u64> = 40..120;

/// One kind of state that is fetched.
#[derive(Default)]
struct FetchState {
    /// Whether it is being fetched.
    active: Cell<bool>,
    /// When it may be fetched again after a failure.
    next: Cell<TimePoint>,
}

impl FetchState {
    fn may_begin(&self, now: TimePoint) -> bool {
        !self.active.get() && now >= self.next.get()
    }

    /// Ends a fetch that failed at `now`.
    fn pause(&self, now: TimePoint) {
        let pause = rand::random_range(FETCH_PAUSE_RANGE_MS);
        self.next.set(now + TimeSpan::millis(pause));
    }
}

/// Fetches newer state from other nodes.
pub struct StateFetcher {
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    plan: FetchState,
    runners: FetchState,
    dependency: DependencyState,
}

impl StateFetcher {
    /// Creates a fetcher.
    #[must_use]
    pub fn new(context: &Rc<NodeContext>, router: &Rc<RouterService>) -> Rc<Self> {
        Rc::new(Self {
            context: Rc::clone(context),
            router: Rc::clone(router),
            plan: FetchState::default(),
            runners: FetchState::default(),
            dependency: DependencyState::new("other nodes"),
        })
    }

    /// Starts fetching newer data from other nodes, unless the same is being fetched.
    pub fn fetch_newer(self: &Rc<Self>) {
        self.fetch_newer_plan();
        self.fetch_newer_runners();
    }

    fn fetch_newer_plan(self: &Rc<Self>) {
        let now = self.context.now();
        let own = self.context.plan_version();
        let holders = self.context.peers.borrow().peers_with_newer_plan(now, own);
        // A random holder, so that not all nodes fetch a change from the first one.
        let Some(peer) = holders.choose(&mut rand::rng()).copied() else {
            self.context.newer_plan_since.set(None);
            return;
        };
        if self.context.newer_plan_since.get().is_none() {
            self.context.newer_plan_since.set(Some(now));
        }
        if !self.plan.may_begin(now) || !self.may_take_first_plan(now) {
            return;
        }
        self.plan.active.set(true);
        let fetcher = Rc::clone(self);
        kernel::spawn(async move {
            fetcher.fetch_plan_from(peer).await;
            fetcher.plan.active.set(false);
        })
        .detach();
    }

    /// Whether this node may take a configuration, with which it begins to serve: it has one, knows
    /// the evacuated places, or neither the store nor another node has told it in time.
    fn may_take_first_plan(&self, now: TimePoint) -> bool {
        let waited = self.context.newer_plan_since.get().map_or(TimeSpan(0), |at| now.since(at));
        self.context.plan_version().is_some()
            || self.context.evacuations.borrow().is_informed(now)
            || waited >= EVACUATIONS_TIMEOUT
    }

    fn fetch_newer_runners(self: &Rc<Self>) {
        let now = self.context.now();
        if !self.runners.may_begin(now) || self.context.runners_age() <= STALE_LIST_SPAN {
            return;
        }
        let read = self.context.runners_offset.get();
        let holders = self.context.peers.borrow().peers_with_newer_runners(now, read);
        // A random holder, so that not all nodes fetch the list from the one that read it.
        let Some(peer) = holders.choose(&mut rand::rng()).copied() else { return };
        self.runners.active.set(true);
        let fetcher = Rc::clone(self);
        kernel::spawn(async move {
            fetcher.fetch_runners_from(peer).await;
            fetcher.runners.active.set(false);
        })
        .detach();
    }

    async fn fetch_runners_from(&self, peer: SocketAddr) {
        match self.fetch_runners(peer).await {
            Ok(()) => self.dependency.record_success(),
            Err(error) => {
                self.dependency.record_failure(&error);
                self.runners.pause(self.context.now());
            }
        }
    }

    async fn fetch_plan_from(&self, peer: SocketAddr) {
        let begun = self.context.now();
        let fetched = fetch_plan(&self.context, peer).await;
        self.log_plan_fetch(peer, begun, fetched.as_ref());
        match fetched {
            Ok(plan) => {
                self.dependency.record_success();
                let transfer = PlanTransfer { source: "node", begun, bytes: None };
                apply_plan(&self.context, &self.router, plan, transfer);
            }
            Err(error) => {
                if !matches!(error, TransferError::Busy { .. }) {
                    self.dependency.record_failure(&error);
                }
                self.plan.pause(self.context.now());
            }
        }
    }

    /// Counts one transfer of a configuration from another node, and logs it unless the other
    /// node only was busy.
    fn log_plan_fetch(
        &self,
        peer: SocketAddr,
        begun: TimePoint,
        fetched: std::result::Result<&ServingPlan, &TransferError>,
    ) {
        let outcome = match fetched {
            Ok(_) => "fetched",
            Err(TransferError::Busy { .. }) => "busy",
            Err(_) => "failed",
        };
        let labels = OutcomeLabels { outcome, reason: "" };
        self.context.metrics.plan_fetches.get_or_create(&labels).inc();
        if outcome == "busy" {
            return;
        }
        tracing::info!(
            event = "plan_fetched",
            %peer,
            outcome,
            version = fetched.ok().map(|plan| plan.version.0),
            before = self.context.plan_version().map(|version| version.0),
            took_ms = self.context.now().since(begun).as_millis(),
            error = fetched.err().map(ToString::to_string),
        );
    }

    async fn fetch_runners(&self, peer: SocketAddr) -> Result<()> {
        let requested = self.context.now();
        let step = "runners of another node";
        let (answer, _) = fetch_state::<RunnersAnswer>(step, peer, RUNNERS_PATH).await?;
        if answer.read <= self.context.runners_offset.get() {
            return Ok(());
        }
        let records: Vec<RunnerRecord> = answer.runners;
        let is_first = self.context.runners_updated.get().is_none();
        let started = if is_first { Vec::new() } else { new_starts(&self.context, &records) };
        let changed = self.context.runners.borrow_mut().replace(self.context.now(), records);
        if !changed.is_empty() {
            tracing::info!(event = "runners_taken", read = answer.read.0, source = "node", %peer);
        }
        log_list_changes(&self.context, &changed, "node");
        for runner in &started {
            assume_cold(&self.context, runner);
        }
        record_read(&self.context, &self.router, requested, answer.read, !changed.is_empty());
        Ok(())
    }
}
