//! A node that is cut off from all runners, while callers, the store and the other nodes reach it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use futures_util::future::join_all;
use harness::{CallerRequest, LinkState, NodeFleet, TestLink, WholeAnswer, wait_until};
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(10);
/// Nodes of a fleet.
const NODES: usize = 3;
/// The node that is cut off, and one that is not.
const CUT: usize = 0;
const OTHER: usize = 1;
/// Runners of each service.
const RUNNERS: u8 = 3;
/// Time after the begin of the cut from which callers of all nodes have to be served.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Pause between two requests to one node.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests to each node whose answers count.
const REQUESTS: usize = 30;
/// Time in which what cannot be served has to be refused.
const REFUSE_WITHIN: Duration = Duration::from_secs(2);

/// Nodes before runners behind links that can be cut for single nodes.
struct CutFleet {
    fleet: NodeFleet,
    runners: Vec<RunnerFake>,
    links: Vec<TestLink>,
}

impl CutFleet {
    async fn start() -> Self {
        let fleet = NodeFleet::start().await.unwrap();
        let mut cut = Self { fleet, runners: Vec::new(), links: Vec::new() };
        for number in 0..RUNNERS {
            cut.add_runner("desk", 2 * number).await;
            cut.add_runner("llm", 2 * number + 1).await;
        }
        for _ in 0..NODES {
            let number = cut.fleet.add_node().unwrap();
            cut.set(number, LinkState::Open);
        }
        cut.fleet.wait_ready().await.unwrap();
        cut
    }

    async fn add_runner(&mut self, service: &str, number: u8) {
        let settings = RunnerFakeSettings::new(&format!("{service}-{number}"));
        let runner = self.fleet.prepare_runner(settings).await.unwrap();
        let link = self.fleet.start_runner_link(number, &runner).await.unwrap();
        let mut entry = runner.entry(service, "north", "ready");
        entry["address"] = json!(link.address());
        self.fleet.store.put_json("keyed.servers", runner.id(), &entry);
        self.runners.push(runner);
        self.links.push(link);
    }

    /// Changes what all links to runners do for one node.
    fn set(&self, node: usize, state: LinkState) {
        let pid = self.fleet.nodes[node].pid();
        self.links.iter().for_each(|link| link.set_for(pid, state));
    }

    /// Sends requests of all kinds to a node, one after each pause.
    async fn send_all(&self, node: usize, name: &str, count: usize) -> Vec<WholeAnswer> {
        let send = async |number: usize| {
            let pauses = u32::try_from(number).unwrap();
            compio::time::sleep(PAUSE * pauses).await;
            self.fleet.send(node, &request(&format!("{name}-{node}-{number}"), number)).await
        };
        join_all((0..count).map(send)).await
    }

    /// The most runs of one request, without the repeat that a look-up may have.
    fn most_runs(&self) -> usize {
        let mut runs: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for visit in self.runners.iter().flat_map(RunnerFake::visits).filter(|visit| visit.ran) {
            let attempt = visit.request.header("x-dotterelyard-attempt-id").to_owned();
            let (count, repeats) = runs.entry(attempt).or_default();
            *count += 1;
            *repeats = usize::from(visit.request.path.starts_with("/look/"));
        }
        let counted = runs.into_values().map(|(count, repeats)| count - repeats);
        counted.max().unwrap_or_default()
    }
}

/// A request of each kind in turn.
fn request(attempt: &str, number: usize) -> CallerRequest {
    match number % 3 {
        0 => CallerRequest::lookup(attempt),
        1 => CallerRequest::booking(attempt),
        _ => CallerRequest::stream(attempt).with("x-dotterelyard-length-hint", "10"),
    }
}

/// Requests that were answered with success and as a whole.
fn served(answers: &[WholeAnswer]) -> usize {
    answers.iter().filter(|answer| answer.status == 200 && answer.complete).count()
}

/// Cuts a node off from all runners, and counts whom it and another one serve.
fn check_cut(state: LinkState) {
    kernel::run(async {
        let cut = CutFleet::start().await;
        cut.send_all(CUT, "before", 6).await;
        cut.set(CUT, state);
        let begun = Instant::now();
        let mut round = 0;
        while begun.elapsed() < KNOWN_AFTER {
            // Callers do not wait for one another.
            let name = format!("round{round}");
            let sent = cut.send_all(CUT, &name, 6);
            let _ = compio::time::timeout(Duration::from_millis(500), sent).await;
            round += 1;
        }
        let (own, others) = futures_util::future::join(
            cut.send_all(CUT, "cut", REQUESTS),
            cut.send_all(OTHER, "other", REQUESTS),
        )
        .await;
        let failed = others.iter().find(|answer| answer.status != 200);
        assert!(failed.is_none(), "at a node that is not cut off: {failed:?}");
        let (own, others) = (served(&own), served(&others));
        assert!(3 * own >= 2 * others, "{state:?}: {own} served, {others} at another node");
        assert_eq!(cut.most_runs(), 1);
    })
    .unwrap();
}

#[test]
fn callers_of_a_node_whose_connections_to_all_runners_are_closed_are_served() {
    check_cut(LinkState::Cut);
}

#[test]
fn callers_of_a_node_whose_connections_to_all_runners_hang_are_served() {
    check_cut(LinkState::Lost);
}

#[test]
fn callers_of_a_node_that_gets_no_new_connection_to_runners_are_served() {
    check_cut(LinkState::NewCut);
}

#[test]
fn a_node_sends_to_the_runners_itself_once_it_reaches_them_again() {
    kernel::run(async {
        let cut = CutFleet::start().await;
        cut.set(CUT, LinkState::Cut);
        wait_until("the cut to be seen", LIMIT, async || {
            cut.send_all(CUT, "before", 3).await;
            (!cut.fleet.nodes[CUT].events("runners_unreached").is_empty()).then_some(())
        })
        .await
        .unwrap();
        cut.set(CUT, LinkState::Open);
        wait_until("the end of the cut to be seen", LIMIT, async || {
            (!cut.fleet.nodes[CUT].events("runners_reached").is_empty()).then_some(())
        })
        .await
        .unwrap();
        let relayed = cut.fleet.nodes[CUT].events("relayed").len();
        let answers = cut.send_all(CUT, "after", REQUESTS).await;
        assert_eq!(served(&answers), REQUESTS);
        assert_eq!(cut.fleet.nodes[CUT].events("relayed").len(), relayed);
    })
    .unwrap();
}

/// To a node that is cut off, each runner that it is connected to looks crashed.
#[test]
fn a_node_that_is_cut_off_does_not_take_the_runners_for_crashed() {
    kernel::run(async {
        let cut = CutFleet::start().await;
        cut.send_all(CUT, "before", 6).await;
        cut.set(CUT, LinkState::Cut);
        for round in 0..5 {
            cut.send_all(CUT, &format!("round{round}"), 12).await;
        }
        compio::time::sleep(Duration::from_secs(1)).await;
        let blocked = cut.fleet.nodes[OTHER].events("request_blocked");
        assert!(blocked.is_empty(), "{blocked:?}");
    })
    .unwrap();
}

#[test]
fn what_no_node_can_send_to_a_runner_is_refused_soon() {
    kernel::run(async {
        let cut = CutFleet::start().await;
        cut.send_all(CUT, "before", 6).await;
        (0..NODES).for_each(|node| cut.set(node, LinkState::Cut));
        for node in 0..NODES {
            cut.send_all(node, "warm", 6).await;
        }
        compio::time::sleep(KNOWN_AFTER).await;
        let sent = Instant::now();
        for answer in cut.send_all(CUT, "cut", 3).await {
            assert_ne!(answer.status, 200);
        }
        assert!(sent.elapsed() < REFUSE_WITHIN, "{:?}", sent.elapsed());
    })
    .unwrap();
}

/// Guards against a node that assigns a call again and again without a pause, and so answers
/// nothing and nobody any more, while connections to all runners hang and no other node reaches them.
#[test]
fn a_node_stays_responsive_while_connections_to_all_runners_hang() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..RUNNERS {
            let settings = RunnerFakeSettings::new(&format!("desk-{number}"));
            runners.push(fleet.add_runner("desk", settings).await.unwrap());
        }
        for _ in 0..NODES {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        for runner in &runners {
            runner.stop_accepting().await;
        }
        let begun = Instant::now();
        let send = async |number: usize| {
            compio::time::sleep(PAUSE * u32::try_from(number).unwrap()).await;
            fleet.send(number % NODES, &CallerRequest::booking(&format!("a{number}"))).await.status
        };
        let calls = join_all((0..REQUESTS).map(send));
        let asked = async {
            let mut slowest = Duration::ZERO;
            while begun.elapsed() < KNOWN_AFTER {
                let asked = Instant::now();
                fleet.readiness(CUT).await;
                slowest = slowest.max(asked.elapsed());
                compio::time::sleep(PAUSE).await;
            }
            slowest
        };
        let (statuses, slowest) = futures_util::future::join(calls, asked).await;
        assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
        assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    })
    .unwrap();
}

/// Guards against callers that come back while nothing has changed, and are refused for good.
#[test]
fn what_no_node_can_send_for_a_while_may_come_back_later_than_at_first() {
    /// Time for which the loss has lasted at least, and after which callers may come back.
    const LOST_FOR: Duration = Duration::from_secs(2);
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let settings = RunnerFakeSettings::new("desk-1");
        let runner = fleet.add_runner("desk", settings).await.unwrap();
        for _ in 0..NODES {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        runner.stop_accepting().await;
        fleet.send(CUT, &CallerRequest::booking("first")).await;
        compio::time::sleep(LOST_FOR).await;
        let answer = fleet.send(CUT, &CallerRequest::booking("later")).await;
        let least = LOST_FOR.as_secs_f64();
        assert_eq!((answer.status, answer.retry_after >= Some(least)), (503, true), "{answer:?}");
    })
    .unwrap();
}
