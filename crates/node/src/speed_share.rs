//! Speeds of runners: figures from their answers, and the exchange with other nodes.
//!
//! Load pattern: runners of one service differ in speed, and one node sees few of their answers.

use std::collections::BTreeMap;

use base::prelude::*;
use route::{PresentSpeed, RouteEvent, SpeedEvidence, SpeedStatement};
use serving::{MAX_SPEED_ENTRIES, RouteKind, RunnerKey, ServingPlan, SpeedEntry, SpeedUpdate};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::router::RouterService;

/// Most figures that wait for the dispatcher, which takes them every 100 ms.
const MAX_FIGURES: usize = 256;

/// Most entries that a node receives in one heartbeat of each other node: at 195 nodes that send 200
/// entries each, they would take a third of a link of 10 Mbit/s.
const MAX_FLEET_ENTRIES: usize = 4_000;
/// Number of entries that each heartbeat may have, however large the fleet is.
const MIN_SPEED_ENTRIES: usize = 10;

/// A figure that a runner stated: the factor by which work takes longer there than usual.
#[derive(Debug, Clone)]
pub struct SpeedFigure {
    /// The runner.
    pub runner: RunnerId,
    /// The factor.
    pub factor: f64,
}

/// Records a figure from an answer; the dispatcher takes it before its next decision.
pub fn record_speed_figure(context: &NodeContext, runner: &RunnerId, factor: f64) {
    let mut figures = context.speed_figures.borrow_mut();
    if figures.len() < MAX_FIGURES {
        figures.push(SpeedFigure { runner: runner.clone(), factor });
    }
}

/// Takes the figures of runners as events for the dispatcher.
pub fn figure_events(context: &NodeContext) -> Vec<RouteEvent> {
    let figures = std::mem::take(&mut *context.speed_figures.borrow_mut());
    let event = |figure: SpeedFigure| RouteEvent::SpeedFigure {
        runner: figure.runner,
        factor: figure.factor,
    };
    figures.into_iter().map(event).collect()
}

/// Keys of all listed runners.
#[must_use]
pub fn runner_keys(context: &NodeContext) -> BTreeMap<RunnerKey, RunnerId> {
    let runners = context.runners.borrow();
    let listed = runners.entries().filter(|entry| entry.removed_at.is_none());
    let key = |entry: &serving::RunnerEntry| {
        let runner = entry.record.incarnation();
        (RunnerKey::new(&runner), runner.runner)
    };
    listed.map(key).collect()
}

/// The bound of pauses in streams of each service: the lowest one of its routes.
#[must_use]
pub fn pause_bounds(plan: &ServingPlan) -> Vec<RouteEvent> {
    let bound = |service: &ServiceName| {
        let rules = plan.routes.values().flat_map(BTreeMap::values);
        let serving = rules.filter(|rule| {
            rule.kind == RouteKind::Stream
                && rule.targets.iter().any(|target| target.service == *service)
        });
        serving.filter_map(|rule| rule.gap_target).min()
    };
    let event = |(service, entry): (&ServiceName, &serving::ServicePlan)| RouteEvent::PauseBound {
        service: service.clone(),
        bound: bound(service),
        event_tokens: entry.engine.as_ref().map_or(1, |engine| engine.event_tokens),
    };
    plan.services.iter().map(event).collect()
}

/// What this node has observed of runners' speeds since its previous heartbeat; `None` if that is
/// nothing. Also counts and logs changes.
pub fn take_speed_update(context: &NodeContext, router: &RouterService) -> Option<SpeedUpdate> {
    let now = context.now();
    let mut state = router.dispatcher.state_mut();
    for (runner, factor) in state.take_speed_changes() {
        context.metrics.speed_changes.inc();
        if may_log(context) {
            tracing::info!(event = "runner_speed", %runner, factor);
        }
    }
    context.metrics.uneven_runners.set(i64::try_from(state.uneven_runners()).unwrap_or(i64::MAX));
    let fleet_size = context.peers.borrow().fleet_size().max(1);
    let limit = (MAX_FLEET_ENTRIES / fleet_size).clamp(MIN_SPEED_ENTRIES, MAX_SPEED_ENTRIES);
    let statements = state.take_speed_statements(limit);
    let runners = context.runners.borrow();
    let entry = |statement: &SpeedStatement| {
        let runner = runners.get(&statement.runner)?.record.incarnation();
        let present = statement.present.map(|figure| (figure.deviation, now.since(figure.at)));
        let SpeedEvidence { log_factor, weight } = statement.evidence;
        Some(SpeedEntry::new(RunnerKey::new(&runner), log_factor, weight, present))
    };
    let entries: Vec<SpeedEntry> = statements.iter().filter_map(entry).collect();
    (!entries.is_empty()).then_some(SpeedUpdate(entries))
}

/// Applies what another node has observed.
pub fn apply_speed_update(context: &NodeContext, router: &RouterService, update: &SpeedUpdate) {
    let now = context.now();
    let keys = router.runner_keys.borrow();
    let event = |entry: &SpeedEntry| {
        let present = entry.present();
        Some(RouteEvent::SpeedTold(SpeedStatement {
            runner: keys.get(&entry.key)?.clone(),
            evidence: SpeedEvidence { log_factor: entry.factor.log(), weight: entry.weight() },
            present: present.map(|(deviation, age)| PresentSpeed { deviation, at: now - age }),
        }))
    };
    let limited = update.0.iter().take(MAX_SPEED_ENTRIES);
    router.dispatcher.handle_all(limited.filter_map(event).collect::<Vec<_>>());
}
