//! Runners that accept no calls before a time that they named, and few calls just after it.

mod common;

use base::prelude::*;
use common::{SchedulerHarness, call, id, member, report, runner};
use config::CallPriority;
use route::{CallEnd, RouteAction, RouteCall, RouteEvent};

fn wait(harness: &mut SchedulerHarness, number: usize, millis: u64) -> Vec<RouteAction> {
    let until = harness.now + TimeSpan::millis(millis);
    harness.tell(RouteEvent::RunnerWait { runner: runner(number), until })
}

fn due(harness: &SchedulerHarness, number: u64, millis: u64) -> RouteCall {
    let target = harness.now + TimeSpan::millis(millis);
    RouteCall { first_token_target: Some(target), ..call(number, CallPriority::Normal) }
}

/// Runners that the actions send calls to.
fn targets(actions: &[RouteAction]) -> Vec<RunnerId> {
    let target = |action: &RouteAction| match action {
        RouteAction::Send { runner, .. } => Some(runner.clone()),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

/// Delay that the only action names to a refused caller.
fn named_wait(actions: &[RouteAction]) -> TimeSpan {
    match actions {
        [RouteAction::Refuse { reason: RefusalReason::RunnersWait, retry_after, .. }] => {
            *retry_after
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_waiting_runner_gets_no_call_while_another_is_there() {
    let mut harness = SchedulerHarness::new(2);
    wait(&mut harness, 0, 3_000);
    for number in 1..20 {
        let arrived = call(number, CallPriority::Normal);
        assert_eq!(targets(&harness.arrive(arrived)), [runner(1)]);
    }
}

#[test]
fn a_waiting_runner_is_neither_a_target_of_moves_nor_a_backup() {
    let mut harness = SchedulerHarness::new(2);
    harness.report(report(0, 0, 0));
    harness.report(report(1, 0, 0));
    let sent = targets(&harness.arrive(call(1, CallPriority::Normal)));
    let other = usize::from(sent == [runner(0)]);
    let now = harness.now;
    assert_eq!(harness.scheduler.choose_backup(now, id(1)), Some(runner(other)));
    wait(&mut harness, other, 3_000);
    assert_eq!(harness.scheduler.choose_backup(now, id(1)), None);
    assert_eq!(harness.scheduler.relocate(now, id(1)), None);
}

#[test]
fn a_call_is_refused_with_the_earliest_end_if_all_runners_wait_for_too_long() {
    let mut harness = SchedulerHarness::new(2);
    wait(&mut harness, 0, 3_000);
    wait(&mut harness, 1, 5_000);
    let mut named: Vec<TimeSpan> = Vec::new();
    for number in 1..50 {
        let arrived = due(&harness, number, 2_000);
        named.push(named_wait(&harness.arrive(arrived)));
    }
    let (first, last) = (named.iter().min().unwrap(), named.iter().max().unwrap());
    assert!(*first >= TimeSpan::millis(3_000), "{first}");
    assert!(*last <= TimeSpan::millis(3_750), "{last}");
    assert!(last.0 - first.0 > TimeSpan::millis(400).0, "callers return together");
}

#[test]
fn a_call_waits_for_an_end_that_lies_before_its_target() {
    let mut harness = SchedulerHarness::new(1);
    wait(&mut harness, 0, 500);
    let arrived = due(&harness, 1, 2_000);
    assert!(harness.arrive(arrived).is_empty());
    harness.advance(TimeSpan::millis(490));
    assert!(harness.tell(RouteEvent::Tick).is_empty());
    harness.advance(TimeSpan::millis(10));
    assert_eq!(targets(&harness.tell(RouteEvent::Tick)), [runner(0)]);
}

#[test]
fn a_waiting_call_is_refused_once_all_its_runners_wait_for_too_long() {
    let mut harness = SchedulerHarness::new(1);
    wait(&mut harness, 0, 500);
    let arrived = due(&harness, 1, 2_000);
    assert!(harness.arrive(arrived).is_empty());
    let actions = wait(&mut harness, 0, 4_000);
    assert!(named_wait(&actions) >= TimeSpan::millis(4_000));
}

#[test]
fn a_shorter_wait_does_not_end_a_longer_one() {
    let mut harness = SchedulerHarness::new(1);
    wait(&mut harness, 0, 3_000);
    wait(&mut harness, 0, 100);
    harness.advance(TimeSpan::millis(2_000));
    let arrived = due(&harness, 1, 100);
    assert!(named_wait(&harness.arrive(arrived)) >= TimeSpan::millis(1_000));
}

#[test]
fn calls_after_a_wait_are_few_at_first_and_grow_with_successes() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(report(0, 0, 0));
    wait(&mut harness, 0, 500);
    for number in 1..=60 {
        assert!(harness.arrive(due(&harness, number, 60_000)).is_empty());
    }
    harness.advance(TimeSpan::millis(500));
    let mut actions = harness.tell(RouteEvent::Tick);
    let mut rounds = Vec::new();
    while !actions.is_empty() && rounds.len() < 5 {
        rounds.push(actions.len());
        harness.advance(TimeSpan::millis(50));
        let mut next = Vec::new();
        for action in &actions {
            let RouteAction::Send { call, .. } = action else { panic!("{action:?}") };
            next.extend(harness.tell(RouteEvent::Ended { call: *call, end: CallEnd::Finished }));
        }
        actions = next;
    }
    insta::assert_json_snapshot!(rounds);
}

#[test]
fn a_call_that_fails_after_a_wait_leaves_room_for_the_next() {
    let mut harness = SchedulerHarness::new(1);
    wait(&mut harness, 0, 500);
    for number in 1..=3 {
        assert!(harness.arrive(due(&harness, number, 60_000)).is_empty());
    }
    harness.advance(TimeSpan::millis(500));
    let actions = harness.tell(RouteEvent::Tick);
    let [RouteAction::Send { call, .. }] = actions[..] else { panic!("{actions:?}") };
    let ended = RouteEvent::Ended { call, end: CallEnd::Cancelled };
    assert_eq!(harness.tell(ended).len(), 1);
}

#[test]
fn a_new_start_of_a_runner_does_not_wait() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(report(0, 0, 0));
    wait(&mut harness, 0, 30_000);
    harness.report(RunnerReport { incarnation: 2, ..report(0, 0, 0) });
    assert_eq!(targets(&harness.arrive(call(1, CallPriority::Normal))), [runner(0)]);
}

#[test]
fn a_service_without_runners_is_not_said_to_wait() {
    let mut harness = SchedulerHarness::new(1);
    wait(&mut harness, 0, 3_000);
    harness.members(vec![route::RouteMember { leaving: true, ..member(0) }]);
    let actions = harness.arrive(call(1, CallPriority::Normal));
    assert!(matches!(actions[..], [RouteAction::Refuse { reason: RefusalReason::NoRunner, .. }]));
}
