//! Load of each runner, summed over the loads that all nodes have placed on it.
//!
//! Load pattern: many nodes send to few engines. A runner's own report lags by half a second,
//! the loads reported by other nodes are about 100 ms old, and this node's own load is exact.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Load that one node has placed on one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: RunnerId,
    /// Number of requests on the runner.
    pub calls: u32,
    /// Prompt tokens of those requests whose first event has not arrived.
    pub prefill_tokens: u32,
    /// Prompt and output tokens of those requests so far.
    pub tokens: u32,
}

/// Loads reported by the other nodes.
#[derive(Debug, Default)]
pub struct FleetLoads {
    nodes: BTreeMap<VmId, NodeLoad>,
}

/// Load of one node on all runners, and the services it has queued calls for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeLoad {
    /// One entry per runner.
    pub loads: Vec<RunnerLoad>,
    /// Services with queued calls that can still be served in time.
    pub waiting_services: Vec<ServiceName>,
}

impl FleetLoads {
    /// Replaces the load last reported by a node. Returns whether it changed.
    pub fn set(&mut self, vm: VmId, load: NodeLoad) -> bool {
        let before = self.nodes.get(&vm);
        let changed = before != Some(&load);
        if changed {
            self.nodes.insert(vm, load);
        }
        changed
    }

    /// Removes the load of a node that is gone.
    pub fn remove(&mut self, vm: &VmId) {
        self.nodes.remove(vm);
    }

    /// Number of other nodes that have load on `runner`.
    #[must_use]
    pub fn nodes_using(&self, runner: &RunnerId) -> usize {
        let uses_runner = |node: &&NodeLoad| node.loads.iter().any(|load| load.runner == *runner);
        self.nodes.values().filter(uses_runner).count()
    }

    /// Whether another node has queued calls for `service` that can still be served in time.
    #[must_use]
    pub fn has_waiting_calls(&self, service: &ServiceName) -> bool {
        self.nodes.values().any(|node| node.waiting_services.contains(service))
    }

    /// Total load of all other nodes, by runner.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<RunnerId, RunnerLoad> {
        let mut totals: BTreeMap<RunnerId, RunnerLoad> = BTreeMap::new();
        for load in self.nodes.values().flat_map(|node| &node.loads) {
            add_load(&mut totals, load);
        }
        totals
    }
}

/// Adds `load` to the total of its runner; the sums saturate.
pub fn add_load(totals: &mut BTreeMap<RunnerId, RunnerLoad>, load: &RunnerLoad) {
    let Some(total) = totals.get_mut(&load.runner) else {
        totals.insert(load.runner.clone(), load.clone());
        return;
    };
    total.calls = total.calls.saturating_add(load.calls);
    total.prefill_tokens = total.prefill_tokens.saturating_add(load.prefill_tokens);
    total.tokens = total.tokens.saturating_add(load.tokens);
}
