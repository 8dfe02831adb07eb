//! Calls with a first-token target: queue order when capacity is scarce, and refusal of
//! calls that have missed their target.

mod common;

use base::prelude::*;
use common::{SchedulerHarness, call, id, member, report, runner, service};
use config::CallPriority;
use route::{RouteAction, RouteCall, RouteEvent, WaitQueue};

/// Returns the report of a runner whose memory is full.
fn full_report(number: usize) -> RunnerReport {
    report(number, 2_048, 30)
}

/// Returns a call whose first token is due at `target`.
fn call_due(number: u64, target: TimePoint) -> RouteCall {
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

fn peers_waiting(harness: &mut SchedulerHarness, waiting_peers: usize) -> Vec<RouteAction> {
    harness.tell(RouteEvent::PeersWaiting { service: service(), waiting_peers })
}

#[test]
fn late_calls_wait_behind_calls_that_can_meet_their_target() {
    let start = TimePoint::default();
    let mut queue = WaitQueue::default();
    for (number, seconds) in [(1, 1), (2, 3), (3, 2)] {
        queue.push(&call_due(number, start + TimeSpan::seconds(seconds)), 100, 1);
    }
    let order = |queue: &WaitQueue| -> Vec<u64> { queue.calls().map(|call| call.0).collect() };
    queue.mark_late(start + TimeSpan::seconds(1));
    assert_eq!(order(&queue), [1, 2, 3], "a call is not late before its target");
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
fn late_call_yields_capacity_to_calls_waiting_at_peers() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(full_report(0));
    let target = harness.now + TimeSpan::millis(500);
    assert!(harness.arrive(call_due(1, target)).is_empty());
    assert_eq!(harness.scheduler.services_waiting_in_time(), [service()]);
    peers_waiting(&mut harness, 1);
    harness.advance(TimeSpan::millis(600));
    assert!(
        sent(&harness.report(report(0, 0, 0))).is_empty(),
        "peers have calls that can still meet their target"
    );
    assert!(harness.scheduler.services_waiting_in_time().is_empty());
    assert_eq!(sent(&peers_waiting(&mut harness, 0)), [1]);
}

#[test]
fn overdue_call_is_refused_with_a_retry_delay() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(full_report(0));
    let target = harness.now + TimeSpan::millis(500);
    assert!(harness.arrive(call_due(1, target)).is_empty());
    harness.advance(TimeSpan::millis(1_400));
    assert!(refused(&harness.report(full_report(0))).is_empty());
    harness.advance(TimeSpan::millis(200));
    let refusals = refused(&harness.report(full_report(0)));
    assert_eq!(refusals, [(1, RefusalReason::Overloaded)]);
}

#[test]
fn runner_added_with_its_load_does_not_appear_idle() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(full_report(0));
    assert!(harness.arrive(call(1, CallPriority::Normal)).is_empty());
    let members = RouteEvent::Members { service: service(), members: vec![member(0), member(1)] };
    let load = RouteEvent::Report(RunnerReport { sequence: 1, ..full_report(1) });
    let actions = harness.scheduler.handle_all(harness.now, [members.clone(), load]);
    assert!(sent(&actions).is_empty());
    // With separate events, the call is sent to the new runner, which appears idle until its
    // load is reported.
    let mut one_by_one = SchedulerHarness::new(1);
    one_by_one.report(full_report(0));
    one_by_one.arrive(call(1, CallPriority::Normal));
    let actions = one_by_one.tell(members);
    assert!(matches!(&actions[..], [RouteAction::Send { runner: to, .. }] if *to == runner(1)));
}
