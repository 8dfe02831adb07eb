//! The controller: every decision of one steward about claims and orders.

use std::collections::{BTreeMap, BTreeSet};

use base::{FencingNumber, prelude::*};

use crate::reconcile::RunnerState;
use crate::{
    ClaimTable, LoadBudget, OrderAction, OrderClaim, OrderCounters, OrderEvent, OrderMember,
    OrderPlan, OrderRunner, OrderSettings, assign_models,
};

/// Claims and orders of one steward.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderController {
    pub(crate) settings: OrderSettings,
    pub(crate) claim_table: ClaimTable,
    /// The log was read to its end at least once.
    pub(crate) caught_up: bool,
    pub(crate) members: Vec<OrderMember>,
    /// The last VM list that showed this VM.
    pub(crate) listed: BTreeSet<VmId>,
    /// Offset that had been read when that list was asked for.
    pub(crate) listed_after: LogOffset,
    /// When a claim may be appended (again), by place.
    pub(crate) append_at: BTreeMap<PlaceName, TimePoint>,
    /// When the own claim has to be renewed, by place held.
    pub(crate) renew_at: BTreeMap<PlaceName, TimePoint>,
    pub(crate) plan: OrderPlan,
    pub(crate) runners: Vec<OrderRunner>,
    pub(crate) desired: BTreeMap<RunnerId, BTreeSet<ModelName>>,
    pub(crate) states: BTreeMap<RunnerId, RunnerState>,
    /// Since when entries are told to send no more calls for a model to a runner.
    pub(crate) drains: BTreeMap<(RunnerId, ModelName), TimePoint>,
    pub(crate) budget: LoadBudget,
    pub(crate) counters: OrderCounters,
}

impl OrderController {
    /// A controller that knows nothing yet.
    #[must_use]
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            settings,
            claim_table: ClaimTable::default(),
            caught_up: false,
            members: Vec::new(),
            listed: BTreeSet::new(),
            listed_after: LogOffset(0),
            append_at: BTreeMap::new(),
            renew_at: BTreeMap::new(),
            plan: OrderPlan::default(),
            runners: Vec::new(),
            desired: BTreeMap::new(),
            states: BTreeMap::new(),
            drains: BTreeMap::new(),
            budget: LoadBudget::default(),
            counters: OrderCounters::default(),
        }
    }

    /// Takes one event and gives what is to be done now.
    pub fn handle(&mut self, now: TimePoint, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Log { first, records, at_end } => self.read(now, first, records, at_end),
            OrderEvent::VmList { after, vms } => {
                self.take_list(after, vms);
                Vec::new()
            }
            OrderEvent::Members(members) => {
                self.members = members;
                Vec::new()
            }
            OrderEvent::Plan(plan) => {
                self.plan = plan;
                self.desired = assign_models(&self.plan, &self.runners);
                Vec::new()
            }
            OrderEvent::Runners(runners) => {
                self.runners = runners;
                self.desired = assign_models(&self.plan, &self.runners);
                self.forget_runners();
                Vec::new()
            }
            OrderEvent::Report(report) => {
                self.take_report(now, report);
                Vec::new()
            }
            OrderEvent::Refused { runner, fence } => {
                self.counters.refused += 1;
                self.states.entry(runner).or_default().raise_fence(fence);
                Vec::new()
            }
            OrderEvent::Tick => {
                let mut actions = self.claim_places(now);
                actions.extend(self.reconcile(now));
                actions
            }
        }
    }

    /// Where to read the stream `orders` from.
    #[must_use]
    pub fn next_offset(&self) -> LogOffset {
        self.claim_table.offset().next()
    }

    /// Last offset read; to be noted when the VM list is asked for.
    #[must_use]
    pub fn offset(&self) -> LogOffset {
        self.claim_table.offset()
    }

    /// The claims, as far as they were read.
    #[must_use]
    pub fn claim_table(&self) -> &ClaimTable {
        &self.claim_table
    }

    /// The fencing number by which this VM holds a place.
    #[must_use]
    pub fn fence(&self, place: &PlaceName) -> Option<FencingNumber> {
        let state = self.claim_table.get(place)?;
        (state.incarnation == self.settings.incarnation).then_some(state.fence)
    }

    /// Runners and models to which entries should send no new calls.
    pub fn draining(&self) -> impl Iterator<Item = &(RunnerId, ModelName)> {
        self.drains.keys()
    }

    /// The counts since they were last taken.
    pub fn take_counters(&mut self) -> OrderCounters {
        std::mem::take(&mut self.counters)
    }

    /// All places that have runners.
    pub(crate) fn places(&self) -> BTreeSet<PlaceName> {
        self.runners.iter().map(|runner| runner.place.clone()).collect()
    }

    fn read(
        &mut self,
        now: TimePoint,
        first: LogOffset,
        records: Vec<(LogOffset, Arc<str>)>,
        at_end: bool,
    ) -> Vec<OrderAction> {
        self.claim_table.mark_expired_before(first);
        let mut actions = Vec::new();
        for (offset, text) in records {
            let claim = OrderClaim::decode(offset, &text).ok();
            if claim.is_none() {
                self.counters.unreadable += 1;
            }
            actions.extend(self.apply(now, offset, claim));
        }
        self.caught_up |= at_end;
        actions
    }

    fn apply(
        &mut self,
        now: TimePoint,
        offset: LogOffset,
        claim: Option<OrderClaim>,
    ) -> Option<OrderAction> {
        let place = claim.as_ref().map(|claim| claim.place.clone());
        let held = place.as_ref().is_some_and(|place| self.fence(place).is_some());
        self.claim_table.apply(offset, claim);
        let place = place?;
        if self.fence(&place).is_some() {
            self.renew_at.insert(place, now + self.settings.renew_after);
            return None;
        }
        self.renew_at.remove(&place);
        if !held {
            return None;
        }
        self.counters.lost_places += 1;
        Some(OrderAction::StopOrders { place })
    }
}
