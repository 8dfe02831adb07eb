//! The end of a node's stop: the moment at which it stops accepting connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use fakes::platform::RunnerFakeSettings;
use futures_util::future::join_all;
use harness::{AttemptEnd, NodeFleet, book};
use rustix::process::Signal;

/// Callers that each open a connection for every booking, one after the other.
const CALLERS: usize = 6;
/// Stops that are played, each by a node of its own.
const STOPS: usize = 4;
/// Time for a node to end.
const LIMIT: Duration = Duration::from_secs(15);
/// Time that a booking takes at the runner.
const WORK: Duration = Duration::from_millis(5);
/// Pause of a caller whose connection was refused.
const PAUSE: Duration = Duration::from_millis(1);

/// Guards against connections that the kernel accepts for a node that accepts no more, and resets at its
/// end.
#[test]
fn bookings_that_arrive_as_a_node_ends_are_answered_or_not_connected() {
    kernel::run(async {
        for stop in 0..STOPS {
            let mut fleet = NodeFleet::start().await.unwrap();
            let mut settings = RunnerFakeSettings::new("desk-1");
            settings.work = WORK;
            let _desk = fleet.add_runner("desk", settings).await.unwrap();
            fleet.add_node().unwrap();
            fleet.wait_ready().await.unwrap();
            let mut node = fleet.nodes.remove(0);
            let fleet = Rc::new(fleet);
            let is_over = Rc::new(std::cell::Cell::new(false));
            node.signal(Signal::TERM).unwrap();
            let callers = (0..CALLERS).map(|caller| {
                let (fleet, is_over) = (Rc::clone(&fleet), Rc::clone(&is_over));
                kernel::spawn(async move {
                    let mut ends = Vec::new();
                    while !is_over.get() {
                        let attempt = format!("s{stop}-c{caller}-{}", ends.len());
                        ends.push(book(&fleet, 0, &attempt).await);
                        sleep(PAUSE).await;
                    }
                    ends
                })
            });
            let callers: Vec<_> = callers.collect();
            let begun = Instant::now();
            while node.ended().is_none() {
                assert!(begun.elapsed() < LIMIT, "the node has not ended");
                sleep(PAUSE).await;
            }
            is_over.set(true);
            let ends = join_all(callers).await.into_iter().flat_map(Result::unwrap);
            let ends: Vec<AttemptEnd> = ends.collect();
            let lost = ends.iter().filter(|end| matches!(end, AttemptEnd::Lost(_)));
            let lost: Vec<&AttemptEnd> = lost.collect();
            eprintln!("{} bookings, lost: {lost:?}", ends.len());
            assert!(lost.is_empty(), "stop {stop}: lost {lost:?} of {}", ends.len());
        }
    })
    .unwrap();
}
