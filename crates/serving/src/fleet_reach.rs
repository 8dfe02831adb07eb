//! Which share of each service's runners the other nodes reach, as their heartbeats state.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// A service of which a node does not reach all runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Number of runners that the node reaches.
    pub reached: u16,
    /// Number of runners that it knows.
    pub known: u16,
}

impl ServiceShare {
    /// A share; numbers above 65,535 count as that.
    #[must_use]
    pub fn new(service: ServiceName, reached: usize, known: usize) -> Self {
        let count = |number: usize| u16::try_from(number).unwrap_or(u16::MAX);
        Self { service, reached: count(reached), known: count(known) }
    }
}

/// What a node states about its reach: the services of which it does not reach all runners. A node
/// that states nothing reaches all, or belongs to a build that does not state it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachUpdate(pub Vec<ServiceShare>);

/// Parts of a thousand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReachShare(pub u64);

impl ReachShare {
    /// All runners.
    pub const ALL: Self = Self(1_000);
    /// No runner.
    pub const NONE: Self = Self(0);

    /// The share that `reached` of `known` runners are; above zero if one is reached.
    #[must_use]
    pub fn new(reached: u64, known: u64) -> Self {
        if reached >= known {
            return Self::ALL;
        }
        Self((reached * Self::ALL.0 / known).max(reached.min(1)))
    }
}

/// The statements of the other nodes.
#[derive(Debug, Default)]
pub struct FleetReach {
    nodes: BTreeMap<VmId, Vec<ServiceShare>>,
}

impl FleetReach {
    /// Replaces what a node has stated.
    pub fn set(&mut self, vm: &VmId, update: ReachUpdate) {
        if update.0.is_empty() {
            self.nodes.remove(vm);
        } else {
            self.nodes.insert(vm.clone(), update.0);
        }
    }

    /// Forgets a node.
    pub fn remove(&mut self, vm: &VmId) {
        self.nodes.remove(vm);
    }

    /// The share of a service's runners that a node reaches.
    #[must_use]
    pub fn share(&self, vm: &VmId, service: &ServiceName) -> ReachShare {
        let shares = self.nodes.get(vm);
        let share = shares.and_then(|shares| shares.iter().find(|share| share.service == *service));
        share.map_or(ReachShare::ALL, |share| {
            ReachShare::new(u64::from(share.reached), u64::from(share.known))
        })
    }

    /// Whether a node reaches no runner of some service.
    #[must_use]
    pub fn has_lost(&self, vm: &VmId) -> bool {
        self.nodes.get(vm).is_some_and(|shares| shares.iter().any(|share| share.reached == 0))
    }
}
