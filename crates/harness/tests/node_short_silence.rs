//! Runners and callers that fall silent for a moment and go on.

use std::time::Duration;

use fakes::platform::{RunnerFakeSettings, RunnerScript};
use harness::{CallerRequest, LinkState, NodeFleet, TestLink};
use http_body_util::BodyExt;
use hyper::Request;
use rustix::process::Signal;
use serde_json::json;
use web::{full_body, send_once};

/// How long a sound runner may be silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long a caller leaves the stream unread.
const CALLER_SILENCE: Duration = Duration::from_secs(4);
/// Time until a stream runs.
const RUNNING_AFTER: Duration = Duration::from_millis(300);
/// Events of a long stream.
const EVENTS: u64 = 150;

/// A fleet of one node before one runner of `service` behind a link.
async fn fleet(service: &str) -> (NodeFleet, fakes::platform::RunnerFake, TestLink) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut settings = RunnerFakeSettings::new("runner-1");
    settings.events = EVENTS;
    settings.work = Duration::from_millis(100);
    let runner = fleet.prepare_runner(settings).await.unwrap();
    let link = fleet.start_runner_link(1, &runner).await.unwrap();
    let mut entry = runner.entry(service, "north", "ready");
    entry["address"] = json!(link.address());
    fleet.store.put_json("keyed.servers", runner.id(), &entry);
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, runner, link)
}

/// Each event came once and in order.
fn check_whole(body: &[u8]) {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
    assert!(ids.eq(1..=EVENTS), "{text}");
}

#[test]
fn a_stream_goes_on_at_a_runner_that_was_silent_for_a_moment() {
    kernel::run(async {
        let (fleet, runner, link) = fleet("llm").await;
        let response = fleet.open(0, &CallerRequest::stream("silent")).await.unwrap();
        compio::time::sleep(RUNNING_AFTER).await;
        link.set(LinkState::Stalled);
        compio::time::sleep(SILENCE).await;
        link.set(LinkState::Open);
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let text = String::from_utf8_lossy(&body);
        assert!(text.contains(&format!("id: {EVENTS}\n")), "{text}");
        assert_eq!(runner.runs(), 1);
    })
    .unwrap();
}

/// A copy that its runner does not have yet, or has no room for.
#[test]
fn a_stream_whose_copy_is_refused_goes_on_at_a_runner_that_was_silent_for_a_moment() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..2 {
            let mut settings = RunnerFakeSettings::new(&format!("runner-{number}"));
            settings.events = EVENTS;
            runners.push(fleet.add_runner("llm", settings).await.unwrap());
        }
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let response = fleet.open(0, &CallerRequest::stream("silent")).await.unwrap();
        compio::time::sleep(RUNNING_AFTER).await;
        let silence = async {
            let (source, others): (Vec<_>, Vec<_>) =
                runners.iter().partition(|runner| runner.working() == 1);
            others[0].script(&[RunnerScript::Refuse]);
            source[0].fall_silent_unconnected().await;
            compio::time::sleep(SILENCE).await;
            source[0].go_on();
        };
        let (body, ()) = futures_util::future::join(response.into_body().collect(), silence).await;
        check_whole(&body.expect("the whole answer").to_bytes());
    })
    .unwrap();
}

/// Another node has no calls at the runner and counts as reaching it, though it is silent to all.
#[test]
fn a_stream_without_a_copy_goes_on_at_its_only_runner_that_is_silent_during_a_planned_stop() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut settings = RunnerFakeSettings::new("runner-1");
        settings.events = EVENTS;
        let runner = fleet.add_runner("llm", settings).await.unwrap();
        fleet.add_node().unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let response = fleet.open(0, &CallerRequest::stream("silent")).await.unwrap();
        compio::time::sleep(RUNNING_AFTER).await;
        fleet.nodes[0].signal(Signal::TERM).unwrap();
        let silence = async {
            runner.fall_silent();
            compio::time::sleep(SILENCE).await;
            runner.go_on();
        };
        let (body, ()) = futures_util::future::join(response.into_body().collect(), silence).await;
        check_whole(&body.expect("the whole answer").to_bytes());
        assert_eq!(runner.runs(), 1);
    })
    .unwrap();
}

#[test]
fn a_booking_is_sent_once_to_a_runner_that_is_silent_for_a_moment() {
    kernel::run(async {
        let (fleet, runner, link) = fleet("desk").await;
        let booking = CallerRequest::booking("silent");
        let (answer, ()) = futures_util::future::join(fleet.send(0, &booking), async {
            compio::time::sleep(Duration::from_millis(50)).await;
            link.set(LinkState::Stalled);
            compio::time::sleep(SILENCE).await;
            link.set(LinkState::Open);
        })
        .await;
        assert!(answer.status == 200 || answer.status == 502 || answer.status == 504);
        assert_eq!(runner.runs(), 1);
        // The runner is neither given up nor taken for crashed.
        compio::time::sleep(SILENCE).await;
        assert_eq!(fleet.send(0, &CallerRequest::booking("after")).await.status, 200);
        assert!(fleet.nodes[0].events("runner_crashed").is_empty());
    })
    .unwrap();
}

/// Another node has no calls at the runner and counts as reaching it, though it is silent to all.
#[test]
fn a_booking_at_the_only_runner_of_its_service_is_answered_after_a_moment_of_silence() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut settings = RunnerFakeSettings::new("runner-1");
        settings.work = Duration::from_millis(200);
        let runner = fleet.add_runner("desk", settings).await.unwrap();
        fleet.add_node().unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let booking = CallerRequest::booking("silent");
        let (answer, ()) = futures_util::future::join(fleet.send(0, &booking), async {
            compio::time::sleep(Duration::from_millis(50)).await;
            runner.fall_silent();
            compio::time::sleep(SILENCE).await;
            runner.go_on();
        })
        .await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(runner.runs(), 1);
    })
    .unwrap();
}

/// Guards against a connection that counts as an answer of a runner that is silent to all: another node
/// breaks off its streams and requests for that.
#[test]
fn a_silent_runner_without_a_health_check_does_not_answer_another_node() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut plan = harness::config(2);
        plan["services"][0].as_object_mut().unwrap().remove("healthPath");
        fleet.store.put_json("keyed.op", "config", &plan);
        let settings = RunnerFakeSettings::new("runner-1");
        let runner = fleet.add_runner("desk", settings).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let ask = async || {
            let question = Request::get("/answers/runner-1").body(full_body("")).unwrap();
            let limit = base::TimeSpan::seconds(2);
            send_once(fleet.peer_address(0), question, limit, limit).await.unwrap().status()
        };
        assert_eq!(fleet.send(0, &CallerRequest::booking("sound")).await.status, 200);
        assert_eq!(ask().await, 200);
        runner.fall_silent();
        compio::time::sleep(SILENCE).await;
        assert_eq!(ask().await, 503);
        runner.go_on();
    })
    .unwrap();
}

/// The system still acknowledges what arrives, so no timeout of a socket is played by this.
#[test]
fn a_callers_connection_that_is_silent_for_seconds_is_kept() {
    kernel::run(async {
        let (fleet, _runner, _link) = fleet("llm").await;
        let callers = fleet.start_link(2, fleet.callers(0)).await.unwrap();
        let request = Request::post("/digest/long")
            .header("host", harness::HOST)
            .header("authorization", format!("Bearer {}", harness::KEY))
            .header("x-dotterelyard-attempt-id", "quiet")
            .header("x-dotterelyard-deadline-ms", "20000")
            .header("x-dotterelyard-model", "m")
            .header("x-dotterelyard-token-count", "1000,400")
            .body(full_body("a prompt"))
            .unwrap();
        let limit = base::TimeSpan::seconds(10);
        let response = send_once(callers.address(), request, limit, limit).await.unwrap();
        callers.set(LinkState::Stalled);
        compio::time::sleep(CALLER_SILENCE).await;
        callers.set(LinkState::Open);
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert!(String::from_utf8_lossy(&body).contains(&format!("id: {EVENTS}\n")));
    })
    .unwrap();
}
