//! Streams whose runs end while their last events are held back on the way to the node.

#[allow(dead_code, reason = "other tests cut a whole service off")]
mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::RunnerFakeSettings;
use futures_util::future::{join, join_all};
use harness::{CallerRequest, LinkState, SeenStream, wait_until};
use serde_json::json;
use service_fleet::{CUT, LinkedRunner, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 150;
/// Events that the run makes after its links have begun to hold back.
const TAIL: u64 = 20;
/// Time for a stream to get there.
const LIMIT: Duration = Duration::from_secs(20);
/// Time in which a runner refuses a run whose copy is gone: longer than two runners may work on it.
const LATE_REFUSAL: Duration = Duration::from_millis(600);
/// For how long a full link, or a sound runner, is silent: its configuration takes 3.4 s of a small one.
const SPANS: [Duration; 3] =
    [Duration::from_millis(1_200), Duration::from_millis(2_500), Duration::from_millis(3_400)];

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
    settings.event_pause = Duration::from_millis(20);
}

/// The runners whose links to the caller's node hold back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeldRunners {
    /// That of the run.
    Source,
    /// All of its service.
    All,
}

impl HeldRunners {
    fn set(self, services: &ServiceFleet, state: LinkState) {
        let pid = services.fleet.nodes[CUT].pid();
        let of_service = services.runners.iter().filter(|linked| linked.service == "llm");
        let is_held = |linked: &&LinkedRunner| {
            self == Self::All || linked.runner.visits().iter().any(|visit| visit.ran)
        };
        of_service.filter(is_held).for_each(|linked| linked.link.set_for(pid, state));
    }
}

/// Holds back what runners send to the caller's node while the run of `request` ends.
async fn hold_tail(
    (held, refusal_time): (HeldRunners, Duration),
    span: Duration,
    request: &CallerRequest,
) -> (ServiceFleet, SeenStream) {
    let adjust = |settings: &mut RunnerFakeSettings| {
        long_streams(settings);
        settings.refusal_time = refusal_time;
    };
    let services = ServiceFleet::start(adjust).await;
    let hiding = async {
        let events = async || {
            let made = services.fleet.memory.events(&request.attempt);
            (made >= EVENTS - TAIL).then_some(())
        };
        wait_until("the run to be near its end", LIMIT, events).await.unwrap();
        held.set(&services, LinkState::Stalled);
        sleep(span).await;
        held.set(&services, LinkState::Open);
    };
    let (stream, ()) = join(services.fleet.read_stream(CUT, request), hiding).await;
    (services, stream)
}

fn check_held_tail(held: (HeldRunners, Duration), adjust: impl Fn(CallerRequest) -> CallerRequest) {
    let _turn = take_turn();
    for span in SPANS {
        kernel::run(async {
            let request = adjust(CallerRequest::stream("held"));
            let (services, stream) = hold_tail(held, span, &request).await;
            let lines = ["source_silent", "run_offered", "send_failed", "end"]
                .map(|name| services.fleet.nodes[CUT].events(name));
            assert!(stream.has_all(EVENTS), "{span:?} {stream:?} {lines:?}");
            assert_eq!(services.most_runs(), 1);
        })
        .unwrap();
    }
}

fn without_copy(request: CallerRequest) -> CallerRequest {
    request.with("x-dotterelyard-length-hint", "10")
}

/// Guards against LOST: a node that waits for the tail of a whole run takes its runner for lost, and closes it.
#[test]
fn a_stream_without_a_copy_whose_last_events_are_held_back_comes_whole() {
    check_held_tail((HeldRunners::All, Duration::ZERO), without_copy);
}

/// Guards against LOST: the same, with a copy that is gone since its run has ended.
#[test]
fn a_stream_whose_copy_is_gone_while_its_last_events_are_held_back_comes_whole() {
    check_held_tail((HeldRunners::All, Duration::ZERO), |request| request);
}

/// Guards against LOST: the same, while the runner with the copy is reached.
#[test]
fn a_stream_whose_last_events_are_held_back_by_its_runner_alone_comes_whole() {
    check_held_tail((HeldRunners::Source, Duration::ZERO), |request| request);
}

/// Guards against LOST: a source is closed as other nodes are offered its copy, which is gone; they say so late.
#[test]
fn a_stream_whose_other_nodes_decline_its_copy_late_comes_whole() {
    check_held_tail((HeldRunners::All, LATE_REFUSAL), |request| request);
}

/// Guards against LOST: the same as the runner with the copy, which answers questions, refuses the run late.
#[test]
fn a_stream_whose_next_runner_refuses_it_late_comes_whole() {
    check_held_tail((HeldRunners::Source, LATE_REFUSAL), |request| request);
}

/// Guards against LOST: a configuration fills the links of two nodes, and each takes the run of its stream for lost.
#[test]
fn streams_at_two_nodes_whose_last_events_are_held_back_come_whole() {
    /// Nodes whose links are full.
    const HELD_NODES: usize = 2;
    let _turn = take_turn();
    for span in SPANS {
        kernel::run(async {
            let services = ServiceFleet::start(long_streams).await;
            let requests: Vec<_> =
                (0..HELD_NODES).map(|node| CallerRequest::stream(&format!("s{node}"))).collect();
            let holding = async {
                let near_end = async || {
                    let made =
                        |request: &CallerRequest| services.fleet.memory.events(&request.attempt);
                    let is_near = requests.iter().all(|request| made(request) >= EVENTS - TAIL);
                    is_near.then_some(())
                };
                wait_until("the runs to be near their end", LIMIT, near_end).await.unwrap();
                services.set_nodes(HELD_NODES, "llm", LinkState::Stalled);
                sleep(span).await;
                services.set_nodes(HELD_NODES, "llm", LinkState::Open);
            };
            let reading = requests.iter().enumerate();
            let reading = reading.map(|(node, request)| services.fleet.read_stream(node, request));
            let (streams, ()) = join(join_all(reading), holding).await;
            for (node, stream) in streams.iter().enumerate() {
                let lines = ["source_silent", "run_offered", "send_failed", "end"]
                    .map(|name| services.fleet.nodes[node].events(name));
                assert!(stream.has_all(EVENTS), "{span:?} {node} {stream:?} {lines:?}");
            }
            assert_eq!(services.most_runs(), 1);
        })
        .unwrap();
    }
}

/// Guards against LOST: an order finds no run, since it has ended, and its source is closed before the rest has come.
#[test]
fn a_stream_whose_order_finds_no_run_before_its_last_events_have_come_is_whole() {
    /// Bytes that the full link passes on in a second: the last events take longer than the run.
    const FULL_RATE: u64 = 600;
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let node = &services.fleet.nodes[CUT];
        let request = CallerRequest::stream("held");
        let holding = async {
            let near_end = async || {
                let made = services.fleet.memory.events(&request.attempt);
                (made >= EVENTS - TAIL).then_some(())
            };
            wait_until("the run to be near its end", LIMIT, near_end).await.unwrap();
            let is_at_work = |linked: &&LinkedRunner| linked.runner.working() == 1;
            let source = services.runners.iter().find(is_at_work).unwrap();
            source.link.set_answer_rate(FULL_RATE);
            let ended = async || (source.runner.working() == 0).then_some(());
            wait_until("the run to end", LIMIT, ended).await.unwrap();
            let mut entry = source.runner.entry(source.service, "north", "draining");
            entry["address"] = json!(source.link.address());
            services.fleet.store.put_json("keyed.servers", source.runner.id(), &entry);
            let is_ordered = async || (!node.events("run_not_found").is_empty()).then_some(());
            wait_until("an order that finds no run", LIMIT, is_ordered).await.unwrap();
            HeldRunners::All.set(&services, LinkState::Stalled);
            sleep(SPANS[1]).await;
            source.link.set_answer_rate(0);
            HeldRunners::All.set(&services, LinkState::Open);
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), holding).await;
        let lines = ["run_not_found", "stop_decided", "places_left", "send_failed", "end"];
        let lines = lines.map(|name| node.events(name));
        assert!(stream.has_all(EVENTS), "{stream:?} {lines:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}
