//! A source that leaves: its run is copied, stopped as ordered, and goes on at the next runner or returns.

use base::prelude::*;

use crate::stream_life::{OpenStep, RETRY_PAUSE};
use crate::stream_place::MemoryTrust;
use crate::{LifeAction, LifeStep, StreamLife};

/// Time for which a run stays at a source that it has returned to.
const RETURN_STAY: TimeSpan = TimeSpan::millis(200);
/// Number of times that a source is asked to go on with the run that it has stopped.
const MAX_RETURNS: u8 = 3;

impl StreamLife {
    /// Goes to the next runner, which gets the memory first if it has none.
    pub(crate) fn leave_source(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        let next = self.next.runner.clone();
        let step =
            if self.next.has_memory { LifeStep::Connect(next) } else { LifeStep::Copy(next) };
        self.begin(step, now, actions);
    }

    pub(crate) fn end_copy(
        &mut self,
        is_done: bool,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        if !is_done {
            self.retry_at = now + RETRY_PAUSE;
            return;
        }
        self.next.has_memory = true;
        self.next.trust = MemoryTrust::Certain;
        let next = self.next.runner.clone();
        self.begin(LifeStep::Connect(next), now, actions);
    }

    /// A source that answers only another node while it copies or stops the run is not waited for.
    pub(crate) fn leave_cut_off_source(
        &mut self,
        open: &OpenStep,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        self.close_step(actions);
        if open.step == LifeStep::Order {
            // The source may have followed it.
            if self.is_stop_confirmed() {
                self.note_stop(now);
                self.close_source(now, actions);
            }
            self.source.has_memory = true;
            self.send_next(now, actions);
        } else {
            self.move_from_source(now, actions);
        }
    }

    pub(crate) fn end_return(
        &mut self,
        open: &OpenStep,
        is_done: bool,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        if !is_done {
            // The source may have no room for a moment.
            self.return_refusals += 1;
            self.source.has_memory = self.return_refusals < MAX_RETURNS;
            self.retry_at = now + RETRY_PAUSE;
            return;
        }
        actions.push(LifeAction::Switch(open.number));
        self.reset_source(now);
        self.retry_at = now + RETURN_STAY;
    }
}
