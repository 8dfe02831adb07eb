//! Runners that state in their answers for how long they want no requests.

mod runner_pair;

use std::time::{Duration, Instant};

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{CallerRequest, NodeFleet, wait_until};
use runner_pair::{LATER_REQUESTS, LIMIT, has_run, later_visits, long, pair, reach, short};
use serde_json::json;

/// Sends lookups one after another until `end` and gives the statuses.
async fn send_until(fleet: &NodeFleet, end: Instant) -> Vec<u16> {
    let mut statuses = Vec::new();
    while Instant::now() < end {
        let attempt = format!("u{}", statuses.len());
        statuses.push(fleet.send(0, &CallerRequest::lookup(&attempt)).await.status);
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    statuses
}
#[test]
fn a_runner_that_names_a_wait_gets_nothing_before_its_end_and_is_used_afterwards() {
    kernel::run(async {
        let (fleet, [waiting, _other]) = pair("desk").await;
        waiting.turn_away(Some("2.5"));
        reach(&fleet, &waiting, CallerRequest::lookup).await;
        waiting.turn_away(None);
        let begun = waiting.visits()[0].at;
        let statuses = send_until(&fleet, begun + Duration::from_millis(2_400)).await;
        assert!(statuses.len() > 20);
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        assert_eq!(waiting.visits().len(), 1);
        wait_until("the runner to be used again", LIMIT, async || {
            drop(fleet.open(0, &CallerRequest::lookup("again")).await);
            (waiting.visits().len() > 1).then_some(())
        })
        .await
        .unwrap();
        assert!(waiting.visits()[1].at >= begun + Duration::from_millis(2_500));
        fleet.wait_event(0, "wait_begun", "runner", &"runner-1".into()).await.unwrap();
        fleet.wait_event(0, "wait_ended", "runner", &"runner-1".into()).await.unwrap();
    })
    .unwrap();
}
#[test]
fn a_call_is_refused_at_once_with_the_earliest_end_when_all_runners_wait() {
    kernel::run(async {
        let (fleet, [first, second]) = pair("desk").await;
        first.turn_away(Some("4"));
        second.turn_away(Some("8"));
        reach(&fleet, &first, CallerRequest::booking).await;
        reach(&fleet, &second, CallerRequest::booking).await;
        let left = || {
            let end = first.visits()[0].at + Duration::from_secs(4);
            end.saturating_duration_since(Instant::now()).as_secs_f64()
        };
        let before = first.visits().len() + second.visits().len();
        for number in 0..LATER_REQUESTS {
            let sent = Instant::now();
            let earliest = left();
            let answer = fleet.send(0, &CallerRequest::booking(&format!("w{number}"))).await;
            assert_eq!(answer.status, 503);
            assert!(answer.text.contains("runners_wait"), "{}", answer.text);
            assert!(sent.elapsed() < Duration::from_millis(300), "{:?}", sent.elapsed());
            let named = answer.retry_after.unwrap();
            assert!(named >= earliest - 0.1 && named <= 1.5 * earliest + 0.5, "{named} {earliest}");
        }
        assert_eq!(first.visits().len() + second.visits().len(), before);
        assert_eq!(first.runs() + second.runs(), 0);
    })
    .unwrap();
}
#[test]
fn a_call_waits_in_the_node_for_a_wait_that_ends_in_time() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let runner = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        runner.turn_away(Some("0.3"));
        reach(&fleet, &runner, CallerRequest::lookup).await;
        runner.turn_away(None);
        let answer = fleet.send(0, &CallerRequest::lookup("a1")).await;
        assert_eq!(answer.status, 200);
        let visits = runner.visits();
        assert!(visits.last().unwrap().at >= visits[0].at + Duration::from_millis(300));
    })
    .unwrap();
}
#[test]
fn a_new_start_of_a_waiting_runner_does_not_wait() {
    kernel::run(async {
        let (fleet, [waiting, _other]) = pair("desk").await;
        waiting.turn_away(Some("30"));
        reach(&fleet, &waiting, CallerRequest::lookup).await;
        waiting.turn_away(None);
        assert_eq!(later_visits(&fleet, &waiting, CallerRequest::lookup).await, 0);
        let mut entry = waiting.entry("desk", "north", "ready");
        entry["born"] = json!(2_000);
        fleet.store.put_json("keyed.servers", waiting.id(), &entry);
        wait_until("the new start to be used", LIMIT, async || {
            drop(fleet.open(0, &CallerRequest::lookup("again")).await);
            (waiting.visits().len() > 1).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}
#[test]
fn nothing_reaches_a_waiting_runner_from_many_callers_at_once() {
    kernel::run(async {
        let (fleet, [waiting, _other]) = pair("desk").await;
        let begun = Instant::now();
        let callers = (0..8).map(|_| send_until(&fleet, begun + Duration::from_secs(3)));
        let (statuses, ()) = futures_util::join!(futures_util::future::join_all(callers), async {
            compio::time::sleep(Duration::from_millis(300)).await;
            waiting.turn_away(Some("2.2"));
        });
        let visits = waiting.visits();
        let refusal = visits.iter().find(|visit| !visit.ran).expect("it turned one away").at;
        let from = refusal + Duration::from_millis(500);
        let until = refusal + Duration::from_millis(2_200);
        let within = visits.iter().filter(|visit| visit.at >= from && visit.at < until).count();
        assert_eq!(within, 0);
        assert!(statuses.concat().len() > 100);
    })
    .unwrap();
}
#[test]
fn a_value_that_is_no_number_of_seconds_begins_no_wait() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let runner = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        for value in ["-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"] {
            let before = runner.visits().len();
            runner.turn_away(Some(value));
            let answer = fleet.send(0, &CallerRequest::booking(value)).await;
            assert_eq!(answer.status, 503, "{value}");
            assert!(runner.visits().len() > before, "{value}");
            runner.turn_away(None);
            let answer = fleet.send(0, &CallerRequest::lookup("a1")).await;
            assert_eq!(answer.status, 200, "{value}");
        }
        fleet.wait_event(0, "header_ignored", "header", &"retry-after".into()).await.unwrap();
        assert!(fleet.nodes[0].events("wait_begun").is_empty());
    })
    .unwrap();
}
#[test]
fn a_stream_is_refused_at_once_when_all_engines_wait() {
    kernel::run(async {
        let (fleet, [first, second]) = pair("llm").await;
        first.turn_away(Some("5"));
        second.turn_away(Some("5"));
        reach(&fleet, &first, CallerRequest::stream).await;
        reach(&fleet, &second, CallerRequest::stream).await;
        let before = first.visits().len() + second.visits().len();
        let answer = fleet.send(0, &CallerRequest::stream("s1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.text.contains("runners_wait"), "{}", answer.text);
        assert!(answer.retry_after.unwrap() > 3.0);
        assert_eq!(first.visits().len() + second.visits().len(), before);
    })
    .unwrap();
}
#[test]
fn a_stream_does_not_move_to_a_waiting_runner() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 1..=3 {
            runners.push(fleet.add_runner("llm", long(&format!("llm-{number}"))).await.unwrap());
        }
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let request = short("s1");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let leaving = wait_until("a runner to work", LIMIT, async || {
                runners.iter().find(|runner| runner.working() == 1)
            })
            .await
            .unwrap();
            let waiting = runners.iter().find(|runner| runner.id() != leaving.id()).unwrap();
            waiting.turn_away(Some("9"));
            reach(&fleet, waiting, short).await;
            waiting.turn_away(None);
            let before = waiting.visits().len();
            fleet.tell(leaving, "llm", "draining");
            wait_until("the stream to move", LIMIT, async || {
                let staying = |runner: &&RunnerFake| runner.id() != leaving.id();
                runners.iter().filter(staying).any(|runner| has_run(runner, "s1")).then_some(())
            })
            .await
            .unwrap();
            compio::time::sleep(Duration::from_millis(300)).await;
            leaving.crash();
            assert_eq!(waiting.visits().len(), before);
        });
        assert_eq!((answer.status, answer.complete), (200, true));
    })
    .unwrap();
}
#[test]
fn a_runner_that_turns_a_move_away_is_not_asked_again_before_the_end_of_its_wait() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 1..=3 {
            runners.push(fleet.add_runner("llm", long(&format!("llm-{number}"))).await.unwrap());
        }
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let request = short("s1");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let leaving = wait_until("a runner to work", LIMIT, async || {
                runners.iter().find(|runner| runner.working() == 1)
            })
            .await
            .unwrap();
            leaving.refuse_moves(true);
            leaving.turn_away(Some("1"));
            fleet.tell(leaving, "llm", "draining");
            let first = wait_until("a move", LIMIT, async || leaving.moves().first().copied())
                .await
                .unwrap();
            leaving.refuse_moves(false);
            wait_until("the stream to move", LIMIT, async || {
                let staying = |runner: &&RunnerFake| runner.id() != leaving.id();
                runners.iter().filter(staying).any(|runner| has_run(runner, "s1")).then_some(())
            })
            .await
            .unwrap();
            let is_early = |at: &&Instant| **at < first + Duration::from_secs(1);
            assert_eq!(leaving.moves().iter().filter(is_early).count(), 1);
            compio::time::sleep(Duration::from_millis(300)).await;
            leaving.crash();
        });
        assert_eq!((answer.status, answer.complete), (200, true));
    })
    .unwrap();
}
