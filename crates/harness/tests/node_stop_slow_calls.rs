//! A planned stop while bookings take longer than those that the node knows: what it takes it answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use fakes::platform::{RunnerFake, RunnerFakeSettings};
use futures_util::future::join_all;
use harness::{AttemptEnd, NodeFleet, book};
use rustix::process::Signal;
use serde_json::json;

/// Time from the signal to the kill.
const STOP_SECONDS: f64 = 5.0;
/// Time after the signal for which callers send: until just before the last answers.
const SEND_FOR: Duration = Duration::from_millis(4_400);
const PAUSE: Duration = Duration::from_millis(100);
/// Time of a quick booking, and of a slow one.
const QUICK: Duration = Duration::from_millis(50);
const SLOW: Duration = Duration::from_secs(2);
/// Time of a booking that takes longer than a node assumes of a route that it does not know.
const LONG: Duration = Duration::from_millis(2_800);

/// A node with one runner whose bookings are quick.
async fn start() -> (NodeFleet, RunnerFake) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut settings = RunnerFakeSettings::new("desk-1");
    settings.work = QUICK;
    let desk = fleet.add_runner("desk", settings).await.unwrap();
    fleet.add_node_with(&[("stop_seconds", json!(STOP_SECONDS))], true).unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, desk)
}

/// Sends `count` bookings, a few at a time, which are all served.
async fn warm_up(fleet: &NodeFleet, name: &str, count: usize) {
    const AT_ONCE: usize = 4;
    let attempts: Vec<String> = (0..count).map(|number| format!("{name}{number}")).collect();
    for attempts in attempts.chunks(AT_ONCE) {
        let ends = join_all(attempts.iter().map(|attempt| book(fleet, 0, attempt))).await;
        assert!(ends.iter().all(|end| *end == AttemptEnd::Served), "{ends:?}");
    }
}

/// Stops the node and sends bookings from `first` after the signal on; none of them may be lost. Gives
/// the number of those that were served.
async fn stop_under_bookings(fleet: NodeFleet, first: Duration) -> usize {
    fleet.nodes[0].signal(Signal::TERM).unwrap();
    let begun = Instant::now();
    sleep(first).await;
    let fleet = Rc::new(fleet);
    let mut bookings = Vec::new();
    while begun.elapsed() < SEND_FOR {
        let (fleet, attempt) = (Rc::clone(&fleet), format!("b{}", bookings.len()));
        bookings.push(kernel::spawn(async move { book(&fleet, 0, &attempt).await }));
        sleep(PAUSE).await;
    }
    let mut ends = Vec::new();
    for booking in bookings {
        ends.push(booking.await.unwrap());
    }
    assert!(!ends.iter().any(|end| matches!(end, AttemptEnd::Lost(_))), "{ends:?}");
    ends.iter().filter(|end| **end == AttemptEnd::Served).count()
}

/// Guards against bookings that are taken although the slowest of their route would not end in time.
#[test]
fn a_stopping_node_takes_no_booking_that_may_be_one_of_the_slowest() {
    /// Time from the signal to the first booking: too late for a slow one, early for a quick one.
    const FIRST: Duration = Duration::from_millis(2_450);
    kernel::run(async {
        let (fleet, desk) = start().await;
        desk.take_time(SLOW);
        warm_up(&fleet, "slow", 2).await;
        desk.take_time(QUICK);
        warm_up(&fleet, "quick", 120).await;
        desk.take_time(SLOW);
        assert_eq!(stop_under_bookings(fleet, FIRST).await, 0);
    })
    .unwrap();
}

/// Guards against bookings that are taken by the times that runners took before they became slower.
#[test]
fn a_stopping_node_sees_that_its_runners_have_become_slower() {
    kernel::run(async {
        let (fleet, desk) = start().await;
        warm_up(&fleet, "quick", 20).await;
        desk.take_time(LONG);
        assert!(stop_under_bookings(fleet, Duration::ZERO).await > 0);
    })
    .unwrap();
}

/// Guards against bookings that are taken by a node that has learned nothing since its start.
#[test]
fn a_stopping_node_that_has_just_started_takes_only_what_it_can_answer() {
    kernel::run(async {
        let (fleet, desk) = start().await;
        desk.take_time(LONG);
        assert!(stop_under_bookings(fleet, Duration::ZERO).await > 0);
    })
    .unwrap();
}

/// Guards against bookings that are taken by the times of a few that were quick.
#[test]
fn a_stopping_node_that_knows_few_bookings_takes_only_what_it_can_answer() {
    kernel::run(async {
        let (fleet, desk) = start().await;
        warm_up(&fleet, "quick", 3).await;
        desk.take_time(LONG);
        assert!(stop_under_bookings(fleet, Duration::ZERO).await > 0);
    })
    .unwrap();
}
