//! Nodes before two services, whose links can be cut for one of the nodes.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{LinkState, NodeFleet, TestLink};
use serde_json::{Value, json};

/// Nodes of a fleet.
pub const NODES: usize = 3;
/// The node that is cut off.
pub const CUT: usize = 0;
/// Runners of each service.
pub const RUNNERS: u8 = 4;
/// The services.
pub const SERVICES: [&str; 2] = ["desk", "llm"];

/// The tests count answers and pauses under load, so one of a file runs at a time.
static TURN: Mutex<()> = Mutex::new(());

pub fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A runner, its service, and the link to it.
pub struct LinkedRunner {
    pub service: &'static str,
    pub runner: RunnerFake,
    pub link: TestLink,
}

pub struct ServiceFleet {
    pub fleet: NodeFleet,
    pub runners: Vec<LinkedRunner>,
}

impl ServiceFleet {
    /// Starts a fleet whose runners `adjust` has changed.
    pub async fn start(adjust: impl Fn(&mut RunnerFakeSettings)) -> Self {
        Self::start_with(adjust, &[]).await
    }

    /// The same, whose nodes have other settings.
    pub async fn start_with(
        adjust: impl Fn(&mut RunnerFakeSettings),
        sets: &[(&str, Value)],
    ) -> Self {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..RUNNERS {
            for service in SERVICES {
                let mut settings = RunnerFakeSettings::new(&format!("{service}-{number}"));
                adjust(&mut settings);
                let runner = fleet.prepare_runner(settings).await.unwrap();
                let number = u8::try_from(runners.len()).unwrap();
                let link = fleet.start_runner_link(number, &runner).await.unwrap();
                let mut entry = runner.entry(service, "north", "ready");
                entry["address"] = json!(link.address());
                fleet.store.put_json("keyed.servers", runner.id(), &entry);
                runners.push(LinkedRunner { service, runner, link });
            }
        }
        for _ in 0..NODES {
            let pid =
                fleet.add_node_with(sets, true).map(|number| fleet.nodes[number].pid()).unwrap();
            for linked in &runners {
                linked.link.set_for(pid, LinkState::Open);
            }
        }
        fleet.wait_ready().await.unwrap();
        Self { fleet, runners }
    }

    /// Changes what the links of one node to the first `count` runners of a service do.
    pub fn set(&self, service: &str, count: usize, state: LinkState) {
        let pid = self.fleet.nodes[CUT].pid();
        let of_service = self.runners.iter().filter(|linked| linked.service == service);
        of_service.take(count).for_each(|linked| linked.link.set_for(pid, state));
    }

    /// Changes what the link of one node to one runner does.
    #[allow(dead_code, reason = "most tests change the links of a whole service")]
    pub fn set_of(&self, linked: &LinkedRunner, state: LinkState) {
        linked.link.set_for(self.fleet.nodes[CUT].pid(), state);
    }

    /// Changes what the links of the first `count` nodes to a service do.
    #[allow(dead_code, reason = "most tests cut one node off")]
    pub fn set_nodes(&self, count: usize, service: &str, state: LinkState) {
        let of_service = self.runners.iter().filter(|linked| linked.service == service);
        for linked in of_service {
            let nodes = self.fleet.nodes.iter().take(count);
            nodes.for_each(|node| linked.link.set_for(node.pid(), state));
        }
    }

    /// The most runs of one request, without the repeat that a look-up may have; a run that goes on
    /// elsewhere from its memory counts once.
    pub fn most_runs(&self) -> usize {
        let mut runs: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let visits = self.runners.iter().flat_map(|linked| linked.runner.visits());
        for visit in visits.filter(|visit| visit.ran && visit.request.header("kv-from").is_empty())
        {
            let attempt = visit.request.header("x-dotterelyard-attempt-id").to_owned();
            let (count, repeats) = runs.entry(attempt).or_default();
            *count += 1;
            *repeats = usize::from(visit.request.path.starts_with("/look/"));
        }
        let counted = runs.into_values().map(|(count, repeats)| count - repeats);
        counted.max().unwrap_or_default()
    }
}
