//! Streamed answers: token order, failed reads, lost runners and the end of calls.

mod common;

use base::{AttemptNumber, prelude::*};
use common::*;
use insta::assert_snapshot;
use relay::{ReadNumber, RelayEvent, RelaySettings, StreamToken, TokenRelay};

#[test]
fn tokens_are_delivered_once_and_in_order() {
    let mut relay = placed_relay(settings(), 0);
    let log = [
        token(&mut relay, 0, 0, 0),
        token(&mut relay, 0, 0, 1),
        token(&mut relay, 0, 0, 1),
        token(&mut relay, 0, 0, 0),
        token(&mut relay, 0, 0, 2),
        completed(&mut relay, 0, 0),
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
    let mut relay = placed_relay(settings(), 1);
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
fn a_gap_starts_a_new_read_and_the_old_read_cannot_end_the_stream() {
    let mut relay = placed_relay(settings(), 1);
    let log = [
        token(&mut relay, 0, 0, 2),
        token(&mut relay, 0, 0, 3),
        completed(&mut relay, 0, 0),
        read_failed(&mut relay, 0, 0),
        token(&mut relay, 1, 0, 1),
        token(&mut relay, 1, 0, 2),
        token(&mut relay, 1, 0, 3),
        completed(&mut relay, 1, 0),
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
fn a_failed_read_is_resumed_and_a_lost_runner_ends_the_stream() {
    let mut relay = placed_relay(settings(), 2);
    assert_eq!(read_failed(&mut relay, 0, 0), "resume e1 attempt 0 read 1 from 2");
    assert_eq!(token(&mut relay, 1, 0, 2), "deliver 2 t2");
    assert_eq!(read_failed(&mut relay, 1, 0), "resume e1 attempt 0 read 2 from 3");
    assert_eq!(read_failed(&mut relay, 2, 0), "cancel e1 0; incomplete after 3 RunnerLost");
}

#[test]
fn an_undelivered_stream_restarts_and_ignores_the_old_attempt() {
    let mut relay = placed_relay(settings(), 0);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; retry attempt 1 prefix 0");
    assert_eq!(token(&mut relay, 0, 0, 0), "", "attempt 1 is not placed yet");
    place(&mut relay, "e2");
    assert_eq!(token(&mut relay, 0, 0, 0), "", "a late token of attempt 0");
    assert_eq!(runner_lost(&mut relay, 0), "", "a late loss of attempt 0");
    assert_eq!(token(&mut relay, 1, 1, 0), "deliver 0 t0");
}

#[test]
fn a_lost_runner_is_replaced_from_the_prefix_if_the_model_can_continue() {
    let mut relay = placed_relay(continuing_settings(), 2);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; retry attempt 1 prefix 2");
    place(&mut relay, "e2");
    assert_eq!(relay.prefix().concat(), "t0t1");
    assert_eq!(token(&mut relay, 1, 1, 2), "deliver 2 t2");
}

#[test]
fn a_prefix_beyond_the_buffer_limit_is_dropped() {
    let mut relay = placed_relay(continuing_settings(), 6);
    assert!(!relay.can_withdraw());
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 6 RunnerLost");
}

#[test]
fn attempts_are_limited_and_only_refused_attempts_end_as_not_run() {
    let mut relay = placed_relay(settings(), 0);
    assert_eq!(refused(&mut relay, 0), "retry attempt 1 prefix 0");
    place(&mut relay, "e2");
    assert_eq!(refused(&mut relay, 1), "retry attempt 2 prefix 0");
    place(&mut relay, "e3");
    assert_eq!(refused(&mut relay, 2), "not_run after 0 Refused(NoRunner)");
    let mut relay = placed_relay(settings(), 0);
    runner_lost(&mut relay, 0);
    let reason = RefusalReason::Overloaded;
    let event = RelayEvent::RouteRefused { reason, retry_after: Some(TimeSpan::seconds(1)) };
    assert_eq!(describe(&relay.handle(at(2), event)), "incomplete after 0 Refused(Overloaded)");
}

#[test]
fn a_withdrawn_call_continues_in_a_later_attempt() {
    let mut relay = placed_relay(continuing_settings(), 2);
    let withdrawn = describe(&relay.handle(at(2), RelayEvent::Withdraw));
    assert_eq!(withdrawn, "cancel e1 0; retry attempt 1 prefix 2 queued");
    place(&mut relay, "e2");
    assert_eq!(token(&mut relay, 0, 0, 2), "");
    assert_eq!(token(&mut relay, 1, 1, 2), "deliver 2 t2");
    let mut not_withdrawable = placed_relay(settings(), 2);
    assert_eq!(not_withdrawable.handle(at(2), RelayEvent::Withdraw), []);
    assert_eq!(token(&mut not_withdrawable, 0, 0, 2), "deliver 2 t2");
}

#[test]
fn a_stalled_stream_is_read_again() {
    let mut relay = placed_relay(settings(), 1);
    assert_eq!(relay.next_tick(), at(21));
    assert_eq!(describe(&relay.handle(at(20), RelayEvent::Tick)), "");
    let resumed = describe(&relay.handle(at(21), RelayEvent::Tick));
    assert_eq!(resumed, "resume e1 attempt 0 read 1 from 1");
    let ended = describe(&relay.handle(at(41), RelayEvent::Tick));
    assert_eq!(ended, "cancel e1 0; incomplete after 1 RunnerLost");
}

#[test]
fn the_deadline_ends_a_call() {
    let mut waiting = TokenRelay::new(settings());
    let ended = describe(&waiting.handle(at(100), RelayEvent::Tick));
    assert_eq!(ended, "not_run after 0 DeadlinePassed");
    let mut relay = placed_relay(settings(), 1);
    let ended = describe(&relay.handle(at(100), RelayEvent::Tick));
    assert_eq!(ended, "cancel e1 0; incomplete after 1 DeadlinePassed");
}

#[test]
fn a_disconnected_caller_cancels_the_call_unless_a_detached_deadline_is_set() {
    let mut relay = placed_relay(settings(), 1);
    let left = describe(&relay.handle(at(2), RelayEvent::CallerLeft));
    assert_eq!(left, "cancel e1 0; incomplete after 1 CallerLeft");
    let mut detached =
        placed_relay(RelaySettings { detached_deadline: Some(at(300)), ..settings() }, 1);
    assert_eq!(describe(&detached.handle(at(2), RelayEvent::CallerLeft)), "");
    assert_eq!(
        token(&mut detached, 0, 0, 1),
        "",
        "the engine is still read but nothing is delivered"
    );
    assert_eq!(completed(&mut detached, 0, 0), "done after 2 Complete");
}
