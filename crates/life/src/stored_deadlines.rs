//! When the state of a stream is to be looked at without an input.

use base::prelude::*;

use crate::StreamLife;
use crate::next_runner::MAX_OVERLAP;
use crate::stopped_run::SILENCE_LIMIT;
use crate::stream_life::{MAX_SILENCE, OpenStep, PLACE_LIMIT, USUAL_ANSWER};
use crate::stream_place::RunnerView;

/// When a step is given up. One without a limit is not waited for longer than a sound runner is silent, since
/// it began or the source was lost.
pub(crate) fn step_due(open: &OpenStep, lost_at: Option<TimePoint>) -> TimePoint {
    let start = lost_at.map_or(open.begun, |lost_at| lost_at.max(open.begun));
    if open.due == TimePoint::NEVER { start + PLACE_LIMIT } else { open.due }
}

impl StreamLife {
    /// The earliest stored deadline after `now`, at which an input was followed. Then the state is to be looked
    /// at with [`LifeInput::Due`].
    #[must_use]
    pub fn due(&self, now: TimePoint) -> TimePoint {
        let step = self.step.as_ref();
        let views = [&self.source, &self.next];
        let asks = views.map(RunnerView::ask_due).into_iter().flatten();
        let sightings = views.into_iter().filter_map(RunnerView::expiry);
        let questions = views.into_iter().filter_map(|view| view.question_due);
        let steps = step.into_iter().map(|open| step_due(open, self.lost_at));
        let late = step.into_iter().map(|open| open.begun + USUAL_ANSWER);
        let waits = step
            .into_iter()
            .flat_map(|open| [open.begun + MAX_OVERLAP, open.begun + SILENCE_LIMIT]);
        let order = self.order_due(now);
        let lost = self.lost_at.into_iter().map(|at| at + PLACE_LIMIT);
        let own = [self.deadline, self.last_heard + MAX_SILENCE, self.retry_at, self.resume_at];
        let runners = asks.chain(sightings).chain(questions);
        let all = own
            .into_iter()
            .chain(runners)
            .chain(steps)
            .chain(late)
            .chain(waits)
            .chain(lost)
            .chain(order);
        all.filter(|due| *due > now).min().unwrap_or(TimePoint::NEVER)
    }
}
