//! Calls whose first token is due: who goes first where room is scarce, and who is told
//! to come back.

mod common;

use base::prelude::*;
use common::{SchedulerHarness, call, id, member, report, runner, service};
use config::CallPriority;
use route::{RouteAction, RouteCall, RouteEvent, WaitQueue};

/// A report of a runner whose memory is full.
fn full(number: usize) -> RunnerReport {
    report(number, 2_048, 30)
}

fn due(number: u64, target: TimePoint) -> RouteCall {
    RouteCall { first_token_target: Some(target), ..call(number, CallPriority::Normal) }
}

fn sent(actions: &[RouteAction]) -> Vec<u64> {
    let number = |action: &RouteAction| match action {
        RouteAction::Send { call, .. } => Some(call.0),
        _ => None,
    };
    actions.iter().filter_map(number).collect()
}

fn refused(actions: &[RouteAction]) -> Vec<(u64, RefusalReason)> {
    let refusal = |action: &RouteAction| match action {
        RouteAction::Refuse { call, reason, retry_after } => {
            assert!(retry_after.0 > 0);
            Some((call.0, *reason))
        }
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn peers_waiting(harness: &mut SchedulerHarness, peers_waiting: bool) -> Vec<RouteAction> {
    harness.tell(RouteEvent::PeersWaiting { service: service(), peers_waiting })
}

#[test]
fn calls_that_are_late_wait_behind_those_that_can_be_served_in_time() {
    let start = TimePoint::default();
    let mut queue = WaitQueue::default();
    for (number, seconds) in [(1, 1), (2, 3), (3, 2)] {
        queue.push(&due(number, start + TimeSpan::seconds(seconds)), 100, 1);
    }
    let order = |queue: &WaitQueue| -> Vec<u64> { queue.calls().map(|call| call.0).collect() };
    queue.mark_late(start + TimeSpan::seconds(1));
    assert_eq!(order(&queue), [1, 2, 3], "not before it is due");
    queue.mark_late(start + TimeSpan::millis(2_500));
    assert_eq!((order(&queue), queue.is_all_late()), (vec![2, 1, 3], false));
    queue.remove(id(2));
    assert!(queue.is_all_late());
    assert!(queue.overdue(start + TimeSpan::millis(1_900)).is_empty());
    assert_eq!(queue.overdue(start + TimeSpan::seconds(2)), [id(1)]);
    queue.dequeue(start, id(1));
    assert!(queue.overdue(start + TimeSpan::seconds(2)).is_empty());
}

#[test]
fn a_late_call_leaves_room_to_those_that_wait_in_time_elsewhere() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(full(0));
    let target = harness.now + TimeSpan::millis(500);
    assert!(harness.arrive(due(1, target)).is_empty());
    assert_eq!(harness.scheduler.services_waiting_in_time(), [service()]);
    peers_waiting(&mut harness, true);
    harness.advance(TimeSpan::millis(600));
    assert!(sent(&harness.report(report(0, 0, 0))).is_empty(), "others are in time");
    assert!(harness.scheduler.services_waiting_in_time().is_empty());
    assert_eq!(sent(&peers_waiting(&mut harness, false)), [1]);
}

#[test]
fn a_late_call_without_room_is_given_up_and_told_when_to_come_back() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(full(0));
    let target = harness.now + TimeSpan::millis(500);
    assert!(harness.arrive(due(1, target)).is_empty());
    harness.advance(TimeSpan::millis(1_400));
    assert!(refused(&harness.report(full(0))).is_empty());
    harness.advance(TimeSpan::millis(200));
    let given_up = refused(&harness.report(full(0)));
    assert_eq!(given_up, [(1, RefusalReason::Overloaded)]);
}

#[test]
fn a_runner_that_comes_with_its_load_does_not_look_empty_meanwhile() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(full(0));
    assert!(harness.arrive(call(1, CallPriority::Normal)).is_empty());
    let members = RouteEvent::Members { service: service(), members: vec![member(0), member(1)] };
    let load = RouteEvent::Report(RunnerReport { sequence: 1, ..full(1) });
    let actions = harness.scheduler.handle_all(harness.now, [members.clone(), load]);
    assert!(sent(&actions).is_empty());
    // One by one, the call would have gone to what seems to be an empty runner.
    let mut one_by_one = SchedulerHarness::new(1);
    one_by_one.report(full(0));
    one_by_one.arrive(call(1, CallPriority::Normal));
    let actions = one_by_one.tell(members);
    assert!(matches!(&actions[..], [RouteAction::Send { runner: to, .. }] if *to == runner(1)));
}
