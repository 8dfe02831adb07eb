//! What engines do in a run: their steps, and what the entries learn of them.

use base::{CacheEvent, prelude::*};
use fakes::engine::StepResult;
use rand::RngExt;
use route::{CallEnd, RouteEvent};

use crate::policy::FaultName;
use crate::policy::bench_desk::runner_number;
use crate::policy::simulation::{BenchEvent, Simulation};

/// Time between two reports of a runner.
pub(super) const REPORT_PERIOD: TimeSpan = TimeSpan::millis(250);
/// Time until a report reaches an entry, in milliseconds.
const REPORT_LAG_MILLIS: std::ops::Range<u64> = 200..400;
/// Share of the changes of a cache that an entry does not hear of.
const CACHE_EVENT_LOSS: f64 = 0.05;

impl Simulation {
    /// Lets an idle runner begin a step.
    pub(super) fn wake(&mut self, runner: usize) {
        if self.steps[runner].is_none() {
            self.steps[runner] = Some(StepResult::default());
            self.put(TimeSpan::default(), BenchEvent::Step(runner));
        }
    }

    /// Passes the tokens of the last step on and begins the next one.
    pub(super) fn step(&mut self, runner: usize) {
        let ended = |result: &mut StepResult| result.until <= self.now;
        let Some(result) = self.steps[runner].take_if(ended) else {
            return;
        };
        for token in &result.tokens {
            let index = token.key.generation.0 as usize;
            if token.key == self.key(index) && self.states[index].runner == Some(runner) {
                self.note_answer(index, runner, token.last);
                self.pass_token(index, token.index, token.last);
            }
        }
        if self.engines[runner].is_idle() || self.steps[runner].is_some() {
            return;
        }
        let before = (self.engines[runner].preemptions(), self.engines[runner].recomputed());
        let result = self.engines[runner].step(self.now);
        let engine = &self.engines[runner];
        if self.measures.covers(self.now) {
            self.measures
                .preempted(engine.preemptions() - before.0, engine.recomputed() - before.1);
        }
        self.put_at(result.until, BenchEvent::Step(runner));
        self.steps[runner] = Some(result);
    }

    fn pass_token(&mut self, index: usize, token: base::TokenIndex, last: bool) {
        let state = &mut self.states[index];
        state.produced += 1;
        let entry = state.entry;
        if let Some(newest) = state.newest.replace(self.now) {
            self.measures.gap(self.now, self.now.since(newest));
        } else {
            state.first_token = Some(self.now);
            self.record_first_token(index, self.now);
        }
        let call = self.call_id(index);
        self.tell(entry, RouteEvent::Progress { call, index: token });
        if last {
            self.states[index].runner = None;
            self.decide(index, true);
            self.tell(entry, RouteEvent::Ended { call, end: CallEnd::Finished });
        }
    }

    /// A runner reports to all entries, which get that late.
    pub(super) fn report(&mut self, runner: usize) {
        self.put(REPORT_PERIOD, BenchEvent::Report(runner));
        if self.engines[runner].is_killed() {
            return;
        }
        let mut report = self.engines[runner].report();
        report.leaving &= self.settings.fault != FaultName::EnginesLeaveByAnswer;
        report.models = vec!["model".parse().expect("a valid name")];
        let cache = self.engines[runner].take_cache_events();
        for entry in 0..self.settings.workload.entries {
            let lag = TimeSpan::millis(self.random.random_range(REPORT_LAG_MILLIS));
            let kept = |_: &&CacheEvent| !self.random.random_bool(CACHE_EVENT_LOSS);
            let cache = cache.iter().filter(kept).cloned().collect();
            let report = RunnerReport { age: lag, ..report.clone() };
            self.put(lag, BenchEvent::Deliver { entry, report, cache });
        }
    }

    /// A report reaches an entry.
    pub(super) fn deliver(&mut self, entry: usize, report: RunnerReport, cache: Vec<CacheEvent>) {
        let fault = if self.fault_on { self.settings.fault } else { FaultName::None };
        if self.entry_is_gone(entry) {
            return;
        }
        let runner = report.runner.clone();
        if fault != FaultName::ReportsFrozen {
            self.tell(entry, RouteEvent::Report(report));
        }
        if fault == FaultName::CacheLost {
            self.engines[runner_number(&runner)].clear_cache();
            return;
        }
        for event in cache {
            self.tell(entry, RouteEvent::Cache { runner: runner.clone(), event });
        }
    }
}
