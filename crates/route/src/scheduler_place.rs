//! Choice of a runner for a call.
//!
//! Load pattern: many entries choose among the same runners at the same time, some of which fail
//! or no longer report.

use base::prelude::*;
use config::ServiceKind;
use rand::RngExt;

use crate::runner_score::{self, RunnerScore};
use crate::scheduler::RouteScheduler;
use crate::{CallId, RouteCall, baseline};

/// Amplitude of the noise added to a runner's cost, so that entries do not all choose the
/// same runner.
const SCORE_NOISE: f64 = 0.15;

/// At most one in this many runners of a service is treated as ejected, or one if there are
/// fewer. If more are ejected, or all of them, the ejections are ignored.
const EJECTED_SHARE_DIVISOR: usize = 3;

/// Time by which a runner's last report may lag behind the newest one of its service before
/// the runner is treated as ejected.
const MAX_REPORT_LAG: TimeSpan = TimeSpan::millis(1_500);

impl RouteScheduler {
    /// Chooses a runner by the baseline policy in use.
    pub(crate) fn choose_baseline(&mut self, id: CallId) -> Option<usize> {
        let call = &self.calls.get(&id)?.call;
        let view = self.services.entry(call.service.clone()).or_default();
        let can_serve = |slot: &usize| self.runners[*slot].can_serve(call.model.as_ref());
        let candidates: Vec<usize> = view.slots.iter().copied().filter(can_serve).collect();
        let policy = self.settings.policy;
        baseline::choose(
            policy,
            &self.runners,
            &candidates,
            &mut view.round_robin_turn,
            &mut self.rng,
        )
    }

    /// Returns the runner with the lowest cost among those whose score satisfies `allow`.
    pub(crate) fn choose(
        &mut self,
        now: TimePoint,
        id: CallId,
        allow: fn(&RunnerScore) -> bool,
    ) -> Option<(usize, RunnerScore)> {
        let record = self.calls.get(&id)?;
        let view = self.services.get(&record.call.service)?;
        let model = record.call.model.as_ref();
        let is_healthy = |slot: usize| {
            let runner = &self.runners[slot];
            let is_silent = view.last_report_at.since(runner.received_at) > MAX_REPORT_LAG;
            runner.health.is_available(now) && !(is_silent && runner.report.is_some())
        };
        let serving = view.slots.iter().copied().filter(|slot| {
            let runner = &self.runners[*slot];
            runner.can_serve(model) && runner.admits(now)
        });
        let (healthy, ejected): (Vec<usize>, Vec<usize>) =
            serving.partition(|slot| is_healthy(*slot));
        let max_ejected = ((healthy.len() + ejected.len()) / EJECTED_SHARE_DIVISOR).max(1);
        let too_many =
            healthy.is_empty() || self.count_single_ejected(&healthy, &ejected) > max_ejected;
        let readmitted = if too_many { ejected.as_slice() } else { &[] };
        let candidates =
            self.untried_first(&record.call, healthy.iter().chain(readmitted).copied());
        let mut best: Option<(f64, usize, RunnerScore)> = None;
        for slot in candidates {
            let cached = runner_score::is_cached(&self.prefixes, slot, record);
            let score = runner_score::score(now, record, view, &self.runners[slot], cached);
            let noise = match view.kind {
                ServiceKind::Model => SCORE_NOISE,
                ServiceKind::Plain => 1.0,
            };
            let cost = score.cost + noise * self.rng.random::<f64>();
            if allow(&score) && best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, slot, score));
            }
        }
        best.map(|(_, slot, score)| (slot, score))
    }

    /// Returns the number of ejected runners that do not belong to a place of which all runners
    /// are ejected. Such a place, if it has several runners, is cut off or lost as a whole: the
    /// failures then say nothing about the other places, and to readmit its runners would fail
    /// their share of the calls.
    fn count_single_ejected(&self, healthy: &[usize], ejected: &[usize]) -> usize {
        let place = |slot: &usize| &self.runners[*slot].place;
        let is_single = |slot: &&usize| {
            let own = place(slot);
            healthy.iter().any(|other| place(other) == own)
                || ejected.iter().filter(|other| place(other) == own).count() == 1
        };
        ejected.iter().filter(is_single).count()
    }

    /// Returns the candidates that the call has not tried yet, or all if it has tried all.
    fn untried_first(
        &self,
        call: &RouteCall,
        candidates: impl Iterator<Item = usize>,
    ) -> Vec<usize> {
        let all: Vec<usize> = candidates.collect();
        if call.tried_runners.is_empty() {
            return all;
        }
        let is_new = |slot: &&usize| !call.tried_runners.contains(&self.runners[**slot].runner);
        let untried: Vec<usize> = all.iter().filter(is_new).copied().collect();
        if untried.is_empty() { all } else { untried }
    }
}
