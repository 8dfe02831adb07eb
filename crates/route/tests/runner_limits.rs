//! Runners that take a limited rate of calls from this entry.

mod common;

use base::prelude::*;
use common::{SchedulerHarness, call, id, report, runner};
use config::CallPriority;
use route::{RateLimiter, RouteAction, RouteCall, RouteEvent};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn limit(harness: &mut SchedulerHarness, number: usize, rate: Option<f64>) -> Vec<RouteAction> {
    let rate = rate.map(RequestRate);
    harness.tell(RouteEvent::RunnerLimit { runner: runner(number), rate })
}

fn due(harness: &SchedulerHarness, number: u64, millis: u64) -> RouteCall {
    let target = harness.now + TimeSpan::millis(millis);
    RouteCall { first_token_target: Some(target), ..call(number, CallPriority::Normal) }
}

fn sends_to(actions: &[RouteAction], number: usize) -> usize {
    let is_send = |action: &&RouteAction| matches!(action, RouteAction::Send { runner: to, .. } if *to == runner(number));
    actions.iter().filter(is_send).count()
}

#[test]
fn a_rate_limiter_lets_calls_through_at_its_rate() {
    let mut limiter = RateLimiter::default();
    assert!(limiter.admits(at(0)));
    limiter.set_rate(at(0), Some(RequestRate(4.0)), 0.0);
    assert_eq!(limiter.next_call_at(at(0)), Some(at(250)));
    let mut sent = Vec::new();
    for millis in 0..2_000 {
        if limiter.admits(at(millis)) {
            limiter.record_sent(at(millis));
            sent.push(millis);
        }
    }
    assert_eq!(sent.len(), 7, "{sent:?}");
    limiter.set_rate(at(2_000), None, 0.0);
    assert!(limiter.admits(at(2_000)));
}

#[test]
fn calls_are_not_saved_up_while_none_come() {
    let mut limiter = RateLimiter::default();
    limiter.set_rate(at(0), Some(RequestRate(2.0)), 0.5);
    let now = at(60_000);
    limiter.record_sent(now);
    assert!(!limiter.admits(now));
}

#[test]
fn calls_that_could_not_wait_are_made_up_for() {
    let mut limiter = RateLimiter::default();
    limiter.set_rate(at(0), Some(RequestRate(1.0)), 0.0);
    limiter.record_sent(at(0));
    limiter.record_sent(at(0));
    assert_eq!(limiter.next_call_at(at(0)), Some(at(3_000)));
}

#[test]
fn a_limited_runner_gets_its_rate_and_the_others_the_rest() {
    let mut harness = SchedulerHarness::new(2);
    limit(&mut harness, 0, Some(2.0));
    let (mut limited, mut other) = (0, 0);
    for number in 1..=500 {
        let actions = harness.arrive(call(number, CallPriority::Normal));
        limited += sends_to(&actions, 0);
        other += sends_to(&actions, 1);
        harness.advance(TimeSpan::millis(20));
    }
    assert_eq!(limited + other, 500);
    assert!((10..=21).contains(&limited), "{limited}");
}

#[test]
fn calls_beyond_the_limits_of_all_runners_are_refused_at_once_with_a_time() {
    let mut harness = SchedulerHarness::new(2);
    limit(&mut harness, 0, Some(2.0));
    limit(&mut harness, 1, Some(3.0));
    let mut waiting = 0;
    let mut named = Vec::new();
    for number in 1..=40 {
        let arrived = due(&harness, number, 1_000);
        match harness.arrive(arrived)[..] {
            [RouteAction::Refuse { reason: RefusalReason::RunnersWait, retry_after, .. }] => {
                named.push(retry_after);
            }
            ref actions => waiting += 1 - sends_to(actions, 0) - sends_to(actions, 1),
        }
    }
    // Five calls a second are taken, and a call waits for a second at most.
    assert!((3..=6).contains(&waiting), "{waiting}");
    assert!(named.len() >= 32, "{}", named.len());
    assert!(named.iter().all(|wait| *wait > TimeSpan::default()));
}

/// Guards against a refusal that tells the caller to come back at once: a runner may accept a call
/// again, but the calls that wait go first.
#[test]
fn a_call_behind_others_is_told_when_to_come_back_although_a_runner_accepts_one() {
    let mut harness = SchedulerHarness::new(1);
    limit(&mut harness, 0, Some(5.0));
    for number in 1..=20 {
        let arrived = due(&harness, number, 1_000);
        harness.arrive(arrived);
    }
    harness.now = harness.now + TimeSpan::millis(400);
    let arrived = due(&harness, 21, 500);
    let actions = harness.arrive(arrived);
    let [RouteAction::Refuse { reason: RefusalReason::RunnersWait, retry_after, .. }] = actions[..]
    else {
        panic!("{actions:?}");
    };
    assert!(retry_after >= TimeSpan::millis(500), "{retry_after:?}");
}

#[test]
fn an_urgent_call_is_not_refused_for_calls_that_it_goes_before() {
    let mut harness = SchedulerHarness::new(1);
    limit(&mut harness, 0, Some(5.0));
    let mut refused = 0;
    for number in 1..=20 {
        let arrived = due(&harness, number, 1_000);
        refused += harness.arrive(arrived).len();
    }
    assert!(refused > 0, "the queue is as long as it may be");
    let urgent = RouteCall { priority: CallPriority::Urgent, ..due(&harness, 21, 1_000) };
    assert!(harness.arrive(urgent).is_empty(), "it waits");
    harness.advance(TimeSpan::millis(250));
    let actions = harness.tell(RouteEvent::Tick);
    let first = actions.first();
    assert!(matches!(first, Some(RouteAction::Send { call, .. }) if *call == id(21)), "{first:?}");
}

#[test]
fn a_limited_runner_keeps_no_copies() {
    let mut harness = SchedulerHarness::new(2);
    harness.report(report(0, 0, 0));
    harness.report(report(1, 0, 0));
    let actions = harness.arrive(call(1, CallPriority::Normal));
    let other = usize::from(sends_to(&actions, 0) == 1);
    let now = harness.now;
    assert_eq!(harness.scheduler.choose_backup(now, id(1)), Some(runner(other)));
    limit(&mut harness, other, Some(50.0));
    assert_eq!(harness.scheduler.choose_backup(now, id(1)), None);
    limit(&mut harness, other, None);
    assert_eq!(harness.scheduler.choose_backup(now, id(1)), Some(runner(other)));
}

/// Guards against a runner that gets calls beyond its room, and calls that wait for nothing.
#[test]
fn a_runner_without_room_gets_no_calls_and_they_are_refused_if_it_has_none_in_time() {
    let mut harness = SchedulerHarness::new(1);
    let room = |harness: &mut SchedulerHarness, calls, free_at| {
        harness.tell(RouteEvent::RunnerRoom { runner: runner(0), calls, free_at })
    };
    room(&mut harness, Some(2), None);
    for number in 1..=2 {
        let arrival = RouteEvent::Arrive(due(&harness, number, 300));
        assert_eq!(sends_to(&harness.tell(arrival), 0), 1);
    }
    // It depends on calls in progress when there is room again: the call waits.
    let arrival = RouteEvent::Arrive(due(&harness, 3, 300));
    assert!(harness.tell(arrival).is_empty());
    assert_eq!(sends_to(&room(&mut harness, Some(1), None), 0), 1);
    let free_at = harness.now + TimeSpan::seconds(2);
    room(&mut harness, Some(0), Some(free_at));
    let arrival = RouteEvent::Arrive(due(&harness, 4, 300));
    let refused = harness.tell(arrival);
    let [RouteAction::Refuse { reason, retry_after, .. }] = refused.as_slice() else {
        panic!("{refused:?}")
    };
    assert_eq!(*reason, RefusalReason::RunnersWait);
    assert!(*retry_after >= TimeSpan::seconds(2), "{retry_after:?}");
    room(&mut harness, None, None);
    let arrival = RouteEvent::Arrive(due(&harness, 5, 300));
    assert_eq!(sends_to(&harness.tell(arrival), 0), 1);
}

/// Guards against `Retry-After: 0` for a call that is refused because of those that wait before it,
/// at an instant at which the runner could take one.
#[test]
fn a_call_behind_others_is_refused_with_a_time_while_the_runner_could_take_one() {
    let mut harness = SchedulerHarness::new(1);
    limit(&mut harness, 0, Some(1.0));
    for number in 1..=4 {
        let arrival = RouteEvent::Arrive(due(&harness, number, 6_000));
        harness.tell(arrival);
    }
    harness.now = harness.now + TimeSpan::seconds(2);
    let arrival = RouteEvent::Arrive(due(&harness, 5, 300));
    let actions = harness.tell(arrival);
    let refusal = actions.iter().find_map(|action| match action {
        RouteAction::Refuse { reason, retry_after, .. } => Some((*reason, *retry_after)),
        _ => None,
    });
    let (reason, retry_after) = refusal.unwrap();
    assert_eq!(reason, RefusalReason::RunnersWait);
    assert!(retry_after > TimeSpan::default());
}
