//! A whole place is lost, or cut off from the others, while callers call nodes on both sides.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compio::time::sleep;
use fakes::platform::{RunnerFake, RunnerFakeSettings, StoreFake, StoreFault};
use futures_util::future::join_all;
use harness::{
    AddressBlock, CallerRequest, LinkState, NodeFleet, TestLink, WholeAnswer, config, wait_until,
};
use kernel::StopSignal;
use serde_json::json;

/// The places; the second one is lost or cut off.
const PLACES: [&str; 2] = ["north", "south"];
/// Nodes of each place.
const NODES: usize = 2;
/// Runners of each service in each place.
const RUNNERS: u8 = 2;
/// Time after the begin of the fault from which callers have to be served as before.
const KNOWN_AFTER: Duration = Duration::from_secs(4);
/// Time for a node to start.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Pause between two requests to one node.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests to each node whose answers count.
const REQUESTS: usize = 30;

/// What becomes of connections between places that are cut off from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutKind {
    /// They are refused.
    Refused,
    /// They are accepted and closed.
    Closed,
    /// They are accepted, and nothing comes through.
    Silent,
}

/// Nodes and runners of two places.
struct PlaceFleet {
    fleet: NodeFleet,
    /// Each with the number of its place.
    runners: Vec<(usize, RunnerFake)>,
    /// Links from each place to the runners of the other one, and the signal that closes them.
    links: Vec<TestLink>,
    cut: StopSignal,
    /// The store of the second place while it may be cut off: nodes of different places then know
    /// nothing of each other, as if no message had passed between them since their start.
    second_store: Option<StoreFake>,
}

impl PlaceFleet {
    async fn start(separate: bool) -> Self {
        let mut fleet = NodeFleet::start().await.unwrap();
        let second_store = if separate {
            let store = StoreFake::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
            store.put_json("keyed.op", "config", &config(1));
            Some(store)
        } else {
            None
        };
        let (cut, addresses) = (StopSignal::new(), AddressBlock::new());
        let (mut runners, mut links) = (Vec::new(), Vec::new());
        for (place, name) in PLACES.iter().enumerate() {
            for number in 0..RUNNERS {
                for service in ["desk", "llm"] {
                    let id = format!("{service}-{name}-{number}");
                    let runner = fleet.prepare_runner(RunnerFakeSettings::new(&id)).await.unwrap();
                    let entry = runner.entry(service, name, "ready");
                    if let Some(second) = &second_store {
                        let link = u8::try_from(1 + links.len()).unwrap();
                        let link = addresses.address(link, 0);
                        fleet.memory.add_link(link, runner.address());
                        let link = TestLink::start_until(link, runner.address(), cut.clone());
                        let link = link.await.unwrap();
                        let mut far = entry.clone();
                        far["address"] = json!(link.address());
                        let both = [&fleet.store, second];
                        both[place].put_json("keyed.servers", &id, &entry);
                        both[1 - place].put_json("keyed.servers", &id, &far);
                        links.push(link);
                    } else {
                        fleet.store.put_json("keyed.servers", &id, &entry);
                    }
                    runners.push((place, runner));
                }
            }
        }
        for (place, name) in PLACES.iter().enumerate() {
            for _ in 0..NODES {
                let second = second_store.as_ref().filter(|_| place == 1);
                let store = second.unwrap_or(&fleet.store).address();
                let sets = [("place", json!(name)), ("store", json!(store))];
                fleet.add_node_with(&sets, true).unwrap();
            }
        }
        for node in 0..fleet.nodes.len() {
            wait_until("a node to be ready", START_LIMIT, async || {
                (fleet.readiness(node).await == 200).then_some(())
            })
            .await
            .unwrap();
        }
        Self { fleet, runners, links, cut, second_store }
    }

    /// Cuts the connections between the places, and the second place off from its store.
    fn cut(&self, kind: CutKind) {
        let state = if kind == CutKind::Silent { LinkState::Lost } else { LinkState::Cut };
        for link in &self.links {
            link.set(state);
        }
        if kind == CutKind::Refused {
            self.cut.raise();
        }
        if let Some(store) = &self.second_store {
            store.set_fault(StoreFault::Silent);
        }
    }

    /// The second place is gone: its nodes, and its runners, to which new connections hang.
    async fn lose(&mut self) {
        self.fleet.nodes.truncate(NODES);
        for (place, runner) in &self.runners {
            if *place == 1 {
                runner.stop_accepting().await;
            }
        }
    }

    /// Sends requests of all kinds to each node, one after each pause.
    async fn send_all(&self, name: &str, count: usize) -> Vec<Vec<WholeAnswer>> {
        let send = async |node: usize, number: usize| {
            sleep(PAUSE * u32::try_from(number).unwrap()).await;
            let attempt = format!("{name}-{node}-{number}");
            let request = match number % 3 {
                0 => CallerRequest::lookup(&attempt),
                1 => CallerRequest::booking(&attempt),
                _ => CallerRequest::stream(&attempt).with("x-dotterelyard-length-hint", "10"),
            };
            self.fleet.send(node, &request).await
        };
        let send_node = async |node| join_all((0..count).map(|number| send(node, number))).await;
        join_all((0..self.fleet.nodes.len()).map(send_node)).await
    }

    /// Keeps requests of all kinds coming for `span`; nobody waits for those still under way.
    async fn send_for(&self, span: Duration) {
        let begun = Instant::now();
        let mut round = 0;
        while begun.elapsed() < span {
            let name = format!("round{round}");
            let sent = self.send_all(&name, 6);
            let _ = compio::time::timeout(Duration::from_millis(500), sent).await;
            round += 1;
        }
    }

    /// Every request to each node is served, and none ran twice.
    async fn check_served(&self, what: &str) {
        self.check_rates(what, REQUESTS).await;
    }

    /// Of the requests to each node `least` are served, among them all that may be repeated, and
    /// no other ran twice.
    async fn check_rates(&self, what: &str, least: usize) {
        for (node, answers) in self.send_all(what, REQUESTS).await.into_iter().enumerate() {
            let failed: Vec<(usize, u16, &str)> = answers
                .iter()
                .enumerate()
                .filter(|(_, answer)| answer.status != 200 || !answer.complete)
                .map(|(number, answer)| (number, answer.status, answer.text.as_str()))
                .collect();
            assert!(REQUESTS - failed.len() >= least, "{what}: node {node}: {failed:.300?}");
            let lookup = failed.iter().find(|(number, ..)| number % 3 == 0);
            assert_eq!(lookup, None, "{what}: node {node}");
        }
        assert_eq!(self.most_runs(), 1, "{what}");
    }

    /// The most runs of one booking or stream, which run at most once.
    fn most_runs(&self) -> usize {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        let visits = self.runners.iter().flat_map(|(_, runner)| runner.visits());
        for visit in visits.filter(|visit| visit.ran && !visit.request.path.starts_with("/look/")) {
            let attempt = visit.request.header("x-dotterelyard-attempt-id").to_owned();
            *runs.entry(attempt).or_default() += 1;
        }
        runs.into_values().max().unwrap_or_default()
    }
}

/// Guards against callers of the remaining place who suffer from the runners of the lost one.
#[test]
fn after_the_loss_of_a_place_the_nodes_of_the_other_serve_all_callers() {
    kernel::run(async {
        let mut places = PlaceFleet::start(false).await;
        places.check_served("before").await;
        places.lose().await;
        places.send_for(KNOWN_AFTER).await;
        places.check_served("lost").await;
    })
    .unwrap();
}

/// Guards against callers of either side who suffer from the runners of the other one, and against
/// requests that are refused since each runner of the other side looks crashed.
async fn check_cut(kind: CutKind, least: usize) {
    let places = PlaceFleet::start(true).await;
    places.check_served("before").await;
    places.cut(kind);
    places.send_for(KNOWN_AFTER).await;
    places.check_rates("cut", least).await;
    let blocked = places.fleet.nodes.iter().flat_map(|node| node.events("request_blocked"));
    assert_eq!(blocked.count(), 0, "requests that crash no runner");
}

#[test]
fn while_a_place_refuses_the_other_the_nodes_of_both_sides_serve_all_callers() {
    kernel::run(check_cut(CutKind::Refused, REQUESTS)).unwrap();
}

/// A request that may run at most once has an unknown outcome once it was written to an accepted
/// connection, so that the bound is that of RECOVER.
#[test]
fn while_connections_between_places_are_closed_the_nodes_of_both_sides_serve_callers() {
    kernel::run(check_cut(CutKind::Closed, REQUESTS * 2 / 3)).unwrap();
}

/// The same if nothing comes through an accepted connection.
#[test]
fn while_a_place_is_cut_off_silently_the_nodes_of_both_sides_serve_callers() {
    kernel::run(check_cut(CutKind::Silent, REQUESTS * 2 / 3)).unwrap();
}
