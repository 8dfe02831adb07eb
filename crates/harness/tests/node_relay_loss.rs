//! Streams that come through another node, when that one is killed or falls silent.

mod service_fleet;

use std::cell::Cell;
use std::pin::pin;
use std::time::{Duration, Instant};

use compio::time::sleep;
use fakes::platform::{RunnerFakeSettings, RunnerScript};
use futures_util::future::{Either, join, select};
use harness::{CallerRequest, LinkState, SeenStream, wait_until};
use rustix::process::Signal;
use serde_json::json;
use service_fleet::{CUT, NODES, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 250;
/// Time from the begin of the stream to the cut.
const CUT_AFTER: Duration = Duration::from_secs(1);
/// Time from then until the other node is lost; the run has ended where it was before.
const LOST_AFTER: Duration = Duration::from_millis(1_500);
/// Time for the cut to be seen.
const LIMIT: Duration = Duration::from_secs(10);
/// Longest pause: the one that a route allows on the users' platform (180 ms), and a second.
const MAX_PAUSE: Duration = Duration::from_millis(1_180);
/// How long a sound node may be silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long two runners may work on one request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// How often the runs at work are counted.
const COUNT_PAUSE: Duration = Duration::from_millis(5);

/// What is done to the other node: signals, each some time after the one before.
type Signals<'a> = &'a [(Duration, Signal)];

/// The node that the stream of the cut-off node comes through.
async fn find_relay(services: &ServiceFleet) -> usize {
    let how = json!("relayed");
    services.fleet.wait_event(CUT, "runner_changed_over", "how", &how).await.unwrap();
    let lines = services.fleet.nodes[CUT].events("runner_changed_over");
    let node = lines.iter().find(|line| line["how"] == how).map(|line| line["node"].clone());
    (0..NODES).find(|number| node == Some(json!(format!("node-{number}")))).unwrap()
}

/// Waits until two runners have worked on the stream for longer than they may, since the other node
/// `is_lost`.
async fn wait_overlap(services: &ServiceFleet, is_lost: &Cell<bool>) {
    let mut last_alone = Instant::now();
    while last_alone.elapsed() <= MAX_OVERLAP {
        sleep(COUNT_PAUSE).await;
        let working: usize = services.runners.iter().map(|linked| linked.runner.working()).sum();
        if working <= 1 || !is_lost.get() {
            last_alone = Instant::now();
        }
    }
}

/// The node that has answered the stream of the cut-off node.
async fn find_forward(services: &ServiceFleet) -> usize {
    let request = json!("s1");
    services.fleet.wait_event(CUT, "relayed", "request", &request).await.unwrap();
    let lines = services.fleet.nodes[CUT].events("relayed");
    let own = lines.iter().find(|line| line["request"] == request).unwrap();
    assert_eq!(own["outcome"], "answered");
    (0..NODES).find(|number| own["node"] == json!(format!("node-{number}"))).unwrap()
}

/// Cuts a node off from all runners of a service, and waits until it knows.
async fn cut_off(services: &ServiceFleet) {
    services.set("llm", usize::from(RUNNERS), LinkState::Cut);
    wait_until("the cut to be seen", LIMIT, async || {
        let _ = services.fleet.send(CUT, &CallerRequest::stream("look")).await;
        let lost = services.fleet.nodes[CUT].events("runners_unreached");
        (!lost.is_empty()).then_some(())
    })
    .await
    .unwrap();
}

/// Forwards a stream as a whole to a node that then gets `signals`.
async fn lose_forward(
    services: &ServiceFleet,
    request: &CallerRequest,
    signals: Signals<'_>,
) -> SeenStream {
    cut_off(services).await;
    let is_lost = Cell::new(false);
    let lose = async {
        let node = find_forward(services).await;
        send_signals(services, node, signals, &is_lost).await;
    };
    read_alone(services, request, lose, &is_lost).await
}

/// Like [`check_whole`], with a stream that is forwarded.
fn check_forwarded(request: &CallerRequest, signals: Signals<'_>, max_pause: Duration) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let stream = lose_forward(&services, request, signals).await;
        assert!(stream.has_all(EVENTS), "{stream:?}");
        assert!(stream.longest_pause <= max_pause, "{stream:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Cuts a node off from the runners of a stream; it goes on through another node, which gets `signals`.
async fn lose_relay(
    services: &ServiceFleet,
    request: &CallerRequest,
    signals: Signals<'_>,
) -> SeenStream {
    let is_lost = Cell::new(false);
    let lose = async {
        sleep(CUT_AFTER).await;
        services.set("llm", usize::from(RUNNERS), LinkState::Lost);
        let relay = find_relay(services).await;
        send_signals(services, relay, signals, &is_lost).await;
    };
    read_alone(services, request, lose, &is_lost).await
}

async fn send_signals(
    services: &ServiceFleet,
    node: usize,
    signals: Signals<'_>,
    is_lost: &Cell<bool>,
) {
    for (delay, signal) in signals {
        sleep(*delay).await;
        services.fleet.nodes[node].signal(*signal).unwrap();
        is_lost.set(true);
    }
}

/// Reads a stream, on which no two runners may work for long, while the node that it comes through is lost
/// by `lose`.
async fn read_alone(
    services: &ServiceFleet,
    request: &CallerRequest,
    lose: impl Future<Output = ()>,
    is_lost: &Cell<bool>,
) -> SeenStream {
    let read = pin!(join(services.fleet.read_stream(CUT, request), lose));
    match select(read, pin!(wait_overlap(services, is_lost))).await {
        Either::Left(((stream, ()), _)) => stream,
        Either::Right(_) => panic!("two runners for longer than {MAX_OVERLAP:?}"),
    }
}

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
    settings.event_pause = Duration::from_millis(20);
}

/// A stream has to end whole after `signals` to its other node.
fn check_whole(request: &CallerRequest, signals: Signals<'_>, max_pause: Duration) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let stream = lose_relay(&services, request, signals).await;
        assert!(stream.has_all(EVENTS), "{stream:?}");
        assert!(stream.longest_pause <= max_pause, "{stream:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

fn without_copy() -> CallerRequest {
    CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10")
}

/// Guards against LOST: the copy that the lost node had made is not used.
#[test]
fn a_stream_goes_on_from_its_copy_after_the_node_that_it_came_through_is_killed() {
    check_whole(&CallerRequest::stream("s1"), &[(LOST_AFTER, Signal::KILL)], MAX_PAUSE);
}

/// Guards against LOST: nobody looks after the node that a stream comes through.
#[test]
fn a_stream_is_not_silent_until_its_deadline_when_the_node_that_it_comes_through_is() {
    check_whole(&without_copy(), &[(LOST_AFTER, Signal::STOP)], MAX_PAUSE);
}

#[test]
fn a_stream_with_a_copy_is_not_silent_until_its_deadline_when_its_other_node_is() {
    check_whole(&CallerRequest::stream("s1"), &[(LOST_AFTER, Signal::STOP)], MAX_PAUSE);
}

/// A sound node may be silent for a moment: no event may come twice, and no second runner work for long.
#[test]
fn a_stream_comes_once_and_whole_when_its_other_node_is_silent_for_a_moment() {
    let signals = [(LOST_AFTER, Signal::STOP), (SILENCE, Signal::CONT)];
    check_whole(&CallerRequest::stream("s1"), &signals, SILENCE + MAX_PAUSE);
}

/// Guards against LOST: a node that was silent stops the run that has gone on at its runner through another node.
#[test]
fn a_run_that_returns_to_its_runner_through_another_node_is_not_stopped_by_the_silent_one() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = without_copy();
        let lose = async {
            sleep(CUT_AFTER).await;
            services.set("llm", usize::from(RUNNERS), LinkState::Lost);
            let relay = find_relay(&services).await;
            // A run that is stopped finds no room elsewhere.
            services.runners.iter().for_each(|linked| linked.runner.refuse_moves(true));
            let signals = [(LOST_AFTER, Signal::STOP), (SILENCE, Signal::CONT)];
            send_signals(&services, relay, &signals, &Cell::new(false)).await;
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), lose).await;
        let names = ["relay_lost", "run_not_ended", "run_moved", "send_failed", "end"];
        let lines: Vec<_> = (0..NODES)
            .flat_map(|node| names.map(|name| (node, services.fleet.nodes[node].events(name))))
            .collect();
        assert!(stream.has_all(EVENTS), "{stream:?} {lines:#?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Guards against LOST: a stream that was forwarded is broken off, though its run has a copy.
#[test]
fn a_forwarded_stream_goes_on_from_its_copy_after_its_other_node_is_killed() {
    check_forwarded(&CallerRequest::stream("s1"), &[(LOST_AFTER, Signal::KILL)], MAX_PAUSE);
}

/// Guards against LOST: a stream that was forwarded waits for a silent node until its deadline.
#[test]
fn a_forwarded_stream_is_not_silent_until_its_deadline_when_its_other_node_is() {
    check_forwarded(&without_copy(), &[(LOST_AFTER, Signal::STOP)], MAX_PAUSE);
}

#[test]
fn a_forwarded_stream_comes_once_and_whole_when_its_other_node_is_silent_for_a_moment() {
    let signals = [(LOST_AFTER, Signal::STOP), (SILENCE, Signal::CONT)];
    check_forwarded(&CallerRequest::stream("s1"), &signals, SILENCE + MAX_PAUSE);
}

/// Guards against LOST: a forwarded stream waits until its deadline for the head of a silent node's answer.
#[test]
fn a_forwarded_stream_without_a_head_is_answered_soon_after_its_other_node_falls_silent() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        cut_off(&services).await;
        services.runners.iter().for_each(|linked| linked.runner.script(&[RunnerScript::Silent]));
        let request = CallerRequest::stream("s1");
        let freeze = async {
            let number = wait_until("the call to run", LIMIT, async || {
                (0..NODES).find(|number| {
                    let sends = services.fleet.nodes[*number].events("send");
                    sends.iter().any(|line| line["request"] == "s1")
                })
            });
            services.fleet.nodes[number.await.unwrap()].signal(Signal::STOP).unwrap();
            Instant::now()
        };
        let answered = async { (services.fleet.send(CUT, &request).await.status, Instant::now()) };
        let ((status, end), begun) = join(answered, freeze).await;
        assert_eq!(status, 502);
        let taken = end.duration_since(begun);
        assert!((SILENCE..=2 * MAX_PAUSE).contains(&taken), "{taken:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// A stream that goes on nowhere must not wait for its silent node until its deadline.
#[test]
fn a_forwarded_stream_that_cannot_move_is_broken_off_soon_after_its_other_node_falls_silent() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        for linked in &services.runners {
            linked.runner.refuse_moves(true);
            linked.runner.ignore_stop_orders();
        }
        let signals = [(LOST_AFTER, Signal::STOP)];
        let stream = lose_forward(&services, &without_copy(), &signals).await;
        assert!(!stream.is_whole && !stream.ids.is_empty(), "{stream:?}");
        assert!((SILENCE..=2 * MAX_PAUSE).contains(&stream.longest_pause), "{stream:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}
