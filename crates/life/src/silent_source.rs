//! A source that is silent: whether it is cut off from this node, and where the stream goes on.
//!
//! Load pattern: a node is cut off from the runners of its streams without a sign on their connections. A
//! runner that answers nobody may only be silent for a moment.

use base::prelude::*;

use crate::stream_life::PLACE_LIMIT;
use crate::{LifeAction, LifeEnd, LifeStep, OfferedPlace, SeenPlace, StreamLife};

impl StreamLife {
    /// Where the source has answered since it fell silent.
    fn source_place(&self, now: TimePoint) -> Option<&SeenPlace> {
        self.source.seen_since(self.last_heard, now)
    }

    /// Where the next runner has answered lately.
    fn next_place(&self, now: TimePoint) -> Option<&SeenPlace> {
        self.next.seen_since(TimePoint::default(), now)
    }

    /// The other node that the source answers since its last event, and not this one.
    pub(crate) fn source_node(&self, now: TimePoint) -> Option<VmId> {
        match self.source_place(now) {
            Some(SeenPlace::OtherNode(node)) => Some(node.clone()),
            _ => None,
        }
    }

    /// Whether the source is silent, and answers only another node.
    pub(crate) fn is_source_elsewhere(&self, now: TimePoint) -> bool {
        self.is_silent(now) && self.source_node(now).is_some()
    }

    /// Whether the source is silent, and does not answer this node.
    pub(crate) fn is_source_lost(&self, now: TimePoint) -> bool {
        let place = self.source_place(now);
        let is_elsewhere = matches!(place, Some(SeenPlace::OtherNode(_) | SeenPlace::Nowhere));
        self.is_silent(now) && is_elsewhere
    }

    /// Leaves a source that does not answer this node for the copy of its run, or has another node move the
    /// run.
    pub(crate) fn leave_silent_source(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        if !self.is_source_lost(now) {
            return;
        }
        let is_next_silent = self.next_place(now) == Some(&SeenPlace::Nowhere);
        if self.next.has_memory && !self.next.is_leaving && !is_next_silent {
            self.resume_memory(now, actions);
        } else {
            self.move_from_source(now, actions);
        }
    }

    /// Goes on from the memory at the next runner, here or through another node.
    fn resume_memory(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        let next = self.next.runner.clone();
        match self.next_place(now).cloned() {
            Some(SeenPlace::Here) => self.begin(LifeStep::Connect(next), now, actions),
            Some(SeenPlace::OtherNode(node)) => {
                self.offer(OfferedPlace::NextMemory, node, now, actions);
            }
            Some(SeenPlace::Nowhere) | None => (),
        }
    }

    /// Has another node stop the run and move it.
    pub(crate) fn move_from_source(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        if let Some(node) = self.source_node(now).filter(|_| !self.is_move_asked) {
            self.offer(OfferedPlace::SourceRun, node, now, actions);
        }
    }

    /// Goes on at the first place that answers, after the source was lost or has stopped the run: here if it
    /// answers here, and through another node otherwise. The stream ends if nothing is left, or if none
    /// of the places answers anybody for long.
    pub(crate) fn go_on_elsewhere(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        let next = self.next_place(now).filter(|_| self.next.has_memory).cloned();
        let source = self.source.seen_since(self.last_heard, now).cloned();
        let memory = source.clone().filter(|_| self.source.has_memory);
        let run = source.filter(|_| self.source.is_left || self.source.has_memory);
        let lost_at = *self.lost_at.get_or_insert(now);
        let is_over = now.since(lost_at) >= PLACE_LIMIT;
        let is_left = self.next.has_memory || self.source.has_memory || self.source.is_left;
        let mover = self.mover.clone().filter(|_| !is_over);
        match (next, memory, run, mover) {
            (Some(SeenPlace::Here), ..) => {
                let next = self.next.runner.clone();
                self.begin(LifeStep::Connect(next), now, actions);
            }
            (Some(SeenPlace::OtherNode(node)), ..) if self.source.is_leaving => {
                self.offer(OfferedPlace::NextMemory, node, now, actions);
            }
            (_, Some(SeenPlace::Here), ..) => self.begin(LifeStep::Return, now, actions),
            (Some(SeenPlace::OtherNode(node)), ..) => {
                self.offer(OfferedPlace::NextMemory, node, now, actions);
            }
            (_, _, Some(SeenPlace::OtherNode(_)), _) if !self.is_move_asked => {
                self.move_from_source(now, actions);
            }
            (.., Some(node)) => {
                self.offer(OfferedPlace::SourceRun, node, now, actions);
            }
            _ if is_over || !is_left => self.finish(LifeEnd::NoPlace, actions),
            _ => (),
        }
    }
}
