//! A stream whose body ends with its connection, and orders to stop its run: of this node and of another one. An
//! order is followed, refused or finds no run, and its answer comes, comes late or is lost.

use base::prelude::*;
use life::{BodyEnd, BodyFraming, EndMeaning, OrderOrigin, StopOrders, judge_end};

use crate::{ModelRun, explore};

/// A variant of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndVariant {
    /// As the product does it, at a runner that this node reads.
    Sound,
    /// As the product does it, through another node, which writes chunks.
    SoundRelayed,
    /// An end between two events is that of the stream.
    EndIsWhole,
    /// Orders of another node are not looked at.
    OwnOrdersOnly,
    /// Orders of this node are not looked at.
    OtherOrdersOnly,
    /// An order whose answer is lost counts as refused.
    LostAnswerTakenForRefused,
    /// The chunks of another node show the end of the stream.
    RelayedTakenForFramed,
    /// As the product does it; a run returns to a runner before an order of another node has arrived there.
    ReturnBeforeArrival,
}

impl EndVariant {
    /// All of them.
    pub const ALL: [Self; 8] = [
        Self::Sound,
        Self::SoundRelayed,
        Self::EndIsWhole,
        Self::OwnOrdersOnly,
        Self::OtherOrdersOnly,
        Self::LostAnswerTakenForRefused,
        Self::RelayedTakenForFramed,
        Self::ReturnBeforeArrival,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::SoundRelayed => "sound, through another node",
            Self::EndIsWhole => "end between events is whole",
            Self::OwnOrdersOnly => "own orders only",
            Self::OtherOrdersOnly => "orders of other nodes only",
            Self::LostAnswerTakenForRefused => "lost answer taken for refused",
            Self::RelayedTakenForFramed => "relayed end taken for framed",
            Self::ReturnBeforeArrival => "run returns before order arrives",
        }
    }

    fn is_broken(self) -> bool {
        !matches!(self, Self::Sound | Self::SoundRelayed)
    }

    /// Whether an order of `origin` is recorded before it is given.
    fn records(self, origin: &OrderOrigin) -> bool {
        match self {
            Self::EndIsWhole => false,
            Self::OwnOrdersOnly => *origin == OrderOrigin::ThisNode,
            Self::OtherOrdersOnly => *origin != OrderOrigin::ThisNode,
            _ => true,
        }
    }

    fn framing(self) -> BodyFraming {
        match self {
            Self::SoundRelayed => BodyFraming::Relayed,
            Self::RelayedTakenForFramed => BodyFraming::Framed,
            _ => BodyFraming::ByConnection,
        }
    }
}

/// Events of the whole stream.
const LENGTH: u8 = 3;
/// Orders of a course.
const MAX_ORDERS: usize = 3;
/// When it is known what has become of an order: not in a course.
const NOT_KNOWN: TimePoint = TimePoint(u64::MAX);
/// Answers that may be lost.
const MAX_LOST: u8 = 1;

/// Where an order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum OrderState {
    /// On its way to the runner.
    Sent,
    /// It has stopped the run; the answer is on its way.
    Followed,
    /// It has stopped nothing; the answer is on its way.
    NotFollowed,
    /// Its answer has come.
    Over,
    /// Its answer is lost; who has given it knows it in the end.
    Lost { is_followed: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GivenOrder {
    origin: OrderOrigin,
    runner: usize,
    state: OrderState,
}

/// The run at its present runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RunState {
    Working,
    Stopped,
    EndedWhole,
}

/// What the reader of the stream does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ReaderState {
    Reads,
    /// The body has ended, and that proves nothing.
    Waits,
    Streamed,
    BrokenOff,
}

#[derive(Debug, Clone, Copy)]
enum EndStep {
    /// The run makes an event, or ends after the last one.
    Make,
    Give(Origin),
    /// An order arrives at its runner.
    Arrive(usize),
    /// An order is refused.
    Refuse(usize),
    Answer(usize),
    LoseAnswer(usize),
    ReadEnd,
    /// No order can have been followed any more.
    Prove,
    /// The run goes on from what an order has left.
    GoOn,
    BreakOff,
}

#[derive(Debug, Clone, Copy)]
enum Origin {
    Own,
    Other,
}

#[derive(Debug, Clone, Hash)]
struct EndWorld {
    known: StopOrders,
    given: Vec<GivenOrder>,
    at: usize,
    run: RunState,
    made: u8,
    /// Whether this run has made an event.
    has_event: bool,
    reader: ReaderState,
    /// A place that an answer has named.
    has_place: bool,
    lost: u8,
}

fn runner_id(number: usize) -> RunnerId {
    ["first", "second"][number].parse().expect("a valid name")
}

fn origin(origin: Origin) -> OrderOrigin {
    match origin {
        Origin::Own => OrderOrigin::ThisNode,
        Origin::Other => OrderOrigin::OtherNode(Some("other".parse().expect("a valid name"))),
    }
}

impl EndWorld {
    fn new() -> Self {
        Self {
            known: StopOrders::default(),
            given: Vec::new(),
            at: 0,
            run: RunState::Working,
            made: 0,
            has_event: false,
            reader: ReaderState::Reads,
            has_place: false,
            lost: 0,
        }
    }

    fn is_over(&self) -> bool {
        matches!(self.reader, ReaderState::Streamed | ReaderState::BrokenOff)
    }

    fn has_open_order(&self) -> bool {
        let is_over =
            |order: &GivenOrder| matches!(order.state, OrderState::Over | OrderState::Lost { .. });
        !self.given.iter().all(is_over)
    }

    fn is_proven(&self) -> bool {
        self.known.stopped_by(&runner_id(self.at)).is_none()
    }

    /// Whether the run may go on at the other runner: no order of another node is on its way there.
    fn may_go_on(&self, variant: EndVariant) -> bool {
        let is_late = |order: &GivenOrder| {
            order.runner != self.at
                && order.state == OrderState::Sent
                && order.origin != OrderOrigin::ThisNode
        };
        variant == EndVariant::ReturnBeforeArrival || !self.given.iter().any(is_late)
    }
}

fn enabled(world: &EndWorld, variant: EndVariant) -> Vec<EndStep> {
    if world.is_over() {
        return Vec::new();
    }
    let mut steps = Vec::new();
    if world.run == RunState::Working {
        steps.push(EndStep::Make);
        if world.given.len() < MAX_ORDERS && world.reader == ReaderState::Reads {
            steps.extend([EndStep::Give(Origin::Own), EndStep::Give(Origin::Other)]);
        }
    } else if world.reader == ReaderState::Reads {
        steps.push(EndStep::ReadEnd);
    }
    for (number, order) in world.given.iter().enumerate() {
        match order.state {
            OrderState::Sent => {
                steps.extend([EndStep::Arrive(number), EndStep::Refuse(number)]);
            }
            OrderState::Followed | OrderState::NotFollowed => {
                steps.push(EndStep::Answer(number));
                if world.lost < MAX_LOST {
                    steps.push(EndStep::LoseAnswer(number));
                }
            }
            OrderState::Over | OrderState::Lost { .. } => (),
        }
    }
    if world.reader == ReaderState::Waits {
        if world.is_proven() {
            steps.push(EndStep::Prove);
        } else if world.has_place && world.may_go_on(variant) {
            steps.push(EndStep::GoOn);
        } else if !world.has_open_order() && !world.has_place {
            steps.push(EndStep::BreakOff);
        }
    }
    steps
}

fn apply(world: &EndWorld, step: EndStep, variant: EndVariant) -> EndWorld {
    let mut next = world.clone();
    match step {
        EndStep::Make if next.made == LENGTH => next.run = RunState::EndedWhole,
        EndStep::Make => {
            next.made += 1;
            next.has_event = true;
        }
        EndStep::Give(by) => {
            let (origin, runner) = (origin(by), next.at);
            if variant.records(&origin) {
                next.known.note_order(&runner_id(runner), origin.clone(), NOT_KNOWN);
            }
            next.given.push(GivenOrder { origin, runner, state: OrderState::Sent });
        }
        EndStep::Arrive(number) => {
            let finds_run = next.given[number].runner == next.at && next.run == RunState::Working;
            next.given[number].state =
                if finds_run { OrderState::Followed } else { OrderState::NotFollowed };
            if finds_run {
                next.run = RunState::Stopped;
            }
        }
        EndStep::Refuse(number) => next.given[number].state = OrderState::NotFollowed,
        EndStep::Answer(number) => answer(&mut next, number),
        EndStep::LoseAnswer(number) => {
            next.lost += 1;
            let GivenOrder { origin, runner, .. } = next.given[number].clone();
            let is_followed = next.given[number].state == OrderState::Followed;
            next.given[number].state = OrderState::Lost { is_followed };
            if variant == EndVariant::LostAnswerTakenForRefused {
                next.known.note_not_followed(&runner_id(runner), &origin, TimePoint::default());
            }
        }
        EndStep::ReadEnd => {
            let end = BodyEnd {
                framing: variant.framing(),
                has_event: next.has_event,
                is_in_event: false,
                stopped_by: next.known.stopped_by(&runner_id(next.at)),
            };
            next.reader = match judge_end(&end) {
                EndMeaning::Whole => ReaderState::Streamed,
                EndMeaning::Unproven => ReaderState::Waits,
                // A body without events goes on like a lost source, which is another model's.
                EndMeaning::BrokenOff => ReaderState::BrokenOff,
            };
        }
        EndStep::Prove => next.reader = ReaderState::Streamed,
        EndStep::GoOn => {
            next.at = 1 - next.at;
            next.known.begin_run(&runner_id(next.at));
            (next.run, next.reader) = (RunState::Working, ReaderState::Reads);
            (next.has_event, next.has_place) = (false, false);
        }
        EndStep::BreakOff => next.reader = ReaderState::BrokenOff,
    }
    next
}

/// An answer says whether the order was followed, and where the memory of the run is.
fn answer(world: &mut EndWorld, number: usize) {
    let GivenOrder { origin, runner, state } = world.given[number].clone();
    world.given[number].state = OrderState::Over;
    let runner_id = runner_id(runner);
    // Another node that is asked again goes on from what its earlier order has left.
    let is_left = |order: &GivenOrder| {
        let is_same = (&order.origin, order.runner) == (&origin, runner);
        is_same && order.state == OrderState::Lost { is_followed: true }
    };
    let has_left = origin != OrderOrigin::ThisNode && world.given.iter().any(is_left);
    if state == OrderState::Followed || has_left {
        world.known.note_followed(&runner_id, &origin);
        world.has_place |= runner == world.at;
    } else {
        world.known.note_not_followed(&runner_id, &origin, TimePoint::default());
    }
}

fn violated(world: &EndWorld) -> Option<&'static str> {
    let is_whole = world.run == RunState::EndedWhole;
    match world.reader {
        ReaderState::Streamed if !is_whole => Some("a part looks whole"),
        ReaderState::BrokenOff if world.lost == 0 && world.has_event => {
            Some("a stream is broken off though all orders were answered")
        }
        _ => None,
    }
}

/// Checks that no part of a stream looks whole, and that one is broken off only if the answer to an order was lost.
#[must_use]
pub fn check_ends(variant: EndVariant) -> ModelRun {
    explore(
        "ends",
        (variant.name(), variant.is_broken()),
        EndWorld::new(),
        |world| enabled(world, variant),
        |world, step| apply(world, *step, variant),
        violated,
    )
}
