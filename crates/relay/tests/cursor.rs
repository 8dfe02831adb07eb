//! Stream cursors, and streams resumed at another entry.

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
fn a_cursor_is_signed_and_valid_only_for_its_workspace_and_purpose() {
    let cursor = cursor();
    let text = cursor.encode(&keys());
    assert_snapshot!(text, @"c1/0000000000000007/0/1/e1/briefing/glossary%2F2/harmattan.1.2f50f190bc0bfcd11ba32a6fe16308fe");
    assert_eq!(StreamCursor::decode(&keys(), &cursor.workspace, &text), Ok(cursor.clone()));
    let other_workspace = "cobblers".parse().unwrap();
    let mismatch = StreamCursor::decode(&keys(), &other_workspace, &text);
    assert_eq!(mismatch, Err(RelayError::WorkspaceMismatch));
    let forged = text.replacen("/1/e1/", "/9/e1/", 1);
    assert_ne!(forged, text);
    let forged = StreamCursor::decode(&keys(), &cursor.workspace, &forged);
    assert_eq!(forged, Err(RelayError::Signature(MacError::WrongSignature)));
    let signed_as_tag = keys().sign("home", text.split(".1.").next().unwrap());
    let wrong_purpose = StreamCursor::decode(&keys(), &cursor.workspace, &signed_as_tag);
    assert_eq!(wrong_purpose, Err(RelayError::Signature(MacError::WrongSignature)));
}

#[test]
fn another_entry_resumes_after_the_cursor() {
    let (mut relay, actions) = TokenRelay::from_cursor(at(0), settings(), &cursor());
    assert_eq!(describe(&actions), "resume e1 attempt 0 read 1 from 2");
    assert_eq!(token(&mut relay, 1, 0, 1), "");
    assert_eq!(token(&mut relay, 1, 0, 2), "deliver 2 t2");
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 3 RunnerLost");
}

#[test]
fn resuming_rebuilds_the_prefix_if_the_model_can_continue() {
    let (mut relay, actions) = TokenRelay::from_cursor(at(0), continuing_settings(), &cursor());
    assert_eq!(describe(&actions), "resume e1 attempt 0 read 1 from 0");
    assert_eq!(token(&mut relay, 1, 0, 0), "");
    assert!(!relay.can_withdraw(), "the prefix is not complete yet");
    assert_eq!(token(&mut relay, 1, 0, 1), "");
    assert_eq!(token(&mut relay, 1, 0, 2), "deliver 2 t2");
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; retry attempt 1 prefix 3");
}

#[test]
fn losing_the_runner_before_the_prefix_is_rebuilt_ends_the_stream() {
    let (mut relay, _) = TokenRelay::from_cursor(at(0), continuing_settings(), &cursor());
    token(&mut relay, 1, 0, 0);
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 2 RunnerLost");
}

#[test]
fn a_stream_shorter_than_its_cursor_is_not_complete() {
    let (mut relay, _) = TokenRelay::from_cursor(at(0), continuing_settings(), &cursor());
    token(&mut relay, 1, 0, 0);
    assert_eq!(completed(&mut relay, 1, 0), "cancel e1 0; incomplete after 2 RunnerLost");
}

#[test]
fn without_the_prompt_no_attempt_is_retried() {
    let settings = RelaySettings { has_prompt: false, ..continuing_settings() };
    let (mut relay, actions) = TokenRelay::from_cursor(at(0), settings, &cursor());
    assert_eq!(describe(&actions), "resume e1 attempt 0 read 1 from 2");
    assert_eq!(runner_lost(&mut relay, 0), "cancel e1 0; incomplete after 2 RunnerLost");
}
