//! Tests of individual scheduling rules.

mod common;

use base::{CacheEvent, prelude::*};
use common::{SchedulerHarness, call, id, member, report, runner};
use config::CallPriority;
use route::{CallEnd, RouteAction, RouteEvent, RouteMember};

fn sent_runner(actions: &[RouteAction]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        RouteAction::Send { runner, .. } => Some(runner.to_string()),
        _ => None,
    })
}

fn sent_call(action: &RouteAction) -> Option<u64> {
    match action {
        RouteAction::Send { call, .. } => Some(call.0),
        _ => None,
    }
}

#[test]
fn full_runners_are_skipped_and_calls_wait_if_all_are_full() {
    let mut harness = SchedulerHarness::new(2);
    harness.report(report(0, 2_040, 40));
    harness.report(report(1, 100, 2));
    let actions = harness.arrive(call(1, CallPriority::Normal));
    assert_eq!(sent_runner(&actions).as_deref(), Some("runner-1"));
    harness.report(report(1, 2_040, 40));
    assert_eq!(harness.arrive(call(2, CallPriority::Normal)), vec![]);
    harness.advance(TimeSpan::millis(300));
    let actions = harness.report(report(1, 100, 2));
    assert_eq!(sent_runner(&actions).as_deref(), Some("runner-1"));
}

#[test]
fn urgent_calls_are_dequeued_first() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(report(0, 2_048, 40));
    harness.arrive(call(1, CallPriority::LateTolerant));
    harness.arrive(call(2, CallPriority::Normal));
    harness.arrive(call(3, CallPriority::Urgent));
    harness.advance(TimeSpan::millis(300));
    let actions = harness.report(report(0, 10, 1));
    let order: Vec<u64> = actions.iter().filter_map(sent_call).collect();
    assert_eq!(order, vec![3, 2, 1]);
}

#[test]
fn call_without_a_runner_is_refused_at_once() {
    let mut harness = SchedulerHarness::new(0);
    let actions = harness.arrive(call(1, CallPriority::Urgent));
    assert!(matches!(actions[..], [RouteAction::Refuse { reason: RefusalReason::NoRunner, .. }]));
}

#[test]
fn waiting_calls_are_refused_when_the_last_runner_leaves() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(report(0, 2_048, 40));
    assert_eq!(harness.arrive(call(1, CallPriority::Normal)), vec![]);
    let member = RouteMember { leaving: true, ..common::member(0) };
    let actions = harness.members(vec![member]);
    assert!(matches!(actions[..], [RouteAction::Refuse { reason: RefusalReason::NoRunner, .. }]));
}

#[test]
fn waiting_call_is_refused_at_its_deadline() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(report(0, 2_048, 40));
    let mut late = call(1, CallPriority::Normal);
    late.deadline = harness.now + TimeSpan::millis(50);
    assert_eq!(harness.arrive(late), vec![]);
    harness.advance(TimeSpan::millis(60));
    let actions = harness.tell(RouteEvent::Tick);
    assert!(matches!(
        actions[..],
        [RouteAction::Refuse { reason: RefusalReason::DeadlinePassed, .. }]
    ));
}

#[test]
fn expected_wait_beyond_the_deadline_is_refused_with_a_retry_delay() {
    let mut harness = SchedulerHarness::new(1);
    for number in 0..200 {
        harness.report(report(0, 2_048, 40));
        assert_eq!(harness.arrive(call(number, CallPriority::Normal)), vec![]);
        harness.advance(TimeSpan::millis(100));
        assert_eq!(harness.report(report(0, 100, 2)).len(), 1, "call {number} is sent");
        harness.tell(RouteEvent::Ended { call: id(number), end: CallEnd::Finished });
    }
    harness.report(report(0, 2_048, 40));
    let refused = (200..5_000).find_map(|number| {
        let mut call = call(number, CallPriority::Normal);
        call.deadline = harness.now + TimeSpan::seconds(30);
        match harness.arrive(call)[..] {
            [RouteAction::Refuse { reason, retry_after, .. }] => Some((reason, retry_after)),
            _ => None,
        }
    });
    let (reason, retry_after) = refused.expect("no call was refused: the queue is unbounded");
    assert_eq!(reason, RefusalReason::Overloaded);
    assert!(retry_after >= TimeSpan::millis(750) && retry_after <= TimeSpan::seconds(75));
}

#[test]
fn runner_that_refuses_is_ejected() {
    let mut harness = SchedulerHarness::new(4);
    for runner in 0..4 {
        harness.report(report(runner, 100, 2));
    }
    let first = sent_runner(&harness.arrive(call(1, CallPriority::Normal))).unwrap();
    harness.tell(RouteEvent::Ended { call: id(1), end: CallEnd::Refused });
    for number in 2..20 {
        let next = sent_runner(&harness.arrive(call(number, CallPriority::Normal)));
        assert_ne!(next.as_ref(), Some(&first));
    }
}

#[test]
fn slow_runner_is_ejected_but_not_half_of_all_runners() {
    let mut harness = SchedulerHarness::new(8);
    for round in 0..20 {
        for runner in 0..8 {
            let slow = runner == 0 || (round > 10 && runner < 4);
            let step = TimeSpan::millis(if slow { 120 } else { 24 });
            harness.report(RunnerReport { step, ..report(runner, 100, 2) });
        }
        harness.advance(TimeSpan::millis(250));
        if round == 9 {
            let ejected = harness.scheduler.summary().runners;
            let is_ejected = |(_, runner): &(_, &route::RunnerSummary)| runner.ejected_for.0 > 0;
            assert_eq!(ejected.iter().filter(is_ejected).count(), 1);
        }
    }
    let actions = harness.arrive(call(1, CallPriority::Normal));
    assert!(sent_runner(&actions).is_some());
}

#[test]
fn runner_with_cached_prefix_is_preferred() {
    let mut harness = SchedulerHarness::new(4);
    for runner in 0..4 {
        harness.report(report(runner, 400, 8));
    }
    let event = CacheEvent { sequence: 1, prefix: 7, stored: true };
    harness.tell(RouteEvent::Cache { runner: common::runner(2), event });
    let actions = harness.arrive(call(1, CallPriority::Normal));
    assert_eq!(sent_runner(&actions).as_deref(), Some("runner-2"));
}

#[test]
fn thousand_runners_are_reduced_to_a_stable_subset() {
    let mut harness = SchedulerHarness::new(0);
    let members: Vec<RouteMember> = (0..1_000).map(common::member).collect();
    harness.members(members.clone());
    let before = harness.scheduler.summary().runners;
    assert_eq!(before.len(), 48);
    let gone = before.keys().next().unwrap().clone();
    let rest = members.into_iter().filter(|member| member.runner != gone).collect();
    harness.members(rest);
    let after = harness.scheduler.summary().runners;
    assert_eq!(
        after.len(),
        49,
        "a removed runner is replaced by one new runner and stays in the summary"
    );
}

#[test]
fn summary_lists_counters_runners_and_decisions() {
    let mut harness = SchedulerHarness::new(2);
    harness.report(report(0, 1_000, 20));
    harness.report(report(1, 100, 2));
    harness.arrive(call(1, CallPriority::Normal));
    harness.tell(RouteEvent::Ended { call: id(1), end: CallEnd::Finished });
    insta::assert_json_snapshot!(harness.scheduler.summary());
}

/// Guards against calls that keep going to the runners of a place that is cut off as a whole, since
/// more runners are ejected than may be ejected one by one.
#[test]
fn all_runners_of_a_place_may_be_ejected_while_another_place_serves() {
    let mut harness = SchedulerHarness::new(0);
    let place = |number: usize| if number.is_multiple_of(2) { "place-0" } else { "place-1" };
    let members = (0..6)
        .map(|number| RouteMember { place: place(number).parse().unwrap(), ..member(number) });
    harness.members(members.collect());
    let is_cut = |runner_id: &RunnerId| (0..6).any(|n| n % 2 == 1 && *runner_id == runner(n));
    let mut to_cut = Vec::new();
    for number in 1..=60 {
        let actions = harness.arrive(call(number, CallPriority::Normal));
        let [RouteAction::Send { call: id, runner: to, .. }] = &actions[..] else {
            panic!("{actions:?}");
        };
        let end = if is_cut(to) { CallEnd::Failed } else { CallEnd::Finished };
        if end == CallEnd::Failed {
            to_cut.push(number);
        }
        harness.tell(RouteEvent::Ended { call: *id, end });
        harness.advance(TimeSpan::millis(10));
    }
    // The ejections end after a second, longer than this test takes.
    assert_eq!(to_cut.len(), 3, "{to_cut:?}");
}
