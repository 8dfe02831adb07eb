//! A steward's peers, computed again only when the set of machines changes.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::{FleetCells, MESH_NODES, PeerCandidate};

/// A steward's peers, and the runners that its cell polls.
#[derive(Debug, Default)]
pub(crate) struct PeerTopology {
    nodes: Vec<PeerCandidate>,
    cells: FleetCells,
    /// The machines of the own cell, this one included.
    own_cell: BTreeSet<VmId>,
    /// The other machines of the own cell.
    cell_peers: BTreeSet<VmId>,
    links: BTreeSet<VmId>,
    revision: u64,
}

impl PeerTopology {
    /// Chooses the peers again if `nodes`, which include `own`, differ from the last ones.
    pub(crate) fn refresh(&mut self, own: &PeerCandidate, nodes: Vec<PeerCandidate>) {
        if nodes == self.nodes {
            return;
        }
        self.revision += 1;
        self.cells = FleetCells::new(&nodes);
        let choice = self.cells.choose(own);
        self.cell_peers = choice.cell.into_iter().collect();
        self.links = choice.links.into_iter().collect();
        self.own_cell = self.cell_peers.iter().chain([&own.vm]).cloned().collect();
        self.nodes = nodes;
    }

    /// How often the peers were chosen; it grows with each change.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the whole fleet is one cell.
    pub(crate) fn is_mesh(&self) -> bool {
        self.nodes.len() <= MESH_NODES
    }

    /// Whether `vm` is in the own cell.
    pub(crate) fn is_cell_peer(&self, vm: &VmId) -> bool {
        self.is_mesh() || self.cell_peers.contains(vm)
    }

    /// Whether this steward exchanges digests with `vm`.
    pub(crate) fn is_direct(&self, vm: &VmId) -> bool {
        self.is_cell_peer(vm) || self.links.contains(vm)
    }

    /// Whether the own cell polls `runner`.
    pub(crate) fn cell_polls(&self, runner: &RunnerId, place: &PlaceName) -> bool {
        self.is_mesh()
            || self
                .cells
                .cell_of_runner(runner, place)
                .and_then(|cell| cell.first())
                .is_some_and(|vm| self.own_cell.contains(vm))
    }
}
