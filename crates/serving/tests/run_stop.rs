//! What becomes of a stream whose source was ordered to stop its run.

use base::prelude::*;
use insta::assert_snapshot;
use serving::{BodyState, OrderAnswer, StopFacts, decide_stop};

const ANSWERED: TimePoint = TimePoint(10_000_000);

/// Facts of an order that was answered at 10 s.
fn facts(answer: Option<OrderAnswer>, events: Option<u64>, body: BodyState) -> StopFacts {
    let is_answer_late = false;
    StopFacts {
        answer,
        may_have_stopped: false,
        answered_at: ANSWERED,
        last_event_at: ANSWERED,
        events,
        body,
        is_gone: false,
        is_answer_late,
    }
}

/// Decisions some milliseconds after the answer.
fn decisions(facts: StopFacts) -> String {
    let decide = |ms| {
        let decision = decide_stop(&facts, ANSWERED + TimeSpan::millis(ms));
        format!("{ms} {}", decision.as_str())
    };
    [0, 399, 400, 1_999, 2_000].map(decide).join(", ")
}

#[test]
fn events_from_before_the_stop_show_nothing_and_later_ones_that_the_source_goes_on() {
    let stopped = Some(OrderAnswer::Stopped(Some(7)));
    let untold = Some(OrderAnswer::Stopped(None));
    let rows = [
        ("before", facts(stopped, Some(7), BodyState::Open)),
        ("being written", facts(stopped, Some(11), BodyState::Open)),
        ("beyond", facts(stopped, Some(12), BodyState::Open)),
        ("begun elsewhere", facts(stopped, None, BodyState::Open)),
        ("untold", facts(untold, Some(12), BodyState::Open)),
    ];
    let lines = rows.map(|(name, facts)| format!("{name}: {}", decisions(facts)));
    assert_snapshot!(lines.join("\n"), @r"
    before: 0 wait, 399 wait, 400 take_next, 1999 take_next, 2000 take_next
    being written: 0 wait, 399 wait, 400 take_next, 1999 take_next, 2000 take_next
    beyond: 0 goes_on, 399 goes_on, 400 goes_on, 1999 goes_on, 2000 goes_on
    begun elsewhere: 0 wait, 399 wait, 400 take_next, 1999 take_next, 2000 take_next
    untold: 0 wait, 399 wait, 400 take_next, 1999 take_next, 2000 take_next
    ");
}

#[test]
fn late_events_put_off_the_end_of_a_stream_only_while_its_stop_is_not_certain() {
    let stopped = facts(Some(OrderAnswer::Stopped(Some(7))), Some(5), BodyState::Open);
    let late = StopFacts { last_event_at: ANSWERED + TimeSpan::millis(1_900), ..stopped };
    let gone = StopFacts { answer: Some(OrderAnswer::NotFound), ..late };
    assert_snapshot!(decisions(late), @"0 wait, 399 wait, 400 wait, 1999 take_next, 2000 take_next");
    assert_snapshot!(decisions(gone), @"0 wait, 399 wait, 400 wait, 1999 wait, 2000 wait");
}

/// Guards against LOST: the next runner is asked only when the late events of a stopped run have come.
#[test]
fn a_source_that_does_not_have_the_run_any_more_is_not_waited_for() {
    let stopped = facts(Some(OrderAnswer::Stopped(Some(7))), Some(5), BodyState::Open);
    let gone = StopFacts { is_gone: true, ..stopped };
    let beyond = StopFacts { events: Some(12), ..gone };
    assert_snapshot!(decisions(gone), @"0 take_next, 399 take_next, 400 take_next, 1999 take_next, 2000 take_next");
    assert_snapshot!(decisions(beyond), @"0 goes_on, 399 goes_on, 400 goes_on, 1999 goes_on, 2000 goes_on");
}

#[test]
fn an_ended_body_and_the_answer_decide_together() {
    let answers = [
        None,
        Some(OrderAnswer::Stopped(Some(7))),
        Some(OrderAnswer::NotFound),
        Some(OrderAnswer::NoRoom),
        Some(OrderAnswer::Refused),
        Some(OrderAnswer::Unreached),
        Some(OrderAnswer::Unknown),
    ];
    let line = |answer: Option<OrderAnswer>| {
        let bodies = [BodyState::Open, BodyState::MaybeWhole, BodyState::Broken];
        let decide = |body| decide_stop(&facts(answer, Some(7), body), ANSWERED).as_str();
        let name = answer.map_or("none", OrderAnswer::as_str);
        format!("{name}: {}", bodies.map(decide).join(", "))
    };
    assert_snapshot!(answers.map(line).join("\n"), @r"
    none: wait, wait, take_next
    stopped: wait, take_next, take_next
    not_found: wait, finish, take_next
    no_room: no_room, take_next, take_next
    refused: keep, take_next, take_next
    unreached: order_again, take_next, take_next
    unknown: order_again, take_next, take_next
    ");
}

#[test]
fn a_refusal_after_an_order_that_may_have_been_followed_shows_nothing() {
    let refused = facts(Some(OrderAnswer::Refused), Some(7), BodyState::Open);
    let unknown = StopFacts { may_have_stopped: true, ..refused };
    let decide = |facts: &StopFacts| decide_stop(facts, ANSWERED).as_str();
    assert_eq!((decide(&refused), decide(&unknown)), ("keep", "order_again"));
}
