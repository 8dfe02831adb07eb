//! The next runner: connected to, and asked to go on while the source is read.

use base::prelude::*;
use serving::{
    OverlapRule, PlaceFacts, SourceRun, SourceState, WaitDecision, WaitFacts, decide_wait,
    list_node_places,
};

use crate::ordered_source::{EarlierOrders, SourceHabit};
use crate::stream_life::{OpenStep, RETRY_PAUSE, end_left_run};
use crate::stream_place::MemoryTrust;
use crate::{LifeAction, LifeStep, SeenPlace, StepNumber, StreamLife};

/// Time that another runner has to take over a run from one that works on it.
pub(crate) const MAX_OVERLAP: TimeSpan = TimeSpan::millis(250);

impl StreamLife {
    /// Has the source stop the run once the next runner is connected to, unless the source answers this node no
    /// more.
    pub(crate) fn end_connect(
        &mut self,
        is_done: bool,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        if !is_done {
            self.retry_at = now + RETRY_PAUSE;
        } else if self.is_open && !self.is_stopped && !self.is_source_lost(now) {
            self.begin(LifeStep::Order, now, actions);
        } else {
            self.send_next(now, actions);
        }
    }

    /// Asks the next runner to go on.
    pub(crate) fn send_next(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        let next = self.next.runner.clone();
        self.begin(LifeStep::Send(next), now, actions);
    }

    /// Decides what becomes of the source and the next runner while that does not answer.
    pub(crate) fn review_send(
        &mut self,
        open: &OpenStep,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        let source_answered = self.source.seen_since(self.last_heard, now);
        let works_here = open.has_held && source_answered == Some(&SeenPlace::Here);
        let source = match (self.is_open, works_here) {
            (false, _) => SourceState::Ended,
            (true, false) => SourceState::Silent,
            (true, true) => SourceState::Active,
        };
        let facts = WaitFacts {
            source,
            rule: OverlapRule::LeaveSilentSource,
            is_overlap_over: now.since(open.begun) >= MAX_OVERLAP,
            answered: self.next.seen_since(open.begun, now).map(Into::into),
            source_answered: source_answered.map(Into::into),
        };
        match decide_wait(&facts) {
            WaitDecision::Wait => (),
            WaitDecision::LeaveSource if self.is_stopped => (),
            WaitDecision::LeaveSource => self.stop_source(now, actions),
            WaitDecision::LeaveNext => self.leave_next(actions),
            WaitDecision::MoveSource => {
                self.keep_source(actions);
                self.move_from_source(now, actions);
            }
            WaitDecision::LeaveThisNode => {
                self.keep_source(actions);
                // It is stopped through the other node.
                self.next.is_left = false;
                self.list_offers();
                self.offer_next(now, actions);
            }
        }
    }

    /// Goes on with the source alone. The memory at the next runner may be used already.
    pub(crate) fn leave_next(&mut self, actions: &mut Vec<LifeAction>) {
        self.next.has_memory = false;
        self.keep_source(actions);
    }

    /// Ends the work of a silent source beside the next runner without giving it up. One that answers another
    /// node is stopped by that one and keeps the memory; one that answers here goes on alone; one that
    /// answers nobody does not work as far as is known.
    pub(crate) fn stop_source(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        match self.source.seen_since(self.last_heard, now).cloned() {
            Some(SeenPlace::OtherNode(node)) => {
                actions.push(LifeAction::StopRun(self.source.runner.clone(), node));
                self.note_stop(now);
            }
            Some(SeenPlace::Here) => self.leave_next(actions),
            Some(SeenPlace::Nowhere) | None => (),
        }
    }

    /// Lists the places that are left of a run whose next runner is cut off from this node.
    pub(crate) fn list_offers(&mut self) {
        let source = if self.is_move_asked { SourceRun::NotMoved } else { SourceRun::MayRun };
        let facts = PlaceFacts { next_may_run: true, has_memory: self.next.has_memory, source };
        self.offers = list_node_places(facts).into_iter().map(Into::into).collect();
    }

    /// Reads the next runner from now on, or goes on without it: memory is used once.
    pub(crate) fn end_send(
        &mut self,
        open: &OpenStep,
        is_done: bool,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        if is_done {
            self.close_source(now, actions);
            self.source.is_left &= !self.is_stopped;
            self.change_source(open.number, now, actions);
            return;
        }
        self.next.has_memory = false;
        self.retry_at = now + RETRY_PAUSE;
        actions.push(LifeAction::ForwardHeld);
    }

    /// Makes the next runner the source, read through the answer to a step. A run that is left at the old one
    /// is ended.
    pub(crate) fn change_source(
        &mut self,
        number: StepNumber,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        actions.push(LifeAction::Switch(number));
        end_left_run(&mut self.source, now, actions);
        self.source.sighting = None;
        std::mem::swap(&mut self.source, &mut self.next);
        self.reset_source(now);
    }

    /// Forgets what was found out about the old source.
    pub(crate) fn reset_source(&mut self, now: TimePoint) {
        self.is_open = true;
        self.source.is_left = false;
        self.is_stopped = false;
        self.habit = SourceHabit::Leaves;
        self.order_answer = None;
        self.earlier_orders = EarlierOrders::NotFollowed;
        self.is_move_asked = false;
        self.mover = None;
        self.next.has_memory = false;
        self.next.trust = MemoryTrust::Certain;
        self.last_heard = now;
        self.source.has_memory = false;
        self.source.trust = MemoryTrust::Certain;
        self.return_refusals = 0;
        self.lost_at = None;
        self.retry_at = now;
        self.offers.clear();
    }
}
