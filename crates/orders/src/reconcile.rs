//! Orders: what runners should have against what they report.

use std::collections::BTreeSet;

use base::{FencingNumber, prelude::*};

use crate::{OrderAction, OrderController, OrderRunner};

/// What is known of one runner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct RunnerState {
    incarnation: u64,
    sequence: u64,
    /// Models that it reported.
    loaded: BTreeSet<ModelName>,
    /// Models of the last order to this start of it.
    ordered: BTreeSet<ModelName>,
    /// Highest fencing number that it is known to have accepted.
    fence: FencingNumber,
    /// Number of the last order.
    ordered_fence: FencingNumber,
    is_idle: bool,
    /// When its report described it.
    reported_at: TimePoint,
    /// When an order that has not shown yet is sent again.
    resend_at: TimePoint,
    known: bool,
}

impl RunnerState {
    pub(crate) fn raise_fence(&mut self, fence: FencingNumber) {
        self.fence = self.fence.max(fence);
    }
}

impl OrderController {
    pub(crate) fn take_report(&mut self, now: TimePoint, report: RunnerReport) {
        let state = self.states.entry(report.runner).or_default();
        if state.incarnation != report.incarnation {
            *state = RunnerState { incarnation: report.incarnation, ..RunnerState::default() };
        }
        if state.known && report.sequence < state.sequence {
            return;
        }
        state.known = true;
        state.sequence = report.sequence;
        state.loaded = report.models.into_iter().collect();
        state.fence = FencingNumber(report.fence).max(state.fence);
        state.is_idle = report.running == 0 && report.waiting == 0;
        state.reported_at = now - report.age;
    }

    pub(crate) fn forget_runners(&mut self) {
        let here: BTreeSet<&RunnerId> = self.runners.iter().map(|r| &r.runner).collect();
        self.states.retain(|runner, _| here.contains(runner));
        self.drains.retain(|(runner, _), _| here.contains(runner));
    }

    /// Orders to the runners of the places held.
    pub(crate) fn reconcile(&mut self, now: TimePoint) -> Vec<OrderAction> {
        let places = self.places();
        let held = places.iter().filter(|place| self.fence(place).is_some()).count();
        let mut actions = Vec::new();
        for runner in self.runners.clone() {
            let Some(fence) = self.fence(&runner.place) else { continue };
            if !self.may_order(&runner, fence) {
                continue;
            }
            let models = self.next_models(now, &runner.runner, places.len(), held);
            actions.extend(self.order(now, runner.runner, fence, models));
        }
        actions
    }

    /// Orders go only to runners that stay, have reported, and know no later holder; and
    /// to those that don't check the number only if no earlier holder can wake.
    fn may_order(&mut self, runner: &OrderRunner, fence: FencingNumber) -> bool {
        let service = self.plan.services.iter().find(|s| s.service == runner.service);
        let Some(checks_fencing) = service.map(|service| service.checks_fencing) else {
            return false;
        };
        let state = self.states.get(&runner.runner);
        if !self.desired.contains_key(&runner.runner)
            || !state.is_some_and(|state| state.known && state.fence <= fence)
        {
            return false;
        }
        if checks_fencing || self.is_alone(&runner.place) {
            return true;
        }
        self.counters.blocked += 1;
        false
    }

    /// The models to order now: desired ones as far as the budget for loads goes, and
    /// loaded ones until they are drained.
    fn next_models(
        &mut self,
        now: TimePoint,
        runner: &RunnerId,
        places: usize,
        held: usize,
    ) -> BTreeSet<ModelName> {
        let desired = self.desired.get(runner).cloned().unwrap_or_default();
        let Some(state) = self.states.get(runner).cloned() else { return BTreeSet::new() };
        let present: BTreeSet<ModelName> = state.loaded.union(&state.ordered).cloned().collect();
        let mut models = BTreeSet::new();
        for model in &desired {
            self.drains.remove(&(runner.clone(), model.clone()));
            let interval = self.settings.load_interval;
            if present.contains(model) || self.budget.take(now, interval, places, held) {
                models.insert(model.clone());
            }
        }
        for model in present.difference(&desired) {
            if !self.is_drained(now, runner, model, &state) {
                models.insert(model.clone());
            }
        }
        models
    }

    /// A model may go once the runner was idle after the entries knew that it goes.
    fn is_drained(
        &mut self,
        now: TimePoint,
        runner: &RunnerId,
        model: &ModelName,
        state: &RunnerState,
    ) -> bool {
        let since = *self.drains.entry((runner.clone(), model.clone())).or_insert(now);
        state.is_idle && state.reported_at >= since + self.settings.drain_notice
    }

    fn order(
        &mut self,
        now: TimePoint,
        runner: RunnerId,
        fence: FencingNumber,
        models: BTreeSet<ModelName>,
    ) -> Option<OrderAction> {
        let state = self.states.get_mut(&runner)?;
        let is_new = models != state.ordered || fence != state.ordered_fence;
        if models == state.loaded && !is_new {
            self.drains.retain(|(r, model), _| *r != runner || models.contains(model));
            return None;
        }
        if !is_new && now < state.resend_at {
            return None;
        }
        state.ordered.clone_from(&models);
        state.ordered_fence = fence;
        state.resend_at = now + self.settings.order_retry;
        self.counters.orders += 1;
        Some(OrderAction::Order { runner, fence, models: models.into_iter().collect() })
    }
}
