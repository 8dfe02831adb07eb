//! Streams without a length or chunks whose run is stopped as ordered: their body ends between two events like that of
//! a stream that has ended.

mod service_fleet;

use std::cell::RefCell;
use std::time::Duration;

use compio::time::sleep;
use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript, SharedScripts};
use futures_util::future::join;
use harness::{CallerRequest, LinkState, wait_until};
use rustix::process::Signal;
use serde_json::json;
use service_fleet::{CUT, LinkedRunner, NODES, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 150;
/// Time from the begin of the stream to the disruption; its copy is complete by then.
const TROUBLE_AFTER: Duration = Duration::from_secs(1);
/// Time until a run that goes on from its memory is answered: the source closes before.
const RESUME_TIME: Duration = Duration::from_millis(200);
/// The same of a run that goes on from its copy.
const COPY_RESUME_TIME: Duration = Duration::from_millis(500);
/// Time for which runs are preempted.
const PREEMPTED: Duration = Duration::from_millis(1_500);
/// Time for which a sound runner is silent.
const SILENCE: Duration = Duration::from_millis(800);
/// Time from the announcement of a leave until the runner falls silent.
const SILENT_AFTER: Duration = Duration::from_millis(50);
/// Time for which a node stands still.
const STANDSTILL: Duration = Duration::from_millis(700);
/// Time for a step of the nodes.
const LIMIT: Duration = Duration::from_secs(10);

/// A fleet whose runners answer without framing if `is_unframed`.
async fn start_fleet(is_unframed: bool, resume_time: Duration) -> ServiceFleet {
    let services = ServiceFleet::start(|settings: &mut RunnerFakeSettings| {
        settings.events = EVENTS;
        settings.event_pause = Duration::from_millis(20);
        settings.resume_time = resume_time;
    })
    .await;
    if is_unframed {
        let scripts = vec![RunnerScript::Unframed; 8];
        let scripts = SharedScripts::new(RefCell::new(scripts.into()));
        services.runners.iter().for_each(|linked| linked.runner.share_scripts(&scripts));
    }
    services
}

/// A stream of the cut-off node without a copy, so that its run has to be moved.
fn uncopied() -> CallerRequest {
    CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10")
}

fn find_source(services: &ServiceFleet) -> &LinkedRunner {
    services.runners.iter().find(|linked| linked.runner.working() == 1).unwrap()
}

/// The runs of a runner make no events for a while; it answers all else.
async fn preempt(runner: &RunnerFake) {
    runner.preempt_runs(true);
    sleep(PREEMPTED).await;
    runner.preempt_runs(false);
}

/// Plays a stream of the cut-off node; each event is to come once and in order, and no run twice.
async fn check_whole(
    services: &ServiceFleet,
    request: &CallerRequest,
    trouble: impl Future<Output = ()>,
) {
    let (stream, ()) = join(services.fleet.read_stream(CUT, request), trouble).await;
    let names = [
        "source_silent",
        "source_ended",
        "stop_decided",
        "next_silent",
        "run_offered",
        "relay_lost",
        "send_failed",
        "end",
    ];
    let lines: Vec<_> = (0..NODES)
        .flat_map(|node| names.map(|name| (node, services.fleet.nodes[node].events(name))))
        .filter(|(_, lines)| !lines.is_empty())
        .collect();
    assert!(stream.has_all(EVENTS), "{stream:?} {lines:#?}");
    assert_eq!(services.most_runs(), 1);
}

/// The connection to the source lives on, new ones are refused, and another node moves the run.
fn check_moved_by_other_node(is_unframed: bool) {
    let _turn = take_turn();
    kernel::run(async {
        let services = start_fleet(is_unframed, RESUME_TIME).await;
        let trouble = async {
            sleep(TROUBLE_AFTER).await;
            services.set("llm", usize::from(RUNNERS), LinkState::NewCut);
            preempt(&find_source(&services).runner).await;
        };
        check_whole(&services, &uncopied(), trouble).await;
    })
    .unwrap();
}

/// Guards against ORDER: another node has the run stopped, and its body ends while the offer to that node is open.
#[test]
fn an_unframed_stream_is_not_ended_by_the_order_of_another_node() {
    check_moved_by_other_node(true);
}

/// Guards against LOST: the same of a body whose end shows.
#[test]
fn a_framed_stream_goes_on_after_the_order_of_another_node() {
    check_moved_by_other_node(false);
}

/// The runner leaves and is silent while it is ordered to stop the run; it goes on before the next one has answered.
fn check_silent_leave(is_unframed: bool) {
    let _turn = take_turn();
    kernel::run(async {
        let services = start_fleet(is_unframed, COPY_RESUME_TIME).await;
        let trouble = async {
            sleep(TROUBLE_AFTER).await;
            let source = find_source(&services);
            let mut entry = source.runner.entry(source.service, "north", "draining");
            entry["address"] = json!(source.link.address());
            services.fleet.store.put_json("keyed.servers", source.runner.id(), &entry);
            sleep(SILENT_AFTER).await;
            source.runner.fall_silent();
            sleep(SILENCE).await;
            source.runner.go_on();
        };
        check_whole(&services, &CallerRequest::stream("s1"), trouble).await;
    })
    .unwrap();
}

/// Guards against ORDER: the source follows the order late, and its body ends while the next runner is asked.
#[test]
fn an_unframed_stream_of_a_leaving_runner_that_is_silent_for_a_moment_is_not_ended_by_the_order() {
    check_silent_leave(true);
}

/// Guards against LOST: the same of a body whose end shows.
#[test]
fn a_framed_stream_of_a_leaving_runner_that_is_silent_for_a_moment_goes_on() {
    check_silent_leave(false);
}

/// Guards against ORDER: the node in the middle goes on while a third one has the run stopped. It does not know of
/// that, and takes the end of the body for that of the stream.
#[test]
fn an_unframed_stream_through_another_node_is_not_ended_by_the_order_of_a_third_one() {
    let _turn = take_turn();
    kernel::run(async {
        let services = start_fleet(true, RESUME_TIME).await;
        services.set("llm", usize::from(RUNNERS), LinkState::Cut);
        wait_until("the cut to be seen", LIMIT, async || {
            let _ = services.fleet.send(CUT, &CallerRequest::stream("look")).await;
            let lost = services.fleet.nodes[CUT].events("runners_unreached");
            (!lost.is_empty()).then_some(())
        })
        .await
        .unwrap();
        let trouble = async {
            let request = json!("s1");
            services.fleet.wait_event(CUT, "relayed", "request", &request).await.unwrap();
            let lines = services.fleet.nodes[CUT].events("relayed");
            let own = lines.iter().find(|line| line["request"] == request).unwrap();
            let middle = (0..NODES).find(|node| own["node"] == json!(format!("node-{node}")));
            let middle = &services.fleet.nodes[middle.unwrap()];
            sleep(TROUBLE_AFTER).await;
            let stand = async {
                middle.signal(Signal::STOP).unwrap();
                sleep(STANDSTILL).await;
                middle.signal(Signal::CONT).unwrap();
            };
            join(preempt(&find_source(&services).runner), stand).await;
        };
        check_whole(&services, &uncopied(), trouble).await;
    })
    .unwrap();
}
