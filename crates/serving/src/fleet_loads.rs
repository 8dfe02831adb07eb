//! The load of each runner, summed from what all nodes have there.
//!
//! Load pattern: many nodes send to few engines. A runner's own report lags by half a
//! second; the nodes' own books are some 100 ms old, and this node's own are exact.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// What one node has at one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: RunnerId,
    /// Requests there.
    pub calls: u32,
    /// Prompt tokens of the requests there whose first event has not come.
    pub prefill_tokens: u32,
    /// Tokens of prompts and outputs so far.
    pub tokens: u32,
}

/// Loads told by other nodes.
#[derive(Debug, Default)]
pub struct FleetLoads {
    nodes: BTreeMap<VmId, NodeLoad>,
}

/// What one node has at the runners, and waits for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeLoad {
    /// By runner.
    pub loads: Vec<RunnerLoad>,
    /// Services for which calls wait that can still be served in time.
    pub waiting_services: Vec<ServiceName>,
}

impl FleetLoads {
    /// Replaces what a node has told before; whether it differs.
    pub fn set(&mut self, vm: VmId, load: NodeLoad) -> bool {
        let before = self.nodes.get(&vm);
        let changed = before != Some(&load);
        if changed {
            self.nodes.insert(vm, load);
        }
        changed
    }

    /// Forgets a node that is gone.
    pub fn remove(&mut self, vm: &VmId) {
        self.nodes.remove(vm);
    }

    /// How many other nodes have something at `runner`.
    #[must_use]
    pub fn nodes_using(&self, runner: &RunnerId) -> usize {
        let has = |node: &&NodeLoad| node.loads.iter().any(|load| load.runner == *runner);
        self.nodes.values().filter(has).count()
    }

    /// Whether calls for `service` wait at another node that can still be served in time.
    #[must_use]
    pub fn has_waiting_calls(&self, service: &ServiceName) -> bool {
        self.nodes.values().any(|node| node.waiting_services.contains(service))
    }

    /// The sum over all other nodes, by runner.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<RunnerId, RunnerLoad> {
        let mut sums: BTreeMap<RunnerId, RunnerLoad> = BTreeMap::new();
        for load in self.nodes.values().flat_map(|node| &node.loads) {
            add_load(&mut sums, load);
        }
        sums
    }
}

/// Adds `load` to the runner's sum.
pub fn add_load(sums: &mut BTreeMap<RunnerId, RunnerLoad>, load: &RunnerLoad) {
    let Some(sum) = sums.get_mut(&load.runner) else {
        sums.insert(load.runner.clone(), load.clone());
        return;
    };
    sum.calls = sum.calls.saturating_add(load.calls);
    sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
    sum.tokens = sum.tokens.saturating_add(load.tokens);
}
