//! The peers with which a steward exchanges digests: a bounded number in a fleet of any
//! size.
//!
//! A small fleet is one cell: every steward exchanges with every other. A large one is
//! divided into cells within each failure domain, by a hash of the machine's name; a cell is
//! a full mesh and shares the reports of its runners. Records of other cells are relayed
//! over links: from each machine to one machine in each of two other cells of its failure
//! domain, and between a few gateways of each two failure domains.

use std::collections::BTreeMap;

use base::prelude::*;
use base::rendezvous_score;

/// Most machines of a fleet that is one cell.
pub const MESH_NODES: usize = 16;
/// Least mean size of a cell in a larger fleet; the mean stays under twice that.
const CELL_NODES: usize = 6;
/// Links between each two failure domains.
const GATEWAYS: usize = 4;

/// One machine, as a candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCandidate {
    /// The machine.
    pub vm: VmId,
    /// Its failure domain.
    pub place: PlaceName,
}

/// The peers of one steward.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PeerChoice {
    /// The other machines of its cell, which share the runners' reports.
    pub cell: Vec<VmId>,
    /// Machines of other cells, which relay machines' records and leaving runners.
    pub links: Vec<VmId>,
}

/// All machines, divided into cells.
#[derive(Debug, Default)]
pub struct FleetCells {
    places: BTreeMap<PlaceName, Vec<Vec<VmId>>>,
    /// Gateways of the first failure domain to the second.
    gateways: BTreeMap<(PlaceName, PlaceName), Vec<VmId>>,
    is_mesh: bool,
}

impl FleetCells {
    /// Divides a fleet into cells; the order of `nodes` does not matter.
    #[must_use]
    pub fn new(nodes: &[PeerCandidate]) -> Self {
        let mut by_place: BTreeMap<PlaceName, Vec<VmId>> = BTreeMap::new();
        for node in nodes {
            by_place.entry(node.place.clone()).or_default().push(node.vm.clone());
        }
        let is_mesh = nodes.len() <= MESH_NODES;
        let places = by_place.into_iter().map(|(place, vms)| {
            let cells = if is_mesh { vec![vms] } else { into_cells(vms) };
            (place, cells)
        });
        let mut fleet = Self { places: places.collect(), gateways: BTreeMap::new(), is_mesh };
        if !is_mesh {
            fleet.choose_gateways();
        }
        fleet
    }

    /// The peers of `own`.
    #[must_use]
    pub fn choose(&self, own: &PeerCandidate) -> PeerChoice {
        let others = |vms: &[VmId]| vms.iter().filter(|vm| **vm != own.vm).cloned().collect();
        if self.is_mesh {
            let all: Vec<VmId> = self.places.values().flatten().flatten().cloned().collect();
            return PeerChoice { cell: others(&all), links: Vec::new() };
        }
        let Some(cells) = self.places.get(&own.place) else { return PeerChoice::default() };
        let own_cell = cell_of(&own.vm, cells.len());
        let mut links = Vec::new();
        for step in [1, cells.len() / 2] {
            let other = &cells[(own_cell + step) % cells.len()];
            let best = other.iter().max_by_key(|vm| score(&own.vm, vm));
            links.extend(best.filter(|vm| **vm != own.vm).cloned());
        }
        for place in self.places.keys().filter(|place| **place != own.place) {
            links.extend(self.gateway_link(own, place).cloned());
        }
        links.sort();
        links.dedup();
        let cell: Vec<VmId> = others(&cells[own_cell]);
        links.retain(|vm| !cell.contains(vm));
        PeerChoice { cell, links }
    }

    /// The cell that polls a runner: one of its failure domain, if that has machines.
    #[must_use]
    pub fn cell_of_runner(&self, runner: &RunnerId, place: &PlaceName) -> Option<&[VmId]> {
        let nearest = self.places.get(place);
        let score = |key: &str| rendezvous_score(runner.as_str(), key);
        let any = || self.places.iter().max_by_key(|(place, _)| score(place.as_str()));
        let cells = nearest.or_else(|| any().map(|(_, cells)| cells))?;
        let filled = cells.iter().enumerate().filter(|(_, cell)| !cell.is_empty());
        let best = filled.max_by_key(|(at, _)| score(&at.to_string()));
        best.map(|(_, cell)| cell.as_slice())
    }

    /// The gateway of `place` that `own` is linked to, if `own` is a gateway itself.
    fn gateway_link(&self, own: &PeerCandidate, place: &PlaceName) -> Option<&VmId> {
        let near = self.gateways.get(&(own.place.clone(), place.clone()))?;
        let far = self.gateways.get(&(place.clone(), own.place.clone()))?;
        let at = near.iter().position(|vm| *vm == own.vm)?;
        far.get(at.min(far.len().checked_sub(1)?))
    }

    fn choose_gateways(&mut self) {
        for (from, cells) in &self.places {
            for to in self.places.keys().filter(|to| *to != from) {
                let mut scored: Vec<(u64, &VmId)> = cells
                    .iter()
                    .flatten()
                    .map(|vm| (rendezvous_score(to.as_str(), vm.as_str()), vm))
                    .collect();
                scored.sort_unstable_by(|one, other| other.cmp(one));
                let best = scored.into_iter().take(GATEWAYS).map(|(_, vm)| vm.clone());
                self.gateways.insert((from.clone(), to.clone()), best.collect());
            }
        }
    }
}

/// Whether `own` is the one of a pair that starts their exchanges; the other one replies.
#[must_use]
pub fn starts_exchange(own: &VmId, peer: &VmId) -> bool {
    let order = |one: &VmId, other: &VmId| rendezvous_score(one.as_str(), other.as_str());
    (order(own, peer), own) > (order(peer, own), peer)
}

fn into_cells(vms: Vec<VmId>) -> Vec<Vec<VmId>> {
    // A power of two, so that a change of the number of cells halves or doubles each cell
    // and moves no machine between others.
    let wanted = (vms.len() / CELL_NODES).max(1);
    let count = if wanted.is_power_of_two() { wanted } else { wanted.next_power_of_two() / 2 };
    let mut cells = vec![Vec::new(); count];
    for vm in vms {
        cells[cell_of(&vm, count)].push(vm);
    }
    cells
}

fn cell_of(vm: &VmId, count: usize) -> usize {
    rendezvous_score("cell", vm.as_str()) as usize & (count - 1)
}

fn score(own: &VmId, peer: &VmId) -> u64 {
    rendezvous_score(own.as_str(), peer.as_str())
}
