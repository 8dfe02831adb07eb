//! Which node a call is forwarded to, and when it is not forwarded.

use std::collections::BTreeMap;

use base::prelude::*;
use serving::{
    ForwardFailure, ForwardSource, ForwardState, ForwardTable, ForwardTarget, HeartbeatSections,
    InputUpdate, LimitUpdate, PeerHeartbeat, PlanVersion, SendOutcome,
};

const PLAN: PlanVersion = PlanVersion(3);

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

/// A ready node of `place` that reaches runners and has the configuration of the call.
fn node(number: usize, place: &str) -> PeerHeartbeat {
    PeerHeartbeat {
        vm: format!("node-{number}").parse().unwrap(),
        incarnation: VmIncarnation(1),
        sequence: 1,
        caller_address: format!("10.0.0.{number}:80").parse().unwrap(),
        peer_address: format!("10.0.0.{number}:7200").parse().unwrap(),
        place: place.parse().unwrap(),
        ready: true,
        store_reachable: true,
        reaches_runners: true,
        plan_version: Some(PLAN),
        store_era: StoreEra(0),
        runners_offset: LogOffset(1),
        loads: Vec::new(),
        waiting_services: Vec::new(),
        leaving: Vec::new(),
        input_update: InputUpdate::default(),
        limit_update: LimitUpdate::default(),
        sections: HeartbeatSections::default(),
    }
}

/// Chooses for a node of the place `north`.
fn choose(
    table: &ForwardTable,
    now: TimePoint,
    call: &ForwardState,
    peers: &[PeerHeartbeat],
    draw: u64,
) -> Option<ForwardTarget> {
    let place = "north".parse().unwrap();
    let source = ForwardSource { place: &place, plan_version: PLAN };
    let choice = table.choose(now, source, call, peers.iter(), draw);
    assert_eq!(choice.is_some(), table.has_choice(now, source, call, peers.iter()));
    choice
}

/// How often each node is chosen in `draws` choices with consecutive draws.
fn spread(peers: &[PeerHeartbeat], draws: u64) -> BTreeMap<String, u64> {
    let mut chosen = BTreeMap::new();
    for draw in 0..draws {
        let target =
            choose(&ForwardTable::default(), at(0), &ForwardState::new(false), peers, draw);
        *chosen.entry(target.unwrap().vm.to_string()).or_default() += 1;
    }
    chosen
}

fn counts(expected: &[(&str, u64)]) -> BTreeMap<String, u64> {
    expected.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
}

#[test]
fn only_a_ready_node_that_reaches_runners_and_has_the_configuration_is_chosen() {
    let unready = PeerHeartbeat { ready: false, ..node(1, "north") };
    let unreached = PeerHeartbeat { reaches_runners: false, ..node(2, "north") };
    let older = PeerHeartbeat { plan_version: Some(PlanVersion(2)), ..node(3, "north") };
    let without = PeerHeartbeat { plan_version: None, ..node(4, "north") };
    let peers = [unready, unreached, older, without];
    let call = ForwardState::new(false);
    assert_eq!(choose(&ForwardTable::default(), at(0), &call, &peers, 7), None);
    let newer = PeerHeartbeat { plan_version: Some(PlanVersion(4)), ..node(5, "south") };
    let target =
        choose(&ForwardTable::default(), at(0), &call, &[&peers[..], &[newer]].concat(), 7);
    assert_eq!(target.unwrap().address, "10.0.0.5:7200".parse().unwrap());
}

#[test]
fn nodes_of_the_own_place_are_preferred_and_share_the_calls() {
    let peers = [node(1, "north"), node(2, "south"), node(3, "north"), node(4, "east")];
    assert_eq!(spread(&peers, 100), counts(&[("node-1", 50), ("node-3", 50)]));
}

/// With most nodes of a place cut off, its last node would get the calls of all of them.
#[test]
fn the_few_nodes_left_of_a_place_do_not_get_the_calls_of_all_others() {
    let cut = |number| PeerHeartbeat { reaches_runners: false, ..node(number, "north") };
    let peers = [node(1, "north"), cut(2), node(3, "south"), node(4, "east"), node(5, "east")];
    let even = [("node-1", 25), ("node-3", 25), ("node-4", 25), ("node-5", 25)];
    assert_eq!(spread(&peers, 100), counts(&even));
}

#[test]
fn a_place_without_a_node_that_reaches_runners_uses_all_others() {
    let cut = PeerHeartbeat { reaches_runners: false, ..node(1, "north") };
    let peers = [cut, node(2, "south"), node(3, "east")];
    assert_eq!(spread(&peers, 10), counts(&[("node-2", 5), ("node-3", 5)]));
}

#[test]
fn a_node_that_declined_is_left_out_for_a_moment() {
    let peers = [node(1, "north"), node(2, "north")];
    let (call, mut table) = (ForwardState::new(false), ForwardTable::default());
    let declined = choose(&table, at(0), &call, &peers, 0).unwrap();
    table.record_failure(at(0), &declined, ForwardFailure::Declined);
    for draw in 0..10 {
        assert_ne!(choose(&table, at(400), &call, &peers, draw).unwrap().vm, declined.vm);
    }
    let chosen = (0..10).map(|draw| choose(&table, at(600), &call, &peers, draw).unwrap().vm);
    assert!(chosen.into_iter().any(|vm| vm == declined.vm));
}

#[test]
fn a_build_that_does_not_know_the_path_is_left_out_until_its_node_starts_again() {
    let peers = [node(1, "north")];
    let (call, mut table) = (ForwardState::new(false), ForwardTable::default());
    let older = choose(&table, at(0), &call, &peers, 0).unwrap();
    table.record_failure(at(0), &older, ForwardFailure::Unsupported);
    assert_eq!(choose(&table, at(20_000), &call, &peers, 0), None);
    let replaced = [PeerHeartbeat { incarnation: VmIncarnation(2), ..node(1, "north") }];
    assert!(choose(&table, at(1_000), &call, &replaced, 0).is_some());
}

#[test]
fn a_call_is_offered_to_each_node_once_and_to_four_at_most() {
    let peers: Vec<PeerHeartbeat> = (1..=9).map(|number| node(number, "north")).collect();
    let (mut call, table) = (ForwardState::new(false), ForwardTable::default());
    let mut offered = Vec::new();
    while let Some(target) = choose(&table, at(0), &call, &peers, 0) {
        assert!(!offered.contains(&target.vm));
        call.record_offer(&target.vm);
        offered.push(target.vm);
    }
    assert_eq!(offered.len(), 4);
}

#[test]
fn a_forwarded_call_is_never_forwarded_again() {
    let call = ForwardState::new(true);
    assert_eq!(choose(&ForwardTable::default(), at(0), &call, &[node(1, "north")], 0), None);
}

#[test]
fn a_call_that_may_have_run_is_not_forwarded() {
    for outcome in [SendOutcome::Failed, SendOutcome::Unknown] {
        let mut call = ForwardState::new(false);
        call.record_send(SendOutcome::NotSent);
        call.record_send(SendOutcome::Refused);
        assert!(call.may_forward());
        call.record_send(outcome);
        assert!(!call.may_forward(), "{outcome:?}");
    }
}
