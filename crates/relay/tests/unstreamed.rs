//! Answers that are not streamed: buffered until they are complete.

mod common;

use common::*;
use relay::RelaySettings;

#[test]
fn an_unstreamed_answer_is_buffered_until_complete() {
    let mut relay = placed_relay(buffered_settings(), 2);
    assert_eq!(token(&mut relay, 0, 0, 2), "", "nothing is delivered before the end");
    assert_eq!(completed(&mut relay, 0, 0), "done after 3 Complete `t0t1t2`");
}

#[test]
fn an_unstreamed_answer_starts_over_without_mixing_attempts() {
    let mut relay = placed_relay(buffered_settings(), 2);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; retry attempt 1 prefix 0");
    place(&mut relay, "e2");
    token(&mut relay, 0, 0, 2);
    for index in 0..2 {
        token(&mut relay, 1, 1, index);
    }
    assert_eq!(completed(&mut relay, 1, 1), "done after 2 Complete `t0t1`");
}

#[test]
fn an_unstreamed_answer_continues_from_the_prefix_if_the_model_supports_it() {
    let mut relay =
        placed_relay(RelaySettings { continues_from_prefix: true, ..buffered_settings() }, 2);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; retry attempt 1 prefix 2");
    place(&mut relay, "e2");
    token(&mut relay, 1, 1, 2);
    assert_eq!(completed(&mut relay, 1, 1), "done after 3 Complete `t0t1t2`");
}

#[test]
fn an_unstreamed_answer_beyond_the_buffer_limit_is_aborted() {
    let mut relay = placed_relay(buffered_settings(), 5);
    assert_eq!(token(&mut relay, 0, 0, 5), "cancel e1 0; incomplete after 0 TooLarge");
}

#[test]
fn a_failed_unstreamed_answer_has_delivered_nothing() {
    let mut relay = placed_relay(RelaySettings { has_prompt: false, ..buffered_settings() }, 2);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 0 RunnerLost");
}
