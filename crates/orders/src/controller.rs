//! State machine of the claims and orders of one steward.

use std::collections::{BTreeMap, BTreeSet};

use base::{FencingNumber, prelude::*};

use crate::reconcile::RunnerState;
use crate::{
    ClaimTable, LoadBudget, OrderAction, OrderClaim, OrderCounters, OrderEvent, OrderMember,
    OrderPlan, OrderRunner, OrderSettings, assign_models,
};

/// Decides which places one steward claims and which orders it sends. It does no I/O: the
/// caller passes in events and performs the returned actions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderController {
    pub(crate) settings: OrderSettings,
    pub(crate) claim_table: ClaimTable,
    /// Whether the log was read to its end at least once.
    pub(crate) caught_up: bool,
    pub(crate) members: Vec<OrderMember>,
    /// VMs of the last VM list; empty if the list did not contain this VM.
    pub(crate) listed: BTreeSet<VmId>,
    /// Offset that had been read when the last list that contained this VM was requested.
    pub(crate) listed_after: LogOffset,
    /// Earliest time of the next append of a claim, by place.
    pub(crate) append_at: BTreeMap<PlaceName, TimePoint>,
    /// Time at which the claim has to be renewed, by place held.
    pub(crate) renew_at: BTreeMap<PlaceName, TimePoint>,
    pub(crate) plan: OrderPlan,
    pub(crate) runners: Vec<OrderRunner>,
    /// Models that each available runner should have loaded.
    pub(crate) desired: BTreeMap<RunnerId, BTreeSet<ModelName>>,
    pub(crate) states: BTreeMap<RunnerId, RunnerState>,
    /// Models being drained on a runner, with the time since which entries are told to send no
    /// new calls for them to it.
    pub(crate) drains: BTreeMap<(RunnerId, ModelName), TimePoint>,
    pub(crate) budget: LoadBudget,
    pub(crate) counters: OrderCounters,
}

impl OrderController {
    /// Creates a controller that has received no events.
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

    /// Processes one event and returns the actions to perform now.
    pub fn handle(&mut self, now: TimePoint, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Log { first, records, at_end } => {
                self.apply_page(now, first, records, at_end)
            }
            OrderEvent::VmList { after, vms } => {
                self.apply_vm_list(after, vms);
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
                self.remove_absent_runners();
                Vec::new()
            }
            OrderEvent::Report(report) => {
                self.apply_report(now, report);
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

    /// Offset from which to read the stream `orders` next.
    #[must_use]
    pub fn next_offset(&self) -> LogOffset {
        self.claim_table.offset().next()
    }

    /// Last offset read. The caller has to take it when it requests the VM list, for
    /// [`OrderEvent::VmList`].
    #[must_use]
    pub fn offset(&self) -> LogOffset {
        self.claim_table.offset()
    }

    /// The holders of all places, as of the last record read.
    #[must_use]
    pub fn claim_table(&self) -> &ClaimTable {
        &self.claim_table
    }

    /// Fencing number with which this process holds a place; `None` if it does not hold it.
    #[must_use]
    pub fn fence(&self, place: &PlaceName) -> Option<FencingNumber> {
        let state = self.claim_table.get(place)?;
        (state.incarnation == self.settings.incarnation).then_some(state.fence)
    }

    /// Models being drained, with their runners: entries should send no new calls for the model
    /// to the runner.
    pub fn draining(&self) -> impl Iterator<Item = &(RunnerId, ModelName)> {
        self.drains.keys()
    }

    /// Returns the counters and resets them.
    pub fn take_counters(&mut self) -> OrderCounters {
        std::mem::take(&mut self.counters)
    }

    /// All places with at least one runner.
    pub(crate) fn places(&self) -> BTreeSet<PlaceName> {
        self.runners.iter().map(|runner| runner.place.clone()).collect()
    }

    fn apply_page(
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
            actions.extend(self.apply_claim(now, offset, claim));
        }
        self.caught_up |= at_end;
        actions
    }

    /// Applies one record, and stops the orders of a place that this process lost by it.
    fn apply_claim(
        &mut self,
        now: TimePoint,
        offset: LogOffset,
        claim: Option<OrderClaim>,
    ) -> Option<OrderAction> {
        let place = claim.as_ref().map(|claim| claim.place.clone());
        let was_held = place.as_ref().is_some_and(|place| self.fence(place).is_some());
        self.claim_table.apply(offset, claim);
        let place = place?;
        if self.fence(&place).is_some() {
            self.renew_at.insert(place, now + self.settings.renew_after);
            return None;
        }
        self.renew_at.remove(&place);
        if !was_held {
            return None;
        }
        self.counters.lost_places += 1;
        Some(OrderAction::StopOrders { place })
    }
}
