//! A holder that is paused, is succeeded by another one, and resumes.

use harness::wait_until;
use peers::FleetView;
use serde_json::Value;

use crate::orders::{ORDER_TIME, all_have, holder, service_file};
use crate::test_fleet::TestFleet;

const FILE: &str = "summaries.service.jsonc";

/// Highest fencing numbers that the engines have accepted.
fn fences(view: &FleetView) -> Vec<u64> {
    view.runners.iter().filter_map(|record| Some(record.report.as_ref()?.fence)).collect()
}

#[test]
fn a_frozen_holder_that_resumes_is_fenced() {
    kernel::run(async {
        let fleet = TestFleet::start(2, 2).await;
        let first = fleet.publish(FILE, 0, &service_file(&["summary", "label"])).await;
        let both = |view: &FleetView| all_have(view, &["summary", "label"]);
        fleet.wait_views_within(ORDER_TIME, "both models", &[0, 1], both).await;
        let frozen = wait_until("a holder", ORDER_TIME, async || holder(&fleet, &[0, 1]).await);
        let frozen = frozen.await.unwrap();
        let other = 1 - frozen;
        let before = fences(&fleet.own_view(other).await.unwrap());

        fleet.stewards[&frozen].freeze().unwrap();
        let second = fleet.publish(FILE, first, &service_file(&["summary"])).await;
        // The view hides a model before its unloading is ordered, so the fencing number is checked.
        let succeeded = |view: &FleetView| fences(view).iter().max() > before.iter().max();
        fleet.wait_views_within(ORDER_TIME, "a successor's order", &[other], succeeded).await;
        let one = |view: &FleetView| all_have(view, &["summary"]);
        fleet.wait_views_within(ORDER_TIME, "one model", &[other], one).await;

        fleet.stewards[&frozen].thaw().unwrap();
        fleet.publish(FILE, second, &service_file(&["summary", "label"])).await;
        fleet.wait_views_within(ORDER_TIME, "both again", &[0, 1], both).await;
        for stats in fleet.engine_stats().await {
            assert_accepted_in_order(&stats);
        }
    })
    .unwrap();
}

/// The accepted orders of an engine never go back to an earlier number.
fn assert_accepted_in_order(stats: &Value) {
    let orders = stats["orders"].as_array().unwrap();
    let accepted = orders.iter().filter(|order| order["accepted"] == true);
    let numbers: Vec<u64> = accepted.map(|order| order["fence"].as_u64().unwrap()).collect();
    assert!(!numbers.is_empty());
    assert!(numbers.is_sorted(), "{numbers:?}");
}
