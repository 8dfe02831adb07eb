//! Runs that a node moves for another one, and whose order to stop is answered late.

mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::{RunnerFake, RunnerFakeSettings};
use futures_util::future::join;
use harness::{CallerRequest, LinkState, wait_until};
use service_fleet::{CUT, NODES, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 150;
/// Time from the begin of the stream to the cut.
const CUT_AFTER: Duration = Duration::from_millis(500);
/// Time that a copy takes.
const COPY_TIME: Duration = Duration::from_millis(100);
/// For how long the next runners are silent from then on.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time for a step of the nodes.
const LIMIT: Duration = Duration::from_secs(10);

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
    settings.event_pause = Duration::from_millis(20);
}

/// Cuts the caller's node off from the service. The next runners fall silent once the run is copied, and
/// the order to stop it is answered after `order_time`.
async fn move_slowly(services: &ServiceFleet, order_time: Duration) {
    sleep(CUT_AFTER).await;
    let of_service = services.runners.iter().filter(|linked| linked.service == "llm");
    let runners = of_service.map(|linked| &linked.runner);
    let (source, others): (Vec<&RunnerFake>, Vec<_>) =
        runners.partition(|runner| runner.working() == 1);
    let source = source[0];
    source.slow_moves(COPY_TIME);
    services.set("llm", usize::from(RUNNERS), LinkState::Lost);
    let is_copied = async || (!source.moves().is_empty()).then_some(());
    wait_until("a copy of the run", LIMIT, is_copied).await.unwrap();
    source.slow_moves(order_time);
    for runner in &others {
        runner.fall_silent();
    }
    sleep(SILENCE).await;
    for runner in &others {
        runner.go_on();
    }
}

fn check_late_order(order_time: Duration) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let request = CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10");
        let read = services.fleet.read_stream(CUT, &request);
        let (stream, ()) = join(read, move_slowly(&services, order_time)).await;
        let lines: Vec<_> = (0..NODES)
            .flat_map(|node| {
                let names = ["send_failed", "run_moved", "run_not_found", "run_offered", "end"];
                names.map(|name| (node, services.fleet.nodes[node].events(name)))
            })
            .collect();
        assert!(stream.has_all(EVENTS), "{stream:?} {lines:#?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Guards against LOST: a run is stopped by an order that counts as refused since its answer is late.
#[test]
fn a_run_whose_order_is_answered_late_at_a_moving_node_goes_on() {
    check_late_order(Duration::from_secs(1));
}

/// Guards against LOST: the same, with an answer that comes after the node has declined the run.
#[test]
fn a_run_whose_order_is_answered_after_its_moving_node_has_declined_goes_on() {
    check_late_order(Duration::from_secs(3));
}

/// Guards against LOST: the same, with an answer that comes later than any node waits for it.
#[test]
fn a_run_whose_order_is_never_answered_in_time_goes_on() {
    check_late_order(Duration::from_secs(5));
}
