//! Early refusal of waiting calls whose expected wait exceeds their deadline. Without it,
//! their callers would learn only at the deadline that the call was not run. Calls that arrived
//! seldom before say nothing of the wait.

mod common;

use base::prelude::*;
use common::{SchedulerHarness, call, id, report};
use config::CallPriority;
use route::{CallEnd, RouteAction, RouteEvent};

/// Returns a scheduler whose send rate is known and whose only runner has just become full,
/// with the number of the last call.
fn full_scheduler() -> (SchedulerHarness, u64) {
    let mut harness = SchedulerHarness::new(1);
    let mut number = 0;
    harness.report(report(0, 2_040, 30));
    for _ in 0..30 {
        number += 1;
        assert_eq!(harness.arrive(call(number, CallPriority::Normal)), vec![]);
        harness.advance(TimeSpan::millis(250));
        assert_eq!(harness.report(report(0, 10, 0)).len(), 1, "call {number} is sent");
        harness.tell(RouteEvent::Ended { call: id(number), end: CallEnd::Finished });
        harness.advance(TimeSpan::millis(100));
        harness.report(report(0, 2_040, 30));
    }
    (harness, number)
}

#[test]
fn call_whose_expected_wait_exceeds_its_deadline_is_refused_early() {
    let (mut harness, last) = full_scheduler();
    let deadline = harness.now + TimeSpan::seconds(20);
    let accepted = (last + 1..last + 5_000)
        .take_while(|number| {
            let mut waiting = call(*number, CallPriority::Normal);
            waiting.deadline = deadline;
            harness.arrive(waiting).is_empty()
        })
        .count();
    assert!(accepted > 1, "no call was queued");
    let mut refused_early = 0;
    while harness.now + TimeSpan::seconds(2) < deadline {
        harness.advance(TimeSpan::millis(100));
        let actions = harness.report(report(0, 2_040, 30));
        refused_early += actions
            .iter()
            .filter(|action| {
                matches!(action, RouteAction::Refuse { reason: RefusalReason::Overloaded, .. })
            })
            .count();
    }
    assert!(refused_early > 0, "none of {accepted} queued calls was refused before its deadline");
}

/// Guards against calls that a node with few calls refuses as soon as two of them wait.
#[test]
fn calls_that_wait_for_a_moment_after_few_calls_are_not_refused() {
    let mut harness = SchedulerHarness::new(1);
    for number in 1..=5 {
        harness.report(report(0, 10, 0));
        assert!(matches!(
            harness.arrive(call(number, CallPriority::Normal))[..],
            [RouteAction::Send { .. }]
        ));
        harness.tell(RouteEvent::Ended { call: id(number), end: CallEnd::Finished });
        harness.advance(TimeSpan::seconds(20));
    }
    harness.report(report(0, 2_040, 30));
    for number in 6..=10 {
        let mut waiting = call(number, CallPriority::Normal);
        waiting.deadline = harness.now + TimeSpan::seconds(8);
        assert_eq!(harness.arrive(waiting), vec![], "call {number}");
    }
    harness.advance(TimeSpan::millis(300));
    assert_eq!(harness.report(report(0, 10, 0)).len(), 5);
}
