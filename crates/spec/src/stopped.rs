//! A run that its source has stopped, with its memory there and at the next runner. This node and another one ask
//! both, which may be cut off from this node, fall silent to all, or leave; an answer may be lost.

use life::{FreeFacts, LeftFacts, LeftPlace, OrderLeft, RunMemory, RunPlaces, may_free_memory};
use serving::SendOutcome;

use crate::{ModelRun, explore};

/// A variant of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoppedVariant {
    /// As the product does it.
    Sound,
    /// What the order has left is freed as soon as no place has gone on here.
    FreedWhenUnanswered,
    /// What the order has left is freed as a place answers, before an event has come from there.
    FreedAtAnswer,
    /// The run is offered to other nodes as one that works, and not by its memory at the source.
    OfferedAsWorking,
}

impl StoppedVariant {
    /// All of them.
    pub const ALL: [Self; 4] =
        [Self::Sound, Self::FreedWhenUnanswered, Self::FreedAtAnswer, Self::OfferedAsWorking];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::FreedWhenUnanswered => "freed when unanswered",
            Self::FreedAtAnswer => "freed at an answer",
            Self::OfferedAsWorking => "offered as one that works",
        }
    }
}

/// Disruptions of a course.
const MAX_FAULTS: u8 = 3;

/// One of the two runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum StoppedRunner {
    Next,
    Source,
}

#[derive(Debug, Clone, Copy)]
enum StoppedStep {
    /// This node reaches a runner no more.
    CutOff(StoppedRunner),
    /// No node does.
    SilentToAll(StoppedRunner),
    /// A runner leaves, and may get nothing any more.
    Leaves(StoppedRunner),
    /// This node asks for the run to go on from a memory.
    Ask(RunMemory),
    /// The same; the answer of a runner that goes on is lost.
    AskUnanswered(RunMemory),
    /// A node takes the run from a place that it was offered.
    Taken(LeftPlace),
    /// An event comes from where the run goes on.
    Event,
    /// The stream breaks off before one.
    Breaks,
    /// This node gives the stream up.
    GiveUp,
}

/// What the nodes reach of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RunnerReach {
    All,
    OtherNode,
    Nobody,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RunnerState {
    reach: RunnerReach,
    /// It may get requests.
    is_open: bool,
    /// It works on the run, and nobody reads that.
    works: bool,
}

/// How the stream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum StreamState {
    /// Nobody delivers events.
    Stopped,
    /// A runner has answered.
    Answered,
    /// An event has come.
    Delivered,
    /// Given up.
    Lost,
}

#[derive(Debug, Clone, Hash)]
struct StoppedWorld {
    places: RunPlaces,
    next: RunnerState,
    source: RunnerState,
    /// The copy of before the order is there.
    has_copy: bool,
    /// What the order has left is there, at both runners.
    has_kept: bool,
    /// It was freed by this node before the run went on for certain.
    is_freed_early: bool,
    stream: StreamState,
    faults: u8,
}

impl StoppedWorld {
    fn new() -> Self {
        let runner = RunnerState { reach: RunnerReach::All, is_open: true, works: false };
        let mut places = RunPlaces::new(true);
        places.note_order(OrderLeft::Memory { is_copied: true });
        Self {
            places,
            next: runner,
            source: runner,
            has_copy: true,
            has_kept: true,
            is_freed_early: false,
            stream: StreamState::Stopped,
            faults: MAX_FAULTS,
        }
    }

    fn facts(&self) -> LeftFacts {
        LeftFacts {
            may_return: self.source.is_open,
            may_ask_next: self.next.is_open,
            next_answers: self.next.reach != RunnerReach::Nobody,
        }
    }

    fn runner(&self, runner: StoppedRunner) -> &RunnerState {
        match runner {
            StoppedRunner::Next => &self.next,
            StoppedRunner::Source => &self.source,
        }
    }

    fn runner_mut(&mut self, runner: StoppedRunner) -> &mut RunnerState {
        match runner {
            StoppedRunner::Next => &mut self.next,
            StoppedRunner::Source => &mut self.source,
        }
    }

    /// Whether a memory is there.
    fn has(&self, memory: RunMemory) -> bool {
        match memory {
            RunMemory::Copy => self.has_copy,
            RunMemory::Rest | RunMemory::Source => self.has_kept,
        }
    }

    fn use_memory(&mut self, memory: RunMemory) {
        match memory {
            RunMemory::Copy => self.has_copy = false,
            RunMemory::Rest | RunMemory::Source => self.has_kept = false,
        }
    }

    /// Whether another node gets the run from `place`.
    fn gives(&self, place: LeftPlace) -> bool {
        let reached = |runner: &RunnerState| runner.reach != RunnerReach::Nobody;
        match place {
            LeftPlace::NextRun => self.next.works && reached(&self.next),
            LeftPlace::SourceRun => self.source.works && reached(&self.source),
            LeftPlace::SourceMemory => {
                self.has_kept && self.source.is_open && reached(&self.source)
            }
            LeftPlace::NextMemory(memory) => {
                self.has(memory) && self.next.is_open && reached(&self.next)
            }
        }
    }

    /// Whether a place could give the run through another node.
    fn has_place(&self) -> bool {
        let memories = [LeftPlace::SourceMemory, LeftPlace::NextMemory(RunMemory::Copy)];
        let runs = [LeftPlace::NextRun, LeftPlace::SourceRun];
        memories.into_iter().chain(runs).any(|place| self.gives(place))
    }

    /// The places that this node offers.
    fn offers(&self, variant: StoppedVariant) -> Vec<LeftPlace> {
        let mut places = self.places.list_offers(self.facts());
        if variant == StoppedVariant::OfferedAsWorking {
            places.retain(|place| *place != LeftPlace::SourceMemory);
        }
        places
    }

    /// Frees what the order has left, if `is_due`.
    fn free(&mut self, is_due: bool, facts: FreeFacts) {
        if is_due && self.has_kept {
            self.has_kept = false;
            self.is_freed_early |= !may_free_memory(facts);
        }
    }

    /// The run goes on where this node reads it.
    fn answer(&mut self, variant: StoppedVariant) {
        self.stream = StreamState::Answered;
        self.free(variant == StoppedVariant::FreedAtAnswer, FreeFacts::default());
    }
}

/// Searches one variant.
#[must_use]
pub fn check_stopped(variant: StoppedVariant) -> ModelRun {
    explore(
        "stopped",
        (variant.name(), variant != StoppedVariant::Sound),
        StoppedWorld::new(),
        move |world| enabled(variant, world),
        move |world, step| apply(variant, world, *step),
        move |world| violated(variant, world),
    )
}

fn runner_of(memory: RunMemory) -> StoppedRunner {
    if memory == RunMemory::Source { StoppedRunner::Source } else { StoppedRunner::Next }
}

fn enabled(variant: StoppedVariant, world: &StoppedWorld) -> Vec<StoppedStep> {
    let mut steps = Vec::new();
    if matches!(world.stream, StreamState::Delivered | StreamState::Lost) {
        return steps;
    }
    if world.faults > 0 {
        for runner in [StoppedRunner::Next, StoppedRunner::Source] {
            steps.push(StoppedStep::CutOff(runner));
            steps.push(StoppedStep::SilentToAll(runner));
            steps.push(StoppedStep::Leaves(runner));
        }
    }
    if world.stream == StreamState::Answered {
        steps.push(StoppedStep::Event);
        steps.extend((world.faults > 0).then_some(StoppedStep::Breaks));
        return steps;
    }
    for memory in RunMemory::ALL {
        if !world.places.is_open_at(memory, world.facts()) {
            continue;
        }
        steps.push(StoppedStep::Ask(memory));
        let is_reached = world.runner(runner_of(memory)).reach == RunnerReach::All;
        if world.faults > 0 && is_reached && world.has(memory) {
            steps.push(StoppedStep::AskUnanswered(memory));
        }
    }
    let taken = world.offers(variant).into_iter().filter(|place| world.gives(*place));
    steps.extend(taken.map(StoppedStep::Taken));
    if !world.places.is_left(world.facts()) {
        steps.push(StoppedStep::GiveUp);
    }
    steps
}

fn apply(variant: StoppedVariant, world: &StoppedWorld, step: StoppedStep) -> StoppedWorld {
    let mut next = world.clone();
    match step {
        StoppedStep::CutOff(runner) => {
            let state = next.runner_mut(runner);
            if state.reach == RunnerReach::All {
                state.reach = RunnerReach::OtherNode;
            }
            next.faults -= 1;
        }
        StoppedStep::SilentToAll(runner) => {
            next.runner_mut(runner).reach = RunnerReach::Nobody;
            next.faults -= 1;
        }
        StoppedStep::Leaves(runner) => {
            next.runner_mut(runner).is_open = false;
            next.faults -= 1;
        }
        StoppedStep::Ask(memory) => ask(variant, &mut next, memory),
        StoppedStep::AskUnanswered(memory) => {
            next.use_memory(memory);
            next.runner_mut(runner_of(memory)).works = true;
            next.places.note_failure(memory, SendOutcome::Unknown);
            next.faults -= 1;
        }
        StoppedStep::Taken(place) => {
            match place {
                LeftPlace::NextRun => next.next.works = false,
                LeftPlace::SourceRun => next.source.works = false,
                LeftPlace::SourceMemory => next.use_memory(RunMemory::Source),
                LeftPlace::NextMemory(memory) => next.use_memory(memory),
            }
            next.answer(variant);
        }
        StoppedStep::Event => {
            next.stream = StreamState::Delivered;
            let facts = FreeFacts { has_event: true, is_over: false };
            next.free(may_free_memory(facts), facts);
        }
        StoppedStep::Breaks => {
            next.stream = StreamState::Stopped;
            next.faults -= 1;
        }
        StoppedStep::GiveUp => next.stream = StreamState::Lost,
    }
    next
}

fn ask(variant: StoppedVariant, world: &mut StoppedWorld, memory: RunMemory) {
    let is_reached = world.runner(runner_of(memory)).reach == RunnerReach::All;
    match (is_reached, world.has(memory)) {
        (true, true) => {
            world.use_memory(memory);
            world.places.note_use(memory);
            world.answer(variant);
        }
        (true, false) => world.places.note_failure(memory, SendOutcome::Refused),
        (false, _) => {
            world.places.note_failure(memory, SendOutcome::Unknown);
            let is_due = variant == StoppedVariant::FreedWhenUnanswered;
            world.free(is_due, FreeFacts::default());
        }
    }
}

fn violated(variant: StoppedVariant, world: &StoppedWorld) -> Option<&'static str> {
    if world.stream == StreamState::Lost && world.has_place() {
        return Some("a stream is given up that a place could have given");
    }
    if world.stream == StreamState::Stopped && world.is_freed_early && !world.has_place() {
        return Some("memory is freed that the run could have gone on from");
    }
    let is_asked = || {
        let here = |memory: &RunMemory| {
            let is_reached = world.runner(runner_of(*memory)).reach == RunnerReach::All;
            let is_open = world.places.is_open_at(*memory, world.facts());
            is_reached && is_open && world.has(*memory)
        };
        let is_here = RunMemory::ALL.iter().any(here);
        is_here || world.offers(variant).into_iter().any(|place| world.gives(place))
    };
    let is_waiting = world.stream == StreamState::Stopped;
    (is_waiting && world.has_place() && !is_asked())
        .then_some("a place that has the run is not asked")
}
