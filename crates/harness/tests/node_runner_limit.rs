//! Runners that name in their answers how many requests a second they take from all nodes.

use std::time::{Duration, Instant};

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript, StoreFault};
use harness::{CallerRequest, NodeFleet, WholeAnswer, wait_until};

const LIMIT: Duration = Duration::from_secs(10);
/// Nodes of a fleet.
const NODES: usize = 3;
/// Pause between two requests to one node.
const PAUSE: Duration = Duration::from_millis(25);
/// Time from the first word of a runner until its limit has to be kept.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Window in which the requests to a runner are counted, and what may reach it then beyond one
/// and a half times its limit.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 5.0;

/// What came of the requests of all callers.
#[derive(Debug, Default)]
struct Outcomes {
    served: usize,
    /// `Retry-After` and time taken of the refused ones.
    refused: Vec<(Option<f64>, Duration)>,
    other: Vec<u16>,
}

impl Outcomes {
    fn add(&mut self, answer: &WholeAnswer, took: Duration) {
        match answer.status {
            200 => self.served += 1,
            503 => self.refused.push((answer.retry_after, took)),
            status => self.other.push(status),
        }
    }
}

async fn fleet_of(runners: usize) -> (NodeFleet, Vec<RunnerFake>) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut started = Vec::new();
    for number in 1..=runners {
        let settings = RunnerFakeSettings::new(&format!("desk-{number}"));
        started.push(fleet.add_runner("desk", settings).await.unwrap());
    }
    for _ in 0..NODES {
        fleet.add_node().unwrap();
    }
    fleet.wait_ready().await.unwrap();
    (fleet, started)
}

/// Sends look-ups to one node one after another until `end`.
async fn send_until(fleet: &NodeFleet, node: usize, caller: usize, end: Instant) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for number in 0.. {
        let sent = Instant::now();
        if sent >= end {
            break;
        }
        let attempt = format!("{node}-{caller}-{number}");
        let request = CallerRequest::lookup(&attempt).with("x-dotterelyard-deadline-ms", "1000");
        let answer = fleet.send(node, &request).await;
        outcomes.add(&answer, sent.elapsed());
        compio::time::sleep(PAUSE).await;
    }
    outcomes
}

/// Sends look-ups from two callers to each of the nodes for `span`.
async fn send_for(fleet: &NodeFleet, nodes: &[usize], span: Duration) -> Outcomes {
    let end = Instant::now() + span;
    let callers = nodes.iter().flat_map(|node| [(*node, 1), (*node, 2)]);
    let sends = callers.map(|(node, caller)| send_until(fleet, node, caller, end));
    let mut all = Outcomes::default();
    for outcomes in futures_util::future::join_all(sends).await {
        all.served += outcomes.served;
        all.refused.extend(outcomes.refused);
        all.other.extend(outcomes.other);
    }
    all
}

/// The most requests that reached the runner in a window that begins after `from`.
fn most_in_window(runner: &RunnerFake, from: Instant) -> usize {
    let visits: Vec<Instant> = runner.visits().iter().map(|visit| visit.at).collect();
    let in_window = |begin: &Instant| {
        visits.iter().filter(|at| **at >= *begin && **at < *begin + WINDOW).count()
    };
    visits.iter().filter(|at| **at >= from).map(in_window).max().unwrap_or_default()
}

fn assert_kept(runner: &RunnerFake, limit: f64, from: Instant) {
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + SLACK;
    let most = most_in_window(runner, from);
    assert!(most as f64 <= allowed, "{} got {most} in a window, allowed {allowed}", runner.id());
}

const ALL_NODES: [usize; NODES] = [0, 1, 2];

#[test]
fn a_runner_gets_no_more_than_the_limit_that_it_names_and_the_others_take_the_rest() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(2).await;
        runners[0].name_limit(Some("4"));
        let named = Instant::now();
        let span = KNOWN_AFTER + 2 * WINDOW;
        let outcomes = send_for(&fleet, &ALL_NODES, span).await;
        assert_kept(&runners[0], 4.0, named + KNOWN_AFTER);
        assert!(outcomes.served > 300, "{}", outcomes.served);
        assert_eq!((outcomes.refused.len(), outcomes.other.len()), (0, 0), "{outcomes:?}");
        // It is in need, but it takes requests: it is not left out.
        let later =
            runners[0].visits().iter().filter(|visit| visit.at >= named + KNOWN_AFTER).count();
        assert!(later as f64 >= 0.25 * 4.0 * 2.0 * WINDOW.as_secs_f64(), "{later}");
    })
    .unwrap();
}

#[test]
fn requests_beyond_the_limits_of_all_runners_are_refused_at_once() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(2).await;
        runners[0].name_limit(Some("4"));
        runners[1].name_limit(Some("6.5"));
        let named = Instant::now();
        let outcomes = send_for(&fleet, &ALL_NODES, KNOWN_AFTER + 2 * WINDOW).await;
        assert_kept(&runners[0], 4.0, named + KNOWN_AFTER);
        assert_kept(&runners[1], 6.5, named + KNOWN_AFTER);
        assert!(outcomes.other.is_empty(), "{:?}", outcomes.other);
        let refused = &outcomes.refused;
        assert!(refused.len() > 100, "{}", refused.len());
        assert!(refused.iter().all(|(retry_after, _)| retry_after.is_some_and(|wait| wait > 0.0)));
        let late = refused.iter().filter(|(_, took)| *took > Duration::from_millis(700)).count();
        assert_eq!(late, 0, "held back before they were refused");
        let span = (KNOWN_AFTER + 2 * WINDOW).as_secs_f64();
        assert!(outcomes.served as f64 > 0.5 * 10.5 * span, "{}", outcomes.served);
    })
    .unwrap();
}

#[test]
fn nodes_tell_each_other_the_limits_that_runners_name() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(1).await;
        fleet.store.set_fault(StoreFault::Silent);
        runners[0].name_limit(Some("4"));
        assert_eq!(fleet.send(0, &CallerRequest::lookup("first")).await.status, 200);
        for node in ALL_NODES {
            let runner = runners[0].id().into();
            fleet.wait_event(node, "limit_named", "runner", &runner).await.unwrap();
        }
        let named = Instant::now();
        send_for(&fleet, &[1, 2], WINDOW).await;
        assert_kept(&runners[0], 4.0, named);
    })
    .unwrap();
}

#[test]
fn a_runner_that_names_its_limit_no_more_is_used_as_before() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(1).await;
        runners[0].name_limit(Some("4"));
        send_for(&fleet, &ALL_NODES, WINDOW).await;
        runners[0].name_limit(None);
        wait_until("all nodes to know", LIMIT, async || {
            for node in ALL_NODES {
                drop(fleet.open(node, &CallerRequest::lookup("again")).await);
            }
            let knows = |node: usize| !fleet.nodes[node].events("limit_ended").is_empty();
            ALL_NODES.into_iter().all(knows).then_some(())
        })
        .await
        .unwrap();
        let outcomes = send_for(&fleet, &ALL_NODES, WINDOW).await;
        assert!(outcomes.served > 150, "{outcomes:?}");
        assert!(outcomes.refused.is_empty(), "{outcomes:?}");
    })
    .unwrap();
}

#[test]
fn an_error_that_names_no_limit_does_not_end_one() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(1).await;
        runners[0].name_limit(Some("40"));
        assert_eq!(fleet.send(0, &CallerRequest::booking("first")).await.status, 200);
        runners[0].name_limit(None);
        for script in [RunnerScript::Failure, RunnerScript::Refuse] {
            runners[0].script(&[script]);
            let answer = fleet.send(0, &CallerRequest::booking("error")).await;
            assert!(answer.status >= 500, "{}", answer.status);
            // An ejected runner is back after a second.
            compio::time::sleep(Duration::from_millis(1_100)).await;
            runners[0].clear_scripts();
        }
        assert!(fleet.nodes[0].events("limit_ended").is_empty());
        assert_eq!(fleet.send(0, &CallerRequest::booking("last")).await.status, 200);
        let runner = runners[0].id().into();
        fleet.wait_event(0, "limit_ended", "runner", &runner).await.unwrap();
    })
    .unwrap();
}

#[test]
fn a_limit_of_zero_lets_a_request_through_now_and_then() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(1).await;
        runners[0].name_limit(Some("0"));
        let named = Instant::now();
        send_for(&fleet, &ALL_NODES, KNOWN_AFTER + 2 * WINDOW).await;
        assert_kept(&runners[0], 0.0, named + KNOWN_AFTER);
        runners[0].name_limit(None);
        wait_until("the runner to be used again", LIMIT, async || {
            let answer = fleet.send(0, &CallerRequest::lookup("again")).await;
            (answer.status == 200).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}
