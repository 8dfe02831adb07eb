//! Streams that a node reads late: what their runner wrote before an event arrives after it.

#[allow(dead_code, reason = "other tests cut a whole service off and count runs")]
mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::RunnerFakeSettings;
use futures_util::future::join;
use harness::{CallerRequest, LinkState, SeenStream, wait_until};
use rustix::process::Signal;
use serde_json::json;
use service_fleet::{CUT, LinkedRunner, ServiceFleet, take_turn};

/// Events of a stream, one in 10 ms.
const EVENTS: u64 = 300;
/// Time for a stream to reach its runner.
const LIMIT: Duration = Duration::from_secs(10);
/// Time from the begin of a stream until its runner's link fills up.
const FILL_AFTER: Duration = Duration::from_millis(500);
/// Time from then until the runner announces that it leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(700);
/// Bytes that the full link passes on in a second: under half of what the stream takes.
const FULL_RATE: u64 = 2_000;

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
}

/// A stream that is too short for a copy from its start, as its caller expects.
fn stream_without_copy(attempt: &str) -> CallerRequest {
    CallerRequest::stream(attempt).with("x-dotterelyard-length-hint", "10")
}

async fn find_source(services: &ServiceFleet) -> &LinkedRunner {
    let is_at_work = |linked: &&LinkedRunner| linked.runner.working() == 1;
    wait_until("a runner to work", LIMIT, async || services.runners.iter().find(is_at_work))
        .await
        .unwrap()
}

/// Writes the entry of a runner that is reached over its link, with a state.
fn tell(services: &ServiceFleet, linked: &LinkedRunner, state: &str) {
    let mut entry = linked.runner.entry(linked.service, "north", state);
    entry["address"] = json!(linked.link.address());
    services.fleet.store.put_json("keyed.servers", linked.runner.id(), &entry);
}

/// The other runners of the source's service.
fn find_others<'a>(services: &'a ServiceFleet, source: &LinkedRunner) -> Vec<&'a LinkedRunner> {
    let all = services.runners.iter().filter(|other| other.runner.id() != source.runner.id());
    all.filter(|other| other.service == source.service).collect()
}

/// Checks that a stream came whole, of one run.
fn check_whole(services: &ServiceFleet, stream: &SeenStream) {
    let node = &services.fleet.nodes[CUT];
    let lines =
        ["send_failed", "stop_decided", "run_not_ended", "end"].map(|name| node.events(name));
    assert!(stream.has_all(EVENTS), "{stream:?} {lines:?}");
    assert_eq!(services.most_runs(), 1);
}

/// Guards against LOST: a run that has stopped is taken for one that goes on, since its last events are read late.
#[test]
fn a_stream_whose_last_events_are_read_after_its_run_has_stopped_goes_on_elsewhere() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = stream_without_copy("late");
        let leave = async {
            let source = find_source(&services).await;
            sleep(FILL_AFTER).await;
            source.link.set_answer_rate(FULL_RATE);
            sleep(LEAVE_AFTER).await;
            tell(&services, source, "draining");
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
        assert!(services.fleet.nodes[CUT].events("run_not_ended").is_empty());
    })
    .unwrap();
}

/// Has `source` leave; waits until its run is copied. The order to stop it, which comes next, is answered
/// after `order_time`.
async fn leave_slowly(services: &ServiceFleet, source: &LinkedRunner, order_time: Duration) {
    const COPY_TIME: Duration = Duration::from_millis(100);
    let runner = &source.runner;
    runner.slow_moves(COPY_TIME);
    tell(services, source, "draining");
    let is_copied = async || (runner.moves().len() == 1).then_some(());
    wait_until("a copy of the run", LIMIT, is_copied).await.unwrap();
    runner.slow_moves(order_time);
}

/// Guards against LOST: an order whose answer is late counts as refused, although its run has stopped.
#[test]
fn a_stream_whose_order_to_stop_is_answered_too_late_goes_on_elsewhere() {
    /// Longer than an order is waited for.
    const ORDER_TIME: Duration = Duration::from_secs(3);
    /// Bytes a second with which the last events are read later than that.
    const SLOW_RATE: u64 = 1_000;
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = stream_without_copy("late-order");
        let leave = async {
            let source = find_source(&services).await;
            sleep(FILL_AFTER).await;
            source.link.set_answer_rate(SLOW_RATE);
            source.runner.move_one_at_a_time();
            sleep(LEAVE_AFTER).await;
            leave_slowly(&services, source, ORDER_TIME).await;
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against LOST: the next runner is given up in its moment of silence, and has used up the memory.
#[test]
fn a_stopped_run_waits_for_a_silent_next_runner_while_no_other_place_is_known() {
    /// How long a sound runner may be silent.
    const SILENCE: Duration = Duration::from_millis(1_200);
    const ORDER_TIME: Duration = Duration::from_secs(4);
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = stream_without_copy("late-head");
        let leave = async {
            let source = find_source(&services).await;
            sleep(FILL_AFTER).await;
            leave_slowly(&services, source, ORDER_TIME).await;
            let others =
                services.runners.iter().filter(|other| other.runner.id() != source.runner.id());
            let others: Vec<_> = others.filter(|other| other.service == source.service).collect();
            for other in &others {
                other.runner.fall_silent();
            }
            sleep(SILENCE).await;
            for other in &others {
                other.runner.go_on();
            }
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against LOST: the copy is given up since its source takes no order, though it is about to end.
#[test]
fn a_stream_keeps_its_copy_while_its_leaving_runner_takes_no_orders() {
    const NO_TIME: Duration = Duration::ZERO;
    /// Time from the copy until the runner ends.
    const NOTICE: Duration = Duration::from_millis(1_200);
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = stream_without_copy("no-order");
        let leave = async {
            let source = find_source(&services).await;
            sleep(FILL_AFTER).await;
            leave_slowly(&services, source, NO_TIME).await;
            for node in &services.fleet.nodes {
                source.link.set_for(node.pid(), LinkState::NewCut);
            }
            sleep(NOTICE).await;
            source.runner.crash();
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against LOST: the connection to the next runner, opened before a long stop, has been closed as idle.
#[test]
fn a_stopped_run_connects_again_to_a_next_runner_that_has_closed_an_idle_connection() {
    const IDLE: Duration = Duration::from_secs(2);
    const ORDER_TIME: Duration = Duration::from_secs(3);
    const SLOW_RATE: u64 = 1_000;
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = stream_without_copy("idle");
        let leave = async {
            let source = find_source(&services).await;
            sleep(FILL_AFTER).await;
            source.link.set_answer_rate(SLOW_RATE);
            sleep(LEAVE_AFTER).await;
            for other in find_others(&services, source) {
                other.runner.close_idle(IDLE);
                // No other node can take the run.
                for node in services.fleet.nodes.iter().skip(CUT + 1) {
                    other.link.set_for(node.pid(), LinkState::NewCut);
                }
            }
            leave_slowly(&services, source, ORDER_TIME).await;
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against LOST: an engine whose count lacks the last event is taken for one that goes on.
#[test]
fn a_stream_goes_on_elsewhere_although_its_source_has_counted_an_event_less() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = stream_without_copy("less");
        let leave = async {
            let source = find_source(&services).await;
            source.runner.count_less(1);
            sleep(FILL_AFTER).await;
            source.link.set_answer_rate(FULL_RATE);
            sleep(LEAVE_AFTER).await;
            tell(&services, source, "draining");
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
    })
    .unwrap();
}

/// Guards against a node that stands still over the limit of a call, and drops an answer that has arrived in time.
#[test]
fn an_answer_to_an_order_counts_that_arrives_while_the_node_stands_still() {
    /// Within the limit of an order, which passes while the node stands still.
    const ORDER_TIME: Duration = Duration::from_millis(2_200);
    const STILL_AFTER: Duration = Duration::from_secs(2);
    const STILL_FOR: Duration = Duration::from_secs(1);
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = stream_without_copy("still");
        let leave = async {
            let source = find_source(&services).await;
            sleep(FILL_AFTER).await;
            leave_slowly(&services, source, ORDER_TIME).await;
            let is_ordered = async || (source.runner.moves().len() == 2).then_some(());
            wait_until("an order", LIMIT, is_ordered).await.unwrap();
            sleep(STILL_AFTER).await;
            services.fleet.nodes[CUT].signal(Signal::STOP).unwrap();
            sleep(STILL_FOR).await;
            services.fleet.nodes[CUT].signal(Signal::CONT).unwrap();
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leave).await;
        check_whole(&services, &stream);
        assert_eq!(services.fleet.nodes[CUT].events("run_stopped").len(), 1);
    })
    .unwrap();
}
