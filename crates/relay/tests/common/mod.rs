//! Relays for the tests, and a short text of what a relay wants.

#![allow(dead_code, reason = "each test file uses a part")]

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
            // Five tokens of two bytes each.
            max_buffered_bytes: 250,
            max_attempts: 3,
            max_empty_reads: 1,
            stall_timeout: TimeSpan::seconds(20),
        },
    }
}

pub fn continuing() -> RelaySettings {
    RelaySettings { continues_from_prefix: true, ..settings() }
}

pub fn whole() -> RelaySettings {
    RelaySettings { streamed: false, ..settings() }
}

/// A relay whose attempt 0 is at `e1` and has brought `tokens` tokens.
pub fn reading(settings: RelaySettings, tokens: u32) -> TokenRelay {
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
    text(&relay.handle(at(1), RelayEvent::Token { read: ReadNumber(read), token }))
}

pub fn ended(relay: &mut TokenRelay, read: u32, attempt: u32) -> String {
    let (attempt, read) = (AttemptNumber(attempt), ReadNumber(read));
    text(&relay.handle(at(1), RelayEvent::Completed { attempt, read }))
}

pub fn lost(relay: &mut TokenRelay, read: u32, attempt: u32) -> String {
    let (attempt, read) = (AttemptNumber(attempt), ReadNumber(read));
    text(&relay.handle(at(1), RelayEvent::ReadFailed { attempt, read }))
}

pub fn runner_lost(relay: &mut TokenRelay, attempt: u32) -> String {
    let attempt = AttemptNumber(attempt);
    text(&relay.handle(at(1), RelayEvent::RunnerLost { attempt }))
}

pub fn refused(relay: &mut TokenRelay, attempt: u32) -> String {
    let (attempt, reason) = (AttemptNumber(attempt), RefusalReason::NoRunner);
    text(&relay.handle(at(1), RelayEvent::Refused { attempt, reason, retry_after: None }))
}

/// One line for all actions.
pub fn text(actions: &[RelayAction]) -> String {
    let line = |action: &RelayAction| match action {
        RelayAction::Deliver { index, text } => format!("deliver {index} {text}"),
        RelayAction::Resume { runner, attempt, read, from } => {
            format!("resume {runner} attempt {attempt} read {read} from {from}")
        }
        RelayAction::Retry { attempt, prefix, queued } => {
            let queued = if *queued { " queued" } else { "" };
            format!("restart attempt {attempt} prefix {}{queued}", prefix.len())
        }
        RelayAction::CancelAttempt { runner, attempt } => format!("cancel {runner} {attempt}"),
        RelayAction::Finish(end) => {
            let whole = end.full_answer.as_ref().map(|whole| format!(" `{}`", whole.concat()));
            let whole = whole.unwrap_or_default();
            format!("{} after {} {:?}{whole}", end.outcome, end.delivered, end.cause)
        }
    };
    actions.iter().map(line).collect::<Vec<_>>().join("; ")
}
