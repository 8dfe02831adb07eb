//! This node's share of what runners can take: its updates for the other nodes, and the events for
//! the dispatcher.

use std::cell::Cell;
use std::collections::BTreeSet;

use base::prelude::*;
use route::RouteEvent;
use serving::{
    BrittleTable, ColdPlan, LimitUpdate, RunnerEntry, RunnerIncarnation, RunnerRoom, ServiceDemand,
};

use crate::context::{NodeContext, cold_settings};

/// What runners stated to this node, and its demand for the services with limited runners.
#[must_use]
pub fn limit_update(context: &NodeContext) -> LimitUpdate {
    let now = context.now();
    let limits = context.limits.borrow();
    if limits.is_empty() {
        return LimitUpdate::default();
    }
    let runners = context.runners.borrow();
    let is_limited =
        |entry: &&RunnerEntry| limits.limit(now, &entry.record.incarnation()).is_some();
    let services: BTreeSet<&ServiceName> =
        runners.entries().filter(is_limited).map(|entry| &entry.record.service).collect();
    let demand = |service: &ServiceName| ServiceDemand {
        service: service.clone(),
        requests: recent_requests(context, service),
    };
    let demands = services.into_iter().map(demand).collect();
    LimitUpdate { limits: limits.reports(now), demands }
}

/// Events with this node's share of the limit of each runner; none while no runner has or had
/// one. `dispatcher_limited` keeps whether the dispatcher knows of a limit, so that it learns of
/// the end.
pub fn limit_events(context: &NodeContext, dispatcher_limited: &Cell<bool>) -> Vec<RouteEvent> {
    let now = context.now();
    let limits = context.limits.borrow();
    let is_empty = limits.is_empty() && context.cold.borrow().is_empty();
    let was_limited = dispatcher_limited.replace(!is_empty);
    if is_empty && !was_limited {
        return Vec::new();
    }
    let runners = context.runners.borrow();
    let event = |entry: &RunnerEntry| {
        let record = &entry.record;
        let rate = limits.rate(now, &record.incarnation()).map(|rate| {
            let requests = recent_requests(context, &record.service);
            RequestRate(rate.0 * limits.own_share(&record.service, requests))
        });
        let cold = cold_share(context, &record.incarnation()).and_then(|cold| cold.rate);
        let rate = match (rate, cold) {
            (Some(limit), Some(cold)) => Some(RequestRate(limit.0.min(cold.0))),
            (limit, cold) => limit.or(cold),
        };
        RouteEvent::RunnerLimit { runner: record.runner.clone(), rate }
    };
    runners.entries().map(event).collect()
}

/// Events with the room that brittle and cold runners have for calls of this node; none while no
/// runner is or was brittle or cold. `dispatcher_limited` is as for [`limit_events`].
pub fn room_events(context: &NodeContext, dispatcher_limited: &Cell<bool>) -> Vec<RouteEvent> {
    let is_empty = context.brittle.borrow().is_empty() && context.cold.borrow().is_empty();
    let was_limited = dispatcher_limited.replace(!is_empty);
    if is_empty && !was_limited {
        return Vec::new();
    }
    let runners = context.runners.borrow();
    let event = |entry: &RunnerEntry| {
        let room = runner_room(context, &entry.record.incarnation());
        RouteEvent::RunnerRoom {
            runner: entry.record.runner.clone(),
            calls: room.map(|room| room.calls),
            free_at: room.and_then(|room| room.free_at),
        }
    };
    runners.entries().map(event).collect()
}

/// What this node may send to a cold runner.
#[derive(Debug, Clone, Copy)]
pub struct ColdShare {
    /// When the runner stops being cold.
    pub until: TimePoint,
    /// Requests a second; `None` if this node may send none.
    pub rate: Option<RequestRate>,
}

/// What this node may send to this start of a runner while it is cold; `None` if it is not cold.
pub fn cold_share(context: &NodeContext, runner: &RunnerIncarnation) -> Option<ColdShare> {
    let now = context.now();
    let until = context.cold.borrow().end(now, runner)?;
    let service = context.runners.borrow().get(&runner.runner)?.record.service.clone();
    let plan = cold_plan(context, &service)?;
    let allowance = cold_settings(&context.settings).allowance(plan.rate);
    let mut members = context.members.borrow_mut();
    let is_settled = members.is_settled(now);
    let slots = if is_settled { members.share(now, &runner.runner, allowance.slots) } else { 0 };
    let rate = RequestRate(f64::from(slots) * allowance.slot_rate.0);
    Some(ColdShare { until, rate: (slots > 0).then_some(rate) })
}

/// What the configuration says of the cold runners of a service; `None` if it has none.
pub fn cold_plan(context: &NodeContext, service: &ServiceName) -> Option<ColdPlan> {
    context.plan()?.services.get(service)?.cold
}

/// How many more requests this node may send to a brittle or cold runner; `None` if it is neither,
/// or if the rate of this node alone limits them.
pub fn runner_room(context: &NodeContext, runner: &RunnerIncarnation) -> Option<RunnerRoom> {
    let cold = cold_share(context, runner).filter(|cold| cold.rate.is_none());
    let closed = cold.map(|cold| RunnerRoom { calls: 0, free_at: Some(cold.until) });
    closed.or_else(|| brittle_room(context, runner))
}

fn brittle_room(context: &NodeContext, runner: &RunnerIncarnation) -> Option<RunnerRoom> {
    let now = context.now();
    let brittle = context.brittle.borrow();
    let limit = brittle.limit(now, runner)?;
    let usable = BrittleTable::usable_rejections(limit);
    let share = context.members.borrow_mut().share(now, &runner.runner, usable);
    Some(brittle.room(now, runner, share))
}

fn recent_requests(context: &NodeContext, service: &ServiceName) -> u32 {
    context.retry_budget.borrow().recent_requests(context.now(), service)
}
