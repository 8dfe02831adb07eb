//! Limits that runners name in their answers, in requests a second from all nodes together, and
//! this node's share of them.
//!
//! Load pattern: a runner takes a few requests a second, and more nodes than that have requests for
//! its service. The nodes exchange their demand, and each sends at its share of the limit.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::RunnerIncarnation;
use crate::runner_statements::{RunnerStatements, StatementChange, StatementSource};

/// Time for which a limit holds after the last answer that named it.
const LIMIT_TTL: TimeSpan = TimeSpan::seconds(60);
/// Rate of all nodes at a runner that names less: without an answer, they would never learn that
/// its limit has ended.
const MIN_RATE: RequestRate = RequestRate(0.2);

/// What a runner last stated about its limit to one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The start of the runner.
    pub runner: RunnerIncarnation,
    /// The limit; `None` if the runner has none any more.
    pub limit: Option<RequestRate>,
    /// Time for which that still holds.
    pub left: TimeSpan,
}

/// Number of a node's recent requests for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// The requests.
    pub requests: u32,
}

/// What one node knows about limits, in each of its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// What runners stated to the node.
    pub limits: Vec<LimitReport>,
    /// Demand for the services with limited runners.
    pub demands: Vec<ServiceDemand>,
}

/// A change of a runner's limit, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The runner.
    pub runner: RunnerId,
    /// The limit; `None` if it has ended.
    pub limit: Option<RequestRate>,
}

impl LimitChange {
    fn new(change: StatementChange<RequestRate>) -> Self {
        Self { runner: change.runner, limit: change.value }
    }
}

/// The limits of all runners at this node.
#[derive(Debug, Default)]
pub struct LimitTable {
    statements: RunnerStatements<RequestRate>,
    /// Demand of the other nodes.
    demands: BTreeMap<VmId, Vec<ServiceDemand>>,
}

impl LimitTable {
    /// Records the limit that a runner named in an answer, or that it named none. Returns the
    /// change, if it is one.
    pub fn record(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let until = now + LIMIT_TTL;
        let change = self.statements.record(now, StatementSource::Answer, runner, limit, until);
        change.map(LimitChange::new)
    }

    /// Applies the update of another node. Returns the changes.
    pub fn apply_update(
        &mut self,
        now: TimePoint,
        vm: &VmId,
        update: LimitUpdate,
    ) -> Vec<LimitChange> {
        if update.demands.is_empty() {
            self.demands.remove(vm);
        } else {
            self.demands.insert(vm.clone(), update.demands);
        }
        let mut changes = Vec::new();
        for LimitReport { runner, limit, left } in update.limits {
            let until = now + left;
            let change = self.statements.record(now, StatementSource::Peer, &runner, limit, until);
            changes.extend(change.map(LimitChange::new));
        }
        changes
    }

    /// Forgets the demand of a node that has fallen silent; what runners stated to it still holds.
    pub fn forget_demand(&mut self, vm: &VmId) {
        self.demands.remove(vm);
    }

    /// Whether no runner has a limit, or had one lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// The limit of this start of a runner by its newest statement; `None` if it has none.
    #[must_use]
    pub fn limit(&self, now: TimePoint, runner: &RunnerIncarnation) -> Option<RequestRate> {
        self.statements.value(now, runner)
    }

    /// Rate that all nodes together send to this start of a runner at most; `None` if it has no
    /// limit.
    #[must_use]
    pub fn rate(&self, now: TimePoint, runner: &RunnerIncarnation) -> Option<RequestRate> {
        self.limit(now, runner).map(|limit| RequestRate(limit.0.max(MIN_RATE.0)))
    }

    /// This node's share of the demand for a service, if it has had `requests` of the recent
    /// requests.
    #[must_use]
    pub fn own_share(&self, service: &ServiceName, requests: u32) -> f64 {
        let demands = self.demands.values().flatten();
        let of_service = demands.filter(|demand| demand.service == *service);
        let others: f64 = of_service.map(|demand| f64::from(demand.requests)).sum();
        // A node that asks has one request at least.
        let own = f64::from(requests.max(1));
        own / (own + others)
    }

    /// What runners stated to this node.
    #[must_use]
    pub fn reports(&self, now: TimePoint) -> Vec<LimitReport> {
        let report = |(runner, limit, left): (&RunnerIncarnation, _, _)| LimitReport {
            runner: runner.clone(),
            limit,
            left,
        };
        self.statements.own(now).map(report).collect()
    }

    /// Drops statements that no longer hold.
    pub fn prune(&mut self, now: TimePoint) {
        self.statements.prune(now);
    }
}
