//! Stewards as processes: the orders to engines.

use std::time::Duration;

use crate::test_fleet::{TestFleet, vm_name};
use base::prelude::*;
use harness::wait_until;
use peers::FleetView;
use serde_json::json;

/// Time for a claim, the notice to entries and an order, after a holder's silence.
pub const ORDER_TIME: Duration = Duration::from_secs(30);

pub fn service_file(models: &[&str]) -> String {
    let models: Vec<_> = models.iter().map(|name| json!({ "name": name })).collect();
    json!({
        "service": "summaries",
        "kind": "model",
        "models": models,
        "workspaces": [{ "workspace": "head-office" }],
        "checks_fencing": true,
    })
    .to_string()
}

pub fn all_have(view: &FleetView, models: &[&str]) -> bool {
    let mut wanted: Vec<ModelName> = models.iter().map(|name| name.parse().unwrap()).collect();
    wanted.sort();
    view.runners.iter().all(|record| {
        record.report.as_ref().is_some_and(|report| {
            let mut loaded = report.models.clone();
            loaded.sort();
            loaded == wanted
        })
    })
}

/// The steward that holds some place.
pub async fn holder(fleet: &TestFleet, numbers: &[usize]) -> Option<usize> {
    for &number in numbers {
        let dump = fleet.dump(number).await?;
        if dump["orders"]["held"].as_object().is_some_and(|held| !held.is_empty()) {
            return Some(number);
        }
    }
    None
}

#[test]
fn engines_get_the_published_models_also_after_the_holder_died() {
    kernel::run(async {
        let mut fleet = TestFleet::start(2, 2).await;
        let path = "summaries.service.jsonc";
        let first = fleet.publish(path, 0, &service_file(&["summary", "label"])).await;
        let both = |view: &FleetView| all_have(view, &["summary", "label"]);
        fleet.wait_views_within(ORDER_TIME, "both models", &[0, 1], both).await;

        let dead = wait_until("a holder", ORDER_TIME, async || holder(&fleet, &[0, 1]).await);
        let dead = dead.await.unwrap();
        fleet.stewards.get_mut(&dead).unwrap().kill().unwrap();
        let left = 1 - dead;
        // Engines that check fencing numbers get another holder though the dead one may resume.
        fleet.publish(path, first, &service_file(&["summary"])).await;
        let one = |view: &FleetView| all_have(view, &["summary"]);
        fleet.wait_views_within(ORDER_TIME, "one model", &[left], one).await;
        fleet.set_state(&vm_name(dead), "gone").await;
    })
    .unwrap();
}
