//! Computes orders from the models that runners should have and those that they report.

use std::collections::BTreeSet;

use base::{FencingNumber, prelude::*};

use crate::{OrderAction, OrderController, OrderRunner};

/// Last report of one runner, and the last order sent to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct RunnerState {
    incarnation: u64,
    sequence: u64,
    /// Models loaded according to the last report.
    loaded: BTreeSet<ModelName>,
    /// Models of the last order sent since the runner started.
    ordered: BTreeSet<ModelName>,
    /// Highest fencing number that the runner is known to have accepted.
    fence: FencingNumber,
    /// Fencing number of the last order.
    ordered_fence: FencingNumber,
    is_idle: bool,
    /// Time of the state that the last report describes.
    reported_at: TimePoint,
    /// Time at which the last order is sent again if reports don't reflect it.
    resend_at: TimePoint,
    /// Whether a report was received since the runner started.
    has_report: bool,
}

impl RunnerState {
    pub(crate) fn raise_fence(&mut self, fence: FencingNumber) {
        self.fence = self.fence.max(fence);
    }
}

impl OrderController {
    /// Applies a report, unless a later one of the same process was applied before.
    pub(crate) fn apply_report(&mut self, now: TimePoint, report: RunnerReport) {
        let state = self.states.entry(report.runner).or_default();
        if state.incarnation != report.incarnation {
            *state = RunnerState { incarnation: report.incarnation, ..RunnerState::default() };
        }
        if state.has_report && report.sequence < state.sequence {
            return;
        }
        state.has_report = true;
        state.sequence = report.sequence;
        state.loaded = report.models.into_iter().collect();
        state.fence = FencingNumber(report.fence).max(state.fence);
        state.is_idle = report.running == 0 && report.waiting == 0;
        state.reported_at = now - report.age;
    }

    /// Removes the state of runners that are no longer exist.
    pub(crate) fn remove_absent_runners(&mut self) {
        let current: BTreeSet<&RunnerId> = self.runners.iter().map(|r| &r.runner).collect();
        self.states.retain(|runner, _| current.contains(runner));
        self.drains.retain(|(runner, _), _| current.contains(runner));
    }

    /// Computes the orders that are due to the runners of the places held.
    pub(crate) fn reconcile(&mut self, now: TimePoint) -> Vec<OrderAction> {
        let places = self.places();
        let held = places.iter().filter(|place| self.fence(place).is_some()).count();
        let mut actions = Vec::new();
        for runner in self.runners.clone() {
            let Some(fence) = self.fence(&runner.place) else { continue };
            if !self.can_order(&runner, fence) {
                continue;
            }
            let models = self.next_models(now, &runner.runner, places.len(), held);
            actions.extend(self.build_order(now, runner.runner, fence, models));
        }
        actions
    }

    /// Whether orders may be sent to a runner. The runner has to be available, to have
    /// reported, and to have accepted no fencing number of a later holder. If it does not
    /// check fencing numbers, no earlier claimant may still exist.
    fn can_order(&mut self, runner: &OrderRunner, fence: FencingNumber) -> bool {
        let service = self.plan.services.iter().find(|s| s.service == runner.service);
        let Some(checks_fencing) = service.map(|service| service.checks_fencing) else {
            return false;
        };
        let state = self.states.get(&runner.runner);
        if !self.desired.contains_key(&runner.runner)
            || !state.is_some_and(|state| state.has_report && state.fence <= fence)
        {
            return false;
        }
        if checks_fencing || self.has_no_earlier_claimants(&runner.place) {
            return true;
        }
        self.counters.blocked += 1;
        false
    }

    /// Computes the models of the next order: desired models, of which new ones are added as
    /// the load budget permits, and other loaded models until they are drained.
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

    /// Whether a model may be unloaded: the runner reported that it was idle at a time when all
    /// entries had been told to send it no new calls for the model.
    fn is_drained(
        &mut self,
        now: TimePoint,
        runner: &RunnerId,
        model: &ModelName,
        state: &RunnerState,
    ) -> bool {
        let drained_since = *self.drains.entry((runner.clone(), model.clone())).or_insert(now);
        state.is_idle && state.reported_at >= drained_since + self.settings.drain_notice
    }

    /// Returns an order if it differs from the last one, or if the last one is due again.
    fn build_order(
        &mut self,
        now: TimePoint,
        runner: RunnerId,
        fence: FencingNumber,
        models: BTreeSet<ModelName>,
    ) -> Option<OrderAction> {
        let state = self.states.get_mut(&runner)?;
        let is_changed = models != state.ordered || fence != state.ordered_fence;
        if models == state.loaded && !is_changed {
            self.drains.retain(|(r, model), _| *r != runner || models.contains(model));
            return None;
        }
        if !is_changed && now < state.resend_at {
            return None;
        }
        state.ordered.clone_from(&models);
        state.ordered_fence = fence;
        state.resend_at = now + self.settings.order_retry;
        self.counters.orders += 1;
        Some(OrderAction::Order { runner, fence, models: models.into_iter().collect() })
    }
}
