//! A generation read token by token, over as many connections as it takes.

use base::{TimePoint, TimeSpan};
use compio::time::timeout;
use hyper::Method;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use web::{SseEvent, SseReader};

use crate::traffic::load_caller::{come_back, last_word};
use crate::traffic::{
    CallError, CallReply, CompletionText, FinalOutcome, LoadCaller, RetryPolicy, TokenCheck,
    Violation, ViolationKind,
};

/// Data of the last event of a whole stream.
const DONE: &str = "[DONE]";
/// Time without a token after which a reader connects again.
const SILENCE_LIMIT: TimeSpan = TimeSpan::seconds(20);
/// Further tries to take up a stream.
const RESUMES: u32 = 12;

/// Data of a token event.
#[derive(Debug, Deserialize)]
struct TokenData {
    index: u32,
    token: String,
}

/// What is known of a stream between connections.
struct StreamState {
    check: TokenCheck,
    cursor: Option<String>,
    last_token: Option<TimePoint>,
}

/// Reads a stream to its end; cuts are resumed, and refusals retried, a bounded number of
/// times.
pub async fn call_stream(mut caller: LoadCaller) {
    let mut random = StdRng::from_rng(&mut caller.random);
    let text = CompletionText::draw(&caller.class, &caller.name, true, &mut random);
    let mut policy = caller.retry_policy();
    let mut resumes = RetryPolicy::new(RESUMES, random);
    let mut state = StreamState { check: text.check.clone(), cursor: None, last_token: None };
    loop {
        let reply = open(&caller, &text, state.cursor.as_deref()).await;
        let outcome = match reply.and_then(CallReply::events) {
            Ok(reader) => read_events(&caller, &mut state, reader).await,
            Err(error) => Err(error),
        };
        let Err(error) = outcome else {
            if let Err(violation) = state.check.finish() {
                caller.break_promise(violation);
            }
            return caller.end(FinalOutcome::Done);
        };
        let policy = if state.cursor.is_some() { &mut resumes } else { &mut policy };
        if is_final(&state, &error) || !caller.pause(policy, come_back(&error)).await {
            return caller.end(stream_last_word(&state, &error));
        }
    }
}

async fn open(
    caller: &LoadCaller,
    text: &CompletionText,
    cursor: Option<&str>,
) -> Result<CallReply, CallError> {
    let Some(cursor) = cursor else {
        return caller.send(Method::POST, "/v1/completions", &[], &text.body).await;
    };
    caller.tally.borrow_mut().resumes += 1;
    let headers = [("last-event-id", cursor)];
    caller.send(Method::GET, "/v1/completions/resume", &headers, "").await
}

async fn read_events(
    caller: &LoadCaller,
    state: &mut StreamState,
    mut reader: SseReader,
) -> Result<(), CallError> {
    loop {
        // The first token may wait in a queue for as long as the caller does.
        let patience = TimeSpan::millis(caller.class.deadline_ms) + SILENCE_LIMIT;
        let limit = if state.last_token.is_none() { patience } else { SILENCE_LIMIT };
        let event = timeout(limit.into(), reader.next())
            .await
            .map_err(|_| CallError::NoAnswer)?
            .map_err(|_| CallError::NoAnswer)?
            .ok_or(CallError::NoAnswer)?;
        if event.event == "error" {
            let error = CallError::parse(event.data.as_bytes());
            check_error(caller, state, &error);
            return Err(error);
        }
        if event.data == DONE {
            return Ok(());
        }
        take_token(caller, state, event);
    }
}

fn take_token(caller: &LoadCaller, state: &mut StreamState, event: SseEvent) {
    let Ok(data) = serde_json::from_str::<TokenData>(&event.data) else {
        return caller.break_promise(Violation::new(ViolationKind::Malformed, event.data));
    };
    state.cursor = event.id.or(state.cursor.take());
    let now = caller.clock.now();
    let mut tally = caller.tally.borrow_mut();
    tally.tokens += 1;
    match state.last_token.replace(now) {
        Some(last) => tally.record_gap(now.since(last)),
        None => tally.first_token.saturating_record(now.since(caller.begin).0),
    }
    if let Err(violation) = state.check.take(data.index, &data.token) {
        if violation.kind == ViolationKind::TokenRepeated {
            tally.duplicates += 1;
        }
        caller.break_promise(violation);
    }
}

fn check_error(caller: &LoadCaller, state: &StreamState, error: &CallError) {
    if last_word(error) == FinalOutcome::NotRun && state.check.taken() > 0 {
        let detail = format!("after {} tokens: {error:?}", state.check.taken());
        caller.break_promise(Violation::new(ViolationKind::NotRunAfterTokens, detail));
    }
}

/// An incomplete stream is over; all else may be tried again.
fn is_final(state: &StreamState, error: &CallError) -> bool {
    let incomplete = last_word(error) == FinalOutcome::Incomplete;
    incomplete || (state.check.taken() > 0 && state.cursor.is_none())
}

/// A stream that brought tokens is incomplete, whatever its last try was told.
fn stream_last_word(state: &StreamState, error: &CallError) -> FinalOutcome {
    match last_word(error) {
        FinalOutcome::NoAnswer => FinalOutcome::NoAnswer,
        _ if state.check.taken() > 0 => FinalOutcome::Incomplete,
        outcome => outcome,
    }
}
