//! Streams whose runner leaves while a node gets no answers from the runner that they go on at.

mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::RunnerFakeSettings;
use futures_util::future::join;
use harness::{CallerRequest, LinkState, SeenStream};
use serde_json::json;
use service_fleet::{CUT, LinkedRunner, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 200;
/// Time from the begin of the stream to the leave of its runner; its copy is complete by then.
const LEAVE_AFTER: Duration = Duration::from_secs(1);
/// Longest pause: the one that a route allows on the users' platform (180 ms), and a second.
const MAX_PAUSE: Duration = Duration::from_millis(1_180);
/// Time that a copy takes, longer than any node waits for it.
const COPY_TIME: Duration = Duration::from_secs(5);
/// Time in which a node learns that a runner leaves and has begun to move its runs.
const LEARN_TIME: Duration = Duration::from_millis(400);

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
    settings.event_pause = Duration::from_millis(20);
}

/// The runner that works on the only stream.
fn find_source(services: &ServiceFleet) -> &LinkedRunner {
    services.runners.iter().find(|linked| linked.runner.working() == 1).unwrap()
}

/// The runner that keeps a copy of the run at `source`.
fn find_copy<'a>(services: &'a ServiceFleet, source: &LinkedRunner) -> &'a LinkedRunner {
    let visits = source.runner.visits();
    let copy = visits[0].request.header("x-dotterelyard-kv-backup");
    let mut runners = services.runners.iter();
    runners.find(|linked| copy.contains(&linked.link.address().to_string())).unwrap()
}

/// The store says that a runner leaves.
fn announce_leave(services: &ServiceFleet, linked: &LinkedRunner) {
    let mut entry = linked.runner.entry(linked.service, "north", "draining");
    entry["address"] = json!(linked.link.address());
    services.fleet.store.put_json("keyed.servers", linked.runner.id(), &entry);
}

/// Every event came once and in order, without a pause beyond the bound.
fn check_whole(services: &ServiceFleet, stream: &SeenStream) {
    assert!(stream.has_all(EVENTS), "{stream:?}");
    assert!(stream.longest_pause <= MAX_PAUSE, "{stream:?}");
    assert_eq!(services.most_runs(), 1);
}

/// A stream whose runner leaves; the links to it and to the runner with its copy change.
fn check_leave(source_state: LinkState, copy_state: LinkState) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = CallerRequest::stream("leaving");
        let leave = async {
            sleep(LEAVE_AFTER).await;
            let source = find_source(&services);
            let copy = find_copy(&services, source);
            let pid = services.fleet.nodes[CUT].pid();
            source.link.set_for(pid, source_state);
            copy.link.set_for(pid, copy_state);
            announce_leave(&services, source);
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against LOST: the runner with the copy works on the run, and its answer arrives at other nodes only.
#[test]
fn a_stream_is_not_cut_when_the_next_runner_of_a_leaving_one_answers_only_other_nodes() {
    check_leave(LinkState::Open, LinkState::AnswersStalled);
}

/// Guards against LOST: the leaving runner stops the run as ordered, and neither its answer nor the end of
/// its stream arrives.
#[test]
fn a_stream_is_not_held_until_an_order_to_a_leaving_runner_without_an_answer_ends() {
    check_leave(LinkState::AnswersStalled, LinkState::Open);
}

/// Guards against LOST: neither the leaving runner nor the one with the copy answers this node.
#[test]
fn a_stream_is_not_cut_when_a_leaving_runner_and_the_next_one_answer_only_other_nodes() {
    check_leave(LinkState::AnswersStalled, LinkState::AnswersStalled);
}

/// Guards against LOST: the runner with the copy works on a run that the leaving one has stopped, and the
/// node has lost that one.
#[test]
fn a_stream_goes_on_through_another_node_when_its_stopped_run_cannot_return() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = CallerRequest::stream("leaving");
        let leave = async {
            sleep(LEAVE_AFTER).await;
            let source = find_source(&services);
            let pid = services.fleet.nodes[CUT].pid();
            find_copy(&services, source).link.set_for(pid, LinkState::AnswersStalled);
            announce_leave(&services, source);
            while source.runner.moves().is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
            source.link.set_for(pid, LinkState::Cut);
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against LOST: a stream without a copy leaves a runner whose answer to the copy does not arrive.
fn check_leave_without_copy(cut: impl Fn(&ServiceFleet, &LinkedRunner)) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = CallerRequest::stream("leaving").with("x-dotterelyard-length-hint", "10");
        let leave = async {
            sleep(LEAVE_AFTER).await;
            let source = find_source(&services);
            source.runner.slow_moves(COPY_TIME);
            announce_leave(&services, source);
            sleep(LEARN_TIME).await;
            source.runner.slow_moves(Duration::ZERO);
            cut(&services, source);
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

#[test]
fn a_stream_is_not_held_until_a_copy_without_an_answer_ends_when_all_runners_fall_silent() {
    check_leave_without_copy(|services, _| {
        services.set("llm", usize::from(RUNNERS), LinkState::Lost);
    });
}

#[test]
fn a_stream_is_not_held_until_a_copy_without_an_answer_ends_when_its_answers_are_held_back() {
    check_leave_without_copy(|services, source| {
        source.link.set_for(services.fleet.nodes[CUT].pid(), LinkState::AnswersStalled);
    });
}

/// Guards against LOST: another node cannot move a run whose copy, ordered by a node that is cut off now, is under way.
#[test]
fn a_stream_is_moved_by_another_node_while_a_copy_of_its_run_is_under_way() {
    check_leave_without_copy(|services, source| {
        source.runner.move_one_at_a_time();
        source.link.set_for(services.fleet.nodes[CUT].pid(), LinkState::AnswersStalled);
    });
}
