//! The choice of peers: a mesh for few machines, bounded and connected for many.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::prelude::*;
use peers::{FleetCells, MESH_NODES, PeerCandidate, PeerChoice, starts_exchange};

fn fleet(nodes: usize, places: usize) -> Vec<PeerCandidate> {
    let node = |at: usize| PeerCandidate {
        vm: format!("vm-{at:04}").parse().unwrap(),
        place: format!("place-{}", at % places).parse().unwrap(),
    };
    (0..nodes).map(node).collect()
}

fn choices(nodes: &[PeerCandidate]) -> BTreeMap<VmId, PeerChoice> {
    let cells = FleetCells::new(nodes);
    nodes.iter().map(|node| (node.vm.clone(), cells.choose(node))).collect()
}

/// All peers in either direction: an exchange carries digests both ways.
fn graph(choices: &BTreeMap<VmId, PeerChoice>) -> BTreeMap<&VmId, BTreeSet<&VmId>> {
    let mut graph: BTreeMap<&VmId, BTreeSet<&VmId>> = BTreeMap::new();
    for (vm, choice) in choices {
        for peer in choice.cell.iter().chain(&choice.links) {
            graph.entry(vm).or_default().insert(peer);
            graph.entry(peer).or_default().insert(vm);
        }
    }
    graph
}

fn hops(graph: &BTreeMap<&VmId, BTreeSet<&VmId>>, from: &VmId) -> BTreeMap<VmId, usize> {
    let mut hops = BTreeMap::from([(from.clone(), 0)]);
    let mut queue = VecDeque::from([from.clone()]);
    while let Some(vm) = queue.pop_front() {
        let next = hops[&vm] + 1;
        for peer in graph.get(&vm).into_iter().flatten() {
            if !hops.contains_key(*peer) {
                hops.insert((*peer).clone(), next);
                queue.push_back((*peer).clone());
            }
        }
    }
    hops
}

#[test]
fn a_small_fleet_is_a_mesh() {
    let nodes = fleet(MESH_NODES, 3);
    for choice in choices(&nodes).values() {
        assert_eq!((choice.cell.len(), choice.links.len()), (MESH_NODES - 1, 0));
    }
}

#[test]
fn a_large_fleet_is_connected_with_bounded_peers() {
    for (nodes, places, most_hops) in [(100, 3, 6), (400, 8, 8), (1_600, 16, 7)] {
        let nodes = fleet(nodes, places);
        let choices = choices(&nodes);
        let graph = graph(&choices);
        let most = graph.values().map(BTreeSet::len).max().unwrap();
        let mean = graph.values().map(BTreeSet::len).sum::<usize>() as f64 / nodes.len() as f64;
        let reach = hops(&graph, &nodes[0].vm);
        let far = reach.values().max().unwrap();
        println!("{} nodes: {mean:.1} peers, at most {most}, {far} hops", nodes.len());
        assert_eq!(reach.len(), nodes.len(), "all are reached");
        assert!(most <= 40 && mean <= 20.0 && *far <= most_hops);
    }
}

#[test]
fn a_lost_failure_domain_does_not_part_the_others() {
    let nodes = fleet(1_600, 16);
    let choices = choices(&nodes);
    let mut graph = graph(&choices);
    let lost: BTreeSet<&VmId> =
        nodes.iter().filter(|node| node.place.as_str() == "place-3").map(|node| &node.vm).collect();
    graph.retain(|vm, _| !lost.contains(*vm));
    for peers in graph.values_mut() {
        peers.retain(|vm| !lost.contains(*vm));
    }
    assert_eq!(hops(&graph, &nodes[0].vm).len(), nodes.len() - lost.len());
}

#[test]
fn one_machine_more_changes_few_peers() {
    let (before, after) = (choices(&fleet(1_600, 16)), choices(&fleet(1_601, 16)));
    let changed = before.iter().filter(|(vm, choice)| after[*vm] != **choice).count();
    assert!(changed <= 80, "{changed} machines have other peers");
}

#[test]
fn of_each_pair_one_starts() {
    let nodes = fleet(40, 3);
    for one in &nodes {
        for other in nodes.iter().filter(|other| other.vm != one.vm) {
            assert_ne!(starts_exchange(&one.vm, &other.vm), starts_exchange(&other.vm, &one.vm));
        }
    }
}
