//! The places that are left of a stopped run, by what is known of them.

use insta::assert_snapshot;
use life::{FreeFacts, LeftFacts, LeftPlace, OrderLeft, RunMemory, RunPlaces, may_free_memory};
use serving::SendOutcome;

const OPEN: LeftFacts = LeftFacts { may_return: true, may_ask_next: true, next_answers: false };

/// What this node asks, and what it offers to others, in order.
fn describe(places: &RunPlaces, facts: LeftFacts) -> String {
    let here = RunMemory::ALL.into_iter().filter(|memory| places.is_open_at(*memory, facts));
    let here: Vec<_> = here.map(|memory| format!("{memory:?}")).collect();
    let offers: Vec<_> = places.list_offers(facts).into_iter().map(LeftPlace::as_str).collect();
    let is_left = places.is_left(facts);
    format!("here {here:?}, others {offers:?}, left {is_left}")
}

/// A run that was stopped for a next runner with a copy, whose order has left the rest there, too.
fn stopped() -> RunPlaces {
    let mut places = RunPlaces::new(true);
    places.note_order(OrderLeft::Memory { is_copied: true });
    places
}

/// Guards against LOST: a run that was stopped is offered as one that works, or not at all.
#[test]
fn the_memory_at_the_source_is_offered_when_the_next_runner_has_not_answered() {
    let mut places = stopped();
    let before = describe(&places, OPEN);
    places.note_failure(RunMemory::Copy, SendOutcome::Unknown);
    let silent = describe(&places, OPEN);
    let answers = describe(&places, LeftFacts { next_answers: true, ..OPEN });
    places.note_failure(RunMemory::Source, SendOutcome::NotSent);
    let unreached = describe(&places, OPEN);
    places.note_failure(RunMemory::Source, SendOutcome::Unknown);
    let unanswered = describe(&places, OPEN);
    let late = describe(&places, LeftFacts { may_return: false, ..OPEN });
    assert_snapshot!([before, silent, answers, unreached, unanswered, late].join("\n"), @r#"
    here ["Copy", "Rest", "Source"], others ["source_memory", "next_memory", "next_memory"], left true
    here ["Source"], others ["source_memory", "next_memory", "next_memory"], left true
    here ["Source"], others ["next_run", "source_memory", "next_memory", "next_memory"], left true
    here ["Source"], others ["source_memory", "next_memory", "next_memory"], left true
    here [], others ["source_memory", "next_memory", "next_memory", "source_run"], left true
    here [], others ["next_memory", "next_memory", "source_run"], left true
    "#);
}

#[test]
fn a_refused_memory_is_asked_for_three_times() {
    let mut places = stopped();
    let lines: Vec<_> = (0..4)
        .map(|_| {
            places.note_failure(RunMemory::Copy, SendOutcome::Refused);
            describe(&places, OPEN)
        })
        .collect();
    assert_snapshot!(lines.join("\n"), @r#"
    here ["Copy", "Rest", "Source"], others ["source_memory", "next_memory", "next_memory"], left true
    here ["Copy", "Rest", "Source"], others ["source_memory", "next_memory", "next_memory"], left true
    here ["Rest", "Source"], others ["source_memory", "next_memory"], left true
    here ["Rest", "Source"], others ["source_memory", "next_memory"], left true
    "#);
}

#[test]
fn an_order_that_is_not_answered_leaves_the_run_at_its_source() {
    let mut places = RunPlaces::new(false);
    let open = describe(&places, OPEN);
    places.note_order(OrderLeft::Memory { is_copied: false });
    let kept = describe(&places, OPEN);
    places.note_use(RunMemory::Source);
    let used = describe(&places, OPEN);
    let mut refused = RunPlaces::new(false);
    refused.note_order(OrderLeft::Nothing);
    assert_snapshot!([open, kept, used, describe(&refused, OPEN)].join("\n"), @r#"
    here [], others ["source_run"], left true
    here ["Source"], others ["source_memory"], left true
    here [], others [], left false
    here [], others [], left false
    "#);
}

#[test]
fn a_next_runner_that_may_get_nothing_is_no_place() {
    let closed = LeftFacts { may_ask_next: false, ..OPEN };
    let gone = LeftFacts { may_return: false, ..closed };
    assert_snapshot!([closed, gone].map(|facts| describe(&stopped(), facts)).join("\n"), @r#"
    here ["Source"], others ["source_memory"], left true
    here [], others [], left false
    "#);
}

#[test]
fn memory_is_freed_when_another_place_has_delivered_an_event_or_the_stream_is_over() {
    let facts = |has_event, is_over| FreeFacts { has_event, is_over };
    let frees = [(false, false), (true, false), (false, true)];
    let frees = frees.map(|(has_event, is_over)| may_free_memory(facts(has_event, is_over)));
    assert_eq!(frees, [false, true, true]);
}
