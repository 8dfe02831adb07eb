//! Runs that their source has stopped as ordered by the caller's node, which then no longer reaches them.

mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::{RunnerFakeSettings, RunnerScript};
use futures_util::future::join;
use harness::{CallerRequest, LinkState, wait_until};
use rustix::process::Signal;
use serde_json::json;
use service_fleet::{CUT, LinkedRunner, NODES, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 150;
/// Time from the begin of the stream to the leave of its runner.
const LEAVE_AFTER: Duration = Duration::from_millis(500);
/// Time that a copy takes.
const COPY_TIME: Duration = Duration::from_millis(100);
/// Time for a step of the nodes.
const LIMIT: Duration = Duration::from_secs(10);
/// For how long links hold back: a configuration takes 3.4 s of a small one.
const SPANS: [Duration; 3] =
    [Duration::from_millis(600), Duration::from_millis(1_200), Duration::from_millis(3_400)];

/// What happens beside the order to stop the run.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The next runners fall silent for good, and the node is cut off from the service once it is answered.
    Cut,
    /// The same, but it takes the runner this long, and the node is cut off before.
    LateAndCut(Duration),
    /// The links hold back for a while.
    Held(Duration),
    /// The next runner takes the run and ends its stream before the first event.
    Broken,
    /// The next runner takes the run, its answer is held back, and the node is cut off from the source.
    Taken,
    /// All answers to the node are held back for a while from before the next runner's, also those of other nodes.
    Full(Duration),
}

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
    settings.event_pause = Duration::from_millis(20);
}

fn announce_leave(services: &ServiceFleet, linked: &LinkedRunner) {
    let mut entry = linked.runner.entry(linked.service, "north", "draining");
    entry["address"] = json!(linked.link.address());
    services.fleet.store.put_json("keyed.servers", linked.runner.id(), &entry);
}

/// The source leaves and stops its run as ordered. The other nodes reach it all the time.
async fn leave(services: &ServiceFleet, fault: Fault) {
    sleep(LEAVE_AFTER).await;
    let of_service = services.runners.iter().filter(|linked| linked.service == "llm");
    let (source, others): (Vec<&LinkedRunner>, Vec<_>) =
        of_service.partition(|linked| linked.runner.working() == 1);
    let source = source[0];
    source.runner.slow_moves(COPY_TIME);
    announce_leave(services, source);
    let is_copied = async || (!source.runner.moves().is_empty()).then_some(());
    wait_until("a copy of the run", LIMIT, is_copied).await.unwrap();
    if let Fault::LateAndCut(time) = fault {
        source.runner.slow_moves(time);
    }
    for linked in &others {
        match fault {
            Fault::Cut | Fault::LateAndCut(_) => linked.runner.fall_silent(),
            Fault::Broken => linked.runner.script(&[RunnerScript::UnframedEmpty]),
            Fault::Taken | Fault::Full(_) => services.set_of(linked, LinkState::AnswersStalled),
            Fault::Held(_) => (),
        }
    }
    let is_ordered = async || (source.runner.moves().len() >= 2).then_some(());
    wait_until("an order to stop the run", LIMIT, is_ordered).await.unwrap();
    let all = usize::from(RUNNERS);
    match fault {
        Fault::Cut | Fault::LateAndCut(_) => {
            sleep(COPY_TIME + COPY_TIME / 2).await;
            services.set("llm", all, LinkState::Lost);
        }
        Fault::Held(span) => {
            services.set("llm", all, LinkState::AnswersStalled);
            sleep(span).await;
            services.set("llm", all, LinkState::Open);
        }
        Fault::Broken => (),
        Fault::Full(span) => {
            for node in &services.fleet.nodes[1..] {
                node.signal(Signal::STOP).unwrap();
            }
            sleep(COPY_TIME + COPY_TIME / 2).await;
            services.set_of(source, LinkState::AnswersStalled);
            sleep(span).await;
            services.set("llm", all, LinkState::Open);
        }
        Fault::Taken => {
            sleep(COPY_TIME + COPY_TIME / 2).await;
            services.set_of(source, LinkState::Lost);
        }
    }
}

fn check_stopped_run(fault: Fault) {
    check_resumed_run(fault, Duration::ZERO);
}

/// Plays a stopped run that a runner with its memory answers after `resume_time`.
fn check_resumed_run(fault: Fault, resume_time: Duration) {
    let _turn = take_turn();
    kernel::run(async {
        let slow = |settings: &mut RunnerFakeSettings| {
            long_streams(settings);
            settings.resume_time = resume_time;
        };
        let services = ServiceFleet::start(slow).await;
        let request = CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10");
        let read = services.fleet.read_stream(CUT, &request);
        let (stream, ()) = join(read, leave(&services, fault)).await;
        let names = [
            "places_left",
            "run_stopped",
            "stop_decided",
            "order_silent",
            "next_silent",
            "send_failed",
            "copy_dropped",
            "copy_freed",
            "run_moved",
            "run_not_found",
            "run_offered",
            "end",
        ];
        let lines: Vec<_> = (0..NODES)
            .flat_map(|node| names.map(|name| (node, services.fleet.nodes[node].events(name))))
            .filter(|(_, lines)| !lines.is_empty())
            .collect();
        assert!(stream.has_all(EVENTS), "{fault:?} {stream:?} {lines:#?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Guards against LOST: the memory of a stopped run is freed, and no node that reaches it is told of it.
#[test]
fn a_stopped_run_goes_on_through_a_node_that_reaches_its_memory() {
    check_stopped_run(Fault::Cut);
}

/// Guards against LOST: the same, of an order that is answered after the node was cut off.
#[test]
fn a_run_goes_on_through_another_node_whose_order_is_answered_after_a_cut() {
    check_stopped_run(Fault::LateAndCut(Duration::from_secs(2)));
}

/// Guards against LOST: the memory of a stopped run is freed as its next runner answers, which then ends the stream.
#[test]
fn a_stopped_run_goes_on_whose_next_runner_ends_it_before_an_event() {
    check_stopped_run(Fault::Broken);
}

/// Guards against LOST: a handle is used by a send that is not answered, and nobody reads the run.
#[test]
fn a_stopped_run_goes_on_whose_next_runner_has_taken_it_without_an_answer() {
    check_stopped_run(Fault::Taken);
}

/// Guards against LOST: the link of a node is full, and each runner that has the memory is given up as it does not answer.
#[test]
fn a_stopped_run_goes_on_whose_next_answers_are_all_held_back() {
    for span in SPANS {
        check_stopped_run(Fault::Full(span));
    }
}

/// Guards against LOST: a full link passes the answer to a question on before that of the runner that has the run.
#[test]
fn a_stopped_run_goes_on_whose_next_answer_comes_after_others_that_were_held_back() {
    /// Time by which it comes later.
    const LATER: Duration = Duration::from_millis(300);
    let span = SPANS[2];
    check_resumed_run(Fault::Full(span), span + LATER);
}

/// Guards against LOST: the rest of a stopped run comes late and is taken for a sign that its source works.
#[test]
fn a_stopped_run_whose_last_events_are_held_back_goes_on_at_the_next_runner() {
    for span in SPANS {
        check_stopped_run(Fault::Held(span));
    }
}

/// A stream whose request reaches its runner just before all links of the service begin to hold back.
fn check_held_head(span: Duration, adjust: impl Fn(CallerRequest) -> CallerRequest) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = adjust(CallerRequest::stream("head"));
        services.set("llm", usize::from(RUNNERS), LinkState::AnswersStalled);
        let open = async {
            sleep(span).await;
            services.set("llm", usize::from(RUNNERS), LinkState::Open);
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), open).await;
        let names = ["send", "send_failed", "run_offered", "run_moved", "run_not_found", "end"];
        let lines: Vec<_> = (0..NODES)
            .flat_map(|node| names.map(|name| (node, services.fleet.nodes[node].events(name))))
            .filter(|(_, lines)| !lines.is_empty())
            .collect();
        assert!(stream.has_all(EVENTS), "{span:?} {stream:?} {lines:#?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Guards against LOST: a node takes a runner for lost whose first events are held back, and closes it.
#[test]
fn a_stream_without_a_copy_whose_first_events_are_held_back_comes_whole() {
    for span in SPANS {
        check_held_head(span, |request| request.with("x-dotterelyard-length-hint", "10"));
    }
}

/// Guards against LOST: the same, with a copy.
#[test]
fn a_stream_with_a_copy_whose_first_events_are_held_back_comes_whole() {
    for span in SPANS {
        check_held_head(span, |request| request);
    }
}
