//! Whole answers: held until complete.

mod common;

use common::*;
use relay::RelaySettings;

#[test]
fn a_whole_answer_is_held_until_it_is_complete() {
    let mut relay = reading(whole(), 2);
    assert_eq!(token(&mut relay, 0, 0, 2), "", "nothing goes out before the end");
    assert_eq!(ended(&mut relay, 0, 0), "done after 3 Complete `t0t1t2`");
}

#[test]
fn a_whole_answer_starts_from_scratch_and_mixes_no_attempts() {
    let mut relay = reading(whole(), 2);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; restart attempt 1 prefix 0");
    place(&mut relay, "e2");
    token(&mut relay, 0, 0, 2);
    for index in 0..2 {
        token(&mut relay, 1, 1, index);
    }
    assert_eq!(ended(&mut relay, 1, 1), "done after 2 Complete `t0t1`");
}

#[test]
fn a_whole_answer_continues_where_the_model_can() {
    let mut relay = reading(RelaySettings { continues_from_prefix: true, ..whole() }, 2);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; restart attempt 1 prefix 2");
    place(&mut relay, "e2");
    token(&mut relay, 1, 1, 2);
    assert_eq!(ended(&mut relay, 1, 1), "done after 3 Complete `t0t1t2`");
}

#[test]
fn a_whole_answer_is_bounded() {
    let mut relay = reading(whole(), 5);
    assert_eq!(token(&mut relay, 0, 0, 5), "cancel e1 0; incomplete after 0 TooLarge");
}

#[test]
fn a_whole_answer_that_fails_has_delivered_nothing() {
    let mut relay = reading(RelaySettings { has_prompt: false, ..whole() }, 2);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 0 RunnerLost");
}
