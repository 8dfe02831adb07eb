//! Moving a running call to another runner, and choosing one that keeps a copy of it.
//!
//! Load pattern: engines are reclaimed at short notice, while long generations run there.

use base::prelude::*;

use crate::{CallId, RouteScheduler, runner_score};

/// Highest chance of exceeding a runner's memory that a copy may bring about: copies give
/// way to calls.
const COPY_RISK: f64 = 0.02;
/// Share of a runner's memory up to which copies are taken: beyond it, they would preempt
/// calls that come later, and their transfers would delay moves.
const COPY_SHARE: f64 = 0.4;

impl RouteScheduler {
    /// Chooses another runner for a call that runs, and books the call there. Its memory
    /// is needed there from now on; how it gets there is the caller's matter.
    ///
    /// None if the call does not run or no other runner serves it.
    pub fn relocate(&mut self, now: TimePoint, call: CallId) -> Option<RunnerId> {
        let record = self.calls.get_mut(&call)?;
        let old = record.slot?;
        let old_runner = self.runners[old].runner.clone();
        if !record.call.tried_runners.contains(&old_runner) {
            record.call.tried_runners.push(old_runner);
        }
        let slot = self.choose_near(now, call, old).or_else(|| {
            let anywhere = self.choose(now, call, |score| score.admissible);
            anywhere.or_else(|| self.choose(now, call, |_| true)).map(|(slot, _)| slot)
        })?;
        self.rebook(now, call, old, slot)
    }

    /// Books a call that runs at `runner`, where a copy of it lies.
    ///
    /// None if the call does not run or the runner is not known.
    pub fn relocate_to(
        &mut self,
        now: TimePoint,
        call: CallId,
        runner: &RunnerId,
    ) -> Option<RunnerId> {
        let old = self.calls.get(&call)?.slot?;
        let slot = *self.slots.get(runner)?;
        self.rebook(now, call, old, slot)
    }

    /// Chooses the runner that has most room for a copy of a call that runs; one in the
    /// same failure domain, if any has room, since a copy between domains takes longer.
    ///
    /// None if the call does not run, or if no other runner has room to spare.
    #[must_use]
    pub fn choose_backup(&self, now: TimePoint, call: CallId) -> Option<RunnerId> {
        let record = self.calls.get(&call)?;
        let own = record.slot?;
        let view = self.services.get(&record.call.service)?;
        let model = record.call.model.as_ref();
        let others = view.slots.iter().copied().filter(|slot| *slot != own);
        let usable = others.filter(|slot| {
            self.runners[*slot].can_serve(model) && self.runners[*slot].health.is_available(now)
        });
        let scored = usable
            .map(|slot| (slot, runner_score::score(now, record, view, &self.runners[slot], false)));
        let roomy = scored.filter(|(slot, score)| {
            let runner = &self.runners[*slot];
            let memory = runner.memory_tokens().unwrap_or(0.0);
            let needed = runner.used_tokens() + f64::from(record.context_tokens());
            score.risk <= COPY_RISK && needed <= COPY_SHARE * memory
        });
        let place = &self.runners[own].place;
        let rank = |slot: usize| self.runners[slot].place != *place;
        let (slot, _) =
            roomy.min_by(|a, b| rank(a.0).cmp(&rank(b.0)).then(a.1.cost.total_cmp(&b.1.cost)))?;
        Some(self.runners[slot].runner.clone())
    }

    /// The best open runner in the failure domain of `old`.
    fn choose_near(&self, now: TimePoint, call: CallId, old: usize) -> Option<usize> {
        let record = self.calls.get(&call)?;
        let view = self.services.get(&record.call.service)?;
        let place = &self.runners[old].place;
        let near = view.slots.iter().copied().filter(|slot| {
            let runner = &self.runners[*slot];
            *slot != old
                && runner.place == *place
                && runner.health.is_available(now)
                && runner.can_serve(record.call.model.as_ref())
        });
        let scored = near
            .map(|slot| (slot, runner_score::score(now, record, view, &self.runners[slot], false)));
        let open = scored.filter(|(_, score)| score.admissible);
        open.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost)).map(|(slot, _)| slot)
    }

    fn rebook(
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
        let (tokens, forecast) = (record.context_tokens(), record.forecast);
        self.runners[old].record_ended(now, call, tokens);
        self.runners[old].own_forecast -= forecast;
        self.runners[slot].record_sent(now, call, tokens);
        self.runners[slot].own_forecast += forecast;
        Some(self.runners[slot].runner.clone())
    }
}
