//! Nodes that are told to stop one after the other, under callers that keep addresses for three times
//! as long as the look-up allows.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::{sleep, timeout};
use fakes::platform::RunnerFakeSettings;
use futures_util::future::{join, join_all};
use harness::{AttemptEnd, CallerRequest, NodeFleet, NodeProcess, book, wait_until};
use rustix::process::Signal;
use serde_json::json;

const NODES: usize = 3;
/// Time for a node to be told by every other one, or to end.
const LIMIT: Duration = Duration::from_secs(15);
/// Time from the signal to the kill.
const STOP_SECONDS: f64 = 6.0;
/// Time that a booking takes at a runner.
const WORK: Duration = Duration::from_millis(1_500);
/// Runners with eight places each: more than the bookings under way.
const RUNNERS: usize = 16;
/// Callers, and the pause between two bookings of one.
const CALLERS: usize = 5;
const PAUSE: Duration = Duration::from_millis(80);
/// Time for which a caller keeps an address: three times `ttlS`.
const HOLD: Duration = Duration::from_secs(6);
/// Bookings before the first stop, from which nodes learn how long they take.
const WARM_UP: Duration = Duration::from_secs(3);
const LEAST_BOOKINGS: usize = 1_000;

/// A caller that keeps addresses for [`HOLD`], and leaves one that has failed it.
struct HoldingCaller {
    fleet: Rc<NodeFleet>,
    number: usize,
    nodes: Rc<RefCell<Vec<usize>>>,
    sent: usize,
}

impl HoldingCaller {
    async fn look_up(&self) {
        for turn in 0..NODES {
            let node = (self.number + turn) % NODES;
            let found = timeout(Duration::from_secs(1), self.fleet.lookup(node)).await;
            let found = found.unwrap_or_default();
            let is_found = |node: &usize| found.contains(&self.fleet.callers(*node).to_string());
            let nodes: Vec<usize> = (0..NODES).filter(is_found).collect();
            if !nodes.is_empty() {
                *self.nodes.borrow_mut() = nodes;
                return;
            }
        }
    }

    fn next_attempt(&mut self) -> Option<(usize, String)> {
        let nodes = self.nodes.borrow();
        let node = *nodes.get(self.sent % nodes.len().max(1))?;
        self.sent += 1;
        Some((node, format!("c{}-{}", self.number, self.sent)))
    }

    /// Books until `is_over`; gives the ends of all attempts.
    async fn run(mut self, is_over: Rc<RefCell<bool>>) -> Vec<AttemptEnd> {
        // The addresses of the callers expire at different times.
        sleep(HOLD / u32::try_from(CALLERS).unwrap() * u32::try_from(self.number).unwrap()).await;
        let mut fetched: Option<Instant> = None;
        let mut bookings = Vec::new();
        while !*is_over.borrow() {
            if fetched.is_none_or(|at| at.elapsed() > HOLD) || self.nodes.borrow().is_empty() {
                self.look_up().await;
                fetched = Some(Instant::now());
            }
            if let Some((node, attempt)) = self.next_attempt() {
                let (fleet, nodes) = (Rc::clone(&self.fleet), Rc::clone(&self.nodes));
                bookings.push(kernel::spawn(async move {
                    let end = book(&fleet, node, &attempt).await;
                    if end != AttemptEnd::Served {
                        nodes.borrow_mut().retain(|held| *held != node);
                    }
                    end
                }));
            }
            sleep(PAUSE).await;
        }
        let mut ends = Vec::new();
        for booking in bookings {
            ends.push(booking.await.unwrap());
        }
        ends
    }
}

async fn wait_all_told(fleet: &NodeFleet) {
    for node in 0..NODES {
        let is_told = async || (fleet.lookup(node).await.len() == NODES).then_some(());
        wait_until("all nodes to be told", LIMIT, is_told).await.unwrap();
    }
}

/// Stops and starts each node, one after the other; gives the new processes.
async fn roll(fleet: &NodeFleet, nodes: Vec<NodeProcess>) -> Vec<NodeProcess> {
    let sets = [("stop_seconds", json!(STOP_SECONDS))];
    let mut restarted = Vec::new();
    for (number, mut node) in nodes.into_iter().enumerate() {
        let begun = Instant::now();
        node.signal(Signal::TERM).unwrap();
        assert_eq!(wait_until("the end", LIMIT, async || node.ended()).await.unwrap(), 0);
        assert!(begun.elapsed() < Duration::from_secs_f64(STOP_SECONDS), "{:?}", begun.elapsed());
        // It removes its settings file.
        drop(node);
        restarted.push(fleet.start_node(number, &sets, true).unwrap());
        wait_all_told(fleet).await;
    }
    restarted
}

/// Guards against bookings that a stopping node takes although it ends before they do.
#[test]
fn no_booking_is_cut_in_a_rolling_stop_under_callers_with_old_addresses() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..RUNNERS {
            let mut settings = RunnerFakeSettings::new(&format!("desk-{number}"));
            settings.work = WORK;
            runners.push(fleet.add_runner("desk", settings).await.unwrap());
        }
        for _ in 0..NODES {
            fleet.add_node_with(&[("stop_seconds", json!(STOP_SECONDS))], true).unwrap();
        }
        fleet.wait_ready().await.unwrap();
        let nodes = std::mem::take(&mut fleet.nodes);
        let (fleet, is_over) = (Rc::new(fleet), Rc::new(RefCell::new(false)));
        let callers = (0..CALLERS).map(|number| {
            let (fleet, nodes) = (Rc::clone(&fleet), Rc::default());
            HoldingCaller { fleet, number, nodes, sent: 0 }.run(Rc::clone(&is_over))
        });
        let operator = async {
            sleep(WARM_UP).await;
            let restarted = roll(&fleet, nodes).await;
            *is_over.borrow_mut() = true;
            restarted
        };
        let (ends, _restarted) = join(join_all(callers), operator).await;
        let ends: Vec<AttemptEnd> = ends.into_iter().flatten().collect();
        let refused = ends.iter().filter(|end| **end == AttemptEnd::Refused).count();
        let lost = |end: &&AttemptEnd| matches!(**end, AttemptEnd::Lost(_));
        let lost: Vec<&AttemptEnd> = ends.iter().filter(lost).collect();
        eprintln!("{} bookings, {refused} refused, {} lost", ends.len(), lost.len());
        assert!(ends.len() >= LEAST_BOOKINGS, "{} bookings", ends.len());
        let first = lost.first();
        assert!(first.is_none(), "{} lost of {}, such as {first:?}", lost.len(), ends.len());
        assert!(refused * 100 < ends.len(), "{refused} refused of {}", ends.len());
    })
    .unwrap();
}

/// Guards against a stop that goes on until the kill since one booking after the other arrives.
#[test]
fn bookings_that_go_on_arriving_do_not_prolong_a_stop() {
    /// Time that these bookings take.
    const SHORT_WORK: Duration = Duration::from_millis(400);
    /// Time from the signal to the kill.
    const LONG_STOP_SECONDS: f64 = 12.0;
    /// For as long as callers keep an address, and the last booking.
    const STOP_BOUND: Duration = Duration::from_millis(7_500);
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut settings = RunnerFakeSettings::new("desk-1");
        settings.work = SHORT_WORK;
        let _desk = fleet.add_runner("desk", settings).await.unwrap();
        fleet.add_node_with(&[("stop_seconds", json!(LONG_STOP_SECONDS))], true).unwrap();
        fleet.wait_ready().await.unwrap();
        let mut nodes = std::mem::take(&mut fleet.nodes);
        let begun = Instant::now();
        nodes[0].signal(Signal::TERM).unwrap();
        let mut bookings = Vec::new();
        let fleet = Rc::new(fleet);
        while nodes[0].ended().is_none() && begun.elapsed() < LIMIT {
            let (fleet, attempt) = (Rc::clone(&fleet), format!("a{}", bookings.len()));
            bookings.push(kernel::spawn(async move { book(&fleet, 0, &attempt).await }));
            sleep(PAUSE).await;
        }
        let took = begun.elapsed();
        for booking in bookings {
            let end = booking.await.unwrap();
            assert!(!matches!(end, AttemptEnd::Lost(_)), "{end:?}");
        }
        assert!(took < STOP_BOUND, "{took:?}");
    })
    .unwrap();
}

/// Guards against bookings whose connection is closed without a word at the end of a stop.
#[test]
fn bookings_under_way_at_the_end_of_a_stop_are_told_that_they_may_have_run() {
    /// Time from the signal to the kill; shorter than the bookings take.
    const SHORT_STOP_SECONDS: f64 = 3.0;
    /// Time for the first bookings to be sent to the runner.
    const BEGIN_TIME: Duration = Duration::from_millis(300);
    const BOOKINGS: usize = 8;
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut settings = RunnerFakeSettings::new("desk-1");
        settings.work = LIMIT;
        let desk = fleet.add_runner("desk", settings).await.unwrap();
        fleet.add_node_with(&[("stop_seconds", json!(SHORT_STOP_SECONDS))], true).unwrap();
        fleet.wait_ready().await.unwrap();
        let attempts: Vec<String> = (0..BOOKINGS).map(|number| format!("a{number}")).collect();
        let bookings = join_all(attempts.iter().map(|attempt| book(&fleet, 0, attempt)));
        let stop = async {
            sleep(BEGIN_TIME).await;
            fleet.nodes[0].signal(Signal::TERM).unwrap();
        };
        let (ends, ()) = join(bookings, stop).await;
        assert_eq!(desk.runs(), BOOKINGS);
        assert_eq!(ends, [AttemptEnd::Lost(502); BOOKINGS]);
    })
    .unwrap();
}

/// Guards against streams that go on waiting for a runner at a node that ends before they would.
#[test]
fn streams_that_wait_for_a_runner_when_a_stop_begins_are_refused_at_once() {
    /// Time for the first streams to be sent to the runner.
    const BEGIN_TIME: Duration = Duration::from_millis(300);
    /// Time for the heads of all answers; streams wait for 1.5 s if no runner has room.
    const HEADS_BOUND: Duration = Duration::from_secs(1);
    /// More than the runner has memory for.
    const STREAMS: usize = 40;
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut settings = RunnerFakeSettings::new("llm-1");
        settings.event_pause = Duration::from_millis(400);
        let llm = fleet.add_runner("llm", settings).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let requests: Vec<CallerRequest> =
            (0..STREAMS).map(|number| CallerRequest::stream(&format!("s{number}"))).collect();
        let stop = async {
            sleep(BEGIN_TIME).await;
            fleet.nodes[0].signal(Signal::TERM).unwrap();
        };
        let begun = Instant::now();
        let opened = join_all(requests.iter().map(|request| fleet.open(0, request)));
        let (opened, ()) = join(opened, stop).await;
        assert!(begun.elapsed() < HEADS_BOUND, "{:?}", begun.elapsed());
        let refused = opened.iter().filter(|head| head.as_ref().unwrap().status() == 503).count();
        assert_eq!(refused, STREAMS - llm.runs());
        assert!(refused > 0, "no stream waited");
    })
    .unwrap();
}
