//! Calls that are given up while they wait, and the turns of those that stay.

mod common;

use base::prelude::*;
use common::{SchedulerHarness, call, id, report};
use config::CallPriority;
use route::{CallEnd, RouteAction, RouteEvent};

/// A scheduler whose only runner has just become full, after it took calls for some seconds.
fn full_desk() -> (SchedulerHarness, u64) {
    let mut harness = SchedulerHarness::new(1);
    let mut number = 0;
    for _ in 0..30 {
        number += 1;
        harness.arrive(call(number, CallPriority::Normal));
        harness.advance(TimeSpan::millis(250));
        harness.tell(RouteEvent::Ended { call: id(number), end: CallEnd::Finished });
        harness.report(report(0, 10, 0));
    }
    harness.report(report(0, 2_040, 30));
    (harness, number)
}

#[test]
fn a_call_whose_wait_has_grown_past_its_deadline_is_refused_before_it() {
    let (mut harness, last) = full_desk();
    let deadline = harness.now + TimeSpan::seconds(20);
    let accepted = (last + 1..last + 5_000)
        .take_while(|number| {
            let mut late = call(*number, CallPriority::Normal);
            late.deadline = deadline;
            harness.arrive(late).is_empty()
        })
        .count();
    assert!(accepted > 1, "no call was left to wait");
    let mut early = 0;
    while harness.now + TimeSpan::seconds(2) < deadline {
        harness.advance(TimeSpan::millis(100));
        let actions = harness.report(report(0, 2_040, 30));
        early += actions
            .iter()
            .filter(|action| {
                matches!(action, RouteAction::Refuse { reason: RefusalReason::Overloaded, .. })
            })
            .count();
    }
    assert!(early > 0, "all {accepted} were kept until near the deadline");
}
