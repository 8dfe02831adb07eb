//! Test relays, and a compact text form of relay actions.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use base::{AttemptNumber, prelude::*};
use relay::{
    ReadNumber, RelayAction, RelayEvent, RelayLimits, RelaySettings, StreamToken, TokenRelay,
};

pub const GENERATION: GenerationId = GenerationId(7);

pub fn at(seconds: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::seconds(seconds)
}

pub fn settings() -> RelaySettings {
    RelaySettings {
        generation: GENERATION,
        streamed: true,
        continues_from_prefix: false,
        has_prompt: true,
        deadline: at(100),
        detached_deadline: None,
        limits: RelayLimits {
            // Room for five tokens of two bytes, each with 48 bytes of overhead.
            max_buffered_bytes: 250,
            max_attempts: 3,
            max_empty_reads: 1,
            stall_timeout: TimeSpan::seconds(20),
        },
    }
}

pub fn continuing_settings() -> RelaySettings {
    RelaySettings { continues_from_prefix: true, ..settings() }
}

pub fn buffered_settings() -> RelaySettings {
    RelaySettings { streamed: false, ..settings() }
}

/// A relay whose attempt 0 was placed at `e1` and has produced `tokens` tokens.
pub fn placed_relay(settings: RelaySettings, tokens: u32) -> TokenRelay {
    let mut relay = TokenRelay::new(settings);
    place(&mut relay, "e1");
    for index in 0..tokens {
        token(&mut relay, 0, 0, index);
    }
    relay
}

pub fn place(relay: &mut TokenRelay, runner: &str) {
    relay.handle(at(0), RelayEvent::Placed { runner: runner.parse().unwrap() });
}

pub fn token(relay: &mut TokenRelay, read: u32, attempt: u32, index: u32) -> String {
    let token = StreamToken {
        generation: GENERATION,
        attempt: AttemptNumber(attempt),
        index: TokenIndex(index),
        text: Arc::from(format!("t{index}")),
    };
    describe(&relay.handle(at(1), RelayEvent::Token { read: ReadNumber(read), token }))
}

pub fn completed(relay: &mut TokenRelay, read: u32, attempt: u32) -> String {
    let (attempt, read) = (AttemptNumber(attempt), ReadNumber(read));
    describe(&relay.handle(at(1), RelayEvent::Completed { attempt, read }))
}

pub fn read_failed(relay: &mut TokenRelay, read: u32, attempt: u32) -> String {
    let (attempt, read) = (AttemptNumber(attempt), ReadNumber(read));
    describe(&relay.handle(at(1), RelayEvent::ReadFailed { attempt, read }))
}

pub fn runner_lost(relay: &mut TokenRelay, attempt: u32) -> String {
    let attempt = AttemptNumber(attempt);
    describe(&relay.handle(at(1), RelayEvent::RunnerLost { attempt }))
}

pub fn refused(relay: &mut TokenRelay, attempt: u32) -> String {
    let (attempt, reason) = (AttemptNumber(attempt), RefusalReason::NoRunner);
    describe(&relay.handle(at(1), RelayEvent::Refused { attempt, reason, retry_after: None }))
}

/// Describes all actions on one line.
pub fn describe(actions: &[RelayAction]) -> String {
    let line = |action: &RelayAction| match action {
        RelayAction::Deliver { index, text } => format!("deliver {index} {text}"),
        RelayAction::Resume { runner, attempt, read, from } => {
            format!("resume {runner} attempt {attempt} read {read} from {from}")
        }
        RelayAction::Retry { attempt, prefix, queued } => {
            let queued = if *queued { " queued" } else { "" };
            format!("retry attempt {attempt} prefix {}{queued}", prefix.len())
        }
        RelayAction::CancelAttempt { runner, attempt } => format!("cancel {runner} {attempt}"),
        RelayAction::Finish(end) => {
            let answer = end.full_answer.as_ref().map(|answer| format!(" `{}`", answer.concat()));
            let answer = answer.unwrap_or_default();
            format!("{} after {} {:?}{answer}", end.outcome, end.delivered, end.cause)
        }
    };
    actions.iter().map(line).collect::<Vec<_>>().join("; ")
}
