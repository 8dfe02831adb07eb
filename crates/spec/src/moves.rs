//! A running stream that changes its runner: events on their way, a copy of the memory, a
//! stop, and another runner that goes on.

use serving::StreamScanner;

use crate::{ModelRun, explore};

/// A variant of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveVariant {
    /// As the product does it: the run stops, its rest is read, then another goes on.
    Sound,
    /// The other runner goes on before the run has stopped.
    NoStop,
    /// It goes on from the events that were made, not from those that the caller has.
    FromMade,
    /// The rest that the old runner had sent is read after the other has gone on.
    RestAfterResume,
    /// Numbers of events are not checked.
    Unchecked,
}

impl MoveVariant {
    /// All of them.
    pub const ALL: [Self; 5] =
        [Self::Sound, Self::NoStop, Self::FromMade, Self::RestAfterResume, Self::Unchecked];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::NoStop => "goes on before the stop",
            Self::FromMade => "goes on from the events made",
            Self::RestAfterResume => "rest read after going on",
            Self::Unchecked => "rest read late, numbers unchecked",
        }
    }
}

/// Events of the stream.
const EVENTS: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveStep {
    /// The old runner makes an event.
    OldMakes,
    /// The node reads the next event of the old runner.
    ReadOld,
    /// The node asks for a copy with a stop.
    Stop,
    /// The connection to the old runner breaks; what was on its way is lost.
    OldBreaks,
    /// Another runner is asked to go on.
    Resume,
    /// The other runner makes an event and the node reads it.
    NewMakes,
    /// The stream has ended at the runner that has it.
    End,
}

#[derive(Debug, Clone, Hash)]
struct MoveWorld {
    scanner: StreamScanner,
    delivered: Vec<u64>,
    /// Last event that the old runner has made.
    made: u64,
    /// Events of the old runner that the node has not read.
    on_the_way: Vec<u64>,
    stopped: bool,
    broken: bool,
    /// Next event of the other runner, once it goes on.
    next: Option<u64>,
    end: Option<StreamEnd>,
}

/// How the stream ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum StreamEnd {
    Complete,
    Cut,
}

/// Searches one variant.
#[must_use]
pub fn check_moves(variant: MoveVariant) -> ModelRun {
    let start = MoveWorld {
        scanner: StreamScanner::default(),
        delivered: Vec::new(),
        made: 0,
        on_the_way: Vec::new(),
        stopped: false,
        broken: false,
        next: None,
        end: None,
    };
    explore(
        "moves",
        (variant.name(), variant != MoveVariant::Sound),
        start,
        move |world| enabled(variant, world),
        move |world, step| apply(variant, world, *step),
        violated,
    )
}

fn enabled(variant: MoveVariant, world: &MoveWorld) -> Vec<MoveStep> {
    if world.end.is_some() {
        return Vec::new();
    }
    let mut steps = Vec::new();
    if world.next.is_none() || variant != MoveVariant::Sound {
        if !world.stopped && !world.broken && world.made < EVENTS {
            steps.push(MoveStep::OldMakes);
        }
        if !world.on_the_way.is_empty() {
            steps.push(MoveStep::ReadOld);
        }
    }
    if world.next.is_none() {
        if !world.stopped && !world.broken {
            steps.push(MoveStep::Stop);
        }
        if !world.broken {
            steps.push(MoveStep::OldBreaks);
        }
        // The rest is read before another goes on, but not by the variants that forget it.
        let rest_read = world.on_the_way.is_empty() || variant != MoveVariant::Sound;
        if (world.stopped && rest_read) || variant == MoveVariant::NoStop {
            steps.push(MoveStep::Resume);
        }
    }
    if world.next.is_some_and(|next| next <= EVENTS) {
        steps.push(MoveStep::NewMakes);
    }
    let old_done = world.made == EVENTS && world.on_the_way.is_empty() && !world.broken;
    let new_done = world.next == Some(EVENTS + 1);
    if new_done || world.next.is_none() && !world.stopped && old_done {
        steps.push(MoveStep::End);
    }
    steps
}

fn apply(variant: MoveVariant, world: &MoveWorld, step: MoveStep) -> MoveWorld {
    let mut next = world.clone();
    match step {
        MoveStep::OldMakes => {
            next.made += 1;
            next.on_the_way.push(next.made);
        }
        MoveStep::ReadOld => {
            let event = next.on_the_way.remove(0);
            deliver(variant, &mut next, event);
        }
        MoveStep::Stop => next.stopped = true,
        MoveStep::OldBreaks => {
            next.broken = true;
            next.on_the_way.clear();
        }
        MoveStep::Resume => {
            let from_made = variant == MoveVariant::FromMade;
            let last = if from_made { world.made } else { world.scanner.last().unwrap_or(0) };
            next.next = Some(last + 1);
        }
        MoveStep::NewMakes => {
            if let Some(event) = world.next {
                next.next = Some(event + 1);
                deliver(variant, &mut next, event);
            }
        }
        MoveStep::End => next.end = Some(StreamEnd::Complete),
    }
    next
}

/// Passes an event on, unless its number does not follow: then the stream is cut.
fn deliver(variant: MoveVariant, world: &mut MoveWorld, event: u64) {
    let bytes = format!("id: {event}\n\n");
    let follows = world.scanner.push(bytes.as_bytes()).is_ok();
    if follows || variant == MoveVariant::Unchecked {
        world.delivered.push(event);
    } else {
        world.end = Some(StreamEnd::Cut);
    }
}

fn violated(world: &MoveWorld) -> Option<&'static str> {
    let in_order = world.delivered.iter().copied().eq(1..=world.delivered.len() as u64);
    if !in_order {
        return Some("an event is missing, repeated or out of order");
    }
    if world.end == Some(StreamEnd::Complete) && world.delivered.len() as u64 != EVENTS {
        return Some("a part looks whole");
    }
    if world.next.is_some() && !world.stopped && !world.broken && world.made < EVENTS {
        return Some("two runners work on one stream");
    }
    // A cut is no violation of order, but a move that always cuts serves nobody.
    let resumed = world.next.is_some();
    (world.end == Some(StreamEnd::Cut) && resumed).then_some("a move has cut the stream")
}
