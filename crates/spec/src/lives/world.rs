//! Runners, another node, a caller, and the stream between them.

use base::prelude::*;
use life::{
    LifeAction, LifeEnd, LifeInput, LifeStart, LifeStep, SeenPlace, StepNumber, StreamLife,
};

use super::LifeVariant;
use super::faults::LifeFaults;
use super::runner::{LostRun, OrderHabit, RunReader, RunStage, RunnerPower, WorldRun, WorldRunner};
use super::wire::WireItem;

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
pub(super) enum OpState {
    Sent,
    Lost,
    Refused,
    Unanswered,
    /// Followed; the answer is on its way.
    Followed,
    /// The other node is to order the run, and gets no answer in time.
    OrderLate,
    /// It has ordered the run, and says so.
    Ordered,
    /// Not sent yet.
    Delayed,
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
    /// The last event that the source has written.
    pub(super) read: u8,
    pub(super) is_through_node: bool,
    /// The source has written its end.
    pub(super) is_over: bool,
}

impl WorldReading {
    fn new(runner: usize, reader: RunReader, read: u8, is_through_node: bool) -> Self {
        Self { runner, reader, read, is_through_node, is_over: false }
    }
}

#[derive(Debug, Clone, Hash)]
pub(super) struct LifeWorld {
    variant: LifeVariant,
    pub(super) life: StreamLife,
    pub(super) tick: u8,
    pub(super) left: LifeFaults,
    pub(super) runners: [WorldRunner; 2],
    pub(super) is_node_up: bool,
    pub(super) stage: RunStage,
    /// A move from a source was asked for.
    pub(super) is_move_asked: bool,
    pub(super) reading: Option<WorldReading>,
    /// What is on its way from the source.
    pub(super) wire: Vec<WireItem>,
    /// Steps by which data is read later than answers.
    pub(super) behind: u8,
    /// Steps for which this node still stands, up to the one in which it goes on.
    pub(super) stands: u8,
    /// The notice of a leave that has come meanwhile.
    pub(super) is_notice_waiting: bool,
    /// Orders to stop that were confirmed.
    pub(super) confirmed_stops: u8,
    /// When the latest one was, until the stream has switched.
    pub(super) confirmed_at: Option<u8>,
    /// Answers to questions that have come meanwhile.
    pub(super) answers: [Option<SeenPlace>; 2],
    pub(super) ops: Vec<OpenOp>,
    pub(super) questions: [bool; 2],
    pub(super) delivered: u8,
    pub(super) held: Vec<u8>,
    /// Steps for which two runners have worked on the run.
    pub(super) overlap: u8,
    pub(super) violation: Option<&'static str>,
}

/// Name of a runner.
pub(super) fn runner_id(number: usize) -> RunnerId {
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
        let first = left.first_event;
        let run = WorldRun { made: first, reader, is_through_node: false, is_hung: false };
        let is_ignoring = matches!(variant, LifeVariant::Ignoring | LifeVariant::IgnoringFarBehind);
        let habit = if is_ignoring { OrderHabit::Ignores } else { OrderHabit::Follows };
        let source = WorldRunner { run: Some(run), habit, ..WorldRunner::new() };
        let next = WorldRunner { has_memory: has_copy, ..WorldRunner::new() };
        Self {
            variant,
            life: StreamLife::new(start, now),
            tick: 0,
            left,
            runners: [source, next],
            is_node_up: true,
            stage: RunStage::Working,
            is_move_asked: false,
            reading: Some(WorldReading::new(0, reader, first, false)),
            wire: Vec::new(),
            behind: 0,
            stands: 0,
            is_notice_waiting: false,
            confirmed_stops: 0,
            confirmed_at: None,
            answers: [None, None],
            ops: Vec::new(),
            questions: [false; 2],
            delivered: first,
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
        if self.stands > 0 {
            self.is_notice_waiting = true;
            return;
        }
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
            LifeAction::CloseStep(number) => self.close_step(number),
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
        let state = if self.refuses_step(&step) {
            OpState::Refused
        } else if is_dropped {
            OpState::Lost
        } else {
            OpState::Sent
        };
        let last_event = self.delivered;
        let (state, late) = self.delayed(&step).map_or((state, 0), |late| (OpState::Delayed, late));
        self.ops.push(OpenOp { number, step, state, late, last_event });
        if is_closing {
            self.lose_source();
        }
    }

    /// Asks a runner, unless the variant leaves that out.
    fn ask(&mut self, runner: &RunnerId) {
        let number = runner_number(runner);
        let is_skipped = self.is_variant(LifeVariant::LeavingNotAsked);
        self.answers[number] = None;
        self.questions[number] = !(is_skipped && self.runners[number].leaves_in > 0);
    }

    /// Closes a step. If its run was the only place, that is given up before another one is certain.
    pub(super) fn close_step(&mut self, number: StepNumber) {
        self.ops.retain(|op| op.number != number);
        let reader = RunReader::Step(number);
        let is_node_up = self.is_node_up;
        let is_run = |runner: &WorldRunner| {
            runner.run.is_some_and(|run| run.reader == reader && !run.is_hung)
        };
        for at in 0..self.runners.len() {
            let other = &self.runners[1 - at];
            let is_only = other.power == RunnerPower::Off || !other.has_place(is_node_up);
            if is_only && is_run(&self.runners[at]) {
                self.runners[at].lost = LostRun::GivenUp;
            }
        }
        self.close_reader(reader);
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
        for runner in self.runners.iter_mut().filter(|runner| runner.habit == OrderHabit::Follows) {
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
        let carries_end = self.carries_end();
        self.wire.clear();
        let runner = &mut self.runners[reading.runner];
        if !is_switch && (carries_end || runner.run.is_some_and(|run| !run.is_hung)) {
            runner.lost = LostRun::GivenUp;
        }
        self.close_reader(reading.reader);
    }

    /// Reads the run that the step has started. Memory that was left elsewhere is released.
    fn switch(&mut self, number: StepNumber) {
        self.held.clear();
        self.close_source(true);
        self.wire.clear();
        let reader = RunReader::Step(number);
        for (at, runner) in self.runners.iter_mut().enumerate() {
            let Some(run) = runner.run.filter(|run| run.reader == reader) else { continue };
            let is_through_node = run.is_through_node;
            let read = self.delivered.min(run.made);
            self.reading = Some(WorldReading::new(at, reader, read, is_through_node));
        }
        self.confirmed_at = None;
        let at = self.reading.map_or(0, |reading| reading.runner);
        let is_at_leaving = self.runners[at].leaves_in > 0;
        for runner in &mut self.runners {
            runner.has_memory = false;
            // A run that returns to a runner that leaves is not saved by that.
            if runner.lost != LostRun::Missed || !is_at_leaving {
                runner.lost = LostRun::None;
            }
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
}
