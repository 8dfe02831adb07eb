//! Streams at runners that named a wait or leave, while nodes get no answers from them.

#[allow(dead_code, reason = "other tests set the links of a service")]
mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::RunnerFakeSettings;
use futures_util::future::join;
use harness::{CallerRequest, LinkState, SeenStream, config};
use serde_json::json;
use service_fleet::{CUT, LinkedRunner, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 200;
/// Time from the begin of the stream to the leave of its runner; its copy is complete by then.
const LEAVE_AFTER: Duration = Duration::from_secs(1);
/// Longest pause: the one that a route allows on the users' platform (180 ms), and a second.
const MAX_PAUSE: Duration = Duration::from_millis(1_180);

/// Events of a slow stream, one in 700 ms.
const SLOW_EVENTS: u64 = 9;
/// Bytes that a silent stream may have its runner asked in 500 ms: a health check takes 55.
const MAX_ASKED: u64 = 880;

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
    settings.event_pause = Duration::from_millis(20);
}

/// The runner that works on the only stream.
fn find_source(services: &ServiceFleet) -> &LinkedRunner {
    services.runners.iter().find(|linked| linked.runner.working() == 1).unwrap()
}

/// The store says that a runner leaves.
fn announce_leave(services: &ServiceFleet, linked: &LinkedRunner) {
    let mut entry = linked.runner.entry(linked.service, "north", "draining");
    entry["address"] = json!(linked.link.address());
    services.fleet.store.put_json("keyed.servers", linked.runner.id(), &entry);
}

/// Every event came once and in order, without a pause beyond the bound.
fn check_whole(services: &ServiceFleet, stream: &SeenStream) {
    let ids = &stream.ids;
    let (count, pause) = (ids.len(), stream.longest_pause);
    let seen = format!("{count} events, whole: {}, longest pause {pause:?}", stream.is_whole);
    assert!(stream.has_all(EVENTS), "{seen}");
    assert!(pause <= MAX_PAUSE, "{seen}");
    assert_eq!(services.most_runs(), 1);
}

/// A leaving runner answers a move with a wait of 9 s, then its answers arrive at other nodes only.
fn check_wait(state: LinkState) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = CallerRequest::stream("waiting").with("x-dotterelyard-length-hint", "10");
        let cut = async {
            sleep(LEAVE_AFTER).await;
            let source = find_source(&services);
            let pid = services.fleet.nodes[CUT].pid();
            source.runner.refuse_moves(true);
            source.runner.turn_away(Some("9"));
            announce_leave(&services, source);
            while source.runner.moves().is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
            source.runner.refuse_moves(false);
            source.runner.turn_away(None);
            sleep(Duration::from_millis(100)).await;
            source.link.set_for(pid, state);
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), cut).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against LOST: the wait that a runner named hid that its answers do not arrive.
#[test]
fn a_stream_is_not_cut_when_a_runner_that_named_a_wait_answers_only_other_nodes() {
    check_wait(LinkState::AnswersStalled);
}

#[test]
fn a_stream_is_not_cut_when_a_runner_that_named_a_wait_is_lost_to_its_node() {
    check_wait(LinkState::Lost);
}

/// Guards against a pause until an order ends: the leaving runner falls silent to all nodes, and its copy
/// is at a runner that answers.
#[test]
fn a_stream_goes_on_from_its_copy_when_its_leaving_runner_falls_silent_to_all() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = CallerRequest::stream("leaving");
        let leave = async {
            sleep(LEAVE_AFTER).await;
            let source = find_source(&services);
            for node in &services.fleet.nodes {
                source.link.set_for(node.pid(), LinkState::Lost);
            }
            announce_leave(&services, source);
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against a flood of questions: the source is slow and sound, the node cannot connect to it again,
/// and another node gets its answers at once.
#[test]
fn a_slow_stream_whose_runner_refuses_one_node_does_not_flood_it_with_questions() {
    let _turn = take_turn();
    kernel::run(async {
        let slow = |settings: &mut RunnerFakeSettings| {
            settings.events = SLOW_EVENTS;
            settings.event_pause = Duration::from_millis(700);
        };
        let services = ServiceFleet::start(slow).await;
        let mut plan = config(2);
        plan["services"][1]["engine"]["moves"] = json!(false);
        plan["services"][1]["engine"]["backups"] = json!(false);
        services.fleet.store.put_json("keyed.op", "config", &plan);
        sleep(LEAVE_AFTER).await;
        let request = CallerRequest::stream("slow");
        let cut = async {
            sleep(LEAVE_AFTER).await;
            let source = find_source(&services);
            source.link.set_for(services.fleet.nodes[CUT].pid(), LinkState::NewCut);
            let mut passed = Vec::new();
            for _ in 0..8 {
                let before = source.link.forwarded();
                sleep(Duration::from_millis(500)).await;
                passed.push(source.link.forwarded() - before);
            }
            passed
        };
        let (stream, passed) = join(services.fleet.read_stream(CUT, &request), cut).await;
        let ids = &stream.ids;
        assert!(stream.has_all(SLOW_EVENTS), "{ids:?} {}", stream.is_whole);
        assert!(passed.iter().all(|bytes| *bytes <= MAX_ASKED), "{passed:?}");
    })
    .unwrap();
}
