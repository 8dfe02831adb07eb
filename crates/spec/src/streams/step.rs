//! What can happen next.

use base::prelude::*;
use relay::{RelayEvent, RelayPhase, TokenRelay};

use super::StreamVariant;
use super::world::{LENGTH, StreamWorld};

/// Tokens and ends are named by the number of their reading.
#[derive(Debug, Clone, Copy)]
pub(super) enum StreamStep {
    Place,
    Refuse,
    RouteRefuses,
    Token(usize),
    SkipToken(usize),
    RepeatToken(usize),
    End(usize),
    Break(usize),
    LoseRunner,
    Withdraw,
    EntryDies,
    Reconnect,
}

pub(super) fn enabled(world: &StreamWorld) -> Vec<StreamStep> {
    if world.is_finished {
        return Vec::new();
    }
    let Some(relay) = &world.relay else { return vec![StreamStep::Reconnect] };
    let mut steps = Vec::new();
    match relay.phase() {
        RelayPhase::Placing => {
            steps.push(StreamStep::Place);
            if world.left.refusals > 0 {
                steps.extend([StreamStep::Refuse, StreamStep::RouteRefuses]);
            }
        }
        RelayPhase::Reading { .. } => {
            if world.left.lost_runners > 0 {
                steps.push(StreamStep::LoseRunner);
            }
            if world.left.withdrawals > 0 {
                steps.push(StreamStep::Withdraw);
            }
        }
        RelayPhase::Finished => (),
    }
    if world.left.dead_entries > 0 {
        steps.push(StreamStep::EntryDies);
    }
    for (number, reading) in world.readings.iter().enumerate() {
        let start = world.attempts[reading.branch as usize].start;
        if reading.at < LENGTH {
            steps.push(StreamStep::Token(number));
        } else {
            steps.push(StreamStep::End(number));
        }
        // A connection keeps its order, so the last token is not lost before the end.
        if world.left.skips > 0 && reading.at + 1 < LENGTH {
            steps.push(StreamStep::SkipToken(number));
        }
        if world.left.repeats > 0 && reading.at > start {
            steps.push(StreamStep::RepeatToken(number));
        }
        if world.left.breaks > 0 {
            steps.push(StreamStep::Break(number));
        }
    }
    steps
}

pub(super) fn apply(world: &StreamWorld, step: &StreamStep, variant: StreamVariant) -> StreamWorld {
    let mut next = world.clone();
    match *step {
        StreamStep::Place => next.place(variant),
        StreamStep::Refuse => {
            next.left.refusals -= 1;
            next.left.all -= 1;
            refuse(&mut next);
        }
        StreamStep::RouteRefuses => {
            next.left.refusals -= 1;
            next.left.all -= 1;
            let reason = RefusalReason::Overloaded;
            next.give(RelayEvent::RouteRefused { reason, retry_after: None });
        }
        StreamStep::Token(number) => {
            let reading = next.readings[number].clone();
            next.readings[number].at += 1;
            let event = next.token(&reading, reading.at, variant);
            next.give(event);
        }
        StreamStep::SkipToken(number) => {
            next.left.skips -= 1;
            next.left.all -= 1;
            next.readings[number].at += 1;
        }
        StreamStep::RepeatToken(number) => {
            next.left.repeats -= 1;
            next.left.all -= 1;
            let reading = next.readings[number].clone();
            let event = next.token(&reading, reading.at - 1, variant);
            next.give(event);
        }
        StreamStep::End(number) => {
            let reading = next.readings.remove(number);
            let event = next.ended(&reading, variant);
            next.give(event);
        }
        StreamStep::Break(number) => {
            next.left.breaks -= 1;
            next.left.all -= 1;
            let reading = next.readings.remove(number);
            let attempt = next.attempts[reading.branch as usize].attempt;
            next.give(RelayEvent::ReadFailed { attempt, read: reading.read });
        }
        StreamStep::LoseRunner => {
            next.left.lost_runners -= 1;
            next.left.all -= 1;
            if let Some(attempt) = next.relay.as_ref().map(TokenRelay::attempt) {
                next.give(RelayEvent::RunnerLost { attempt });
            }
        }
        StreamStep::Withdraw => {
            next.left.withdrawals -= 1;
            next.left.all -= 1;
            next.give(RelayEvent::Withdraw);
        }
        StreamStep::EntryDies => {
            next.left.dead_entries -= 1;
            next.left.all -= 1;
            next.relay = None;
            next.readings.clear();
        }
        StreamStep::Reconnect => next.reconnect(variant),
    }
    next.left.settle();
    next
}

/// A runner says that it did not run the attempt.
fn refuse(next: &mut StreamWorld) {
    let Some(relay) = &next.relay else { return };
    let attempt = relay.attempt();
    let runner = "full".parse().expect("a valid name");
    next.give(RelayEvent::Placed { runner });
    let reason = RefusalReason::Overloaded;
    next.give(RelayEvent::Refused { attempt, reason, retry_after: None });
}
