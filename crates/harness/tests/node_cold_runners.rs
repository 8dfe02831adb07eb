//! Runners that are cold after their start, or turn cold, and crash if they get too many requests.

use std::time::{Duration, Instant};

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use futures_util::future::join_all;
use harness::{CallerRequest, NodeFleet, config, wait_until};
use serde_json::json;

/// Nodes of a fleet.
const NODES: usize = 6;
/// Requests a second that a cold runner takes, and the most that it bears in any second.
const COLD_RATE: f64 = 4.0;
const BEARS: usize = 11;
const COLD_SPAN: Duration = Duration::from_millis(1_500);
/// Pause between two requests of a node; all nodes send 150 a second.
const PAUSE: Duration = Duration::from_millis(40);
/// Time after which the nodes know that a runner has turned cold.
const KNOWN_AFTER: Duration = Duration::from_secs(1);
/// Time for which a node sends nothing to cold runners after its start.
const SETTLE: Duration = Duration::from_secs(2);

async fn fleet_of(runners: usize) -> (NodeFleet, Vec<RunnerFake>) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut config = config(2);
    config["services"][0]["coldStartS"] = json!(COLD_SPAN.as_secs_f64());
    config["services"][0]["coldPerS"] = json!(COLD_RATE);
    fleet.store.put_json("keyed.op", "config", &config);
    let mut started = Vec::new();
    for number in 0..runners {
        let settings = RunnerFakeSettings::new(&format!("warm-{number}"));
        started.push(fleet.add_runner("desk", settings).await.unwrap());
    }
    for _ in 0..NODES {
        fleet.add_node().unwrap();
    }
    fleet.wait_ready().await.unwrap();
    compio::time::sleep(SETTLE).await;
    (fleet, started)
}

/// Sends look-ups to all nodes for `span`; returns the statuses.
async fn send_for(fleet: &NodeFleet, span: Duration) -> Vec<u16> {
    let end = Instant::now() + span;
    let statuses = (0..NODES).map(async |node| {
        let mut statuses = Vec::new();
        let mut number = 0;
        while Instant::now() < end {
            let attempt = format!("{node}-{number}");
            let request = CallerRequest::lookup(&attempt);
            statuses.push(fleet.send(node, &request).await.status);
            compio::time::sleep(PAUSE).await;
            number += 1;
        }
        statuses
    });
    join_all(statuses).await.into_iter().flatten().collect()
}

/// The most requests that reached the runner in a second that begins after `from`.
fn most_in_second(runner: &RunnerFake, from: Instant, end: Instant) -> usize {
    let visits = runner.visits();
    let times: Vec<Instant> = visits.iter().map(|visit| visit.at).collect();
    let in_second = |begin: &Instant| {
        let last = (*begin + Duration::from_secs(1)).min(end);
        times.iter().filter(|at| **at >= *begin && **at < last).count()
    };
    times.iter().filter(|at| **at >= from).map(in_second).max().unwrap_or_default()
}

/// Guards against crashes of a whole place whose runners come back cold and empty at once.
#[test]
fn a_place_that_comes_back_cold_is_not_overrun() {
    kernel::run(async {
        let (mut fleet, warm) = fleet_of(2).await;
        let mut cold = Vec::new();
        for number in 0..6 {
            let settings = RunnerFakeSettings::new(&format!("cold-{number}"));
            cold.push(fleet.prepare_runner(settings).await.unwrap());
        }
        let return_cold = async {
            compio::time::sleep(Duration::from_secs(1)).await;
            for runner in &cold {
                runner.become_cold(COLD_SPAN, BEARS);
                fleet.tell(runner, "desk", "ready");
            }
            Instant::now()
        };
        let span = Duration::from_secs(1) + COLD_SPAN + Duration::from_secs(3);
        let (statuses, came_back) = futures_util::join!(send_for(&fleet, span), return_cold);
        let most: Vec<usize> = cold.iter().map(RunnerFake::most_cold_requests).collect();
        assert!(!cold.iter().any(RunnerFake::has_crashed), "requests in a second: {most:?}");
        assert!(most.iter().sum::<usize>() > 0, "no cold runner was used: {most:?}");
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(served, statuses.len(), "the warm runners take the rest");
        // They are used in full once they are warm, however many requests the callers manage to send.
        let got = |runner: &RunnerFake| {
            let visits = runner.visits();
            visits.iter().filter(|visit| visit.at >= came_back + COLD_SPAN).count()
        };
        let all: Vec<usize> = warm.iter().chain(&cold).map(got).collect();
        let least = (all.iter().sum::<usize>() / all.len() / 3).max(1);
        for runner in &cold {
            assert!(got(runner) >= least, "{} got {} of {all:?}", runner.id(), got(runner));
        }
        let source = |node: usize| fleet.nodes[node].events("runner_cold");
        assert!((0..NODES).all(|node| !source(node).is_empty()));
    })
    .unwrap();
}

/// Guards against a runner in full use that gets as much after it has turned cold.
#[test]
fn a_runner_that_turns_cold_in_the_middle_gets_less() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(3).await;
        let span = Duration::from_secs(3);
        let turn_cold = async {
            compio::time::sleep(Duration::from_secs(1)).await;
            runners[0].become_cold(span, usize::MAX);
            let turned = Instant::now();
            fleet.tell(&runners[0], "desk", "ready");
            turned
        };
        let sent_for = Duration::from_secs(2) + span;
        let (statuses, turned) = futures_util::join!(send_for(&fleet, sent_for), turn_cold);
        let before = most_in_second(
            &runners[0],
            turned.checked_sub(Duration::from_secs(1)).unwrap(),
            turned,
        );
        assert!(before > BEARS, "{before}: too few requests for this test");
        let most = most_in_second(&runners[0], turned + KNOWN_AFTER, turned + span);
        assert!((1..=BEARS).contains(&most), "{most} requests in a second");
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(served, statuses.len(), "the other runners take the rest");
    })
    .unwrap();
}

/// Guards against calls that wait for their deadline if all runners are cold.
#[test]
fn calls_that_no_cold_runner_can_take_are_refused_at_once() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(1).await;
        runners[0].become_cold(Duration::from_secs(30), BEARS);
        fleet.tell(&runners[0], "desk", "ready");
        wait_until("all nodes to know", Duration::from_secs(5), async || {
            let knows = |node: usize| !fleet.nodes[node].events("runner_cold").is_empty();
            (0..NODES).all(knows).then_some(())
        })
        .await
        .unwrap();
        let mut refused = 0;
        for number in 0..60 {
            let request = CallerRequest::lookup(&format!("cold-{number}"));
            let sent = Instant::now();
            let answer = fleet.send(number % NODES, &request).await;
            if answer.status == 503 {
                refused += 1;
                assert!(sent.elapsed() < Duration::from_millis(700), "{:?}", sent.elapsed());
                assert!(answer.retry_after.is_some_and(|wait| wait > 0.0));
            } else {
                assert_eq!(answer.status, 200);
            }
        }
        assert!(refused > 30, "{refused} refused");
        assert!(!runners[0].has_crashed(), "{}", runners[0].most_cold_requests());
    })
    .unwrap();
}
