//! Places of a run that are offered to another node, which reaches their runner.

use base::prelude::*;

use crate::next_runner::MAX_OVERLAP;
use crate::stream_life::{OpenStep, RETRY_PAUSE};
use crate::stream_place::MemoryTrust;
use crate::{LifeAction, LifeStep, OfferedPlace, SeenPlace, StepNumber, StepOutcome, StreamLife};

impl StreamLife {
    /// Offers one place.
    pub(crate) fn offer(
        &mut self,
        place: OfferedPlace,
        node: VmId,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        let is_source = place == OfferedPlace::SourceRun;
        self.is_move_asked |= is_source;
        let view = if is_source { &self.source } else { &self.next };
        let step = LifeStep::Offer(place, view.runner.clone(), node);
        self.begin(step, now, actions);
    }

    /// Goes on with a source that has answered this node after its last event. Has one that answers only another node stopped, if the node that was offered another place has not
    /// answered in time: it may have taken that.
    pub(crate) fn review_offer(
        &mut self,
        open: &OpenStep,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        let is_over = now.since(open.begun) >= MAX_OVERLAP;
        let answered = self.source.seen_since(open.begun, now);
        let works_here = self.is_open && !self.is_stopped && answered == Some(&SeenPlace::Here);
        if works_here && (open.has_held || is_over) {
            self.offers.clear();
            self.leave_next(actions);
            return;
        }
        if is_over && !self.is_stopped && self.source_node(now).is_some() {
            self.stop_source(now, actions);
        }
    }

    /// Offers the next place on the list whose runner answers another node.
    pub(crate) fn offer_next(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        while !self.offers.is_empty() {
            let place = self.offers.remove(0);
            let view = if place == OfferedPlace::SourceRun { &self.source } else { &self.next };
            let seen = view.seen_since(TimePoint::default(), now).cloned();
            if let Some(SeenPlace::OtherNode(node)) = seen {
                self.offer(place, node, now, actions);
                return;
            }
        }
        self.retry_at = now + RETRY_PAUSE;
    }

    /// Has the node asked again that may have stopped the run. The memory is at the source then, which goes on from it
    /// if the node is lost meanwhile.
    pub(crate) fn ask_mover_again(&mut self, node: VmId) {
        self.is_move_asked = false;
        self.mover = Some(node);
        self.source.has_memory = true;
        self.source.trust = MemoryTrust::Doubtful;
    }

    /// Reads the other node from now on, or offers the next place. Memory is used once.
    pub(crate) fn end_offer(
        &mut self,
        number: StepNumber,
        (place, node): (OfferedPlace, VmId),
        outcome: StepOutcome,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        if matches!(outcome, StepOutcome::Ordered(_)) {
            self.ask_mover_again(node);
            actions.push(LifeAction::ForwardHeld);
            self.offer_next(now, actions);
            return;
        }
        if outcome == StepOutcome::Refused {
            actions.push(LifeAction::ForwardHeld);
            self.next.has_memory &= place != OfferedPlace::NextMemory;
            self.is_move_asked &= place != OfferedPlace::SourceRun;
            self.offer_next(now, actions);
            return;
        }
        self.close_source(now, actions);
        let is_moved = place == OfferedPlace::SourceRun || self.is_stopped;
        self.source.is_left &= !is_moved;
        if outcome == StepOutcome::Returned {
            // It goes on at the runner that it was taken from.
            std::mem::swap(&mut self.source, &mut self.next);
        }
        self.change_source(number, now, actions);
        self.relay = Some(node);
    }
}
