//! What a runner says of itself in its answers: that it leaves, and for how long it wants no
//! requests.

use std::time::{Duration, Instant};

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript, StoreFault};
use harness::{CallerRequest, NodeFleet, wait_until};
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(10);
/// Requests that a runner which is out of use must not get.
const LATER_REQUESTS: usize = 12;

fn long(id: &str) -> RunnerFakeSettings {
    let mut settings = RunnerFakeSettings::new(id);
    settings.events = 350;
    settings
}

/// A fleet of one node and two runners of `service`.
async fn pair(service: &str) -> (NodeFleet, [RunnerFake; 2]) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let first = fleet.add_runner(service, long("runner-1")).await.unwrap();
    let second = fleet.add_runner(service, long("runner-2")).await.unwrap();
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, [first, second])
}

/// Sends requests until `runner` has got one.
async fn reach(fleet: &NodeFleet, runner: &RunnerFake, make: impl Fn(&str) -> CallerRequest) {
    for number in 0.. {
        if !runner.visits().is_empty() {
            return;
        }
        assert!(number < 50, "no request reached {}", runner.id());
        drop(fleet.open(0, &make(&format!("r{number}"))).await);
    }
}

/// Sends further requests and gives the number that reached `runner`.
async fn later_visits(
    fleet: &NodeFleet,
    runner: &RunnerFake,
    make: impl Fn(&str) -> CallerRequest,
) -> usize {
    let before = runner.visits().len();
    for number in 0..LATER_REQUESTS {
        drop(fleet.open(0, &make(&format!("l{number}"))).await);
    }
    runner.visits().len() - before
}

/// The runner announces in its answer to a request of `make` that it leaves.
async fn announce_by(
    service: &str,
    value: &str,
    script: RunnerScript,
    store_fault: Option<StoreFault>,
    make: impl Fn(&str) -> CallerRequest,
) -> usize {
    let (fleet, [leaving, _staying]) = pair(service).await;
    if let Some(fault) = store_fault {
        fleet.store.set_fault(fault);
    }
    leaving.script(&[script]);
    leaving.announce_leaving(value);
    reach(&fleet, &leaving, &make).await;
    later_visits(&fleet, &leaving, &make).await
}

#[test]
fn a_runner_that_announces_in_any_answer_that_it_leaves_gets_no_further_request() {
    kernel::run(async {
        let cut = Some(StoreFault::Silent);
        let answered = RunnerScript::Answer;
        let plain = announce_by("desk", "1", answered, None, CallerRequest::lookup).await;
        assert_eq!(plain, 0, "2xx");
        let plain = announce_by("desk", "1", answered, cut, CallerRequest::lookup).await;
        assert_eq!(plain, 0, "2xx, store cut");
        let refused = RunnerScript::Refuse;
        let plain = announce_by("desk", "1", refused, cut, CallerRequest::booking).await;
        assert_eq!(plain, 0, "503");
        let failed = RunnerScript::Failure;
        let plain = announce_by("desk", "1", failed, None, CallerRequest::booking).await;
        assert_eq!(plain, 0, "500");
        let stream = announce_by("llm", "1", answered, None, CallerRequest::stream).await;
        assert_eq!(stream, 0, "head of a stream");
        let stream = announce_by("llm", "1", answered, cut, CallerRequest::stream).await;
        assert_eq!(stream, 0, "head of a stream, store cut");
    })
    .unwrap();
}

#[test]
fn another_value_of_the_header_does_not_take_a_runner_out() {
    kernel::run(async {
        let visits =
            announce_by("desk", "0", RunnerScript::Answer, None, CallerRequest::lookup).await;
        assert!(visits > 0);
    })
    .unwrap();
}

#[test]
fn a_runner_that_starts_again_is_used_again() {
    kernel::run(async {
        let (fleet, [leaving, _staying]) = pair("desk").await;
        leaving.announce_leaving("1");
        reach(&fleet, &leaving, CallerRequest::lookup).await;
        assert_eq!(later_visits(&fleet, &leaving, CallerRequest::lookup).await, 0);
        let mut entry = leaving.entry("desk", "north", "ready");
        entry["born"] = json!(2_000);
        fleet.store.put_json("keyed.servers", leaving.id(), &entry);
        let before = leaving.visits().len();
        wait_until("the new start to be used", LIMIT, async || {
            drop(fleet.open(0, &CallerRequest::lookup("again")).await);
            (leaving.visits().len() > before).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}

/// A stream that is too short for a copy from its start.
fn short(attempt: &str) -> CallerRequest {
    CallerRequest::stream(attempt).with("x-dotterelyard-length-hint", "10")
}

fn has_run(runner: &RunnerFake, attempt: &str) -> bool {
    let is_own = |id: &str| id == attempt;
    runner
        .visits()
        .iter()
        .any(|visit| visit.ran && is_own(visit.request.header("x-dotterelyard-attempt-id")))
}

#[test]
fn the_streams_of_a_runner_move_once_another_answer_says_that_it_leaves() {
    kernel::run(async {
        let (fleet, runners) = pair("llm").await;
        let request = short("s1");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let leaving = wait_until("a runner to work", LIMIT, async || {
                runners.iter().find(|runner| runner.working() == 1)
            })
            .await
            .unwrap();
            let staying = runners.iter().find(|runner| runner.id() != leaving.id()).unwrap();
            leaving.announce_leaving("1");
            let mut open = Vec::new();
            for number in 0..20 {
                if leaving.visits().len() > 1 {
                    break;
                }
                open.push(fleet.open(0, &short(&format!("n{number}"))).await);
            }
            wait_until("the stream to move", LIMIT, async || has_run(staying, "s1").then_some(()))
                .await
                .unwrap();
            compio::time::sleep(Duration::from_millis(300)).await;
            leaving.crash();
        });
        assert_eq!((answer.status, answer.complete), (200, true));
    })
    .unwrap();
}

#[test]
fn nodes_tell_each_other_which_runners_announced_in_an_answer_that_they_leave() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let leaving = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        let _staying = fleet.add_runner("desk", RunnerFakeSettings::new("desk-2")).await.unwrap();
        for _ in 0..2 {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        fleet.store.set_fault(StoreFault::Silent);
        leaving.announce_leaving("1");
        reach(&fleet, &leaving, CallerRequest::lookup).await;
        fleet.wait_event(1, "runner_changed", "state", &"leaving".into()).await.unwrap();
        let before = leaving.visits().len();
        for number in 0..LATER_REQUESTS {
            drop(fleet.open(1, &CallerRequest::lookup(&format!("p{number}"))).await);
        }
        assert_eq!(leaving.visits().len(), before);
    })
    .unwrap();
}

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
