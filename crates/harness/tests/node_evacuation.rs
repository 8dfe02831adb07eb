//! Nodes while the operator evacuates a place: nothing new may be sent to its runners.

mod two_places;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use compio::time::sleep;
use fakes::platform::{RunnerFake, StoreFake, StoreFault};
use futures_util::future::join_all;
use harness::{CallerRequest, LinkState, TestLink, WholeAnswer, wait_until};
use serde_json::json;
use two_places::{APPLY_LIMIT, SOON, TOPIC, TwoPlaces, add_runner};

/// Time that the store is away.
const OUTAGE: Duration = Duration::from_millis(300);
/// Time in which an operator writes again what a copy of the store lacks.
const REWRITE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which an evacuation that the store lacks is watched; below [`REWRITE_LIMIT`].
const HOLD_SPAN: Duration = Duration::from_secs(4);
/// Pause between two rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Number of the next attempt; an attempt has its own id.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

fn next_attempt() -> String {
    format!("{:016x}", NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed))
}

impl TwoPlaces {
    /// Adds a node whose own store has a fault from the start; the others learn its address.
    async fn add_rejected_node(&mut self, fault: StoreFault) -> StoreFake {
        let store = StoreFake::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        store.set_fault(fault);
        let number = self.fleet.nodes.len();
        let settings = self.fleet.settings(number);
        let address = format!("{}:{}", settings["ip"].as_str().unwrap(), settings["peer_port"]);
        let vm = format!("node-{number}");
        let record = json!({ "vm": vm, "peer": address });
        self.fleet.store.put_json("keyed.status", &vm, &record);
        self.fleet.add_node_with(&[("store", json!(store.address()))], true).unwrap();
        store
    }

    fn withdraw(&self, place: &str) {
        self.fleet.store.put(TOPIC, &format!("evacuate/{place}"), None);
    }

    /// Requests that the runners in `north` have been sent.
    fn visits(&self) -> usize {
        self.north.iter().map(|runner| runner.visits().len()).sum()
    }

    /// Sends a request of each kind to every node at once.
    async fn send_round(&self) -> Vec<WholeAnswer> {
        let nodes = 0..self.fleet.nodes.len();
        let requests = nodes.flat_map(|node| {
            [CallerRequest::lookup, CallerRequest::booking]
                .map(|request| (node, request(&next_attempt())))
        });
        let send =
            async |(node, request): (usize, CallerRequest)| self.fleet.send(node, &request).await;
        join_all(requests.map(send)).await
    }

    /// No runner in `north` gets a request for `span`, while all requests are served.
    async fn hold_evacuated(&self, span: Duration, what: &str) {
        let (begun, visits) = (Instant::now(), self.visits());
        while begun.elapsed() < span {
            for answer in self.send_round().await {
                assert_eq!(answer.status, 200, "{what}: {}", answer.text);
            }
            let stream =
                CallerRequest::stream(&next_attempt()).with("x-dotterelyard-length-hint", "10");
            let node = self.fleet.nodes.len() - 1;
            let _ = compio::time::timeout(ROUND_PAUSE, self.fleet.send(node, &stream)).await;
            assert_eq!(self.visits(), visits, "{what}: after {:?}", begun.elapsed());
        }
    }

    /// Waits until the runners in `north` get requests of every node again.
    async fn wait_used(&self, limit: Duration, what: &str) {
        for node in 0..self.fleet.nodes.len() {
            wait_until(what, limit, async || {
                let before = self.visits();
                self.fleet.send(node, &CallerRequest::booking(&next_attempt())).await;
                (self.visits() > before).then_some(())
            })
            .await
            .unwrap_or_else(|error| panic!("node {node}: {error}"));
        }
    }
}

/// Guards against requests to a place whose key the operator has written, at any node.
#[test]
fn an_evacuated_place_gets_no_requests_until_the_evacuation_is_withdrawn() {
    kernel::run(async {
        let places = TwoPlaces::start(3).await;
        places.wait_used(SOON, "the place before").await;
        places.evacuate("north");
        sleep(SOON).await;
        places.hold_evacuated(SOON, "evacuated").await;
        places.wait_events("place_evacuated", 1).await;
        places.withdraw("north");
        places.wait_events("evacuation_withdrawn", 1).await;
        places.wait_used(SOON, "the place afterwards").await;
        let metrics = places.fleet.metrics(0).await;
        assert!(metrics.contains("yard_node_evacuations_total 2"), "{metrics}");
    })
    .unwrap();
}

/// Guards against a node that only the store can tell of an evacuation.
async fn check_rejected_node(fault: StoreFault) {
    let mut places = TwoPlaces::start(2).await;
    let _store = places.add_rejected_node(fault).await;
    wait_until("the rejected node to be ready", Duration::from_secs(20), async || {
        (places.fleet.readiness(2).await == 200).then_some(())
    })
    .await
    .unwrap();
    places.wait_used(APPLY_LIMIT, "the place before").await;
    places.evacuate("north");
    sleep(SOON).await;
    places.hold_evacuated(SOON, "evacuated").await;
    places.withdraw("north");
    places.wait_used(APPLY_LIMIT, "the place afterwards").await;
}

#[test]
fn a_node_that_the_store_answers_with_503_learns_of_it_from_the_others() {
    kernel::run(check_rejected_node(StoreFault::Busy)).unwrap();
}

#[test]
fn a_node_that_the_store_does_not_answer_learns_of_it_from_the_others() {
    kernel::run(check_rejected_node(StoreFault::Silent)).unwrap();
}

/// A fleet whose nodes have a link to the store each.
async fn linked_fleet(nodes: u8) -> (TwoPlaces, Vec<TestLink>) {
    let mut places = TwoPlaces::start(0).await;
    let mut links = Vec::new();
    for number in 0..nodes {
        let link = places.fleet.start_link(number, places.fleet.store.address()).await.unwrap();
        places.fleet.add_node_with(&[("store", json!(link.address()))], true).unwrap();
        links.push(link);
    }
    places.fleet.wait_ready().await.unwrap();
    (places, links)
}

/// Guards against an evacuation that nobody reads since the store turns the readers away: whichever
/// node it still serves has to take over.
#[test]
fn the_one_node_that_the_store_serves_tells_the_others() {
    const NODES: u8 = 4;
    kernel::run(async {
        let (places, links) = linked_fleet(NODES).await;
        for (served, state) in
            (0..links.len()).zip([LinkState::Cut, LinkState::AnswersStalled].repeat(2))
        {
            for (number, link) in links.iter().enumerate() {
                link.set(if number == served { LinkState::Open } else { state });
            }
            places.evacuate("north");
            sleep(APPLY_LIMIT).await;
            places.hold_evacuated(SOON / 2, &format!("only node {served} served, {state:?}")).await;
            for link in &links {
                link.set(LinkState::Open);
            }
            places.withdraw("north");
            places.wait_used(APPLY_LIMIT, "the place afterwards").await;
        }
    })
    .unwrap();
}

/// Evacuates a place and lets the store come back from a copy without the key.
async fn lose_key(places: &TwoPlaces) {
    let copy = places.fleet.store.copy();
    places.evacuate("north");
    sleep(SOON).await;
    places.fleet.store.take_away();
    sleep(OUTAGE).await;
    places.fleet.store.come_back(&copy);
}

/// Guards against an evacuation that ends as the store loses its key.
#[test]
fn an_evacuation_outlasts_the_return_of_a_store_that_lacks_it_until_it_is_written_again() {
    kernel::run(async {
        let places = TwoPlaces::start(3).await;
        lose_key(&places).await;
        places.hold_evacuated(HOLD_SPAN, "the key is lost").await;
        places.evacuate("north");
        places.hold_evacuated(REWRITE_LIMIT, "the key was written again").await;
        places.withdraw("north");
        places.wait_used(SOON, "the place afterwards").await;
    })
    .unwrap();
}

/// Guards against an evacuation that never ends since its key was lost.
#[test]
fn an_evacuation_ends_if_the_store_lacks_it_and_nobody_writes_it_again() {
    kernel::run(async {
        let places = TwoPlaces::start(3).await;
        lose_key(&places).await;
        places.hold_evacuated(HOLD_SPAN, "the key is lost").await;
        sleep(SOON).await;
        places.wait_used(SOON, "the place afterwards").await;
    })
    .unwrap();
}

/// Guards against callers that wait, or are sent to the place, when no other place is left.
#[test]
fn calls_of_a_service_without_another_place_are_refused_at_once() {
    kernel::run(async {
        let places = TwoPlaces::start(2).await;
        places.evacuate("south");
        places.evacuate("north");
        sleep(SOON).await;
        let visits = places.visits() + places.south.iter().map(RunnerFake::runs).sum::<usize>();
        let requests = [CallerRequest::lookup, CallerRequest::booking, CallerRequest::stream];
        for request in requests {
            for node in 0..places.fleet.nodes.len() {
                let begun = Instant::now();
                let answer = places.fleet.send(node, &request(&next_attempt())).await;
                assert!(begun.elapsed() < Duration::from_millis(500), "{:?}", begun.elapsed());
                assert_eq!(answer.status, 503);
                assert!(answer.text.contains("place_evacuated"), "{}", answer.text);
                assert!(answer.retry_after.is_some_and(|seconds| seconds > 0.0));
            }
        }
        let after = places.visits() + places.south.iter().map(RunnerFake::runs).sum::<usize>();
        assert_eq!(after, visits);
        places.withdraw("south");
        places.wait_events("place_evacuated", 1).await;
        sleep(SOON).await;
        places.hold_evacuated(SOON / 2, "one place is back").await;
    })
    .unwrap();
}

/// Guards against bad input that stops the reading of the topic or affects other places.
#[test]
fn malformed_keys_and_values_affect_no_other_place() {
    kernel::run(async {
        let mut places = TwoPlaces::start(2).await;
        let store = &places.fleet.store;
        store.put(TOPIC, "evacuate/", Some(b"{}"));
        store.put(TOPIC, "evacuate/two words", Some(b"{}"));
        store.put(TOPIC, "evacuate", Some(b"{}"));
        store.put(TOPIC, "evacuate/west", Some(b"\xff not json"));
        places.evacuate("east");
        places.wait_event_of("east").await;
        for node in 0..2 {
            let lines = places.fleet.nodes[node].events("place_evacuated");
            let named: Vec<&serde_json::Value> = lines.iter().map(|line| &line["place"]).collect();
            assert!(!named.contains(&&json!("north")) && !named.contains(&&json!("south")));
        }
        places.wait_used(SOON, "another place").await;
        let skipped = places.fleet.nodes.iter().flat_map(|node| node.events("evacuation_unread"));
        let keys: Vec<String> =
            skipped.map(|line| line["key"].as_str().unwrap().to_owned()).collect();
        for key in ["evacuate/", "evacuate/two words", "evacuate/west"] {
            assert!(keys.iter().any(|skipped| skipped == key), "{key}: {keys:?}");
        }
        // The place is kept although no runner was known there.
        let east = add_runner(&mut places.fleet, "desk", "desk-e", "east").await;
        sleep(SOON).await;
        for _ in 0..20 {
            places.send_round().await;
        }
        assert_eq!(east.visits().len(), 0);
        places.withdraw("east");
        wait_until("the runner to be used", APPLY_LIMIT, async || {
            places.send_round().await;
            (!east.visits().is_empty()).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}

/// Sends requests to a node from its start on until it has served some for a while; none may reach
/// the evacuated place.
async fn check_fresh_node(places: &TwoPlaces, node: usize) {
    let visits = places.visits();
    let begun = Instant::now();
    let mut served = 0;
    while served < 100 {
        assert!(begun.elapsed() < Duration::from_secs(20), "{served} served");
        let requests = (0..4).map(|_| CallerRequest::booking(&next_attempt()));
        let send = async |request: CallerRequest| places.fleet.send(node, &request).await;
        let answers = join_all(requests.map(send)).await;
        served += answers.iter().filter(|answer| answer.status == 200).count();
        assert_eq!(places.visits(), visits, "after {:?}, {served} served", begun.elapsed());
        sleep(ROUND_PAUSE / 10).await;
    }
}

/// Guards against a fresh node that serves before it knows the evacuation.
#[test]
fn a_node_that_starts_during_an_evacuation_sends_nothing_to_the_place() {
    kernel::run(async {
        let mut places = TwoPlaces::start(2).await;
        places.evacuate("north");
        sleep(SOON).await;
        let node = places.fleet.add_node().unwrap();
        check_fresh_node(&places, node).await;
    })
    .unwrap();
}

/// The same for a node that only other nodes can tell.
#[test]
fn a_node_that_starts_during_an_evacuation_and_is_rejected_by_the_store_sends_nothing_there() {
    kernel::run(async {
        let mut places = TwoPlaces::start(2).await;
        places.evacuate("north");
        sleep(SOON).await;
        let _store = places.add_rejected_node(StoreFault::Busy).await;
        check_fresh_node(&places, 2).await;
    })
    .unwrap();
}

/// The same for the only node, which has nobody but the store.
#[test]
fn a_single_node_that_starts_again_during_an_evacuation_sends_nothing_to_the_place() {
    kernel::run(async {
        let mut places = TwoPlaces::start(1).await;
        places.evacuate("north");
        sleep(SOON).await;
        places.fleet.nodes.clear();
        places.fleet.add_node().unwrap();
        check_fresh_node(&places, 0).await;
    })
    .unwrap();
}

/// Guards against an evacuation or its end being lost as the nodes that read the store are
/// replaced one after the other.
#[test]
fn nodes_that_replace_all_others_know_the_evacuation_and_its_end() {
    kernel::run(async {
        let mut places = TwoPlaces::start(3).await;
        places.evacuate("north");
        sleep(SOON).await;
        for node in 0..3 {
            drop(places.fleet.nodes.remove(node));
            let started = places.fleet.start_node(node, &[], true).unwrap();
            places.fleet.nodes.insert(node, started);
            check_fresh_node(&places, node).await;
        }
        places.withdraw("north");
        places.wait_used(APPLY_LIMIT, "the place afterwards").await;
    })
    .unwrap();
}
