//! Observes for how long single polls hold the event loop, during which the node answers nothing, and how late
//! its timers fire.

use std::rc::Rc;

use base::prelude::*;

use crate::context::NodeContext;

/// Interval of which the longest poll is observed.
const WATCH_PERIOD: TimeSpan = TimeSpan::seconds(1);
/// Polls that take longer than this are logged.
const HOLD_LIMIT: TimeSpan = TimeSpan::millis(50);
/// Time after which a timer fires whose lag is observed.
const LAG_PERIOD: TimeSpan = TimeSpan::millis(50);
/// Lags above this are logged.
const LAG_LIMIT: TimeSpan = TimeSpan::millis(100);

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

/// Observes how late timers fire, until the process ends. A second with a lag above [`LAG_LIMIT`] is logged.
pub async fn watch_lag(context: Rc<NodeContext>) {
    let mut second = LagSecond::begin(context.now());
    loop {
        let due = context.now() + LAG_PERIOD;
        kernel::sleep(LAG_PERIOD.into()).await;
        let now = context.now();
        let lag = now.since(due);
        context.metrics.loop_lags.observe(lag.as_seconds());
        second.largest = second.largest.max(lag);
        if now < second.ends_at {
            continue;
        }
        if second.largest > LAG_LIMIT {
            tracing::warn!(event = "node_behind", lag_ms = second.largest.as_millis());
        }
        second = LagSecond::begin(now);
    }
}

/// The lags of one second.
struct LagSecond {
    ends_at: TimePoint,
    largest: TimeSpan,
}

impl LagSecond {
    fn begin(now: TimePoint) -> Self {
        Self { ends_at: now + WATCH_PERIOD, largest: TimeSpan::default() }
    }
}
