//! A fleet too large for a mesh: records reach all machines along bounded peers.

use crate::test_fleet::{TestFleet, entry_status, report, runner_id, vm_id};
use base::prelude::*;
use peers::{EntryRecord, NodeNews};

const NODES: usize = 60;
/// Rounds for a record to reach all: the hops, and the silence before a peer counts as down.
const ROUNDS: usize = 12;

fn knows_all_but(entries: &[EntryRecord], missing: &[usize]) -> bool {
    let names: Vec<String> = entries.iter().map(|entry| entry.vm.to_string()).collect();
    let known = |at: usize| names.contains(&format!("vm-{at}"));
    (0..NODES).all(|at| known(at) != missing.contains(&at))
}

fn rounds_until(fleet: &mut TestFleet, dead: &[usize]) -> usize {
    for rounds in 1..=ROUNDS {
        fleet.round(dead);
        let live = (0..NODES).filter(|at| !dead.contains(at));
        if live.clone().all(|at| knows_all_but(&fleet.entries(at), dead)) {
            return rounds;
        }
    }
    panic!("not known everywhere after {ROUNDS} rounds");
}

#[test]
fn joins_and_failures_reach_all_machines() {
    let mut fleet = TestFleet::new(NODES, 0);
    let joined = rounds_until(&mut fleet, &[]);
    let dead = rounds_until(&mut fleet, &[7, 31]);
    let back = rounds_until(&mut fleet, &[]);
    println!("{NODES} machines: joined {joined}, dead {dead}, back {back} rounds");
    let exchanges = fleet.round(&[]);
    assert!(exchanges <= NODES * 8, "{exchanges} exchanges in an idle round");
}

#[test]
fn an_idle_fleet_relays_nothing() {
    let mut fleet = TestFleet::new(NODES, 0);
    rounds_until(&mut fleet, &[]);
    fleet.rounds(ROUNDS);
    for at in 0..NODES {
        for (peer, _) in fleet.desks[at].due_peers(TimePoint(u64::MAX / 2)) {
            assert_eq!(fleet.desks[at].digest_for(fleet.now, &peer).nodes, []);
        }
    }
}

#[test]
fn a_live_machine_refutes_that_it_is_down() {
    let mut fleet = TestFleet::new(NODES, 0);
    rounds_until(&mut fleet, &[]);
    // A machine that is no peer of vm-5 gets a wrong record that vm-5 is down.
    let far = (0..NODES)
        .find(|at| {
            fleet.desks[*at]
                .due_peers(TimePoint(u64::MAX / 2))
                .iter()
                .all(|(vm, _)| *vm != vm_id(5))
        })
        .unwrap();
    let neighbour = (0..NODES).find(|at| *at != far).unwrap();
    let mut digest = fleet.desks[neighbour].digest_for(fleet.now, &vm_id(far));
    let own = fleet.desks[5].digest_for(fleet.now, &vm_id(100));
    let record = own.nodes[0].record.clone();
    digest.nodes = vec![NodeNews { record, down: true }];
    fleet.desks[far].on_digest(fleet.now, digest);
    assert!(!knows_all_but(&fleet.entries(far), &[]));
    rounds_until(&mut fleet, &[]);
}

#[test]
fn a_restart_replaces_the_incarnation_that_far_machines_know() {
    let mut fleet = TestFleet::new(NODES, 0);
    rounds_until(&mut fleet, &[]);
    fleet.restart(3);
    fleet.rounds(ROUNDS);
    let present = entry_status(3, 2).incarnation;
    for at in 0..NODES {
        let entries = fleet.entries(at);
        assert!(entries.iter().any(|entry| entry.status.incarnation == present), "vm-{at}");
    }
}

#[test]
fn a_leaving_mark_reaches_all_machines() {
    let mut fleet = TestFleet::new(NODES, 3);
    rounds_until(&mut fleet, &[]);
    fleet.desks[9].on_report(fleet.now, report(0, 7, 1));
    fleet.desks[9].on_leaving(&runner_id(0), 7);
    fleet.rounds(ROUNDS);
    for desk in &mut fleet.desks {
        desk.on_report(fleet.now, report(0, 7, 2));
    }
    assert!((0..NODES).all(|at| fleet.is_leaving(at, 0)));
}

#[test]
fn each_runner_is_polled_by_one_steward_and_by_a_second_when_no_reports_come() {
    let mut fleet = TestFleet::new(NODES, 40);
    rounds_until(&mut fleet, &[]);
    assert_eq!(polls(&fleet), vec![2; 40], "no report has come yet");
    for (sequence, expected) in [(1, 1), (2, 1)] {
        fleet.poll_runners(sequence);
        fleet.round(&[]);
        assert_eq!(polls(&fleet), vec![expected; 40]);
    }
    fleet.rounds(2);
    assert_eq!(polls(&fleet), vec![2; 40], "the first owner's reports are missing");
}

fn polls(fleet: &TestFleet) -> Vec<usize> {
    let mut polls = vec![0; 40];
    for desk in &fleet.desks {
        for due in desk.polls(fleet.now) {
            let number: usize = due.runner.as_str()[7..].parse().unwrap();
            polls[number] += 1;
        }
    }
    polls
}

#[test]
fn a_paused_machine_returns_to_all_views() {
    for paused in [0, 7, 31, 59] {
        let mut fleet = TestFleet::new(NODES, 0);
        rounds_until(&mut fleet, &[]);
        rounds_until(&mut fleet, &[paused]);
        rounds_until(&mut fleet, &[]);
    }
}
