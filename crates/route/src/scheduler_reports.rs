//! Load reports of runners, and estimates for those that no longer report.
//!
//! Load pattern: reports lag behind what many entries send, and stop with their runner or link.

use base::prelude::*;
use rand::RngExt;

use crate::scheduler::RouteScheduler;
use crate::{MemoryForecast, PolicyName, RateLimiter, RunnerRamp, RunnerSpeed, ServiceView};

/// Age of a runner's last report above which its load is estimated instead.
const MAX_REPORT_AGE: TimeSpan = TimeSpan::seconds(1);
/// Interval between load estimates of a runner that does not report.
const ESTIMATE_INTERVAL: TimeSpan = TimeSpan::millis(250);

impl RouteScheduler {
    /// Applies a load report. The production policy also updates the runner's forecast and
    /// health and the averages of the service.
    pub(crate) fn apply_report(&mut self, now: TimePoint, report: RunnerReport) {
        let Some(&slot) = self.slots.get(&report.runner) else {
            return;
        };
        let step = report.step;
        let is_busy = report.running > 0;
        let before = self.runners[slot].reported_calls();
        let incarnation = self.runners[slot].incarnation();
        if !self.runners[slot].apply_report(now, report) {
            return;
        }
        if incarnation != self.runners[slot].incarnation() {
            self.prefixes.remove_runner(slot);
            self.runners[slot].ramp = RunnerRamp::default();
            if incarnation.is_some() {
                self.runners[slot].speed = RunnerSpeed::default();
            }
            self.runners[slot].limiter = RateLimiter::default();
        }
        if self.settings.policy != PolicyName::Product {
            return;
        }
        self.runners[slot].admission_draw = self.rng.random();
        self.refresh_forecast(now, slot, step);
        let calls = self.runners[slot].reported_calls();
        let Some(view) = self.service_of(slot) else {
            return;
        };
        view.observe_reported_calls(before, calls);
        view.observe_step(now, step);
        let average = view.step_micros;
        if is_busy {
            self.runners[slot].health.record_step(now, step, average);
        }
    }

    /// Estimates the load of runners that have stopped reporting: other entries are assumed
    /// to cause the same load as this one, spread evenly over the runners.
    pub(crate) fn estimate_unreported(&mut self, now: TimePoint) {
        if self.settings.policy != PolicyName::Product {
            return;
        }
        for slot in 0..self.runners.len() {
            let runner = &self.runners[slot];
            let is_overdue =
                now.since(runner.received_at) > MAX_REPORT_AGE && runner.report.is_some();
            if !is_overdue || now.since(runner.forecast_at) < ESTIMATE_INTERVAL {
                continue;
            }
            let step = runner.report.as_ref().map_or(TimeSpan::default(), |report| report.step);
            self.refresh_forecast(now, slot, step);
            let Some(view) = self.service_of(slot) else {
                continue;
            };
            let own_tokens = view.own_forecast.mean[0] / view.slots.len().max(1) as f64;
            let other_tokens = (view.estimated_entries - 1.0) * own_tokens;
            let admission_draw = self.rng.random();
            let runner = &mut self.runners[slot];
            runner.other_tokens = other_tokens;
            runner.admission_draw = admission_draw;
            runner.sent_calls = 0;
        }
    }

    pub(crate) fn service_of(&mut self, slot: usize) -> Option<&mut ServiceView> {
        self.services.get_mut(self.runners[slot].service.as_ref()?)
    }

    /// Recomputes the memory forecast of this entry's calls at a runner, and the tokens that
    /// calls of other entries held when it reported.
    pub(crate) fn refresh_forecast(&mut self, now: TimePoint, slot: usize, step: TimeSpan) {
        let reported = self.runners[slot].reported_at;
        let steps_since = now.since(reported).0.checked_div(step.0).unwrap_or(0) as u32;
        let mut own_tokens = 0.0;
        let mut forecast = MemoryForecast::default();
        for call in &self.runners[slot].own_calls {
            let Some(record) = self.calls.get_mut(call) else {
                continue;
            };
            let survival =
                self.lengths.survival_at_horizons(&record.call, record.call.produced_tokens.0);
            record.forecast = MemoryForecast::for_generation(record.context_tokens(), survival);
            forecast += record.forecast;
            if record.sent_at <= reported {
                let since = steps_since.min(record.call.produced_tokens.0);
                own_tokens += f64::from(record.context_tokens() - since);
            }
        }
        let runner = &mut self.runners[slot];
        runner.forecast_at = now;
        let previous = std::mem::replace(&mut runner.own_forecast, forecast);
        let known_tokens = own_tokens + runner.freed_tokens() as f64;
        runner.other_tokens = (runner.used_tokens() - known_tokens).max(0.0);
        if let Some(view) = self.service_of(slot) {
            view.own_forecast -= previous;
            view.own_forecast += forecast;
        }
    }
}
