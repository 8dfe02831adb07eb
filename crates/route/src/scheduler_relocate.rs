//! Relocation of running calls to other runners, and choice of backup runners that keep a
//! copy of a call's memory.
//!
//! Engines are reclaimed at short notice while long generations run on them.

use base::prelude::*;
use rand::RngExt;

use crate::{CallId, RouteScheduler, runner_score};

/// Highest overflow probability of a runner's memory at which a copy is placed there. It is
/// low because calls take precedence over copies.
const MAX_COPY_RISK: f64 = 0.02;
/// Share of a runner's memory in use up to which copies are placed there. Above it, copies
/// would cause preemption of later calls, and their transfers would delay relocations.
const MAX_COPY_SHARE: f64 = 0.4;

/// Amplitude of the noise added to a runner's cost when calls are relocated.
const MOVE_NOISE: f64 = 0.5;

impl RouteScheduler {
    /// Chooses another runner for a running call, and accounts its memory there. The caller
    /// is responsible for the transfer.
    ///
    /// Returns none if the call is not running or no other runner serves it.
    pub fn relocate(&mut self, now: TimePoint, call: CallId) -> Option<RunnerId> {
        let record = self.calls.get_mut(&call)?;
        let old = record.slot?;
        let old_runner = self.runners[old].runner.clone();
        if !record.call.tried_runners.contains(&old_runner) {
            record.call.tried_runners.push(old_runner);
        }
        let slot = self.choose_in_same_place(now, call, old).or_else(|| {
            let admitted = self.choose(now, call, |score| score.admissible);
            admitted.or_else(|| self.choose(now, call, |_| true)).map(|(slot, _)| slot)
        })?;
        self.reassign(now, call, old, slot)
    }

    /// Reassigns a running call to `runner`, which holds a copy of its memory.
    ///
    /// Returns none if the call is not running, if it already runs there, or if the runner is
    /// not known.
    pub fn relocate_to(
        &mut self,
        now: TimePoint,
        call: CallId,
        runner: &RunnerId,
    ) -> Option<RunnerId> {
        let old = self.calls.get(&call)?.slot?;
        let slot = *self.slots.get(runner)?;
        self.reassign(now, call, old, slot)
    }

    /// Chooses the runner with the lowest cost among those with enough free memory for a copy
    /// of a running call. Runners in the same failure domain are preferred, since a transfer
    /// between domains takes longer.
    ///
    /// Returns none if the call is not running or no other runner has enough free memory.
    #[must_use]
    pub fn choose_backup(&self, now: TimePoint, call: CallId) -> Option<RunnerId> {
        let record = self.calls.get(&call)?;
        let own = record.slot?;
        let view = self.services.get(&record.call.service)?;
        let model = record.call.model.as_ref();
        let others = view.slots.iter().copied().filter(|slot| *slot != own);
        let usable = others.filter(|slot| {
            let runner = &self.runners[*slot];
            // If a runner is lost, all its calls go on at once at the runners with their copies.
            let takes_all = !runner.limiter.is_limited();
            let is_available = runner.health.is_available(now) && runner.admits(now);
            runner.can_serve(model) && is_available && takes_all
        });
        let scored = usable
            .map(|slot| (slot, runner_score::score(now, record, view, &self.runners[slot], false)));
        let fitting = scored.filter(|(slot, score)| {
            let runner = &self.runners[*slot];
            let memory = runner.memory_tokens().unwrap_or(0.0);
            let needed = runner.used_tokens() + f64::from(record.context_tokens());
            score.risk <= MAX_COPY_RISK && needed <= MAX_COPY_SHARE * memory
        });
        let place = &self.runners[own].place;
        let is_remote = |slot: usize| self.runners[slot].place != *place;
        let (slot, _) = fitting.min_by(|a, b| {
            is_remote(a.0).cmp(&is_remote(b.0)).then(a.1.cost.total_cmp(&b.1.cost))
        })?;
        Some(self.runners[slot].runner.clone())
    }

    /// Returns a runner of low cost that admits the call in the failure domain of `old`. Several
    /// entries relocate their calls at the same instant, so the cost has noise added.
    fn choose_in_same_place(&mut self, now: TimePoint, call: CallId, old: usize) -> Option<usize> {
        let record = self.calls.get(&call)?;
        let view = self.services.get(&record.call.service)?;
        let place = &self.runners[old].place;
        let same_place = view.slots.iter().copied().filter(|slot| {
            let runner = &self.runners[*slot];
            *slot != old
                && runner.place == *place
                && runner.health.is_available(now)
                && runner.admits(now)
                && runner.can_serve(record.call.model.as_ref())
        });
        let scored = same_place
            .map(|slot| (slot, runner_score::score(now, record, view, &self.runners[slot], false)));
        let admitted = scored.filter(|(_, score)| score.admissible);
        let rng = &mut self.rng;
        let noisy =
            admitted.map(|(slot, score)| (slot, score.cost + MOVE_NOISE * rng.random::<f64>()));
        noisy.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(slot, _)| slot)
    }

    /// Moves the load of a call from runner `old` to runner `slot`.
    fn reassign(
        &mut self,
        now: TimePoint,
        call: CallId,
        old: usize,
        slot: usize,
    ) -> Option<RunnerId> {
        if slot == old {
            return None;
        }
        let record = self.calls.get_mut(&call)?;
        record.slot = Some(slot);
        record.progress_at = None;
        let (tokens, forecast) = (record.context_tokens(), record.forecast);
        self.runners[old].record_ended(now, call, tokens);
        self.runners[old].own_forecast -= forecast;
        self.runners[slot].record_sent(now, call, tokens);
        self.runners[slot].own_forecast += forecast;
        Some(self.runners[slot].runner.clone())
    }
}
