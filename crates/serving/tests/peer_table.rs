//! Who lives, who reads the store, and who knows more, as heartbeats come and stop.

use base::prelude::*;
use serving::{PeerHeartbeat, PeerTable, PlanVersion};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn beat(number: usize, sequence: u64, plan: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        vm: format!("node-{number}").parse().unwrap(),
        incarnation: VmIncarnation(1),
        sequence,
        caller_address: format!("10.0.0.{number}:80").parse().unwrap(),
        peer_address: format!("10.0.0.{number}:7200").parse().unwrap(),
        place: "north".parse().unwrap(),
        ready: true,
        store_reachable: true,
        plan_version: Some(PlanVersion(plan)),
        runners_offset: LogOffset(plan),
        loads: Vec::new(),
        waiting_services: Vec::new(),
        leaving: Vec::new(),
    }
}

/// A table that has just heard of `nodes` others.
fn table(nodes: usize) -> PeerTable {
    let mut table = PeerTable::default();
    for number in 1..=nodes {
        table.record_heartbeat(at(0), beat(number, 1, 3));
    }
    table
}

#[test]
fn heartbeats_grow_rarer_with_the_fleet_within_bounds() {
    let spans = [0, 6, 67, 84, 250].map(|nodes| table(nodes).heartbeat_interval().as_millis());
    assert_eq!(spans, [100, 100, 680, 850, 1_000]);
}

#[test]
fn a_reader_that_stands_still_counts_no_longer_well_before_it_is_taken_for_gone() {
    for nodes in [6, 84] {
        let table = table(nodes);
        let last = (1..=nodes)
            .map(|number| format!("node-{number}").parse::<VmId>().unwrap())
            .max_by_key(|vm| table.readers_ahead_of(at(1), vm))
            .unwrap();
        assert_eq!(table.readers_ahead_of(at(1), &last), nodes - 1);
        let silent = if nodes == 6 { 500 } else { 1_700 };
        assert_eq!(table.readers_ahead_of(at(silent), &last), 0, "{nodes} nodes");
        assert_eq!(table.live(at(silent)).count(), nodes, "they still take callers");
    }
}

#[test]
fn large_fleets_have_more_readers() {
    let readers = [0, 6, 67, 84].map(|nodes| table(nodes).target_reader_count());
    assert_eq!(readers, [2, 2, 4, 5]);
}

#[test]
fn a_silent_node_is_gone_and_its_load_with_it() {
    let mut table = table(2);
    table.record_heartbeat(at(900), beat(1, 2, 3));
    assert_eq!(table.live(at(1_000)).count(), 1);
    let silent: Vec<String> = table.prune(at(1_000)).iter().map(VmId::to_string).collect();
    assert_eq!(silent, ["node-2"]);
    assert_eq!(table.fleet_size(), 3, "it still counts for the shared budget");
}

#[test]
fn old_heartbeats_change_nothing_and_a_new_start_does() {
    let mut table = table(1);
    assert!(!table.record_heartbeat(at(10), beat(1, 1, 9)));
    let mut restarted = beat(1, 1, 9);
    restarted.incarnation = VmIncarnation(2);
    assert!(table.record_heartbeat(at(20), restarted));
}

#[test]
fn the_holders_of_the_newest_configuration_are_asked() {
    let mut table = table(3);
    for number in [1, 2] {
        table.record_heartbeat(at(10), beat(number, 2, 5));
    }
    let holders = table.peers_with_newer_plan(at(20), Some(PlanVersion(3)));
    assert_eq!(holders.len(), 2);
    assert!(table.peers_with_newer_plan(at(20), Some(PlanVersion(5))).is_empty());
    assert_eq!(table.peers_with_newer_plan(at(20), None).len(), 2);
    assert!(table.peer_with_newer_runners(at(20), LogOffset(4)).is_some());
    assert!(table.peer_with_newer_runners(at(20), LogOffset(5)).is_none());
}
