//! Nodes before a store that is wrong, silent, or turns some of them away.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings, StoreFake, StoreFault};
use harness::{CallerRequest, NodeFleet, config, wait_until};
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(10);
/// Time in which a change has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

async fn fleet(nodes: usize) -> (NodeFleet, RunnerFake) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
    for _ in 0..nodes {
        fleet.add_node().unwrap();
    }
    fleet.wait_ready().await.unwrap();
    (fleet, desk)
}

/// The configuration without the route of bookings.
fn without_bookings(version: u64) -> serde_json::Value {
    let mut config = config(version);
    config["routes"].as_array_mut().unwrap().remove(1);
    config
}

async fn booking(fleet: &NodeFleet, node: usize, attempt: &str) -> u16 {
    fleet.send(node, &CallerRequest::booking(attempt)).await.status
}

#[test]
fn malformed_records_are_passed_over_and_the_others_hold() {
    kernel::run(async {
        let (fleet, desk) = fleet(1).await;
        let store = &fleet.store;
        store.put("keyed.servers", "x-1", Some(b"\xff\xfe no json"));
        store.put_json("keyed.servers", "x-2", &json!({ "service": 7, "address": "desk" }));
        let mut odd = desk.entry("desk", "north", "resting");
        store.put_json("keyed.servers", "x-3", &odd);
        odd = desk.entry("nowhere", "north", "ready");
        store.put_json("keyed.servers", "x-4", &odd);
        store.put_json("keyed.servers", "bad key with spaces", &json!([]));
        store.put("keyed.op", "config", Some(b"{\"version\": \"x\"}"));
        store.put_json("keyed.op", "other", &json!({ "version": 99 }));
        store.put_json("keyed.status", "stranger", &json!({ "hello": 1 }));
        compio::time::sleep(Duration::from_millis(600)).await;
        for number in 0..5 {
            assert_eq!(booking(&fleet, 0, &format!("a{number}")).await, 200);
        }
        assert_eq!(desk.runs(), 5);
    })
    .unwrap();
}

#[test]
fn a_change_is_in_force_in_time_and_an_older_version_never_replaces_it() {
    kernel::run(async {
        let (fleet, _desk) = fleet(3).await;
        fleet.store.put_json("keyed.op", "config", &without_bookings(5));
        compio::time::sleep(APPLY_LIMIT).await;
        for node in 0..3 {
            assert_eq!(booking(&fleet, node, "a1").await, 404);
        }
        fleet.store.put_json("keyed.op", "config", &config(4));
        compio::time::sleep(APPLY_LIMIT).await;
        for node in 0..3 {
            assert_eq!(booking(&fleet, node, "a2").await, 404);
        }
    })
    .unwrap();
}

#[test]
fn nodes_serve_on_while_the_store_is_silent_and_after_its_history_is_gone() {
    kernel::run(async {
        let (fleet, _desk) = fleet(2).await;
        for fault in [StoreFault::Silent, StoreFault::Busy] {
            fleet.store.set_fault(fault);
            compio::time::sleep(Duration::from_millis(2_500)).await;
            for node in 0..2 {
                assert_eq!(booking(&fleet, node, "a1").await, 200, "{fault:?}");
                assert_eq!(fleet.readiness(node).await, 200, "{fault:?}");
            }
        }
        fleet.store.put_json("keyed.op", "config", &without_bookings(7));
        for topic in ["keyed.op", "keyed.servers", "keyed.status"] {
            fleet.store.compact(topic);
        }
        fleet.store.set_fault(StoreFault::None);
        for node in 0..2 {
            wait_until("the change after the outage", LIMIT, async || {
                (booking(&fleet, node, "a2").await == 404).then_some(())
            })
            .await
            .unwrap();
        }
    })
    .unwrap();
}

#[test]
fn a_node_that_the_store_turns_away_learns_from_the_others() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        let deaf = StoreFake::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        deaf.set_fault(StoreFault::Busy);
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        // The second node is known to the first by the store's list only.
        let turned_away = json!(deaf.address());
        fleet.add_node_with(&[("store", turned_away)], true).unwrap();
        let peer = fleet.settings(1);
        let address = format!("{}:{}", peer["ip"].as_str().unwrap(), peer["peer_port"]);
        fleet.store.put_json("keyed.status", "node-1", &json!({ "vm": "node-1", "peer": address }));
        wait_until("the second node to serve", Duration::from_secs(20), async || {
            (booking(&fleet, 1, "a1").await == 200).then_some(())
        })
        .await
        .unwrap();
        fleet.store.put_json("keyed.op", "config", &without_bookings(9));
        compio::time::sleep(APPLY_LIMIT).await;
        assert_eq!(booking(&fleet, 1, "a2").await, 404);
        assert!(desk.runs() >= 1);
    })
    .unwrap();
}

#[test]
fn one_node_reads_for_all_and_another_takes_over() {
    kernel::run(async {
        let (mut fleet, desk) = fleet(4).await;
        compio::time::sleep(Duration::from_secs(1)).await;
        let before = fleet.store.calls();
        compio::time::sleep(Duration::from_secs(3)).await;
        let calls = fleet.store.calls() - before;
        assert!(calls < 45, "{calls} calls in 3 s by four nodes");
        fleet.nodes.remove(0);
        fleet.tell(&desk, "desk", "draining");
        compio::time::sleep(APPLY_LIMIT).await;
        let answer = fleet.send(2, &CallerRequest::booking("a1")).await;
        assert_eq!(answer.status, 503, "the drain was not learned");
    })
    .unwrap();
}

#[test]
fn lines_that_nobody_reads_and_wrong_settings_stop_no_request() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let _desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        fleet.add_node_with(&[], false).unwrap();
        fleet.wait_ready().await.unwrap();
        for number in 0..600 {
            assert_eq!(booking(&fleet, 0, &format!("a{number}")).await, 200);
        }
        fleet.nodes[0].write_settings("{ not settings").unwrap();
        fleet.nodes[0].signal(rustix::process::Signal::HUP).unwrap();
        compio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(booking(&fleet, 0, "last").await, 200);
        let page = fleet.metrics(0).await;
        assert!(page.contains("yard_node_requests_total{outcome=\"answered\",reason=\"\"} 601"));
    })
    .unwrap();
}
