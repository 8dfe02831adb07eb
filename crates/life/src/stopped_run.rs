//! A stopped run whose memory one of its places is asked to go on from.
//!
//! Load pattern: the first answer of a runner is read late at a node that is behind. Closing the connection uses
//! the memory up, so that the only place that is known to answer is not given up early.

use base::prelude::*;

use crate::stream_life::{OpenStep, RETRY_PAUSE};
use crate::{LifeAction, LifeStep, SeenPlace, StreamLife};

/// Time in which a place answers that this node does not reach, while another one is certain: a sound runner may be
/// silent for about a second.
pub(crate) const SILENCE_LIMIT: TimeSpan = TimeSpan::millis(1_200);

impl StreamLife {
    /// Gives up a place that this node does not reach, for another one that is certain. The answer of one that is
    /// reached is late.
    pub(crate) fn review_head(
        &mut self,
        open: &OpenStep,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        let is_return = open.step == LifeStep::Return;
        let (asked, other) =
            if is_return { (&self.source, &self.next) } else { (&self.next, &self.source) };
        let answered = asked.seen_since(open.begun, now);
        let is_silent = answered.is_some_and(|place| *place != SeenPlace::Here);
        let is_over = now.since(open.begun) >= SILENCE_LIMIT;
        if is_over && is_silent && other.is_sure_place(open.begun, now) {
            self.close_step(actions);
            self.retry_at = now + RETRY_PAUSE;
        }
    }

    /// Goes on after a place that has not answered at all. The next runner may have taken the run: a node that reaches
    /// it is offered that.
    pub(crate) fn leave_head(
        &mut self,
        open: &OpenStep,
        now: TimePoint,
        actions: &mut Vec<LifeAction>,
    ) {
        let answered = self.next.seen_since(open.begun, now);
        let is_elsewhere = matches!(answered, Some(SeenPlace::OtherNode(_)));
        if is_elsewhere && open.step != LifeStep::Return {
            self.list_offers();
            self.offer_next(now, actions);
        } else {
            self.retry_at = now + RETRY_PAUSE;
        }
    }
}
