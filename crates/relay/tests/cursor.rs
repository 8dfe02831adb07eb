//! Cursors: what callers carry from one entry to another.

mod common;

use base::{AttemptNumber, KeyId, MacError, SigningKey, SigningKeys, prelude::*};
use common::*;
use insta::assert_snapshot;
use relay::{RelayError, RelaySettings, StreamCursor, TokenRelay};

fn keys() -> SigningKeys {
    SigningKeys::new(vec![SigningKey { id: KeyId(1), secret: vec![7; 32] }]).unwrap()
}

fn cursor() -> StreamCursor {
    StreamCursor {
        workspace: "harmattan".parse().unwrap(),
        service: "briefing".parse().unwrap(),
        model: "glossary/2".parse().unwrap(),
        runner: "e1".parse().unwrap(),
        generation: GENERATION,
        attempt: AttemptNumber(0),
        index: TokenIndex(1),
    }
}

#[test]
fn a_cursor_is_signed_and_bound_to_its_workspace() {
    let cursor = cursor();
    let text = cursor.encode(&keys());
    assert_snapshot!(text, @"c1/0000000000000007/0/1/e1/briefing/glossary%2F2/harmattan.1.2f50f190bc0bfcd11ba32a6fe16308fe");
    assert_eq!(StreamCursor::decode(&keys(), &cursor.workspace, &text), Ok(cursor.clone()));
    let other = "cobblers".parse().unwrap();
    let foreign = StreamCursor::decode(&keys(), &other, &text);
    assert_eq!(foreign, Err(RelayError::WorkspaceMismatch));
    let forged = text.replacen("/1/e1/", "/9/e1/", 1);
    assert_ne!(forged, text);
    let forged = StreamCursor::decode(&keys(), &cursor.workspace, &forged);
    assert_eq!(forged, Err(RelayError::Signature(MacError::WrongSignature)));
    let tag = keys().sign("home", text.split(".1.").next().unwrap());
    let swapped = StreamCursor::decode(&keys(), &cursor.workspace, &tag);
    assert_eq!(swapped, Err(RelayError::Signature(MacError::WrongSignature)));
}

#[test]
fn another_entry_reads_on_after_the_cursor() {
    let (mut relay, actions) = TokenRelay::from_cursor(at(0), settings(), &cursor());
    assert_eq!(text(&actions), "resume e1 attempt 0 read 1 from 2");
    assert_eq!(token(&mut relay, 1, 0, 1), "");
    assert_eq!(token(&mut relay, 1, 0, 2), "deliver 2 t2");
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 3 RunnerLost");
}

#[test]
fn it_regains_the_prefix_where_the_model_can_continue() {
    let (mut relay, actions) = TokenRelay::from_cursor(at(0), continuing(), &cursor());
    assert_eq!(text(&actions), "resume e1 attempt 0 read 1 from 0");
    assert_eq!(token(&mut relay, 1, 0, 0), "");
    assert!(!relay.can_withdraw(), "the prefix is not whole yet");
    assert_eq!(token(&mut relay, 1, 0, 1), "");
    assert_eq!(token(&mut relay, 1, 0, 2), "deliver 2 t2");
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; restart attempt 1 prefix 3");
}

#[test]
fn a_runner_lost_before_the_prefix_is_regained_ends_the_stream() {
    let (mut relay, _) = TokenRelay::from_cursor(at(0), continuing(), &cursor());
    token(&mut relay, 1, 0, 0);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 2 RunnerLost");
}

#[test]
fn a_stream_that_is_shorter_than_its_cursor_is_not_complete() {
    let (mut relay, _) = TokenRelay::from_cursor(at(0), continuing(), &cursor());
    token(&mut relay, 1, 0, 0);
    assert_eq!(ended(&mut relay, 1, 0), "cancel e1 0; incomplete after 2 RunnerLost");
}

#[test]
fn without_the_prompt_nothing_is_sent_again() {
    let settings = RelaySettings { has_prompt: false, ..continuing() };
    let (mut relay, actions) = TokenRelay::from_cursor(at(0), settings, &cursor());
    assert_eq!(text(&actions), "resume e1 attempt 0 read 1 from 2");
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 2 RunnerLost");
}
