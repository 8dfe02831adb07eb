//! This node's share of what runners can take: its updates for the other nodes, and the events for
//! the dispatcher.

use std::cell::Cell;
use std::collections::BTreeSet;

use base::prelude::*;
use route::RouteEvent;
use serving::{
    BrittleTable, LimitUpdate, RunnerEntry, RunnerIncarnation, RunnerRoom, ServiceDemand,
};

use crate::context::NodeContext;

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
    let was_limited = dispatcher_limited.replace(!limits.is_empty());
    if limits.is_empty() && !was_limited {
        return Vec::new();
    }
    let runners = context.runners.borrow();
    let event = |entry: &RunnerEntry| {
        let record = &entry.record;
        let rate = limits.rate(now, &record.incarnation()).map(|rate| {
            let requests = recent_requests(context, &record.service);
            RequestRate(rate.0 * limits.own_share(&record.service, requests))
        });
        RouteEvent::RunnerLimit { runner: record.runner.clone(), rate }
    };
    runners.entries().map(event).collect()
}

/// Events with the room that brittle runners have for calls of this node; none while no runner is
/// or was brittle. `dispatcher_limited` is as for [`limit_events`].
pub fn room_events(context: &NodeContext, dispatcher_limited: &Cell<bool>) -> Vec<RouteEvent> {
    let is_empty = context.brittle.borrow().is_empty();
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

/// How many more requests this node may send to a brittle runner; `None` if it is not brittle.
pub fn runner_room(context: &NodeContext, runner: &RunnerIncarnation) -> Option<RunnerRoom> {
    let now = context.now();
    let brittle = context.brittle.borrow();
    let limit = brittle.limit(now, runner)?;
    let usable = BrittleTable::usable_rejections(limit);
    let share = context.members.borrow_mut().share(&runner.runner, usable);
    Some(brittle.room(now, runner, share))
}

fn recent_requests(context: &NodeContext, service: &ServiceName) -> u32 {
    context.retry_budget.borrow().recent_requests(context.now(), service)
}
