//! One attempt of a caller: a node that sends it, runners that run or refuse it, and
//! connections that break before, during or after.

use serving::{AttemptTracker, FinalStatus, RouteKind, SendOutcome};

use crate::{ModelRun, explore};

/// A variant of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptVariant {
    /// As the product does it, for a request that may not run again.
    SoundOnce,
    /// As the product does it, for a request that may.
    SoundIdempotent,
    /// A connection that breaks after the send is taken for one that was never made.
    BreakTakenForNotSent,
    /// A status that says "unavailable" is taken for the promise that nothing ran.
    StatusTakenForPromise,
    /// The HTTP client sends again by itself on a connection that closed.
    ClientResends,
}

impl AttemptVariant {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::SoundOnce,
        Self::SoundIdempotent,
        Self::BreakTakenForNotSent,
        Self::StatusTakenForPromise,
        Self::ClientResends,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::SoundOnce => "sound: at most once",
            Self::SoundIdempotent => "sound: idempotent",
            Self::BreakTakenForNotSent => "break taken for not sent",
            Self::StatusTakenForPromise => "status taken for the promise",
            Self::ClientResends => "HTTP client sends again",
        }
    }

    fn kind(self) -> RouteKind {
        if self == Self::SoundIdempotent { RouteKind::Idempotent } else { RouteKind::AtMostOnce }
    }
}

/// Runners of the world.
const RUNNERS: usize = 2;
/// Runners that one attempt may run on.
const MAX_ATTEMPTS: u32 = 2;

/// What came of one send, as it really was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptStep {
    /// No connection.
    ConnectFails,
    /// The runner promises that it did not run it.
    RunnerRefuses(usize),
    /// The runner runs it and fails with an unavailable status, without the promise.
    RunnerFails(usize),
    /// The connection breaks before the runner has read it.
    BreaksUnread,
    /// The runner runs it and its answer is lost.
    AnswerLost(usize),
    /// The caller gets the runner's answer.
    Answered(usize),
    /// The node gives it up.
    GiveUp,
}

#[derive(Debug, Clone, Hash)]
struct AttemptWorld {
    tracker: AttemptTracker,
    runs: [u32; RUNNERS],
    said: Option<FinalStatus>,
    answered: bool,
}

/// Searches one variant.
#[must_use]
pub fn check_attempts(variant: AttemptVariant) -> ModelRun {
    let start = AttemptWorld {
        tracker: AttemptTracker::new(variant.kind(), MAX_ATTEMPTS),
        runs: [0; RUNNERS],
        said: None,
        answered: false,
    };
    let is_broken = !matches!(variant, AttemptVariant::SoundOnce | AttemptVariant::SoundIdempotent);
    explore(
        "attempts",
        (variant.name(), is_broken),
        start,
        enabled,
        move |world, step| apply(variant, world, *step),
        move |world| violated(variant, world),
    )
}

fn enabled(world: &AttemptWorld) -> Vec<AttemptStep> {
    if world.said.is_some() || world.answered {
        return Vec::new();
    }
    let mut steps = vec![AttemptStep::GiveUp];
    if world.tracker.may_send() && world.runs.iter().sum::<u32>() < 4 {
        steps.extend([AttemptStep::ConnectFails, AttemptStep::BreaksUnread]);
        for runner in 0..RUNNERS {
            steps.extend([
                AttemptStep::RunnerRefuses(runner),
                AttemptStep::RunnerFails(runner),
                AttemptStep::AnswerLost(runner),
                AttemptStep::Answered(runner),
            ]);
        }
    }
    steps
}

fn apply(variant: AttemptVariant, world: &AttemptWorld, step: AttemptStep) -> AttemptWorld {
    let mut next = world.clone();
    match step {
        AttemptStep::ConnectFails => next.tracker.record_send(SendOutcome::NotSent),
        AttemptStep::RunnerRefuses(_) => next.tracker.record_send(SendOutcome::Refused),
        AttemptStep::RunnerFails(runner) => {
            next.runs[runner] += 1;
            let taken = variant == AttemptVariant::StatusTakenForPromise;
            next.tracker.record_send(if taken {
                SendOutcome::Refused
            } else {
                SendOutcome::Unknown
            });
        }
        AttemptStep::BreaksUnread => next.tracker.record_send(after_break(variant)),
        AttemptStep::AnswerLost(runner) => {
            next.runs[runner] += 1;
            if variant == AttemptVariant::ClientResends {
                next.runs[runner] += 1;
            }
            next.tracker.record_send(after_break(variant));
        }
        AttemptStep::Answered(runner) => {
            next.runs[runner] += 1;
            next.answered = true;
        }
        AttemptStep::GiveUp => next.said = Some(world.tracker.final_status()),
    }
    next
}

fn after_break(variant: AttemptVariant) -> SendOutcome {
    match variant {
        AttemptVariant::BreakTakenForNotSent => SendOutcome::NotSent,
        _ => SendOutcome::Unknown,
    }
}

fn violated(variant: AttemptVariant, world: &AttemptWorld) -> Option<&'static str> {
    let runs: u32 = world.runs.iter().sum();
    if world.said == Some(FinalStatus::NotRun) && runs > 0 {
        return Some("not run was said of a request that has run");
    }
    let most = if variant.kind() == RouteKind::Idempotent { MAX_ATTEMPTS } else { 1 };
    (runs > most).then_some("a request ran more often than it may")
}
