//! Liveness, reader order and newer state of peers, as heartbeats arrive and stop.

use base::prelude::*;
use serving::{HeartbeatSections, InputUpdate, LimitUpdate, PeerHeartbeat, PeerTable, PlanVersion};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn heartbeat(number: usize, sequence: u64, plan: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        vm: format!("node-{number}").parse().unwrap(),
        incarnation: VmIncarnation(1),
        sequence,
        caller_address: format!("10.0.0.{number}:80").parse().unwrap(),
        peer_address: format!("10.0.0.{number}:7200").parse().unwrap(),
        place: "north".parse().unwrap(),
        ready: true,
        store_reachable: true,
        reaches_runners: true,
        plan_version: Some(PlanVersion(plan)),
        store_era: StoreEra(0),
        runners_offset: LogOffset(plan),
        loads: Vec::new(),
        waiting_services: Vec::new(),
        leaving: Vec::new(),
        input_update: InputUpdate::default(),
        limit_update: LimitUpdate::default(),
        sections: HeartbeatSections::default(),
    }
}

/// A table with one heartbeat from each of `nodes` other nodes, received at time 0.
fn table(nodes: usize) -> PeerTable {
    let mut table = PeerTable::default();
    for number in 1..=nodes {
        table.record_heartbeat(at(0), heartbeat(number, 1, 3));
    }
    table
}

#[test]
fn the_heartbeat_interval_grows_with_the_fleet_within_bounds() {
    let intervals = [0, 6, 67, 84, 250].map(|nodes| table(nodes).heartbeat_interval().as_millis());
    assert_eq!(intervals, [100, 100, 680, 850, 1_000]);
}

#[test]
fn a_stalled_reader_stops_counting_before_its_node_is_considered_dead() {
    for nodes in [6, 84] {
        let table = table(nodes);
        let last = (1..=nodes)
            .map(|number| format!("node-{number}").parse::<VmId>().unwrap())
            .max_by_key(|vm| table.readers_ahead_of(at(1), vm, true))
            .unwrap();
        assert_eq!(table.readers_ahead_of(at(1), &last, true), nodes - 1);
        let silent = if nodes == 6 { 500 } else { 1_700 };
        assert_eq!(table.readers_ahead_of(at(silent), &last, true), 0, "{nodes} nodes");
        assert_eq!(table.live(at(silent)).count(), nodes, "still alive and taking callers");
    }
}

/// A table of nodes of which only the first `reachable` reach the store.
fn table_in_outage(nodes: usize, reachable: usize) -> PeerTable {
    let mut table = PeerTable::default();
    for number in 1..=nodes {
        let store_reachable = number <= reachable;
        let heartbeat = PeerHeartbeat { store_reachable, ..heartbeat(number, 1, 3) };
        table.record_heartbeat(at(0), heartbeat);
    }
    table
}

#[test]
fn an_outage_of_the_store_does_not_turn_all_nodes_into_readers() {
    let table = table_in_outage(194, 0);
    let mut ranks: Vec<usize> = (1..=194)
        .map(|number| format!("node-{number}").parse().unwrap())
        .map(|vm| table.readers_ahead_of(at(1), &vm, false))
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..194).collect::<Vec<usize>>(), "each node keeps a rank of its own");
}

#[test]
fn a_node_that_the_store_turns_away_stands_by_behind_those_it_answers() {
    let table = table_in_outage(194, 130);
    let turned_away = "node-194".parse().unwrap();
    assert!(table.readers_ahead_of(at(1), &turned_away, false) >= 130);
    let answered: VmId = "node-1".parse().unwrap();
    assert!(table.readers_ahead_of(at(1), &answered, true) < 130);
}

#[test]
fn large_fleets_have_more_readers() {
    let readers = [0, 6, 67, 84].map(|nodes| table(nodes).target_reader_count());
    assert_eq!(readers, [2, 2, 4, 5]);
}

#[test]
fn a_silent_node_is_dead_and_reported_by_prune() {
    let mut table = table(2);
    table.record_heartbeat(at(900), heartbeat(1, 2, 3));
    assert_eq!(table.live(at(1_000)).count(), 1);
    let silent: Vec<String> = table.prune(at(1_000)).iter().map(VmId::to_string).collect();
    assert_eq!(silent, ["node-2"]);
    assert_eq!(table.fleet_size(), 3, "a dead node still counts for shared budgets");
}

#[test]
fn stale_heartbeats_are_ignored_and_a_new_incarnation_is_accepted() {
    let mut table = table(1);
    assert!(!table.record_heartbeat(at(10), heartbeat(1, 1, 9)));
    let mut restarted = heartbeat(1, 1, 9);
    restarted.incarnation = VmIncarnation(2);
    assert!(table.record_heartbeat(at(20), restarted));
}

#[test]
fn peers_with_newer_state_are_found() {
    let mut table = table(3);
    for number in [1, 2] {
        table.record_heartbeat(at(10), heartbeat(number, 2, 5));
    }
    let holders = table.peers_with_newer_plan(at(20), Some(PlanVersion(3)));
    assert_eq!(holders.len(), 2);
    assert!(table.peers_with_newer_plan(at(20), Some(PlanVersion(5))).is_empty());
    assert_eq!(table.peers_with_newer_plan(at(20), None).len(), 2);
    assert_eq!(table.peers_with_newer_runners(at(20), LogOffset(4)).len(), 2);
    assert!(table.peers_with_newer_runners(at(20), LogOffset(5)).is_empty());
}

#[test]
fn offsets_of_an_older_era_are_not_ahead() {
    let mut table = table(2);
    let mut current = heartbeat(1, 2, 3);
    current.store_era = StoreEra(2);
    table.record_heartbeat(at(10), current);
    table.record_heartbeat(at(10), heartbeat(2, 2, 90));
    table.set_store_era(StoreEra(2));
    let addresses = table.peers_with_newer_runners(at(20), LogOffset(0));
    assert_eq!(addresses, ["10.0.0.1:7200".parse().unwrap()]);
    assert!(table.peers_with_newer_runners(at(20), LogOffset(3)).is_empty());
}
