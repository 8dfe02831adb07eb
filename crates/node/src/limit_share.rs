//! This node's share of the limits that runners name: what the other nodes are told of them and of
//! its demand, and what the dispatcher is told.

use std::cell::Cell;
use std::collections::BTreeSet;

use base::prelude::*;
use route::RouteEvent;
use serving::{LimitNews, RunnerEntry, ServiceDemand};

use crate::context::NodeContext;

/// What this node heard from runners, and its demand for the services with limited runners.
#[must_use]
pub fn limit_news(context: &NodeContext) -> LimitNews {
    let now = context.now();
    let limits = context.limits.borrow();
    if limits.is_empty() {
        return LimitNews::default();
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
    LimitNews { limits: limits.reports(now), demands }
}

/// Events with this node's share of the limit of each runner; none while no runner has or had
/// one. `told` keeps whether the dispatcher knows of a limit, so that it learns of the end.
pub fn limit_events(context: &NodeContext, told: &Cell<bool>) -> Vec<RouteEvent> {
    let now = context.now();
    let limits = context.limits.borrow();
    let was_told = told.replace(!limits.is_empty());
    if limits.is_empty() && !was_told {
        return Vec::new();
    }
    let runners = context.runners.borrow();
    let event = |entry: &RunnerEntry| {
        let record = &entry.record;
        let rate = limits.rate(now, &record.incarnation()).map(|rate| {
            let requests = recent_requests(context, &record.service);
            RequestRate(rate.0 * limits.own_part(&record.service, requests))
        });
        RouteEvent::RunnerLimit { runner: record.runner.clone(), rate }
    };
    runners.entries().map(event).collect()
}

fn recent_requests(context: &NodeContext, service: &ServiceName) -> u32 {
    context.retry_budget.borrow().recent_requests(context.now(), service)
}
