//! Calls and streams at a node that stands still for two seconds, longer than heartbeats count.

#[allow(dead_code, reason = "other tests cut its links")]
mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join_all;
use harness::{CallerRequest, SeenStream, WholeAnswer};
use rustix::process::Signal;
use service_fleet::{CUT, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 150;
/// Time until the streams run.
const RUNNING_AFTER: Duration = Duration::from_millis(500);
/// How long the node stands still.
const STANDSTILL: Duration = Duration::from_secs(2);
/// Streams, and plain calls that arrive one after the other during the standstill.
const CALLS: u32 = 20;

async fn read_streams(services: &ServiceFleet) -> Vec<SeenStream> {
    let names: Vec<String> = (0..CALLS).map(|number| format!("s-{number}")).collect();
    let streams = names
        .iter()
        .map(async |name| services.fleet.read_stream(CUT, &CallerRequest::stream(name)).await);
    join_all(streams).await
}

async fn book_in_standstill(services: &ServiceFleet) -> Vec<WholeAnswer> {
    let books = (0..CALLS).map(async |number| {
        sleep(RUNNING_AFTER + STANDSTILL * number / CALLS).await;
        let booking = CallerRequest::booking(&format!("b-{number}"));
        services.fleet.send(CUT, &booking).await
    });
    join_all(books).await
}

/// Guards against calls that are refused, and streams that are ended, since the node itself stood still.
#[test]
fn calls_and_streams_of_a_node_that_stood_still_longer_than_heartbeats_count_come_whole() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(|settings| {
            settings.events = EVENTS;
            settings.event_pause = Duration::from_millis(20);
        })
        .await;
        let stand_still = async {
            sleep(RUNNING_AFTER).await;
            services.fleet.nodes[CUT].signal(Signal::STOP).unwrap();
            sleep(STANDSTILL).await;
            services.fleet.nodes[CUT].signal(Signal::CONT).unwrap();
        };
        let (streams, answers, ()) = futures_util::join!(
            read_streams(&services),
            book_in_standstill(&services),
            stand_still
        );
        let whole = streams.iter().filter(|stream| stream.has_all(EVENTS)).count();
        let answered = answers.iter().filter(|answer| answer.status == 200 && answer.complete);
        let answered = answered.count();
        let lines = ["relay_lost", "runners_unreached", "relayed", "runner_changed_over"]
            .map(|event| services.fleet.nodes[CUT].events(event).len());
        assert_eq!((whole, answered), (streams.len(), answers.len()), "{answers:?} {lines:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}
