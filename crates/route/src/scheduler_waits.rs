//! Calls whose runners all wait or are at their limits: which are refused, and when their callers
//! may come back.
//!
//! Load pattern: the runners of a service turn calls away and each names a time before which
//! it accepts none, or a rate that is below that of the calls.

use base::prelude::*;
use rand::RngExt;

use crate::scheduler::{QueueKey, RouteScheduler};
use crate::{CallId, CallRecord, RouteAction, RunnerView, ServiceView};

/// Returning callers are spread over the wait divided by this.
const SPREAD_DIVISOR: u64 = 4;
/// Minimum time over which returning callers are spread.
const MIN_RETURN_SPREAD: TimeSpan = TimeSpan::millis(200);

impl RouteScheduler {
    /// Returns after how long a caller may come back if every runner that serves `model` waits or
    /// is at its limit.
    pub fn wait_retry_after(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> Option<TimeSpan> {
        let end = self.earliest_wait_end(now, service, model)?;
        Some(self.spread_return(end.since(now)))
    }

    /// Returns after how long the caller may come back whose call waits too long behind `ahead`
    /// others. A runner may accept a call at this moment, which is then one of the others.
    pub(crate) fn late_retry_after(
        &mut self,
        now: TimePoint,
        record: &CallRecord,
        ahead: usize,
    ) -> TimeSpan {
        let (service, model) = (&record.call.service, record.call.model.as_ref());
        let end = self.earliest_wait_end(now, service, model);
        let end = end.or_else(|| self.accepted_at(now, record, ahead)).unwrap_or(now);
        self.spread_return(end.since(now))
    }

    /// Adds a random time to a wait, so that callers do not return together.
    fn spread_return(&mut self, wait: TimeSpan) -> TimeSpan {
        let spread = TimeSpan(wait.0 / SPREAD_DIVISOR).max(MIN_RETURN_SPREAD);
        wait + TimeSpan(self.rng.random_range(0..spread.0))
    }

    /// Returns when the first of the runners that serve `model` accepts a call; none if one of
    /// them does now.
    fn earliest_wait_end(
        &self,
        now: TimePoint,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> Option<TimePoint> {
        let serving = self.serving_runners(service, model);
        let ends: Option<Vec<TimePoint>> = serving.map(|runner| runner.next_call_at(now)).collect();
        ends?.into_iter().min()
    }

    /// Returns the speed factor of the fastest runner that serves `model`; 1 if none does.
    pub(crate) fn least_factor(
        &self,
        now: TimePoint,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> f64 {
        let factors = self.serving_runners(service, model).map(|runner| runner.speed.factor(now));
        factors.reduce(f64::min).unwrap_or(1.0)
    }

    /// Returns the rate that the runners of a service that serve `model` take together; none if
    /// one of them has no limit.
    fn limited_rate(&self, service: &ServiceName, model: Option<&ModelName>) -> Option<f64> {
        let serving = self.serving_runners(service, model);
        let rate: Option<f64> =
            serving.map(|runner| runner.limiter.rate().map(|rate| rate.0)).sum();
        rate.filter(|rate| *rate > 0.0)
    }

    /// The runners of a service that serve `model`.
    fn serving_runners<'a>(
        &'a self,
        service: &ServiceName,
        model: Option<&'a ModelName>,
    ) -> impl Iterator<Item = &'a RunnerView> {
        let slots = self.services.get(service).map_or(&[][..], |view| view.slots.as_slice());
        let runners = slots.iter().map(|slot| &self.runners[*slot]);
        runners.filter(move |runner| runner.can_serve(model))
    }

    /// Returns the number of waiting calls that go before a new one where runners are limited; 0
    /// elsewhere.
    pub(crate) fn calls_ahead(&self, record: &CallRecord) -> usize {
        let call = &record.call;
        let is_limited = self.limited_rate(&call.service, call.model.as_ref()).is_some();
        let queue = self.queues.get(&(call.service.clone(), call.model.clone()));
        queue.filter(|_| is_limited).map_or(0, |queue| queue.calls_ahead(call.priority))
    }

    /// Returns when a call can be sent that waits behind `ahead` others; none if that is now, or
    /// depends on more than waits and limits.
    fn accepted_at(&self, now: TimePoint, record: &CallRecord, ahead: usize) -> Option<TimePoint> {
        let call = &record.call;
        let (service, model) = (&call.service, call.model.as_ref());
        let first = self.earliest_wait_end(now, service, model);
        let Some(rate) = self.limited_rate(service, model).filter(|_| ahead > 0) else {
            return first;
        };
        let behind_others = TimeSpan::micros((ahead as f64 / rate * 1e6) as u64);
        Some(first.unwrap_or(now) + behind_others)
    }

    /// Returns whether no runner accepts the call, which waits behind `ahead` others, early enough
    /// for its first token, because of waits and limits.
    pub(crate) fn waits_too_long(&self, now: TimePoint, record: &CallRecord, ahead: usize) -> bool {
        let call = &record.call;
        let Some(end) = self.accepted_at(now, record, ahead) else { return false };
        let view = self.services.get(&call.service);
        let latency = view.map_or(TimeSpan::default(), ServiceView::first_token_latency);
        let factor = self.least_factor(now, &call.service, call.model.as_ref());
        let latency = TimeSpan((latency.0 as f64 * factor) as u64);
        let due = call.first_token_target.unwrap_or(call.deadline).min(call.deadline);
        end + latency > due
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
            let is_late = |(ahead, call): &(usize, CallId)| {
                let record = self.calls.get(call);
                record.is_some_and(|record| self.waits_too_long(now, record, *ahead))
            };
            let calls: Vec<CallId> =
                queue.calls().enumerate().filter(is_late).map(|(_, call)| call).collect();
            for call in calls {
                let retry_after = self.wait_retry_after(now, &service, model.as_ref());
                let retry_after = retry_after.unwrap_or_default();
                actions.push(self.refuse(now, call, RefusalReason::RunnersWait, retry_after));
            }
        }
        actions
    }
}
