//! Reading a large configuration from the store over a slow link.

use std::time::Duration;

use harness::{HOST, NodeFleet, config, wait_until};
use serde_json::{Value, json};

/// Time in which a node has to have what the others have on the large deployments (`catchUpS`).
const CATCH_UP_LIMIT: Duration = Duration::from_secs(6);
/// Bandwidth of a small machine's link (10 Mbit/s), in bytes a second.
const LINK_RATE: u64 = 1_250_000;

/// A configuration after it has grown by `routes`.
fn large_config(version: u64, routes: usize) -> Value {
    let mut config = config(version);
    let route = |number: usize| {
        json!({
            "name": format!("r-{:07x}", number * 7_919), "hostname": HOST,
            "pathPrefix": format!("/p{:06x}/", number * 104_729 % 0xff_ffff),
            "routeType": "idempotent", "timeoutMs": 8_000, "targetLatencyMs": 500, "priority": 1,
            "service": "desk", "maxAttempts": 2, "public": false,
        })
    };
    config["routes"].as_array_mut().unwrap().extend((0..routes).map(route));
    config
}

/// Starts a node beside a configuration of `routes` routes, over a slow link to the store.
async fn start_over_slow_link(routes: usize) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let config = large_config(2, routes);
    fleet.store.put_json("keyed.op", "config", &config);
    let link = fleet.start_link(1, fleet.store.address()).await.unwrap();
    link.set_answer_rate(LINK_RATE);
    fleet.add_node_with(&[("store", json!(link.address()))], true).unwrap();
    let found = wait_until("the configuration", CATCH_UP_LIMIT, async || {
        let lines = fleet.nodes[0].events("plan_in_force");
        lines.into_iter().find(|line| line["version"] == 2)
    });
    let entry = found.await.unwrap();
    let (bytes, took) = (entry["bytes"].as_u64().unwrap(), entry["took_ms"].as_u64().unwrap());
    assert_eq!(bytes, config.to_string().len() as u64);
    assert!(took >= bytes * 1_000 / LINK_RATE / 2, "{entry}");
}

#[test]
fn a_node_that_starts_beside_a_large_configuration_reads_it_over_its_slow_link() {
    kernel::run(start_over_slow_link(4_200)).unwrap();
}

#[test]
fn a_node_that_starts_beside_a_configuration_of_half_the_size_reads_it() {
    kernel::run(start_over_slow_link(2_100)).unwrap();
}

/// A node that has the configuration from another one leaves the store alone.
#[test]
fn a_node_that_has_the_configuration_from_another_does_not_list_it_for_ever() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        for _ in 0..2 {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        fleet.store.put_json("keyed.op", "config", &large_config(2, 4_200));
        for number in 0..2 {
            fleet.wait_event(number, "plan_in_force", "version", &2.into()).await.unwrap();
        }
        let link = fleet.start_link(1, fleet.store.address()).await.unwrap();
        link.set_answer_rate(LINK_RATE);
        fleet.add_node_with(&[("store", json!(link.address()))], true).unwrap();
        fleet.wait_event(2, "plan_in_force", "version", &2.into()).await.unwrap();
        compio::time::sleep(CATCH_UP_LIMIT).await;
        let metrics = fleet.metrics(2).await;
        let failures = metrics.lines().find(|line| line.starts_with("yard_node_store_failures"));
        let regained = fleet.nodes[2].events("dependency_regained");
        let lost = fleet.nodes[2].events("dependency_lost");
        let of = |lines: &[Value]| {
            lines.iter().filter(|line| line["dependency"] == "store: configuration").count()
        };
        assert_eq!(of(&lost), of(&regained), "{failures:?}");
    })
    .unwrap();
}

/// A node that others read for, whose place in the history of the store has been deleted.
#[test]
fn a_node_whose_history_was_deleted_reads_a_large_configuration_over_its_slow_link() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let link = fleet.start_link(1, fleet.store.address()).await.unwrap();
        link.set_answer_rate(LINK_RATE);
        fleet.add_node_with(&[("store", json!(link.address()))], true).unwrap();
        fleet.wait_event(0, "plan_in_force", "version", &1.into()).await.unwrap();
        fleet.store.set_fault(fakes::platform::StoreFault::Busy);
        compio::time::sleep(Duration::from_millis(1_500)).await;
        for version in [2, 3] {
            fleet.store.put_json("keyed.op", "config", &large_config(version, 4_200));
        }
        fleet.store.compact("keyed.op");
        fleet.store.set_fault(fakes::platform::StoreFault::None);
        wait_until("the configuration", CATCH_UP_LIMIT, async || {
            let lines = fleet.nodes[0].events("plan_in_force");
            lines.iter().any(|line| line["version"] == 3).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}
