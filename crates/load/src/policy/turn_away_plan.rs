//! Which runners turn calls away, and until when.

use base::prelude::*;

/// Runners are divided into this many groups, of which one turns calls away at a time.
const GROUPS: u64 = 3;
/// Time for which a group turns calls away.
const TURN_PERIOD: TimeSpan = TimeSpan::seconds(3);

/// Load pattern: busy runners that turn calls away, one group after the other.
#[derive(Debug, Clone, Copy)]
pub struct TurnAwayPlan {
    /// Begin and end of the pattern.
    pub window: (TimePoint, TimePoint),
}

impl TurnAwayPlan {
    /// Time before which the runner accepts no calls; `None` if it accepts them.
    #[must_use]
    pub fn end(&self, now: TimePoint, runner: usize) -> Option<TimePoint> {
        let (first, last) = self.window;
        if now < first || last <= now {
            return None;
        }
        let turn = now.since(first).0 / TURN_PERIOD.0;
        let end = first + TimeSpan(TURN_PERIOD.0 * (turn + 1));
        (runner as u64 % GROUPS == turn % GROUPS).then_some(end.min(last))
    }
}
