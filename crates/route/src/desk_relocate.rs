//! Moving a running call to another runner.
//!
//! Load pattern: engines are reclaimed at short notice, while long generations run there.

use base::prelude::*;

use crate::{CallId, RouteDesk};

impl RouteDesk {
    /// Chooses another runner for a call that runs, and books the call there. Its memory
    /// is needed there from now on; how it gets there is the caller's matter.
    ///
    /// None if the call does not run or no other runner serves it.
    pub fn relocate(&mut self, now: TimePoint, call: CallId) -> Option<RunnerId> {
        let record = self.calls.get_mut(&call)?;
        let old = record.slot?;
        let old_runner = self.runners[old].runner.clone();
        if !record.call.tried.contains(&old_runner) {
            record.call.tried.push(old_runner);
        }
        let (slot, _) = self
            .choose(now, call, |score| score.open)
            .or_else(|| self.choose(now, call, |_| true))?;
        if slot == old {
            return None;
        }
        let record = self.calls.get_mut(&call)?;
        record.slot = Some(slot);
        let (tokens, forecast) = (record.context(), record.forecast);
        self.runners[old].ended(now, call, tokens);
        self.runners[old].own_forecast -= forecast;
        self.runners[slot].sent(now, call, tokens);
        self.runners[slot].own_forecast += forecast;
        Some(self.runners[slot].runner.clone())
    }
}
