//! A source that was ordered to stop its run: what it has answered, and whether it has stopped.
//!
//! Load pattern: this node is behind, and reads what the source wrote before it stopped after its answer to
//! the order. [`decide_stop`] tells that apart from a source that goes on.

use base::prelude::*;
use serving::{BodyState, OrderAnswer, StopDecision, StopFacts, decide_stop, stop_due};

use crate::stream_life::{OpenStep, PLACE_LIMIT, RETRY_PAUSE};
use crate::stream_place::MemoryTrust;
use crate::{LifeAction, LifeEnd, LifeStep, SeenPlace, StepOutcome, StreamLife};

/// What a source does with a run that it was ordered to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum SourceHabit {
    /// It stops the run, as far as is known.
    Leaves,
    /// It has confirmed the stop and gone on: it is not left while it is read.
    Stays,
}

/// The answer to an order, and when it came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct SeenAnswer {
    pub(crate) answer: OrderAnswer,
    pub(crate) at: TimePoint,
}

/// What is known of earlier orders to the source to stop its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum EarlierOrders {
    /// There were none, or they were refused.
    NotFollowed,
    /// One may have been followed: nothing shows what became of it.
    MaybeFollowed,
}

impl StreamLife {
    /// Records an answer. The order stays under way until it is certain whether the run has stopped.
    pub(crate) fn note_answer(&mut self, open: OpenStep, answer: OrderAnswer, now: TimePoint) {
        self.order_answer = Some(SeenAnswer { answer, at: now });
        self.step = Some(OpenStep { due: now + PLACE_LIMIT, ..open });
    }

    /// An order that was not answered as one has not been followed.
    pub(crate) fn end_order(
        &mut self,
        open: OpenStep,
        outcome: StepOutcome,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        let answer = match outcome {
            StepOutcome::Ordered(answer) => answer,
            _ => OrderAnswer::Refused,
        };
        self.note_answer(open, answer, now);
        self.review_order(now, actions);
    }

    /// Sends an order again that a source which answers has not answered in time. One that answers nobody may have
    /// followed it.
    pub(crate) fn end_late_order(
        &mut self,
        open: OpenStep,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        if self.source.seen_since(open.begun, now) == Some(&SeenPlace::Here) {
            self.note_answer(open, OrderAnswer::Unknown, now);
            self.review_order(now, actions);
        } else {
            self.source.has_memory = true;
            self.source.trust = MemoryTrust::Doubtful;
            self.send_next(now, actions);
        }
    }

    /// Records that the source has stopped the run, whose memory it keeps.
    pub(crate) fn note_stop(&mut self, now: TimePoint) {
        self.is_stopped = true;
        self.source.has_memory = true;
        let is_certain = self.is_stop_confirmed();
        self.source.trust = if is_certain { MemoryTrust::Certain } else { MemoryTrust::Doubtful };
        self.lost_at = Some(now);
    }

    /// Decides what becomes of a source that was ordered to stop the run.
    pub(crate) fn review_order(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        match decide_stop(&self.stop_facts(now), now) {
            StopDecision::Wait => (),
            StopDecision::OrderAgain => {
                let answer = self.order_answer.map(|seen| seen.answer);
                if answer == Some(OrderAnswer::Unknown) {
                    self.earlier_orders = EarlierOrders::MaybeFollowed;
                }
                self.close_step(actions);
                self.begin(LifeStep::Order, now, actions);
            }
            StopDecision::TakeNext => {
                self.close_step(actions);
                self.note_stop(now);
                self.close_source(now, actions);
                self.send_next(now, actions);
            }
            StopDecision::Finish => self.finish(LifeEnd::Streamed, actions),
            StopDecision::GoesOn => {
                self.habit = SourceHabit::Stays;
                self.keep_source(actions);
            }
            StopDecision::NoRoom | StopDecision::Keep => {
                self.keep_source(actions);
                self.retry_at = now + RETRY_PAUSE;
            }
        }
    }

    fn stop_facts(&self, now: TimePoint) -> StopFacts {
        let seen = self.order_answer;
        StopFacts {
            answer: seen.map(|seen| seen.answer),
            may_have_stopped: self.earlier_orders == EarlierOrders::MaybeFollowed,
            answered_at: seen.map_or(now, |seen| seen.at),
            last_event_at: self.last_heard,
            events: self.events,
            body: if self.is_open { BodyState::Open } else { BodyState::Broken },
            is_gone: false,
            is_answer_late: false,
        }
    }

    /// When an order is looked at again without an input.
    pub(crate) fn order_due(&self, now: TimePoint) -> Option<TimePoint> {
        self.order_answer.and_then(|_| stop_due(&self.stop_facts(now)))
    }

    /// Whether the source has confirmed that it has stopped the run.
    pub(crate) fn is_stop_confirmed(&self) -> bool {
        self.order_answer.is_some_and(|seen| matches!(seen.answer, OrderAnswer::Stopped(_)))
    }
}
