//! Nodes before runners in two places, of which the operator can evacuate one.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{NodeFleet, wait_until};
use serde_json::json;

/// Topic of the operator's keys.
pub const TOPIC: &str = "keyed.op";
/// Time in which an evacuation or its end has to be in force at every node.
pub const APPLY_LIMIT: Duration = Duration::from_secs(5);
/// Time in which a change reaches the nodes of a fleet whose store is undisturbed.
pub const SOON: Duration = Duration::from_secs(2);

/// Starts a runner in a place.
pub async fn add_runner(fleet: &mut NodeFleet, service: &str, id: &str, place: &str) -> RunnerFake {
    let mut settings = RunnerFakeSettings::new(id);
    settings.events = 150;
    let runner = fleet.prepare_runner(settings).await.unwrap();
    fleet.store.put_json("keyed.servers", id, &runner.entry(service, place, "ready"));
    runner
}

/// A fleet with a runner of each service in `north` and in `south`.
pub struct TwoPlaces {
    pub fleet: NodeFleet,
    pub north: [RunnerFake; 2],
    pub south: [RunnerFake; 2],
}

impl TwoPlaces {
    pub async fn start(nodes: usize) -> Self {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut north = Vec::new();
        let mut south = Vec::new();
        for service in ["desk", "llm"] {
            north.push(add_runner(&mut fleet, service, &format!("{service}-n"), "north").await);
            south.push(add_runner(&mut fleet, service, &format!("{service}-s"), "south").await);
        }
        for _ in 0..nodes {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        let (north, south) = (north.try_into().ok().unwrap(), south.try_into().ok().unwrap());
        Self { fleet, north, south }
    }

    pub fn evacuate(&self, place: &str) {
        self.fleet.store.put_json(TOPIC, &format!("evacuate/{place}"), &json!({}));
    }

    /// Waits until every node has noted a change of `north`.
    pub async fn wait_events(&self, event: &str, count: usize) {
        for node in 0..self.fleet.nodes.len() {
            wait_until(event, APPLY_LIMIT, async || {
                let lines = self.fleet.nodes[node].events(event);
                (lines.iter().filter(|line| line["place"] == "north").count() >= count)
                    .then_some(())
            })
            .await
            .unwrap_or_else(|error| panic!("node {node}: {error}"));
        }
    }

    /// Waits until every node has noted that `place` is evacuated.
    pub async fn wait_event_of(&self, place: &str) {
        for node in 0..self.fleet.nodes.len() {
            self.fleet.wait_event(node, "place_evacuated", "place", &json!(place)).await.unwrap();
        }
    }
}
