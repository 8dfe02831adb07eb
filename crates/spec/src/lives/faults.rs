//! What can happen next.

use life::{LifeStep, OfferedPlace};

use super::course::{TickOrder, advance};
use super::runner::{RunnerPower, WorldRunner};
use super::world::{LifeWorld, OpState, OpenOp};

/// Time for which a sound runner may be silent, in steps.
const SILENT_TICKS: u8 = 5;
/// Time from the notice of a leave to its end, in steps.
const NOTICE_TICKS: u8 = 16;
/// Delay of a late answer, in steps.
pub(super) const LATE_TICKS: u8 = 3;
/// Time for which the links of this node to the runners are held back, in steps.
const HELD_TICKS: u8 = 8;
/// Time for which this node stands still, in steps.
const STAND_TICKS: u8 = 5;
/// Times by which this node is behind, in steps: 400 and 800 ms.
const BEHIND_TICKS: [u8; 2] = [2, 4];

/// Disruptions that may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct LifeFaults {
    pub(super) all: u8,
    pub(super) leaves: u8,
    /// Whether runners and the other node fall silent or are lost.
    pub(super) has_lost_places: bool,
    /// Whether this node stands still or is behind.
    pub(super) has_slow_node: bool,
    /// Time in which they begin, in steps.
    pub(super) ticks: u8,
    /// Time in which this node falls behind, in steps.
    pub(super) behind_ticks: u8,
    /// By how much at most, in steps.
    pub(super) max_behind: u8,
    /// Events that the run has made and the caller has read at the start.
    pub(super) first_event: u8,
    /// Whether links are held back, and runs end at their runners while their last events are.
    pub(super) has_held_links: bool,
    /// Orders of the other node that may be answered late, beside the others.
    pub(super) late_orders: u8,
    /// Leaves of the second runner, beside the others.
    pub(super) next_leaves: u8,
}

impl LifeFaults {
    /// Two in 1.2 s.
    pub(super) const TWO: Self = Self {
        all: 2,
        leaves: 1,
        has_lost_places: true,
        has_slow_node: true,
        ticks: 6,
        behind_ticks: 6,
        max_behind: 4,
        first_event: 0,
        has_held_links: false,
        late_orders: 0,
        next_leaves: 0,
    };
    /// Two in 1.2 s, and a late answer to an order of the other node.
    pub(super) const ORDERS: Self = Self { late_orders: 1, ..Self::TWO };
    /// Two in 1.2 s, of this node too, and a leave of the second runner.
    pub(super) const NEXT_SLOW: Self = Self { next_leaves: 1, ..Self::TWO };
    /// The same, none of this node.
    pub(super) const NEXT: Self = Self { has_slow_node: false, ..Self::NEXT_SLOW };
    /// Two in 0.8 s, around the end of the run.
    pub(super) const TAIL: Self =
        Self { ticks: 4, behind_ticks: 4, first_event: 5, has_held_links: true, ..Self::TWO };
    /// Three in 0.8 s, of this node too.
    pub(super) const THREE_SLOW: Self = Self { has_slow_node: true, ..Self::THREE };
    /// Two in 1.2 s, of steps and of this node only, which is behind from the start or not at all.
    pub(super) const SLOW: Self = Self { has_lost_places: false, behind_ticks: 1, ..Self::TWO };
    /// The same, behind by 400 ms.
    pub(super) const SLOW_BY_LITTLE: Self = Self { max_behind: 2, ..Self::SLOW };
    /// Three in 0.8 s.
    pub(super) const THREE: Self =
        Self { all: 3, ticks: 4, behind_ticks: 4, has_slow_node: false, ..Self::TWO };
}

/// Runners and steps are named by their number.
#[derive(Debug, Clone, Copy)]
pub(super) enum LifeEvent {
    /// 200 ms pass; events come before answers.
    Tick,
    /// 200 ms pass; answers come before events.
    TickAnswersFirst,
    /// 200 ms pass, and this node goes on: deadlines come before what has arrived.
    TickDueFirst,
    Leave,
    /// The second runner announces its leave.
    NextLeaves,
    SilentHere(usize),
    SilentToAll(usize),
    CutOff(usize),
    /// The links of both runners to this node hold data and answers back for 1.6 s.
    LinksHeld,
    Dies(usize),
    NodeLost,
    /// A step never arrives.
    Lost(usize),
    Refused(usize),
    /// A step is followed, and its answer is late.
    Late(usize),
    /// The other node orders a run for this one, and the source's answer is late.
    OrderLate(usize),
    /// A step is followed, and never answered.
    Unanswered(usize),
    /// This node stands still for a second.
    NodeStands,
    /// From now on, data is read so many steps later than answers.
    Behind(u8),
}

pub(super) fn enabled(world: &LifeWorld) -> Vec<LifeEvent> {
    if world.life.end().is_some() {
        return Vec::new();
    }
    let mut events = vec![LifeEvent::Tick];
    if !world.ops.is_empty() {
        events.push(LifeEvent::TickAnswersFirst);
    }
    if world.stands == 1 {
        events.push(LifeEvent::TickDueFirst);
    }
    if world.tick >= world.left.ticks {
        return events;
    }
    if world.left.leaves > 0 {
        events.push(LifeEvent::Leave);
    }
    if world.left.next_leaves > 0 && world.stands == 0 {
        events.push(LifeEvent::NextLeaves);
    }
    if world.left.late_orders > 0 {
        let moves = world.ops.iter().enumerate().filter(|(_, op)| is_sent(op) && is_move(op));
        events.extend(moves.map(|(number, _)| LifeEvent::OrderLate(number)));
    }
    if world.left.all == 0 {
        return events;
    }
    for (number, runner) in world.runners.iter().enumerate() {
        if runner.power == RunnerPower::Off || !world.left.has_lost_places {
            continue;
        }
        events.push(LifeEvent::Dies(number));
        if runner.silent_here == 0 && !runner.is_cut_off {
            events.extend([LifeEvent::SilentHere(number), LifeEvent::CutOff(number)]);
        }
        if runner.silent_to_all == 0 {
            events.push(LifeEvent::SilentToAll(number));
        }
    }
    let is_held = |runner: &WorldRunner| runner.silent_here > 0 || runner.is_cut_off;
    if world.left.has_held_links && !world.runners.iter().any(is_held) {
        events.push(LifeEvent::LinksHeld);
    }
    if world.is_node_up && world.left.has_lost_places {
        events.push(LifeEvent::NodeLost);
    }
    for (number, _) in world.ops.iter().enumerate().filter(|(_, op)| is_sent(op)) {
        events.extend([
            LifeEvent::Lost(number),
            LifeEvent::Refused(number),
            LifeEvent::Late(number),
            LifeEvent::Unanswered(number),
        ]);
    }
    if world.left.has_slow_node && world.stands == 0 {
        events.push(LifeEvent::NodeStands);
        let ticks = BEHIND_TICKS.into_iter().filter(|ticks| may_fall_behind(world, *ticks));
        events.extend(ticks.map(LifeEvent::Behind));
    }
    events
}

fn may_fall_behind(world: &LifeWorld, ticks: u8) -> bool {
    world.behind == 0 && ticks <= world.left.max_behind && world.tick < world.left.behind_ticks
}

fn is_sent(op: &OpenOp) -> bool {
    op.state == OpState::Sent && op.late == 0
}

fn is_move(op: &OpenOp) -> bool {
    matches!(op.step, LifeStep::Offer(OfferedPlace::SourceRun, ..))
}

pub(super) fn apply(world: &LifeWorld, event: LifeEvent) -> LifeWorld {
    let mut next = world.clone();
    match event {
        LifeEvent::Tick => return advance(next, TickOrder::Events),
        LifeEvent::TickAnswersFirst => return advance(next, TickOrder::Answers),
        LifeEvent::TickDueFirst => return advance(next, TickOrder::Due),
        LifeEvent::Leave => {
            next.left.leaves -= 1;
            next.runners[0].leaves_in = NOTICE_TICKS;
            next.announce_leave();
            return next;
        }
        LifeEvent::NextLeaves => {
            next.left.next_leaves -= 1;
            next.runners[1].leaves_in = NOTICE_TICKS;
            next.announce_next_leave();
            return next;
        }
        LifeEvent::OrderLate(number) => {
            next.left.late_orders -= 1;
            next.ops[number].state = OpState::OrderLate;
            return next;
        }
        LifeEvent::SilentHere(number) => next.runners[number].silent_here = SILENT_TICKS,
        LifeEvent::SilentToAll(number) => next.runners[number].silent_to_all = SILENT_TICKS,
        LifeEvent::CutOff(number) => next.runners[number].is_cut_off = true,
        LifeEvent::LinksHeld => {
            next.runners.iter_mut().for_each(|runner| runner.silent_here = HELD_TICKS);
        }
        LifeEvent::Dies(number) => next.lose_runner(number),
        LifeEvent::NodeLost => next.is_node_up = false,
        LifeEvent::Lost(number) => next.ops[number].state = OpState::Lost,
        LifeEvent::Refused(number) => next.ops[number].state = OpState::Refused,
        LifeEvent::Late(number) => next.ops[number].late = LATE_TICKS,
        LifeEvent::Unanswered(number) => next.ops[number].state = OpState::Unanswered,
        LifeEvent::NodeStands => next.stands = STAND_TICKS,
        LifeEvent::Behind(ticks) => next.behind = ticks,
    }
    next.left.all -= 1;
    next
}
