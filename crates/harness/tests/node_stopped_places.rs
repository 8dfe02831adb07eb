//! Stopped runs whose next places leave soon after the answer to the order.

#[allow(dead_code, reason = "other tests cut a whole service off")]
mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join;
use harness::{CallerRequest, wait_until};
use serde_json::json;
use service_fleet::{CUT, LinkedRunner, ServiceFleet, take_turn};

/// Events of a stream, one in 10 ms.
const EVENTS: u64 = 300;
/// Time for a step of the nodes.
const LIMIT: Duration = Duration::from_secs(10);
/// Time from the begin of a stream until its runner's link fills up.
const FILL_AFTER: Duration = Duration::from_millis(500);
/// Time from then until the runner announces that it leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(700);
/// Bytes that the full link passes on in a second: far less than the stream takes.
const FULL_RATE: u64 = 1_000;
/// Times from the answer to the order until the next places leave.
const NEXT_LEAVES_AFTER: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_secs(1)];

/// Time that the copy takes before that order.
const COPY_TIME: Duration = Duration::from_millis(100);
/// Time that the order takes in which the next places leave.
const LATE_ORDER: Duration = Duration::from_millis(1_600);
/// Time after which a runner that leaves may get no requests, as the nodes are told.
const DRAIN: Duration = Duration::from_secs(2);

/// Has a runner that is reached over its link announce that it leaves.
fn leave(services: &ServiceFleet, linked: &LinkedRunner) {
    let mut entry = linked.runner.entry(linked.service, "north", "draining");
    entry["address"] = json!(linked.link.address());
    services.fleet.store.put_json("keyed.servers", linked.runner.id(), &entry);
}

/// Plays a run whose next places leave `after` the answer to the order, while its last events come late.
fn check_leaving_places(after: Duration) {
    kernel::run(async {
        let services = ServiceFleet::start(|settings| settings.events = EVENTS).await;
        let node = &services.fleet.nodes[CUT];
        // A stream that is too short for a copy from its start, as its caller expects.
        let request = CallerRequest::stream("late").with("x-dotterelyard-length-hint", "10");
        let leaving = async {
            let is_at_work = |linked: &&LinkedRunner| linked.runner.working() == 1;
            let find = async || services.runners.iter().find(is_at_work);
            let source = wait_until("a runner to work", LIMIT, find).await.unwrap();
            sleep(FILL_AFTER).await;
            source.link.set_answer_rate(FULL_RATE);
            sleep(LEAVE_AFTER).await;
            leave(&services, source);
            let is_stopped = async || (!node.events("run_stopped").is_empty()).then_some(());
            wait_until("the run to stop", LIMIT, is_stopped).await.unwrap();
            sleep(after).await;
            let of_service = services.runners.iter().filter(|next| next.service == source.service);
            of_service.for_each(|next| leave(&services, next));
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), leaving).await;
        let lines =
            ["run_copied", "run_stopped", "stop_decided", "send_failed", "places_left", "end"];
        let lines = lines.map(|name| node.events(name));
        assert!(stream.has_all(EVENTS), "{after:?} {stream:?} {lines:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Guards against LOST: late events of a stopped run are read until its next places have left.
#[test]
fn a_stopped_run_goes_on_before_its_next_places_leave() {
    let _turn = take_turn();
    NEXT_LEAVES_AFTER.into_iter().for_each(check_leaving_places);
}

fn count_visits(services: &ServiceFleet) -> usize {
    services.runners.iter().map(|linked| linked.runner.visits().len()).sum()
}

/// Guards against DRAIN: the time in which a next runner that leaves may be asked counts from the end of the order.
#[test]
fn a_stopped_run_is_not_sent_to_a_next_runner_that_left_a_drain_time_ago() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(|settings| settings.events = EVENTS).await;
        let request = CallerRequest::stream("late").with("x-dotterelyard-length-hint", "10");
        let leaving = async {
            let is_at_work = |linked: &&LinkedRunner| linked.runner.working() == 1;
            let find = async || services.runners.iter().find(is_at_work);
            let source = wait_until("a runner to work", LIMIT, find).await.unwrap();
            sleep(FILL_AFTER).await;
            source.link.set_answer_rate(FULL_RATE);
            sleep(LEAVE_AFTER).await;
            source.runner.slow_moves(COPY_TIME);
            leave(&services, source);
            let has_moves = async |count| (source.runner.moves().len() == count).then_some(());
            wait_until("a copy", LIMIT, async || has_moves(1).await).await.unwrap();
            source.runner.slow_moves(LATE_ORDER);
            wait_until("an order", LIMIT, async || has_moves(2).await).await.unwrap();
            let next = services.runners.iter().filter(|next| next.service == source.service);
            for linked in next {
                leave(&services, linked);
            }
            sleep(DRAIN).await;
            count_visits(&services)
        };
        let (_, visits) = join(services.fleet.read_stream(CUT, &request), leaving).await;
        let left = services.fleet.nodes[CUT].events("places_left");
        assert_eq!(count_visits(&services), visits, "{left:?}");
        assert_eq!(left.len(), 1, "{left:?}");
    })
    .unwrap();
}
