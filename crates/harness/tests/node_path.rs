//! The whole path on the users' platform, by real nodes before stand-ins.

use std::time::Duration;

use fakes::platform::{RunnerFakeSettings, RunnerScript};
use harness::{CallerRequest, NodeFleet, config, wait_until};
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(10);

fn quick(id: &str) -> RunnerFakeSettings {
    RunnerFakeSettings::new(id)
}

/// The numbers of the events of a stream.
fn numbers(text: &str) -> Vec<u64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|number| number.parse().ok()).collect()
}

#[test]
fn a_plain_call_reaches_its_runner_with_the_headers_that_the_node_sets() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let desk = fleet.add_runner("desk", quick("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let request = CallerRequest::booking("a1")
            .with("x-dotterelyard-tenant", "someone-else")
            .with("kv-from", "1.2.3.4:5/h")
            .with("x-dotterelyard-hold", "h")
            .with("x-own", "kept");
        let answer = fleet.send(0, &request).await;
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(answer.text, "answer of desk-1 to a1 /book/job");
        let visit = &desk.visits()[0].request;
        let seen = json!({
            "method": visit.method,
            "path": visit.path,
            "body": String::from_utf8_lossy(&visit.body),
            "key": visit.header("authorization"),
            "workspace": visit.header("x-dotterelyard-tenant"),
            "runner": visit.header("x-dotterelyard-expect-instance"),
            "resume": visit.header("kv-from"),
            "hold": visit.header("x-dotterelyard-hold"),
            "own": visit.header("x-own"),
            "host": visit.header("host"),
        });
        insta::assert_json_snapshot!(seen);
    })
    .unwrap();
}

#[test]
fn what_the_configuration_does_not_allow_is_answered_at_once() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let desk = fleet.add_runner("desk", quick("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let booking = || CallerRequest::booking("a1");
        let mut unknown = booking();
        unknown.path = "/nowhere/x".to_owned();
        let mut long = booking();
        long.body = vec![b'x'; 5_000];
        let cases = [
            ("unknown route", unknown),
            ("unknown host", booking().with("host", "other.example")),
            ("unknown key", booking().with("authorization", "Bearer nobody")),
            ("no key", booking().with("authorization", "")),
            ("long body", long),
        ];
        let mut statuses = Vec::new();
        for (case, request) in cases {
            statuses.push((case, fleet.send(0, &request).await.status));
        }
        insta::assert_json_snapshot!(statuses);
        assert_eq!(desk.runs(), 0);
    })
    .unwrap();
}

#[test]
fn a_node_without_configuration_says_so_and_when_to_come_back() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        fleet.store.put("keyed.op", "config", None);
        fleet.add_node().unwrap();
        wait_until("the node to listen", LIMIT, async || {
            (fleet.readiness(0).await == 503).then_some(())
        })
        .await
        .unwrap();
        let answer = fleet.send(0, &CallerRequest::booking("a1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.is_some_and(|seconds| seconds > 0.0 && seconds < 1.0));
        fleet.store.put_json("keyed.op", "config", &config(2));
        fleet.wait_ready().await.unwrap();
    })
    .unwrap();
}

#[test]
fn a_stream_passes_every_event_once_and_in_order() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let llm = fleet.add_runner("llm", quick("llm-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let answer = fleet.send(0, &CallerRequest::stream("s1")).await;
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(numbers(&answer.text), (1..=30).collect::<Vec<_>>());
        assert_eq!(llm.runs(), 1);
    })
    .unwrap();
}

#[test]
fn a_caller_that_leaves_ends_the_work_at_the_runner() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut slow = quick("llm-1");
        slow.events = 1_000;
        let llm = fleet.add_runner("llm", slow).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let response = fleet.open(0, &CallerRequest::stream("s1")).await.unwrap();
        assert_eq!(llm.working(), 1);
        drop(response);
        // The caller's connection closes when its client sees the body dropped.
        let left = wait_until("the run to end", Duration::from_millis(500), async || {
            (llm.working() == 0).then_some(())
        });
        left.await.unwrap();
    })
    .unwrap();
}

#[test]
fn the_nodes_tell_callers_of_each_other_and_of_a_planned_stop() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut slow = quick("desk-1");
        slow.work = Duration::from_millis(1_500);
        let desk = fleet.add_runner("desk", slow).await.unwrap();
        for _ in 0..3 {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        let request = CallerRequest::booking("a1");
        let (answer, ()) = futures_util::join!(fleet.send(1, &request), async {
            wait_until("the booking to run", LIMIT, async || (desk.runs() == 1).then_some(()))
                .await
                .unwrap();
            fleet.nodes[1].signal(rustix::process::Signal::TERM).unwrap();
            wait_until("the node to leave the look-ups", LIMIT, async || {
                (fleet.lookup(0).await.len() == 2).then_some(())
            })
            .await
            .unwrap();
        });
        assert_eq!((answer.status, answer.complete), (200, true), "the stop cut a request");
        wait_until("the node to end", LIMIT, async || fleet.nodes[1].ended()).await.unwrap();
    })
    .unwrap();
}

#[test]
fn a_failed_lookup_goes_to_another_runner_and_a_booking_does_not() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let one = fleet.add_runner("desk", quick("desk-1")).await.unwrap();
        let two = fleet.add_runner("desk", quick("desk-2")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        // The share of the budget without slack needs some requests first.
        for number in 0..20 {
            fleet.send(0, &CallerRequest::lookup(&format!("w{number}"))).await;
        }
        for runner in [&one, &two] {
            runner.script(&[RunnerScript::Failure]);
        }
        let before = one.runs() + two.runs();
        let lookup = fleet.send(0, &CallerRequest::lookup("a1")).await;
        assert_eq!(one.runs() + two.runs() - before, 2, "{lookup:?}");
        for runner in [&one, &two] {
            runner.script(&[RunnerScript::Failure; 4]);
        }
        let before = one.runs() + two.runs();
        let booking = fleet.send(0, &CallerRequest::booking("a2")).await;
        assert_eq!((booking.status, one.runs() + two.runs() - before), (500, 1));
    })
    .unwrap();
}
