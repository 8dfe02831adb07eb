//! What happens in a step of time.

use base::prelude::*;
use life::{LifeInput, LifeStep, OfferedPlace, SeenPlace, StepOutcome};
use serving::OrderAnswer;

use super::LifeVariant;
use super::faults::LATE_TICKS;
use super::runner::{LostRun, RunReader, RunStage, RunnerPower, WorldRun};
use super::world::{LENGTH, LifeWorld, OpState, OpenOp, node_id, runner_number};

/// Steps for which two runners may work on one request: 400 ms.
const MAX_OVERLAP_TICKS: u8 = 2;

/// What this node looks at first in a step of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TickOrder {
    Events,
    Answers,
    /// Deadlines that have passed while it stood still.
    Due,
}

/// Lets a step of time pass.
pub(super) fn advance(mut world: LifeWorld, order: TickOrder) -> LifeWorld {
    let due = world.life.due(world.now());
    world.tick += 1;
    check_due(&mut world, due);
    pass_time(&mut world);
    make_events(&mut world);
    world.write_wire();
    world.stands = world.stands.saturating_sub(1);
    if world.stands > 0 {
        answer_ops(&mut world);
        answer_questions(&mut world);
        return world;
    }
    if order == TickOrder::Due {
        world.give(&LifeInput::Due, 0);
    }
    if order == TickOrder::Answers {
        answer_ops(&mut world);
        world.read_wire();
    } else {
        world.read_wire();
        answer_ops(&mut world);
    }
    world.act_early();
    answer_questions(&mut world);
    if std::mem::take(&mut world.is_notice_waiting) {
        world.announce_leave();
    }
    world.give(&LifeInput::Due, 0);
    world
}

/// Without an input, nothing is to be done before a stored deadline. One that has passed while this node stood still
/// was stored before.
fn check_due(world: &mut LifeWorld, due: TimePoint) {
    if world.stands > 0 {
        return;
    }
    let now = world.now();
    let is_idle = world.life.clone().step(&LifeInput::Due, now).is_empty();
    if !is_idle && due > now {
        world.violate("a deadline is not stored");
    }
}

/// Runners wake or leave, and notice closed connections.
fn pass_time(world: &mut LifeWorld) {
    let is_node_up = world.is_node_up;
    for number in 0..world.runners.len() {
        let is_missed = world.is_missed(number);
        let runner = &mut world.runners[number];
        let is_last = runner.leaves_in == 1;
        runner.silent_here = runner.silent_here.saturating_sub(1);
        runner.silent_to_all = runner.silent_to_all.saturating_sub(1);
        runner.leaves_in = runner.leaves_in.saturating_sub(1);
        if is_last {
            world.lose_runner(number);
        }
        let runner = &mut world.runners[number];
        if is_last && is_missed {
            runner.lost = LostRun::Missed;
        }
        let answers = runner.answers();
        runner.run.take_if(|run| run.is_through_node && !is_node_up && answers);
    }
    world.end_closed();
}

/// Runners make events. Time in which this node stands still does not count for the runs that work at once, as it
/// can end none. A run at a runner that no node reaches can be ended by nobody, and doesn't count.
fn make_events(world: &mut LifeWorld) {
    let is_standing = world.stands > 0;
    let mut at_work = 0;
    let is_node_up = world.is_node_up;
    for runner in world.runners.iter_mut().filter(|runner| runner.answers()) {
        let is_reached = is_node_up || runner.answers_here();
        let Some(run) = runner.run.as_mut().filter(|run| !run.is_hung) else { continue };
        if run.made < LENGTH {
            at_work += u8::from(is_reached);
            run.made += 1;
        }
    }
    let is_overlap = at_work > 1 && !is_standing;
    world.overlap = if is_overlap { world.overlap + 1 } else { 0 };
    if world.overlap > MAX_OVERLAP_TICKS {
        world.violate("two runners work on a run for longer than allowed");
    }
}

/// Has the steps under way followed and answered.
fn answer_ops(world: &mut LifeWorld) {
    for op in world.ops.clone() {
        if !world.ops.contains(&op) || world.life.end().is_some() {
            continue;
        }
        let (state, late, outcome) = follow(world, &op);
        if let Some(outcome) = outcome.filter(|_| world.stands == 0) {
            world.ops.retain(|other| other.number != op.number);
            if let (LifeStep::Copy(to), StepOutcome::Done) = (&op.step, outcome) {
                // The handle of a copy comes with the answer, and is of no use once the run has ended.
                world.runners[runner_number(to)].has_memory = world.stage == RunStage::Working;
            }
            let is_stopped = matches!(outcome, StepOutcome::Ordered(OrderAnswer::Stopped(_)));
            world.confirmed_stops += u8::from(is_stopped);
            if is_stopped && world.left.next_leaves > 0 {
                world.confirmed_at = Some(world.tick);
            }
            world.give(&LifeInput::StepEnded(op.number, outcome), 0);
            continue;
        }
        // An answer that comes while this node stands still waits.
        let state = outcome.map_or(state, wait_for_node);
        for other in world.ops.iter_mut().filter(|other| other.number == op.number) {
            (other.state, other.late) = (state, late);
        }
    }
}

fn wait_for_node(outcome: StepOutcome) -> OpState {
    match outcome {
        StepOutcome::Refused => OpState::Refused,
        StepOutcome::Ordered(OrderAnswer::Unknown) => OpState::Ordered,
        _ => OpState::Followed,
    }
}

/// What becomes of a step: its state, the steps until its answer, and the answer if it arrives now.
fn follow(world: &mut LifeWorld, op: &OpenOp) -> (OpState, u8, Option<StepOutcome>) {
    let late = op.late.saturating_sub(1);
    match op.state {
        OpState::Lost => (OpState::Lost, late, None),
        OpState::Refused => {
            refuse(world, op);
            (OpState::Refused, late, Some(StepOutcome::Refused))
        }
        OpState::Followed if op.late > 0 => (OpState::Followed, late, None),
        OpState::Followed => {
            let is_answered = match op.step {
                LifeStep::Offer(..) => world.is_node_up,
                _ => answers(world, &op.step),
            };
            let answer = is_answered.then(|| done(world, op));
            (OpState::Followed, late, answer)
        }
        OpState::Delayed if op.late > 0 => (OpState::Delayed, late, None),
        OpState::Delayed => (OpState::Sent, 0, None),
        OpState::Ordered => {
            let is_answered = op.late == 0 && world.is_node_up;
            let answer = is_answered.then_some(StepOutcome::Ordered(OrderAnswer::Unknown));
            (OpState::Ordered, late, answer)
        }
        OpState::OrderLate if answers(world, &op.step) => order_late(world, op),
        OpState::OrderLate | OpState::Sent | OpState::Unanswered => {
            if !answers(world, &op.step) {
                // The connection to a runner that is off is refused.
                let refused = is_off(world, &op.step).then_some(StepOutcome::Refused);
                return (op.state, op.late, refused);
            }
            let is_unanswered = op.state == OpState::Unanswered;
            let wait = answer_ticks(world, op);
            let is_done = take_effect(world, op, is_unanswered);
            match (is_done, is_unanswered) {
                (_, true) => (OpState::Lost, late, None),
                (false, _) => (OpState::Sent, late, Some(StepOutcome::Refused)),
                (true, _) if wait > 0 => (OpState::Followed, wait - 1, None),
                (true, _) => (OpState::Followed, late, Some(done(world, op))),
            }
        }
    }
}

/// The other node orders the source, which stops the run and keeps its memory. The node gets no answer in time: it
/// says that it has ordered the run, or takes the order for refused in one variant.
fn order_late(world: &mut LifeWorld, op: &OpenOp) -> (OpState, u8, Option<StepOutcome>) {
    let at = peer(world, &op.step);
    if world.runners[at].run.is_none() {
        return (OpState::Refused, 0, Some(StepOutcome::Refused));
    }
    world.runners[at].follow_order();
    if world.is_variant(LifeVariant::MoveTakenForRefused) {
        world.free_memory(at);
        return (OpState::Refused, 0, Some(StepOutcome::Refused));
    }
    (OpState::Ordered, LATE_TICKS, None)
}

/// Steps until an answer is read, after the first. That to a request for a run comes before the data of the run,
/// on the same connection.
fn answer_ticks(world: &LifeWorld, op: &OpenOp) -> u8 {
    let is_control = matches!(op.step, LifeStep::Copy(_) | LifeStep::Connect(_) | LifeStep::Order);
    if is_control { op.late } else { op.late.max(world.behind) }
}

/// What the answer to a step that was followed says.
fn done(world: &LifeWorld, op: &OpenOp) -> StepOutcome {
    let runner = match &op.step {
        LifeStep::Order => return StepOutcome::Ordered(order_answer(world, op)),
        LifeStep::Offer(OfferedPlace::SourceRun, runner, _) => runner,
        _ => return StepOutcome::Done,
    };
    let run = world.runners[runner_number(runner)].run;
    let is_returned = run.is_some_and(|run| run.reader == RunReader::Step(op.number));
    if is_returned { StepOutcome::Returned } else { StepOutcome::Done }
}

/// A runner without the run does not find it.
fn order_answer(world: &LifeWorld, op: &OpenOp) -> OrderAnswer {
    let made = world.runners[peer(world, &op.step)].made_at_order;
    made.map_or(OrderAnswer::NotFound, |made| OrderAnswer::Stopped(Some(u64::from(made))))
}

/// A runner that refuses memory has used it.
fn refuse(world: &mut LifeWorld, op: &OpenOp) {
    let is_used =
        matches!(op.step, LifeStep::Send(_) | LifeStep::Offer(OfferedPlace::NextMemory, ..));
    if is_used {
        let at = peer(world, &op.step);
        world.runners[at].has_memory = false;
    }
}

/// The runner that a step goes to.
fn peer(world: &LifeWorld, step: &LifeStep) -> usize {
    match step {
        LifeStep::Connect(runner) | LifeStep::Send(runner) | LifeStep::Offer(_, runner, _) => {
            runner_number(runner)
        }
        LifeStep::Copy(runner) => 1 - runner_number(runner),
        LifeStep::Order | LifeStep::Return => world.reading.map_or(0, |reading| reading.runner),
    }
}

fn answers(world: &LifeWorld, step: &LifeStep) -> bool {
    let runner = &world.runners[peer(world, step)];
    match step {
        LifeStep::Offer(..) => world.is_node_up && runner.answers(),
        _ => runner.answers_here(),
    }
}

fn is_off(world: &LifeWorld, step: &LifeStep) -> bool {
    let runner = &world.runners[peer(world, step)];
    let is_reached = match step {
        LifeStep::Offer(..) => world.is_node_up,
        _ => !runner.is_cut_off,
    };
    is_reached && runner.power == RunnerPower::Off
}

/// Follows a step; false if it is refused.
fn take_effect(world: &mut LifeWorld, op: &OpenOp, is_unanswered: bool) -> bool {
    let at = peer(world, &op.step);
    let start = |is_through_node| WorldRun {
        made: op.last_event,
        reader: RunReader::Step(op.number),
        is_through_node,
        is_hung: is_unanswered,
    };
    match &op.step {
        LifeStep::Connect(_) => true,
        LifeStep::Copy(_) => {
            let next = &world.runners[1 - at];
            world.runners[at].run.is_some() && next.answers() && !next.refuses_copies(1 - at)
        }
        LifeStep::Order => {
            world.runners[at].follow_order();
            true
        }
        LifeStep::Send(_) | LifeStep::Return => start_run(world, at, start(false)),
        LifeStep::Offer(OfferedPlace::NextMemory, ..) => start_run(world, at, start(true)),
        LifeStep::Offer(OfferedPlace::NextRun, ..) => move_run(world, at, at, start(true)),
        LifeStep::Offer(..) => {
            let other = &world.runners[1 - at];
            let is_open = other.answers() && other.leaves_in == 0;
            let to = if is_open { 1 - at } else { at };
            move_run(world, at, to, start(true))
        }
    }
}

/// Starts a run from the memory at a runner.
fn start_run(world: &mut LifeWorld, at: usize, run: WorldRun) -> bool {
    let runner = &mut world.runners[at];
    let is_done = std::mem::take(&mut runner.has_memory);
    if is_done {
        runner.run = Some(run);
        runner.is_end_ordered = false;
    }
    is_done
}

/// Another node stops the run at a runner, or takes its memory, and has it go on at the same or the other one.
fn move_run(world: &mut LifeWorld, from: usize, to: usize, run: WorldRun) -> bool {
    let old = &world.runners[from];
    let is_done = (old.run.is_some() || old.has_memory) && world.runners[to].answers();
    if is_done {
        let old = &mut world.runners[from];
        old.run = None;
        old.has_memory = true;
        world.runners[to].has_memory = true;
        start_run(world, to, run);
    }
    is_done
}

/// Answers the questions of this node where the runners answer.
fn answer_questions(world: &mut LifeWorld) {
    for number in 0..world.questions.len() {
        if !world.questions[number] {
            continue;
        }
        let Some(place) = world.answers[number].take().or_else(|| seen_place(world, number)) else {
            continue;
        };
        if world.stands > 0 {
            world.answers[number] = Some(place);
            continue;
        }
        world.questions[number] = false;
        let name = ["first", "second"][number].parse().expect("a valid name");
        world.give(&LifeInput::Asked(name, place), 0);
    }
}

/// Where a runner answers now.
fn seen_place(world: &LifeWorld, number: usize) -> Option<SeenPlace> {
    let runner = &world.runners[number];
    if runner.answers_here() {
        return Some(SeenPlace::Here);
    }
    let is_elsewhere = runner.answers() && world.is_node_up;
    is_elsewhere.then(|| SeenPlace::OtherNode(node_id()))
}
