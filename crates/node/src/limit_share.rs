//! This node's share of the limits that runners name: its updates for the other nodes, and the
//! events for the dispatcher.

use std::cell::Cell;
use std::collections::BTreeSet;

use base::prelude::*;
use route::RouteEvent;
use serving::{LimitUpdate, RunnerEntry, ServiceDemand};

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

fn recent_requests(context: &NodeContext, service: &ServiceName) -> u32 {
    context.retry_budget.borrow().recent_requests(context.now(), service)
}
