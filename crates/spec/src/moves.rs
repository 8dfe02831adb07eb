//! A running stream that changes its runner: events on their way, another runner that is
//! asked to go on from a copy of the memory, and the old one, which is cut off.

use serving::StreamScanner;

use crate::{ModelRun, explore};

/// A variant of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveVariant {
    /// As the product does it: nothing is read from the old runner while another is asked
    /// to go on after what the caller has, and the old one is cut off when it does.
    Sound,
    /// The old runner is left at work.
    NoCut,
    /// The other goes on from the events that were made, not from those that the caller has.
    FromMade,
    /// Events of the old runner are read while the other is asked, and after.
    ReadOn,
    /// The same, and numbers of events are not checked.
    Unchecked,
}

impl MoveVariant {
    /// All of them.
    pub const ALL: [Self; 5] =
        [Self::Sound, Self::NoCut, Self::FromMade, Self::ReadOn, Self::Unchecked];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::NoCut => "old runner not cut off",
            Self::FromMade => "goes on from the events made",
            Self::ReadOn => "old runner read on",
            Self::Unchecked => "read on, numbers unchecked",
        }
    }

    fn reads_on(self) -> bool {
        matches!(self, Self::ReadOn | Self::Unchecked)
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
    /// The connection to the old runner breaks; what was on its way is lost.
    OldBreaks,
    /// Another runner is asked to go on.
    Ask,
    /// It has no copy.
    Refused,
    /// It goes on.
    TakesOver,
    /// It makes an event and the node reads it.
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
    /// The old runner works no more: its connection broke, or the node has cut it.
    cut: bool,
    /// The event after which another runner is asked to go on.
    asked: Option<u64>,
    /// A runner was asked and had no copy.
    refused: bool,
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
        cut: false,
        asked: None,
        refused: false,
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
    if !world.cut && world.made < EVENTS {
        steps.push(MoveStep::OldMakes);
    }
    let alone = world.asked.is_none() && world.next.is_none();
    if !world.on_the_way.is_empty() && (alone || variant.reads_on()) {
        steps.push(MoveStep::ReadOld);
    }
    if !world.cut && world.next.is_none() {
        steps.push(MoveStep::OldBreaks);
    }
    if alone && !world.refused {
        steps.push(MoveStep::Ask);
    }
    if world.asked.is_some() {
        steps.extend([MoveStep::Refused, MoveStep::TakesOver]);
    }
    if world.next.is_some_and(|next| next <= EVENTS) {
        steps.push(MoveStep::NewMakes);
    }
    let old_done = alone && !world.cut && world.made == EVENTS && world.on_the_way.is_empty();
    if old_done || world.next == Some(EVENTS + 1) {
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
        MoveStep::OldBreaks => {
            next.cut = true;
            next.on_the_way.clear();
        }
        MoveStep::Ask => {
            let has = world.scanner.last_id().unwrap_or(0);
            next.asked = Some(if variant == MoveVariant::FromMade { world.made } else { has });
        }
        MoveStep::Refused => {
            next.asked = None;
            next.refused = true;
        }
        MoveStep::TakesOver => {
            next.next = next.asked.take().map(|last| last + 1);
            next.cut |= variant != MoveVariant::NoCut;
            if !variant.reads_on() {
                next.on_the_way.clear();
            }
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
    if world.next.is_some() && !world.cut {
        return Some("two runners work on one stream");
    }
    // A cut is no violation of order, but a move that always cuts serves nobody.
    let resumed = world.next.is_some();
    (world.end == Some(StreamEnd::Cut) && resumed).then_some("a move has cut the stream")
}
