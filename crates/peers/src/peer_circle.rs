//! The present choice of peers, kept until the machines change.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::{FleetCells, MESH_NODES, PeerCandidate};

/// A steward's peers and its share of the runners.
#[derive(Debug, Default)]
pub(crate) struct PeerCircle {
    nodes: Vec<PeerCandidate>,
    cells: FleetCells,
    own_cell: BTreeSet<VmId>,
    cell: BTreeSet<VmId>,
    links: BTreeSet<VmId>,
    choices: u64,
}

impl PeerCircle {
    /// Chooses anew if `nodes`, which include `me`, differ from the last ones.
    pub(crate) fn refresh(&mut self, me: &PeerCandidate, nodes: Vec<PeerCandidate>) {
        if nodes == self.nodes {
            return;
        }
        self.choices += 1;
        self.cells = FleetCells::new(&nodes);
        let choice = self.cells.choose(me);
        self.cell = choice.cell.into_iter().collect();
        self.links = choice.links.into_iter().collect();
        self.own_cell = self.cell.iter().chain([&me.vm]).cloned().collect();
        self.nodes = nodes;
    }

    /// How often it was chosen anew.
    pub(crate) fn choices(&self) -> u64 {
        self.choices
    }

    /// Whether the whole fleet is one cell.
    pub(crate) fn is_mesh(&self) -> bool {
        self.nodes.len() <= MESH_NODES
    }

    /// Whether `vm` is in the own cell.
    pub(crate) fn is_cell(&self, vm: &VmId) -> bool {
        self.is_mesh() || self.cell.contains(vm)
    }

    /// Whether this steward starts exchanges with `vm`.
    pub(crate) fn is_direct(&self, vm: &VmId) -> bool {
        self.is_cell(vm) || self.links.contains(vm)
    }

    /// Whether the own cell has to poll `runner`.
    pub(crate) fn is_own(&self, runner: &RunnerId, place: &PlaceName) -> bool {
        self.is_mesh()
            || self
                .cells
                .cell_of_runner(runner, place)
                .and_then(|cell| cell.first())
                .is_some_and(|vm| self.own_cell.contains(vm))
    }
}
