//! What comes from the source.

use base::prelude::*;

use crate::{LifeAction, LifeStep, OfferedPlace, StreamLife};

impl StreamLife {
    /// A source that was ordered to stop the run closes its stream, also before it has answered the order.
    pub(crate) fn lose_source(&mut self, now: TimePoint) {
        self.is_open = false;
        self.lost_at.get_or_insert(now);
    }

    /// Events of a source beside which the next runner is asked, or another place is offered, are held: they may be
    /// read late, and do not show that the source works.
    pub(crate) fn take_events(&mut self, now: TimePoint, actions: &mut Vec<LifeAction>) {
        self.last_heard = now;
        self.source.sighting = None;
        match self.step.as_mut().map(|open| (&open.step, &mut open.has_held)) {
            Some((LifeStep::Send(_), has_held)) => {
                *has_held = true;
                actions.push(LifeAction::Hold);
            }
            Some((LifeStep::Offer(place, ..), has_held)) if *place != OfferedPlace::SourceRun => {
                *has_held = true;
                actions.push(LifeAction::Hold);
            }
            _ => actions.push(LifeAction::Forward),
        }
    }
}
