//! Streams to callers: order, breaks and lost runners.

mod common;

use base::{AttemptNumber, prelude::*};
use common::*;
use insta::assert_snapshot;
use relay::{ReadNumber, RelayEvent, RelaySettings, StreamToken, TokenRelay};

#[test]
fn tokens_are_delivered_once_and_in_order() {
    let mut relay = reading(settings(), 0);
    let log = [
        token(&mut relay, 0, 0, 0),
        token(&mut relay, 0, 0, 1),
        token(&mut relay, 0, 0, 1),
        token(&mut relay, 0, 0, 0),
        token(&mut relay, 0, 0, 2),
        ended(&mut relay, 0, 0),
        token(&mut relay, 0, 0, 3),
    ];
    assert_snapshot!(log.join("\n"), @r"
    deliver 0 t0
    deliver 1 t1


    deliver 2 t2
    done after 3 Complete
    ");
    let counters = relay.take_counters();
    assert_eq!((counters.accepted, counters.duplicates, counters.stale), (3, 2, 1));
}

#[test]
fn tokens_of_another_generation_or_attempt_are_dropped() {
    let mut relay = reading(settings(), 1);
    assert_eq!(token(&mut relay, 0, 1, 1), "");
    let crossed = StreamToken {
        generation: GenerationId(8),
        attempt: AttemptNumber(0),
        index: TokenIndex(1),
        text: Arc::from("other"),
    };
    let event = RelayEvent::Token { read: ReadNumber(0), token: crossed };
    assert_eq!(relay.handle(at(1), event), []);
    assert_eq!(relay.take_counters().crossed, 2);
    assert_eq!(token(&mut relay, 0, 0, 1), "deliver 1 t1");
}

#[test]
fn a_gap_is_read_again_and_the_old_reading_cannot_end_the_stream() {
    let mut relay = reading(settings(), 1);
    let log = [
        token(&mut relay, 0, 0, 2),
        token(&mut relay, 0, 0, 3),
        ended(&mut relay, 0, 0),
        lost(&mut relay, 0, 0),
        token(&mut relay, 1, 0, 1),
        token(&mut relay, 1, 0, 2),
        token(&mut relay, 1, 0, 3),
        ended(&mut relay, 1, 0),
    ];
    assert_snapshot!(log.join("\n"), @r"
    resume e1 attempt 0 read 1 from 1



    deliver 1 t1
    deliver 2 t2
    deliver 3 t3
    done after 4 Complete
    ");
}

#[test]
fn a_broken_reading_resumes_and_a_lost_runner_ends_the_stream() {
    let mut relay = reading(settings(), 2);
    assert_eq!(lost(&mut relay, 0, 0), "resume e1 attempt 0 read 1 from 2");
    assert_eq!(token(&mut relay, 1, 0, 2), "deliver 2 t2");
    assert_eq!(lost(&mut relay, 1, 0), "resume e1 attempt 0 read 2 from 3");
    assert_eq!(lost(&mut relay, 2, 0), "cancel e1 0; incomplete after 3 RunnerLost");
}

#[test]
fn with_nothing_delivered_it_starts_again_and_the_old_attempt_is_fenced() {
    let mut relay = reading(settings(), 0);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; restart attempt 1 prefix 0");
    assert_eq!(token(&mut relay, 0, 0, 0), "", "not placed yet");
    place(&mut relay, "e2");
    assert_eq!(token(&mut relay, 0, 0, 0), "", "a late token of attempt 0");
    assert_eq!(runner_lost(&mut relay, 0), "", "a late end of attempt 0");
    assert_eq!(token(&mut relay, 1, 1, 0), "deliver 0 t0");
}

#[test]
fn a_model_that_continues_goes_on_from_the_prefix() {
    let mut relay = reading(continuing(), 2);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; restart attempt 1 prefix 2");
    place(&mut relay, "e2");
    assert_eq!(relay.prefix().concat(), "t0t1");
    assert_eq!(token(&mut relay, 1, 1, 2), "deliver 2 t2");
}

#[test]
fn a_prefix_beyond_its_bound_is_given_up() {
    let mut relay = reading(continuing(), 6);
    assert!(!relay.can_withdraw());
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 6 RunnerLost");
}

#[test]
fn attempts_are_bounded_and_refusals_alone_are_not_run() {
    let mut relay = reading(settings(), 0);
    assert_eq!(refused(&mut relay, 0), "restart attempt 1 prefix 0");
    place(&mut relay, "e2");
    assert_eq!(refused(&mut relay, 1), "restart attempt 2 prefix 0");
    place(&mut relay, "e3");
    assert_eq!(refused(&mut relay, 2), "not_run after 0 Refused(NoRunner)");
    let mut relay = reading(settings(), 0);
    runner_lost(&mut relay, 0);
    let reason = RefusalReason::Overloaded;
    let event = RelayEvent::RouteRefused { reason, retry_after: Some(TimeSpan::seconds(1)) };
    assert_eq!(text(&relay.handle(at(2), event)), "incomplete after 0 Refused(Overloaded)");
}

#[test]
fn a_withdrawn_attempt_goes_on_later() {
    let mut relay = reading(continuing(), 2);
    let withdrawn = text(&relay.handle(at(2), RelayEvent::Withdraw));
    assert_eq!(withdrawn, "cancel e1 0; restart attempt 1 prefix 2 queued");
    place(&mut relay, "e2");
    assert_eq!(token(&mut relay, 0, 0, 2), "");
    assert_eq!(token(&mut relay, 1, 1, 2), "deliver 2 t2");
    let mut fixed = reading(settings(), 2);
    assert_eq!(fixed.handle(at(2), RelayEvent::Withdraw), []);
    assert_eq!(token(&mut fixed, 0, 0, 2), "deliver 2 t2");
}

#[test]
fn a_stalled_reading_is_read_again() {
    let mut relay = reading(settings(), 1);
    assert_eq!(relay.next_tick(), at(21));
    assert_eq!(text(&relay.handle(at(20), RelayEvent::Tick)), "");
    let resumed = text(&relay.handle(at(21), RelayEvent::Tick));
    assert_eq!(resumed, "resume e1 attempt 0 read 1 from 1");
    let ended = text(&relay.handle(at(41), RelayEvent::Tick));
    assert_eq!(ended, "cancel e1 0; incomplete after 1 RunnerLost");
}

#[test]
fn the_deadline_ends_a_call() {
    let mut waiting = TokenRelay::new(settings());
    let ended = text(&waiting.handle(at(100), RelayEvent::Tick));
    assert_eq!(ended, "not_run after 0 DeadlinePassed");
    let mut relay = reading(settings(), 1);
    let ended = text(&relay.handle(at(100), RelayEvent::Tick));
    assert_eq!(ended, "cancel e1 0; incomplete after 1 DeadlinePassed");
}

#[test]
fn a_caller_that_leaves_cancels_unless_the_answer_is_kept() {
    let mut relay = reading(settings(), 1);
    let left = text(&relay.handle(at(2), RelayEvent::CallerLeft));
    assert_eq!(left, "cancel e1 0; incomplete after 1 CallerLeft");
    let mut kept = reading(RelaySettings { detached_deadline: Some(at(300)), ..settings() }, 1);
    assert_eq!(text(&kept.handle(at(2), RelayEvent::CallerLeft)), "");
    assert_eq!(token(&mut kept, 0, 0, 1), "", "the engine is read on, nobody is told");
    assert_eq!(ended(&mut kept, 0, 0), "done after 2 Complete");
}
