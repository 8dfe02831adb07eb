//! The state of a stream, and what follows from an input.

use base::prelude::*;

use crate::ordered_source::{EarlierOrders, SeenAnswer, SourceHabit};
use crate::stored_deadlines::step_due;
use crate::stream_place::{MemoryTrust, RunnerView};
use crate::{
    LifeAction, LifeEnd, LifeInput, LifeStep, OfferedPlace, SeenPlace, StepNumber, StepOutcome,
};

/// Silence after which a source is asked.
pub(crate) const MAX_SILENCE: TimeSpan = TimeSpan::millis(250);
/// Time of a step after which the next runner is asked.
pub(crate) const USUAL_ANSWER: TimeSpan = TimeSpan::millis(50);
/// Pause before the next try, after a place had no room or was not reached.
pub(crate) const RETRY_PAUSE: TimeSpan = TimeSpan::millis(75);
/// Time in which a runner accepts a connection.
const CONNECT_LIMIT: TimeSpan = TimeSpan::millis(400);
/// Time in which a run is copied or stopped; runs that leave together share the link.
const COPY_LIMIT: TimeSpan = TimeSpan::millis(2_500);
/// Time in which another node takes memory.
const OFFER_LIMIT: TimeSpan = TimeSpan::seconds(1);
/// Time in which another node stops a run and moves it.
const MOVE_LIMIT: TimeSpan = TimeSpan::seconds(4);
/// Time for which a stream without a source waits for a place that answers nobody: a sound runner may be
/// silent for about a second.
pub(crate) const PLACE_LIMIT: TimeSpan = TimeSpan::millis(2_500);

/// Has another node end a run that was left at a runner which answers only that node. One that answers here
/// has noticed the closed connection.
pub(crate) fn end_left_run(view: &mut RunnerView, now: TimePoint, actions: &mut Vec<LifeAction>) {
    let place = view.seen_since(TimePoint::default(), now).cloned();
    match place.filter(|_| view.is_left) {
        Some(SeenPlace::OtherNode(node)) => {
            actions.push(LifeAction::EndRun(view.runner.clone(), node));
            view.is_left = false;
        }
        Some(SeenPlace::Here) => view.is_left = false,
        Some(SeenPlace::Nowhere) | None => (),
    }
}

/// A stream whose first answer has come.
#[derive(Debug, Clone)]
pub struct LifeStart {
    /// The runner that has answered.
    pub source: RunnerId,
    /// The runner to go on at.
    pub next: RunnerId,
    /// Whether that keeps a copy of the run.
    pub has_memory: bool,
    /// When the call ends.
    pub deadline: TimePoint,
}

/// A step that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct OpenStep {
    pub(crate) number: StepNumber,
    pub(crate) step: LifeStep,
    pub(crate) begun: TimePoint,
    /// When it is given up; [`TimePoint::NEVER`] if evidence ends it, or else [`PLACE_LIMIT`].
    pub(crate) due: TimePoint,
    /// Whether events have come from the source since it began.
    pub(crate) has_held: bool,
}

/// A stream between its first answer and its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StreamLife {
    pub(crate) deadline: TimePoint,
    pub(crate) source: RunnerView,
    /// The connection to the source is open.
    pub(crate) is_open: bool,
    /// The node through which the source is read.
    pub(crate) relay: Option<VmId>,
    /// The source has stopped the run as ordered, and keeps its memory.
    pub(crate) is_stopped: bool,
    /// Whether the source has ignored an order.
    pub(crate) habit: SourceHabit,
    /// What the source has answered to the latest order to stop the run.
    pub(crate) order_answer: Option<SeenAnswer>,
    pub(crate) earlier_orders: EarlierOrders,
    /// Events of the run that were read; `None` if its begin was read elsewhere.
    pub(crate) events: Option<u64>,
    /// When events came last.
    pub(crate) last_heard: TimePoint,
    /// Another node was asked to move the run away from its source.
    pub(crate) is_move_asked: bool,
    /// The node that has not answered that in time: it may have stopped the run, and has its memory then.
    pub(crate) mover: Option<VmId>,
    pub(crate) next: RunnerView,
    /// Places to offer, after the one that is offered now.
    pub(crate) offers: Vec<OfferedPlace>,
    pub(crate) step: Option<OpenStep>,
    pub(crate) last_step: StepNumber,
    /// When the next step is tried at the earliest.
    pub(crate) retry_at: TimePoint,
    /// How often the source has refused to go on with a run that it has stopped.
    pub(crate) return_refusals: u8,
    /// When the stream lost its source, or had the run stopped.
    pub(crate) lost_at: Option<TimePoint>,
    /// The earliest deadline after the last input.
    pub(crate) next_due: TimePoint,
    /// Until when inputs that have come while this node stood still go before deadlines.
    pub(crate) resume_at: TimePoint,
    pub(crate) end: Option<LifeEnd>,
}

impl StreamLife {
    /// A stream whose first answer came at `now`.
    #[must_use]
    pub fn new(start: LifeStart, now: TimePoint) -> Self {
        let mut next = RunnerView::new(start.next);
        next.has_memory = start.has_memory;
        let mut life = Self {
            deadline: start.deadline,
            source: RunnerView::new(start.source),
            is_open: true,
            relay: None,
            is_stopped: false,
            habit: SourceHabit::Leaves,
            order_answer: None,
            earlier_orders: EarlierOrders::NotFollowed,
            events: Some(0),
            last_heard: now,
            is_move_asked: false,
            mover: None,
            next,
            offers: Vec::new(),
            step: None,
            last_step: StepNumber::default(),
            retry_at: now,
            return_refusals: 0,
            lost_at: None,
            next_due: TimePoint::NEVER,
            resume_at: now,
            end: None,
        };
        life.next_due = life.due(now);
        life
    }

    /// How the stream has ended; `None` while it lives.
    #[must_use]
    pub fn end(&self) -> Option<LifeEnd> {
        self.end
    }

    /// Time for which the step under way has been waited for.
    #[must_use]
    pub fn wait(&self, now: TimePoint) -> Option<TimeSpan> {
        self.step.as_ref().map(|open| now.since(open.begun))
    }

    /// Time since events came last.
    #[must_use]
    pub fn silence(&self, now: TimePoint) -> TimeSpan {
        now.since(self.last_heard)
    }

    /// Follows an input. After each one, the whole state is looked at.
    pub fn step(&mut self, input: &LifeInput, now: TimePoint) -> Vec<LifeAction> {
        let mut actions = Vec::new();
        if self.end.is_none() {
            self.note_stand(now);
            self.take_input(input, now, &mut actions);
            self.review(now, &mut actions);
            self.next_due = self.due(now);
        }
        actions
    }

    fn take_input(&mut self, input: &LifeInput, now: TimePoint, actions: &mut Vec<LifeAction>) {
        match input {
            LifeInput::Events(total) if self.is_open => {
                self.events = *total;
                self.take_events(now, actions);
            }
            LifeInput::SourceEnded if self.is_open => {
                self.keep_source(actions);
                self.finish(LifeEnd::Streamed, actions);
            }
            LifeInput::SourceLost => self.lose_source(now),
            LifeInput::RunnerLeaves(runner) => {
                for view in self.views(runner) {
                    view.is_leaving = true;
                }
            }
            LifeInput::Asked(runner, place) => {
                for view in self.views(runner) {
                    view.note(place.clone(), now);
                    end_left_run(view, now, actions);
                }
            }
            LifeInput::StepEnded(number, outcome) => {
                if let Some(open) = self.step.take_if(|open| open.number == *number) {
                    self.end_step(open, *outcome, now, actions);
                }
            }
            LifeInput::CallerLeft => self.finish(LifeEnd::CallerLeft, actions),
            LifeInput::Events(_) | LifeInput::SourceEnded | LifeInput::Due => (),
        }
    }

    fn views(&mut self, runner: &RunnerId) -> impl Iterator<Item = &mut RunnerView> {
        let views = [&mut self.source, &mut self.next];
        views.into_iter().filter(move |view| view.runner == *runner)
    }

    /// Looks at the whole state: deadlines, questions, the step under way, and the next one.
    fn review(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        if self.end.is_some() {
            return;
        }
        if now >= self.deadline {
            self.finish(LifeEnd::DeadlinePassed, actions);
            return;
        }
        if now < self.resume_at {
            return;
        }
        self.ask_places(now, actions);
        if self.step.is_some() {
            self.review_step(now, actions);
        }
        if self.step.is_none() && self.end.is_none() {
            self.choose_step(now, actions);
        }
        if self.end.is_none() {
            // What a closed step has left is to be asked about at once.
            self.ask_places(now, actions);
        }
    }

    /// Asks the runners of the places as soon as something is not as usual.
    fn ask_places(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        let is_late = self.step.as_ref().is_some_and(|open| now.since(open.begun) >= USUAL_ANSWER);
        let is_needed = self.is_silent(now) || !self.is_open || is_late;
        for view in [&mut self.source, &mut self.next] {
            view.end_question(now);
            if (is_needed || view.is_left) && view.ask_due().is_some_and(|due| now >= due) {
                view.begin_question(now);
                actions.push(LifeAction::Ask(view.runner.clone()));
            }
        }
    }

    /// Whether nothing has come from a source that is read for some time.
    pub(crate) fn is_silent(&self, now: TimePoint) -> bool {
        self.is_open && self.relay.is_none() && now.since(self.last_heard) >= MAX_SILENCE
    }

    fn review_step(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        let Some(open) = self.step.clone() else { return };
        match &open.step {
            LifeStep::Send(_) if !self.is_stopped => self.review_send(&open, now, actions),
            LifeStep::Copy(_) | LifeStep::Order if self.is_source_elsewhere(now) => {
                self.leave_cut_off_source(&open, now, actions);
            }
            LifeStep::Offer(place, ..) if *place != OfferedPlace::SourceRun => {
                self.review_offer(&open, now, actions);
            }
            LifeStep::Order => self.review_order(now, actions),
            LifeStep::Send(_) | LifeStep::Return => self.review_head(&open, now, actions),
            _ => (),
        }
        let lost_at = self.lost_at;
        let overdue = self.step.take_if(|open| now >= step_due(open, lost_at));
        if let Some(open) = overdue {
            self.close_open(&open, actions);
            self.end_late_step(open, now, actions);
        }
    }

    /// An order without an answer may have been followed. A runner that has not answered keeps its place:
    /// only a refusal shows that it has nothing of the run.
    fn end_late_step(&mut self, open: OpenStep, now: TimePoint, actions: &mut Vec<LifeAction>) {
        // A place that has not answered in time is asked again, for a time of its own.
        self.lost_at = self.lost_at.map(|_| now);
        match open.step {
            LifeStep::Order => self.end_late_order(open, now, actions),
            LifeStep::Offer(place, _, node) => {
                if place == OfferedPlace::SourceRun {
                    self.ask_mover_again(node);
                }
                actions.push(LifeAction::ForwardHeld);
                self.offer_next(now, actions);
            }
            LifeStep::Send(_) | LifeStep::Return => self.leave_head(&open, now, actions),
            _ => self.end_step(open, StepOutcome::Refused, now, actions),
        }
    }

    fn end_step(
        &mut self,
        open: OpenStep,
        outcome: StepOutcome,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        let is_done = outcome != StepOutcome::Refused;
        match open.step {
            LifeStep::Copy(_) => self.end_copy(is_done, now, actions),
            LifeStep::Connect(_) => self.end_connect(is_done, now, actions),
            LifeStep::Order => self.end_order(open, outcome, now, actions),
            LifeStep::Send(_) => self.end_send(&open, is_done, now, actions),
            LifeStep::Return => self.end_return(&open, is_done, now, actions),
            LifeStep::Offer(place, _, node) => {
                self.end_offer(open.number, (place, node), outcome, now, actions);
            }
        }
    }

    /// Decides where the stream goes on while nothing is under way.
    fn choose_step(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        if now < self.retry_at || self.relay.is_some() && self.is_open {
            return;
        }
        if self.is_stopped || !self.is_open {
            self.go_on_elsewhere(now, actions);
        } else if self.is_silent(now) {
            self.leave_silent_source(now, actions);
        } else if self.source.is_leaving
            && !self.next.is_leaving
            && self.habit == SourceHabit::Leaves
        {
            self.leave_source(now, actions);
        }
    }

    /// Begins a step, with its limit.
    pub(crate) fn begin(&mut self, step: LifeStep, now: TimePoint, actions: &mut Vec<LifeAction>) {
        let limit = match &step {
            LifeStep::Copy(_) | LifeStep::Order => Some(COPY_LIMIT),
            LifeStep::Connect(_) => Some(CONNECT_LIMIT),
            LifeStep::Send(_) | LifeStep::Return => None,
            LifeStep::Offer(OfferedPlace::NextMemory, ..) => Some(OFFER_LIMIT),
            LifeStep::Offer(..) => Some(MOVE_LIMIT),
        };
        let due = limit.map_or(TimePoint::NEVER, |limit| now + limit);
        self.order_answer = None;
        self.last_step.0 += 1;
        let number = self.last_step;
        actions.push(LifeAction::Begin(number, step.clone()));
        self.step = Some(OpenStep { number, step, begun: now, due, has_held: false });
    }

    /// Closes the step under way, if there is one. Its runner may have taken the run.
    pub(crate) fn close_step(&mut self, actions: &mut Vec<LifeAction>) {
        if let Some(open) = self.step.take() {
            self.close_open(&open, actions);
        }
    }

    fn close_open(&mut self, open: &OpenStep, actions: &mut Vec<LifeAction>) {
        actions.push(LifeAction::CloseStep(open.number));
        match open.step {
            LifeStep::Send(_) => {
                self.next.leave_run();
                self.next.trust = MemoryTrust::Doubtful;
            }
            LifeStep::Return => {
                self.source.leave_run();
                self.source.trust = MemoryTrust::Doubtful;
            }
            _ => (),
        }
    }

    /// Goes on with the source alone.
    pub(crate) fn keep_source(&mut self, actions: &mut Vec<LifeAction>) {
        self.close_step(actions);
        actions.push(LifeAction::ForwardHeld);
    }

    /// Closes the source.
    pub(crate) fn close_source(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        if self.is_open {
            self.is_open = false;
            if !self.is_stopped {
                self.source.leave_run();
            }
            self.lost_at = Some(now);
            actions.push(LifeAction::CloseSource);
        }
    }

    pub(crate) fn finish(&mut self, end: LifeEnd, actions: &mut Vec<LifeAction>) {
        self.close_step(actions);
        self.end = Some(end);
        actions.push(LifeAction::End(end));
    }
}
