//! Calls whose runners all wait: which are refused, and when their callers may come back.
//!
//! Load pattern: the runners of a service turn calls away and each names a time before which
//! it accepts none.

use base::prelude::*;
use rand::RngExt;

use crate::scheduler::{QueueKey, RouteScheduler};
use crate::{CallId, CallRecord, RouteAction, RunnerView, ServiceView};

/// Returning callers are spread over the wait divided by this.
const SPREAD_DIVISOR: u64 = 4;
/// Minimum time over which returning callers are spread.
const MIN_RETURN_SPREAD: TimeSpan = TimeSpan::millis(200);

impl RouteScheduler {
    /// Returns after how long a caller may come back if every runner that serves `model` waits.
    pub fn wait_retry_after(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> Option<TimeSpan> {
        let wait = self.earliest_wait_end(now, service, model)?.since(now);
        let spread = TimeSpan(wait.0 / SPREAD_DIVISOR).max(MIN_RETURN_SPREAD);
        Some(wait + TimeSpan(self.rng.random_range(0..spread.0)))
    }

    /// Returns when the first of the runners that serve `model` ends its wait; none if one of
    /// them does not wait.
    fn earliest_wait_end(
        &self,
        now: TimePoint,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> Option<TimePoint> {
        let slots = self.services.get(service).map_or(&[][..], |view| view.slots.as_slice());
        let runners = slots.iter().map(|slot| &self.runners[*slot]);
        let serving = runners.filter(|runner| runner.can_serve(model));
        let ends: Option<Vec<TimePoint>> =
            serving.map(|runner: &RunnerView| runner.ramp.wait_end(now)).collect();
        ends?.into_iter().min()
    }

    /// Returns whether every runner of the call waits, and none ends its wait early enough for
    /// the call's first token.
    pub(crate) fn waits_too_long(&self, now: TimePoint, record: &CallRecord) -> bool {
        let call = &record.call;
        let end = self.earliest_wait_end(now, &call.service, call.model.as_ref());
        let view = self.services.get(&call.service);
        let latency = view.map_or(TimeSpan::default(), ServiceView::first_token_latency);
        let due = call.first_token_target.unwrap_or(call.deadline).min(call.deadline);
        end.is_some_and(|end| end + latency > due)
    }

    /// Refuses waiting calls whose runners all wait for too long.
    pub(crate) fn refuse_waiting_for_runners(&mut self, now: TimePoint) -> Vec<RouteAction> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let keys: Vec<QueueKey> = waiting.map(|(key, _)| key.clone()).collect();
        let mut actions = Vec::new();
        for (service, model) in keys {
            if self.earliest_wait_end(now, &service, model.as_ref()).is_none() {
                continue;
            }
            let queue = &self.queues[&(service.clone(), model.clone())];
            let is_late = |call: &CallId| {
                self.calls.get(call).is_some_and(|record| self.waits_too_long(now, record))
            };
            let calls: Vec<CallId> = queue.calls().filter(is_late).collect();
            for call in calls {
                let retry_after = self.wait_retry_after(now, &service, model.as_ref());
                let retry_after = retry_after.unwrap_or_default();
                actions.push(self.refuse(now, call, RefusalReason::RunnersWait, retry_after));
            }
        }
        actions
    }
}
