//! Load of each runner, summed over the loads that all nodes have placed on it.
//!
//! Load pattern: many nodes send to few engines. A runner's own report lags by half a second,
//! the loads reported by other nodes are about 100 ms old, and this node's own load is exact.

use std::collections::BTreeMap;

use base::prelude::*;
use route::MemoryForecast;
use serde::{Deserialize, Serialize};

/// Load that one node has placed on one runner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: RunnerId,
    /// Number of requests on the runner.
    pub calls: u32,
    /// Prompt tokens of those requests whose first event has not arrived.
    pub prefill_tokens: u32,
    /// Memory that those requests and copies hold now and at later times, in tokens.
    #[serde(with = "crate::forecast_codec")]
    pub forecast: MemoryForecast,
}

impl RunnerLoad {
    /// Tokens that the load holds in memory now.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.forecast.mean[0] as u32
    }
}

/// Loads reported by the other nodes.
#[derive(Debug, Default)]
pub struct FleetLoads {
    nodes: BTreeMap<VmId, NodeLoad>,
}

/// Load of one node on all runners, and the services it has queued calls for.
#[derive(Debug, Clone, PartialEq, Default)]
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

    /// Number of other nodes that have queued calls for `service` that can still be served in
    /// time.
    #[must_use]
    pub fn waiting_nodes(&self, service: &ServiceName) -> usize {
        self.nodes.values().filter(|node| node.waiting_services.contains(service)).count()
    }

    /// Whether a node has queued calls for `service` that can still be served in time.
    #[must_use]
    pub fn is_waiting(&self, vm: &VmId, service: &ServiceName) -> bool {
        self.nodes.get(vm).is_some_and(|node| node.waiting_services.contains(service))
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
    total.forecast += load.forecast;
}
