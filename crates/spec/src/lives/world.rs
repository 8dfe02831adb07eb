//! Runners, another node, a caller, and the stream between them.

use base::prelude::*;
use life::{LifeAction, LifeEnd, LifeInput, LifeStart, LifeStep, StepNumber, StreamLife};

use super::LifeVariant;
use super::faults::LifeFaults;

/// Time of a step.
const TICK: TimeSpan = TimeSpan::millis(200);
/// Time of a call.
const CALL_LIMIT: TimeSpan = TimeSpan::seconds(8);
/// Longest wait for one step: less than the time of a call.
const MAX_WAIT: TimeSpan = TimeSpan::millis(4_500);
/// A stream was lost.
const LOST_STREAM: &str = "a stream ends although a place could have given its rest";
/// Events of the whole stream.
pub(super) const LENGTH: u8 = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum RunnerPower {
    On,
    Off,
}

/// Who reads a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum RunReader {
    /// The stream, or the step that has started the run.
    Step(StepNumber),
    /// Nobody: the connection is closed, which the runner notices once it is reached.
    Closed,
}

/// A run that the stream has lost through its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum LostRun {
    None,
    /// The node has closed it before another place was certain.
    GivenUp,
    /// Its runner has left with it, though it could have gone on elsewhere.
    Missed,
}

/// A run at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct WorldRun {
    pub(super) made: u8,
    pub(super) reader: RunReader,
    pub(super) is_through_node: bool,
    /// It was taken, and makes nothing.
    pub(super) is_hung: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct WorldRunner {
    pub(super) power: RunnerPower,
    /// Steps for which it is still silent to this node, and to all.
    pub(super) silent_here: u8,
    pub(super) silent_to_all: u8,
    pub(super) is_cut_off: bool,
    /// Steps until it has left; 0 if it does not leave.
    pub(super) leaves_in: u8,
    pub(super) run: Option<WorldRun>,
    /// Memory of the run, copied here or left by an order.
    pub(super) has_memory: bool,
    pub(super) lost: LostRun,
    /// The other node is to stop the run here.
    pub(super) is_end_ordered: bool,
}

impl WorldRunner {
    fn new() -> Self {
        Self {
            power: RunnerPower::On,
            silent_here: 0,
            silent_to_all: 0,
            is_cut_off: false,
            leaves_in: 0,
            run: None,
            has_memory: false,
            lost: LostRun::None,
            is_end_ordered: false,
        }
    }

    pub(super) fn switch_off(&mut self) {
        *self = Self { power: RunnerPower::Off, is_cut_off: self.is_cut_off, ..Self::new() };
    }

    /// Whether it answers a node that it is not silent to.
    pub(super) fn answers(&self) -> bool {
        self.power == RunnerPower::On && self.silent_to_all == 0
    }

    pub(super) fn answers_here(&self) -> bool {
        self.answers() && self.silent_here == 0 && !self.is_cut_off
    }

    /// Whether it has something of the run to go on with. A run that a lost node reads ends as soon as the
    /// runner notices.
    fn has_place(&self, is_node_up: bool) -> bool {
        let is_read =
            |run: WorldRun| run.reader != RunReader::Closed && (is_node_up || !run.is_through_node);
        self.run.is_some_and(|run| !run.is_hung && is_read(run))
            || self.has_memory
            || self.lost == LostRun::GivenUp
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum OpState {
    Sent,
    Lost,
    Refused,
    Unanswered,
    /// Followed; the answer is on its way.
    Followed,
}

/// A step of the stream that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct OpenOp {
    pub(super) number: StepNumber,
    pub(super) step: LifeStep,
    pub(super) state: OpState,
    /// Steps until the answer arrives, after the first.
    pub(super) late: u8,
    /// The last event that the caller had when it began.
    pub(super) last_event: u8,
}

/// The connection that the stream is read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct WorldReading {
    pub(super) runner: usize,
    pub(super) reader: RunReader,
    /// The last event that was read.
    pub(super) read: u8,
    pub(super) is_through_node: bool,
}

#[derive(Debug, Clone, Hash)]
pub(super) struct LifeWorld {
    variant: LifeVariant,
    pub(super) life: StreamLife,
    pub(super) tick: u8,
    pub(super) left: LifeFaults,
    pub(super) runners: [WorldRunner; 2],
    pub(super) is_node_up: bool,
    /// A move from a source was asked for.
    pub(super) is_move_asked: bool,
    pub(super) reading: Option<WorldReading>,
    pub(super) ops: Vec<OpenOp>,
    pub(super) questions: [bool; 2],
    pub(super) delivered: u8,
    pub(super) held: Vec<u8>,
    /// Steps for which two runners have worked on the run.
    pub(super) overlap: u8,
    pub(super) violation: Option<&'static str>,
}

/// Name of a runner.
fn runner_id(number: usize) -> RunnerId {
    ["first", "second"][number].parse().expect("a valid name")
}

pub(super) fn node_id() -> VmId {
    "other".parse().expect("a valid name")
}

/// Number of a runner.
pub(super) fn runner_number(runner: &RunnerId) -> usize {
    usize::from(*runner == runner_id(1))
}

impl LifeWorld {
    pub(super) fn new(variant: LifeVariant, has_copy: bool, left: LifeFaults) -> Self {
        let now = TimePoint::default();
        let start = LifeStart {
            source: runner_id(0),
            next: runner_id(1),
            has_memory: has_copy,
            deadline: now + CALL_LIMIT,
        };
        let reader = RunReader::Step(StepNumber::default());
        let run = WorldRun { made: 0, reader, is_through_node: false, is_hung: false };
        let source = WorldRunner { run: Some(run), ..WorldRunner::new() };
        let next = WorldRunner { has_memory: has_copy, ..WorldRunner::new() };
        Self {
            variant,
            life: StreamLife::new(start, now),
            tick: 0,
            left,
            runners: [source, next],
            is_node_up: true,
            is_move_asked: false,
            reading: Some(WorldReading { runner: 0, reader, read: 0, is_through_node: false }),
            ops: Vec::new(),
            questions: [false; 2],
            delivered: 0,
            held: Vec::new(),
            overlap: 0,
            violation: None,
        }
    }

    pub(super) fn is_variant(&self, variant: LifeVariant) -> bool {
        self.variant == variant
    }

    pub(super) fn now(&self) -> TimePoint {
        TimePoint(u64::from(self.tick) * TICK.0)
    }

    /// Gives an input to the life of the stream, and its actions to the world. `event` is the one that
    /// comes with it.
    pub(super) fn give(&mut self, input: &LifeInput, event: u8) {
        let now = self.now();
        let actions = self.life.step(input, now);
        let is_switch = actions.iter().any(|action| matches!(action, LifeAction::Switch(_)));
        for action in actions {
            self.perform(action, event, is_switch);
        }
        let is_endless = self.life.wait(now).is_some_and(|wait| wait >= MAX_WAIT);
        if is_endless {
            self.violate("a step is waited for almost until the deadline");
        }
    }

    /// Records that a rule is broken. Variants by which streams are lost are searched for that alone.
    pub(super) fn violate(&mut self, rule: &'static str) {
        if self.variant.loses_streams() && rule != LOST_STREAM {
            return;
        }
        self.violation.get_or_insert(rule);
    }

    /// The first runner announces its leave.
    pub(super) fn announce_leave(&mut self) {
        self.give(&LifeInput::RunnerLeaves(runner_id(0)), 0);
    }

    fn perform(&mut self, action: LifeAction, event: u8, is_switch: bool) {
        match action {
            LifeAction::Forward => self.deliver(event),
            LifeAction::Hold => self.held.push(event),
            LifeAction::ForwardHeld => {
                for event in std::mem::take(&mut self.held) {
                    self.deliver(event);
                }
            }
            LifeAction::Begin(number, step) => self.begin(number, step),
            LifeAction::CloseStep(number) => {
                self.ops.retain(|op| op.number != number);
                self.close_reader(RunReader::Step(number));
            }
            LifeAction::CloseSource => self.close_source(is_switch),
            LifeAction::Switch(number) => self.switch(number),
            LifeAction::Ask(runner) => self.ask(&runner),
            LifeAction::EndRun(..) if self.is_variant(LifeVariant::LeftNotEnded) => (),
            LifeAction::StopRun(..) if self.is_variant(LifeVariant::ClosedNotStopped) => {
                self.lose_source();
            }
            LifeAction::EndRun(runner, _) | LifeAction::StopRun(runner, _) => {
                self.stop_run(runner_number(&runner));
            }
            LifeAction::End(end) => self.end(end),
        }
    }

    /// Passes an event on. Another node may repeat some, which are skipped.
    fn deliver(&mut self, event: u8) {
        let is_through_node = self.reading.is_some_and(|reading| reading.is_through_node);
        if is_through_node && event <= self.delivered {
            return;
        }
        if event != self.delivered + 1 {
            self.violate("an event is missing, repeated or out of order");
        }
        self.delivered = event;
    }

    fn begin(&mut self, number: StepNumber, step: LifeStep) {
        let is_dropped = self.drops_step(&step);
        let is_closing = self.closes_source_with(&step);
        let state = if is_dropped { OpState::Lost } else { OpState::Sent };
        let last_event = self.delivered;
        self.ops.push(OpenOp { number, step, state, late: 0, last_event });
        if is_closing {
            self.lose_source();
        }
    }

    /// Asks a runner, unless the variant leaves that out.
    fn ask(&mut self, runner: &RunnerId) {
        let number = runner_number(runner);
        let is_skipped = self.is_variant(LifeVariant::LeavingNotAsked);
        self.questions[number] = !(is_skipped && self.runners[number].leaves_in > 0);
    }

    fn close_reader(&mut self, reader: RunReader) {
        for run in self.runners.iter_mut().filter_map(|runner| runner.run.as_mut()) {
            if run.reader == reader {
                run.reader = RunReader::Closed;
            }
        }
        self.end_closed();
    }

    /// Runners that are reached end the runs whose connections are closed, or as another node orders.
    pub(super) fn end_closed(&mut self) {
        let is_node_up = self.is_node_up;
        for runner in &mut self.runners {
            let (answers_here, answers) = (runner.answers_here(), runner.answers());
            let is_ordered = runner.is_end_ordered && is_node_up && answers;
            let Some(run) = runner.run else { continue };
            let is_noticed = if run.is_through_node { answers } else { answers_here };
            let is_closed = run.reader == RunReader::Closed;
            if is_ordered || is_closed && is_noticed {
                runner.run = None;
                // Memory of a run that nobody reads is released.
                runner.has_memory |= is_ordered && !is_closed;
            }
            runner.is_end_ordered &= !is_ordered;
        }
    }

    /// A source that is closed without a switch is given up before another place is certain.
    pub(super) fn close_source(&mut self, is_switch: bool) {
        let Some(reading) = self.reading.take() else { return };
        let runner = &mut self.runners[reading.runner];
        if !is_switch && runner.run.is_some_and(|run| !run.is_hung) {
            runner.lost = LostRun::GivenUp;
        }
        self.close_reader(reading.reader);
    }

    /// Reads the run that the step has started. Memory that was left elsewhere is released.
    fn switch(&mut self, number: StepNumber) {
        self.held.clear();
        self.close_source(true);
        let reader = RunReader::Step(number);
        for (at, runner) in self.runners.iter_mut().enumerate() {
            let Some(run) = runner.run.filter(|run| run.reader == reader) else { continue };
            let is_through_node = run.is_through_node;
            let read = self.delivered.min(run.made);
            self.reading = Some(WorldReading { runner: at, reader, read, is_through_node });
        }
        for runner in &mut self.runners {
            runner.has_memory = false;
            runner.lost = LostRun::None;
        }
    }

    /// Another node is to stop a run, as soon as the runner answers it.
    fn stop_run(&mut self, number: usize) {
        self.runners[number].is_end_ordered = true;
        self.end_closed();
    }

    fn end(&mut self, end: LifeEnd) {
        let is_whole = self.delivered == LENGTH;
        match end {
            LifeEnd::Streamed if !is_whole => self.violate("a part looks whole"),
            LifeEnd::DeadlinePassed | LifeEnd::NoPlace if self.has_place() => {
                self.violate(LOST_STREAM);
            }
            _ => (),
        }
    }

    /// Whether a place could have given the rest of the stream: a run that works, memory of it, or a run that
    /// this node gave up before another place was certain, at a runner that is up and that this node
    /// or the other one reaches; or a run at a runner that has left, for which there was a place.
    fn has_place(&self) -> bool {
        let is_reached = |runner: &WorldRunner| !runner.is_cut_off || self.is_node_up;
        let is_up = |runner: &WorldRunner| runner.power == RunnerPower::On && is_reached(runner);
        let has_place = |runner: &WorldRunner| is_up(runner) && runner.has_place(self.is_node_up);
        self.runners.iter().any(|runner| runner.lost == LostRun::Missed || has_place(runner))
    }

    /// Whether a run at a runner that is off now could have gone on elsewhere: a node reached the runner,
    /// the other one was up, and no step that is never answered was waited for.
    pub(super) fn is_missed(&self, number: usize) -> bool {
        let runner = &self.runners[number];
        let is_waiting = self.ops.iter().any(|op| op.state == OpState::Lost);
        let is_excused = is_waiting && !self.is_variant(LifeVariant::UnansweredMove);
        // A run that comes through another node is moved by that one, which is not part of this world.
        let is_read = |reading: WorldReading| reading.runner == number && !reading.is_through_node;
        let is_reached =
            |runner: &WorldRunner| runner.answers_here() || self.is_node_up && runner.answers();
        self.reading.is_some_and(is_read)
            && runner.run.is_some()
            && self.runners.iter().all(is_reached)
            && !is_excused
    }
}
