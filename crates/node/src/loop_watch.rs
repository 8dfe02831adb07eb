//! Observes for how long single polls hold the event loop, during which the node answers nothing.

use std::rc::Rc;

use base::prelude::*;

use crate::context::NodeContext;

/// Interval of which the longest poll is observed.
const WATCH_PERIOD: TimeSpan = TimeSpan::seconds(1);
/// Polls that take longer than this are logged.
const HOLD_LIMIT: TimeSpan = TimeSpan::millis(50);

/// Observes the longest poll of each [`WATCH_PERIOD`], until the process ends.
pub async fn watch_loop(context: Rc<NodeContext>) {
    loop {
        kernel::sleep(WATCH_PERIOD.into()).await;
        let Some(hold) = kernel::take_longest_hold() else { continue };
        context.metrics.loop_holds.observe(hold.span.as_seconds());
        if hold.span > HOLD_LIMIT {
            let (held_ms, step) = (hold.span.as_millis(), hold.step);
            tracing::warn!(event = "loop_held", held_ms, task = %hold.task, step);
        }
    }
}
