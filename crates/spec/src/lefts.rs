//! Two runs at one runner that falls silent for up to a second, and keeps requests whose connection has closed, or does
//! not learn of that. This node has them go on elsewhere and orders the runner to stop them.

use base::prelude::*;
use life::{CallerView, LeftRunDecision, LeftRunFacts, decide_left_run, leaves_silent_source};

use crate::{ModelRun, explore};

/// A variant of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeftVariant {
    /// As the product does it.
    Sound,
    /// A closed connection ends the run.
    ClosedTakenForEnded,
    /// A report is read 0.8 s later, and one run of the runner is ordered to stop.
    OneRunAskedFor,
    /// A run leaves a source that has been silent for 0.35 s.
    LeftEarly,
}

impl LeftVariant {
    /// All of them.
    pub const ALL: [Self; 4] =
        [Self::Sound, Self::ClosedTakenForEnded, Self::OneRunAskedFor, Self::LeftEarly];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::ClosedTakenForEnded => "closed taken for ended",
            Self::OneRunAskedFor => "one run of a runner asked for",
            Self::LeftEarly => "left after 0.35 s",
        }
    }
}

/// Time of a step.
const TICK: TimeSpan = TimeSpan::millis(50);
/// Longest silence of a sound runner, in steps.
const MAX_SILENT_TICKS: u8 = 20;
/// Time for which two runners may work on a run, in steps, and for which the product lets them.
const MAX_BOTH_TICKS: u8 = 8;
const OVERLAP: TimeSpan = TimeSpan::millis(250);
/// Silence and lag of the old rules, in steps.
const EARLY_TICKS: u8 = 7;
const REPORT_TICKS: u8 = 16;
/// Time of a course, in steps.
const END_TICKS: u8 = 48;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LeftState {
    /// At the runner only.
    Read,
    /// It has gone on elsewhere at this step, and may be at work at the runner.
    Left(u8),
    /// The order to stop it is on its way.
    Ordered(u8),
    /// It is not at work at the runner.
    Ended,
}

#[derive(Debug, Clone, Copy)]
enum LeftStep {
    Tick,
    /// The runner falls silent; its runs were heard in the step before.
    FallSilent,
    GoOn,
    /// The runner handles an order.
    Handle(usize),
    /// A run makes an event, which may be before the runner handles anything.
    Make(usize),
}

#[derive(Debug, Clone, Hash)]
struct LeftWorld {
    tick: u8,
    /// When the runner fell silent.
    silent_since: Option<u8>,
    is_silent: bool,
    runs: [LeftState; 2],
    /// Runs that have made an event in this step.
    made: [bool; 2],
    is_asked: bool,
    is_worked_twice: bool,
}

fn enabled(world: &LeftWorld) -> Vec<LeftStep> {
    if world.tick >= END_TICKS {
        return Vec::new();
    }
    let mut steps = Vec::new();
    // A close ends nothing: it does not arrive, or the runner keeps the request.
    let may_handle = |run: &LeftState| matches!(run, LeftState::Ordered(_));
    let mut is_due = false;
    if !world.is_silent {
        for (number, run) in world.runs.iter().enumerate() {
            if may_handle(run) {
                steps.push(LeftStep::Handle(number));
                is_due = true;
            }
            if *run != LeftState::Ended && !world.made[number] {
                steps.push(LeftStep::Make(number));
            }
        }
    }
    // What has arrived is handled within the step.
    if !is_due {
        steps.push(LeftStep::Tick);
    }
    match world.silent_since {
        None => steps.push(LeftStep::FallSilent),
        Some(_) if world.is_silent => steps.push(LeftStep::GoOn),
        Some(_) => (),
    }
    // A sound runner goes on in time.
    if world.is_silent && world.silent_since.is_some_and(|at| world.tick - at >= MAX_SILENT_TICKS) {
        return vec![LeftStep::GoOn];
    }
    steps
}

fn apply(world: &LeftWorld, step: LeftStep, variant: LeftVariant) -> LeftWorld {
    let mut next = world.clone();
    match step {
        LeftStep::FallSilent => {
            next.silent_since = Some(next.tick);
            next.is_silent = true;
        }
        LeftStep::GoOn => next.is_silent = false,
        LeftStep::Handle(number) => next.runs[number] = LeftState::Ended,
        LeftStep::Make(number) => {
            next.made[number] = true;
            if let LeftState::Left(at) | LeftState::Ordered(at) = next.runs[number] {
                next.is_worked_twice |= next.tick - at > MAX_BOTH_TICKS;
            }
        }
        LeftStep::Tick => {
            next.tick += 1;
            next.made = [false; 2];
            for number in 0..next.runs.len() {
                look_at_run(&mut next, number, variant);
            }
        }
    }
    next
}

/// What this node does with a run in a step.
fn look_at_run(world: &mut LeftWorld, number: usize, variant: LeftVariant) {
    let silent_ticks = world.silent_since.filter(|_| world.is_silent).map(|at| world.tick - at);
    match world.runs[number] {
        LeftState::Read => {
            let silence = silent_ticks.map(|ticks| TimeSpan(TICK.0 * u64::from(ticks)));
            let leaves = match variant {
                LeftVariant::LeftEarly => silent_ticks.is_some_and(|ticks| ticks >= EARLY_TICKS),
                _ => silence.is_some_and(|span| leaves_silent_source(span, false, OVERLAP)),
            };
            if leaves {
                world.runs[number] = order(world, LeftState::Left(world.tick), variant);
            }
        }
        LeftState::Left(at) => world.runs[number] = order(world, LeftState::Left(at), variant),
        LeftState::Ordered(_) | LeftState::Ended => (),
    }
}

/// Orders a run that has gone on elsewhere to stop, by the rule of the product or an old one.
fn order(world: &mut LeftWorld, run: LeftState, variant: LeftVariant) -> LeftState {
    let LeftState::Left(at) = run else { return run };
    let ticks = world.tick - at;
    let left_for = TimeSpan(TICK.0 * u64::from(ticks));
    let facts = LeftRunFacts { caller: CallerView::Own, is_read_here: true, left_for };
    let is_ordered = match variant {
        LeftVariant::ClosedTakenForEnded => false,
        LeftVariant::OneRunAskedFor => {
            ticks >= REPORT_TICKS && !std::mem::replace(&mut world.is_asked, true)
        }
        _ => decide_left_run(facts) == LeftRunDecision::Order,
    };
    if is_ordered { LeftState::Ordered(at) } else { run }
}

/// Checks that a runner that a run has left makes no event of it later than two runners may work on it.
#[must_use]
pub fn check_lefts(variant: LeftVariant) -> ModelRun {
    let start = LeftWorld {
        tick: 0,
        silent_since: None,
        is_silent: false,
        runs: [LeftState::Read; 2],
        made: [false; 2],
        is_asked: false,
        is_worked_twice: false,
    };
    explore(
        "lefts",
        (variant.name(), variant != LeftVariant::Sound),
        start,
        enabled,
        |world, step| apply(world, *step, variant),
        |world| world.is_worked_twice.then_some("two runners work on a run for too long"),
    )
}
