//! Speeds of runners as observed by this entry, told by runners and by other entries.
//!
//! Load pattern: runners that differ in speed, of which one entry sees few answers.

use base::prelude::*;
use config::ServiceKind;

use crate::scheduler::RouteScheduler;
use crate::{CallId, CallRecord, PresentSpeed, SpeedEvidence};

/// Weight of one pause as evidence. Pauses within one disturbance are alike; it lasts for about
/// ten of them.
const PAUSE_WEIGHT: f64 = 0.1;
/// Weight of a time to first token or of the time of a plain call.
const CALL_WEIGHT: f64 = 0.25;
/// Weight of a figure that the runner states.
const FIGURE_WEIGHT: f64 = 1.0;
/// Prompt tokens below which a time to first token says little about the speed of prefill.
const MIN_PREFILL_TOKENS: u64 = 200;
/// Time for which figures stated by runners replace the observed times in the averages.
const FIGURES_SPAN: TimeSpan = TimeSpan::seconds(10);
/// Interval at which the factors of a service are settled.
const SETTLE_INTERVAL: TimeSpan = TimeSpan::millis(500);
/// Smallest weight of evidence that the other entries are told.
const MIN_TOLD_WEIGHT: f64 = 0.3;

/// What this entry tells the others about a runner.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedStatement {
    /// The runner.
    pub runner: RunnerId,
    /// Evidence since the last statement.
    pub evidence: SpeedEvidence,
    /// The present figure, if it is new.
    pub present: Option<PresentSpeed>,
}

impl RouteScheduler {
    /// Stops the use of speeds, for comparisons.
    pub fn ignore_speeds(&mut self) {
        self.uses_speeds = false;
    }

    /// Records a figure stated by a runner: the factor by which work takes longer than usual.
    pub(crate) fn record_speed_figure(&mut self, now: TimePoint, runner: &RunnerId, factor: f64) {
        let Some(&slot) = self.slots.get(runner).filter(|_| self.uses_speeds && factor > 0.0)
        else {
            return;
        };
        let speed = &mut self.runners[slot].speed;
        speed.state_present(now, factor.ln());
        speed.observe(factor.ln(), FIGURE_WEIGHT);
        if let Some(view) = self.service_of(slot) {
            view.figures_until = now + FIGURES_SPAN;
        }
        self.settle_speeds(now, slot);
    }

    /// Records what another entry stated about a runner.
    pub(crate) fn record_speed_statement(&mut self, now: TimePoint, told: &SpeedStatement) {
        let Some(&slot) = self.slots.get(&told.runner).filter(|_| self.uses_speeds) else {
            return;
        };
        if !self.service_of(slot).is_some_and(|view| view.wants_speeds(now)) {
            return;
        }
        let speed = &mut self.runners[slot].speed;
        if told.evidence.weight > 0.0 {
            speed.learn(told.evidence.log_factor, told.evidence.weight);
        }
        if let Some(present) = told.present {
            speed.set_present(present);
        }
        self.settle_speeds(now, slot);
    }

    /// Records the time since the last token of a call, of which `tokens` have arrived now.
    pub(crate) fn record_pause(
        &mut self,
        now: TimePoint,
        slot: usize,
        pause: TimeSpan,
        tokens: u32,
    ) {
        if !self.uses_speeds {
            return;
        }
        let runner = &self.runners[slot];
        let (calls, prefills) = (runner.corrected_calls(), runner.pending_prefill_tokens(now) > 0);
        let factor = runner.speed.settled_factor();
        let Some(view) = self.service_of(slot).filter(|view| view.wants_speeds(now)) else {
            return;
        };
        let micros = pause.0 as f64 / f64::from(tokens.max(1));
        let has_figures = now < view.figures_until;
        let Some(ratio) = view.pauses.observe(micros, factor, calls, prefills) else { return };
        let deviation = view.pauses.deviation(micros / factor, calls);
        let speed = &mut self.runners[slot].speed;
        speed.observe_present(now, deviation);
        if !has_figures {
            speed.observe(ratio, PAUSE_WEIGHT);
        }
        self.settle_speeds(now, slot);
    }

    /// Records the time to first token of a call with `prefill_tokens` before and in its prompt.
    pub(crate) fn record_first_token(
        &mut self,
        now: TimePoint,
        slot: usize,
        span: TimeSpan,
        prefill_tokens: u64,
    ) {
        let factor = self.runners[slot].speed.settled_factor();
        let uses_speeds = self.uses_speeds;
        let Some(view) = self.service_of(slot) else { return };
        let usual = view.prefill_time(prefill_tokens);
        let corrected = TimeSpan((span.0 as f64 / factor) as u64);
        let has_figures = now < view.figures_until;
        view.observe_first_token(corrected, prefill_tokens);
        let uses_speeds = uses_speeds && view.wants_speeds(now);
        if uses_speeds && !has_figures && prefill_tokens >= MIN_PREFILL_TOKENS && usual.0 > 0 {
            let ratio = (span.0.max(1) as f64 / usual.0 as f64).ln();
            self.runners[slot].speed.observe(ratio, CALL_WEIGHT);
            self.settle_speeds(now, slot);
        }
    }

    /// Records the time of a plain call that has finished.
    pub(crate) fn record_plain_time(&mut self, now: TimePoint, slot: usize, record: &CallRecord) {
        if !self.uses_speeds {
            return;
        }
        let factor = self.runners[slot].speed.settled_factor();
        let micros = now.since(record.sent_at).0 as f64;
        let calls = record.calls_at_send;
        let Some(view) = self.service_of(slot) else { return };
        if view.kind != ServiceKind::Plain {
            return;
        }
        let has_figures = now < view.figures_until;
        let ratio = view.pauses.observe(micros, factor, calls, false);
        if let Some(ratio) = ratio.filter(|_| !has_figures) {
            self.runners[slot].speed.observe(ratio, CALL_WEIGHT);
            self.settle_speeds(now, slot);
        }
    }

    /// Settles the factors of the runners of a service relative to their median, if they were not
    /// settled lately.
    fn settle_speeds(&mut self, now: TimePoint, slot: usize) {
        let Some(view) = self.service_of(slot) else { return };
        if now < view.next_settle {
            return;
        }
        view.next_settle = now + SETTLE_INTERVAL;
        let slots = view.slots.clone();
        for &slot in &slots {
            self.runners[slot].speed.age(now);
        }
        let mut averages: Vec<f64> =
            slots.iter().filter_map(|slot| self.runners[*slot].speed.average()).collect();
        if averages.is_empty() {
            return;
        }
        averages.sort_by(f64::total_cmp);
        let (lower, upper) = ((averages.len() - 1) / 2, averages.len() / 2);
        let center = f64::midpoint(averages[lower], averages[upper]);
        for slot in slots {
            let speed = &mut self.runners[slot].speed;
            let before = speed.settled();
            speed.settle(center);
            if (before == 0.0) != (speed.settled() == 0.0) {
                self.speed_changes.push(slot);
            }
        }
    }

    /// Takes the runners whose factor has left or entered the dead band since the last call, with
    /// their factors.
    pub fn take_speed_changes(&mut self) -> Vec<(RunnerId, f64)> {
        let slots = std::mem::take(&mut self.speed_changes);
        let change = |slot: usize| {
            let view = &self.runners[slot];
            (view.runner.clone(), view.speed.settled_factor())
        };
        slots.into_iter().map(change).collect()
    }

    /// Takes up to `limit` statements on runners with fresh evidence, those with the most first.
    pub fn take_speed_statements(&mut self, limit: usize) -> Vec<SpeedStatement> {
        let weight = |slot: &usize| self.runners[*slot].speed.fresh_weight();
        let mut slots: Vec<usize> =
            (0..self.runners.len()).filter(|slot| weight(slot) >= MIN_TOLD_WEIGHT).collect();
        slots.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
        slots.truncate(limit);
        let statement = |slot: usize| {
            let view = &mut self.runners[slot];
            let (evidence, present) = view.speed.take_fresh();
            SpeedStatement { runner: view.runner.clone(), evidence, present }
        };
        slots.into_iter().map(statement).collect()
    }

    /// Number of runners whose factor is outside the dead band.
    #[must_use]
    pub fn uneven_runners(&self) -> usize {
        self.runners.iter().filter(|view| view.speed.settled() != 0.0).count()
    }

    /// Factor by which work takes longer than usual at a runner; 1 if it is not known.
    #[must_use]
    pub fn speed_factor(&self, runner: &RunnerId) -> f64 {
        let slot = self.slots.get(runner);
        slot.map_or(1.0, |slot| self.runners[*slot].speed.factor(self.now))
    }

    /// Records tokens of a running call: the first ones, or the pause before later ones.
    pub(crate) fn record_token_times(&mut self, now: TimePoint, call: CallId, index: TokenIndex) {
        let Some(record) = self.calls.get_mut(&call) else { return };
        let produced = record.call.produced_tokens.0;
        let last = record.progress_at.replace(now);
        record.call.produced_tokens = TokenCount(index.0 + 1);
        let (sent_at, prefill_tokens, slot) = (record.sent_at, record.prefill_tokens, record.slot);
        let Some(slot) = slot else { return };
        if produced == 0 {
            self.record_first_token(now, slot, now.since(sent_at), prefill_tokens);
        } else if let Some(last) = last {
            self.record_pause(now, slot, now.since(last), (index.0 + 1).saturating_sub(produced));
        }
    }
}
