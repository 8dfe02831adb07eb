//! What can happen next.

use super::course::advance;
use super::world::{LifeWorld, OpState, OpenOp, RunnerPower};

/// Time for which a sound runner may be silent, in steps.
const SILENT_TICKS: u8 = 5;
/// Time from the notice of a leave to its end, in steps.
const NOTICE_TICKS: u8 = 16;
/// Delay of a late answer, in steps.
const LATE_TICKS: u8 = 3;

/// Disruptions that may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct LifeFaults {
    pub(super) all: u8,
    pub(super) leaves: u8,
    /// Time in which they begin, in steps.
    pub(super) ticks: u8,
}

impl LifeFaults {
    /// Two in 1.2 s.
    pub(super) const TWO: Self = Self { all: 2, leaves: 1, ticks: 6 };
    /// Three in 0.8 s.
    pub(super) const THREE: Self = Self { all: 3, leaves: 1, ticks: 4 };
}

/// Runners and steps are named by their number.
#[derive(Debug, Clone, Copy)]
pub(super) enum LifeEvent {
    /// 200 ms pass; events come before answers.
    Tick,
    /// 200 ms pass; answers come before events.
    TickAnswersFirst,
    Leave,
    SilentHere(usize),
    SilentToAll(usize),
    CutOff(usize),
    Dies(usize),
    NodeLost,
    /// A step never arrives.
    Lost(usize),
    Refused(usize),
    /// A step is followed, and its answer is late.
    Late(usize),
    /// A step is followed, and never answered.
    Unanswered(usize),
}

pub(super) fn enabled(world: &LifeWorld) -> Vec<LifeEvent> {
    if world.life.end().is_some() {
        return Vec::new();
    }
    let mut events = vec![LifeEvent::Tick];
    if !world.ops.is_empty() {
        events.push(LifeEvent::TickAnswersFirst);
    }
    if world.tick >= world.left.ticks {
        return events;
    }
    if world.left.leaves > 0 {
        events.push(LifeEvent::Leave);
    }
    if world.left.all == 0 {
        return events;
    }
    for (number, runner) in world.runners.iter().enumerate() {
        if runner.power == RunnerPower::Off {
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
    if world.is_node_up {
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
    events
}

fn is_sent(op: &OpenOp) -> bool {
    op.state == OpState::Sent && op.late == 0
}

pub(super) fn apply(world: &LifeWorld, event: LifeEvent) -> LifeWorld {
    let mut next = world.clone();
    match event {
        LifeEvent::Tick => return advance(next, false),
        LifeEvent::TickAnswersFirst => return advance(next, true),
        LifeEvent::Leave => {
            next.left.leaves -= 1;
            next.runners[0].leaves_in = NOTICE_TICKS;
            next.announce_leave();
            return next;
        }
        LifeEvent::SilentHere(number) => next.runners[number].silent_here = SILENT_TICKS,
        LifeEvent::SilentToAll(number) => next.runners[number].silent_to_all = SILENT_TICKS,
        LifeEvent::CutOff(number) => next.runners[number].is_cut_off = true,
        LifeEvent::Dies(number) => next.runners[number].switch_off(),
        LifeEvent::NodeLost => next.is_node_up = false,
        LifeEvent::Lost(number) => next.ops[number].state = OpState::Lost,
        LifeEvent::Refused(number) => next.ops[number].state = OpState::Refused,
        LifeEvent::Late(number) => next.ops[number].late = LATE_TICKS,
        LifeEvent::Unanswered(number) => next.ops[number].state = OpState::Unanswered,
    }
    next.left.all -= 1;
    next
}
