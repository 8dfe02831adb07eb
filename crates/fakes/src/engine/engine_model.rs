//! The engine: admission, one step, preemption.

use std::collections::BTreeMap;

use base::{CacheEvent, TokenIndex, prelude::*};

use crate::engine::{
    AdmitError, AttemptKey, EngineGeneration, EngineRequest, EngineSettings, PrefixCache, QueueKey,
    StepResult, StepToken,
};

/// Weight of the newest step in the averaged step time.
const STEP_AVERAGE_WEIGHT: f64 = 0.1;

/// A model engine; the caller gives it the time and carries its tokens.
#[derive(Debug, Clone)]
pub struct EngineModel {
    settings: EngineSettings,
    runner: RunnerId,
    incarnation: u64,
    waiting: BTreeMap<QueueKey, EngineGeneration>,
    running: BTreeMap<QueueKey, EngineGeneration>,
    places: BTreeMap<AttemptKey, QueueKey>,
    cache: PrefixCache,
    free_blocks: u32,
    arrivals: u64,
    reports: u64,
    preemptions: u64,
    recomputed: u64,
    step_micros: f64,
    slow_factor: f64,
    leaving: bool,
    killed: bool,
}

impl EngineModel {
    /// An idle engine.
    #[must_use]
    pub fn new(runner: RunnerId, incarnation: u64, settings: EngineSettings) -> Self {
        let step_micros = settings.base_cost.0 as f64;
        Self {
            cache: PrefixCache::new(settings.cache_blocks.0),
            free_blocks: settings.total_blocks.0,
            settings,
            runner,
            incarnation,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            places: BTreeMap::new(),
            arrivals: 0,
            reports: 0,
            preemptions: 0,
            recomputed: 0,
            step_micros,
            slow_factor: 1.0,
            leaving: false,
            killed: false,
        }
    }

    /// Takes a request into the waiting queue.
    ///
    /// # Errors
    /// An error means that no part of the request was run.
    pub fn admit(&mut self, request: EngineRequest) -> Result<(), AdmitError> {
        self.check(&request)?;
        self.arrivals += 1;
        let place = QueueKey { priority: request.priority, arrival: self.arrivals };
        self.places.insert(request.key, place);
        self.waiting.insert(place, EngineGeneration::new(request));
        Ok(())
    }

    /// Ends an attempt; gives the number of output tokens that exist, or none if the
    /// engine does not know it.
    pub fn cancel(&mut self, key: AttemptKey) -> Option<TokenCount> {
        let place = self.places.remove(&key)?;
        let generation = self.waiting.remove(&place).or_else(|| self.running.remove(&place))?;
        self.free_blocks += generation.blocks;
        Some(TokenCount(generation.produced))
    }

    /// Runs one step that begins at `now`.
    pub fn step(&mut self, now: TimePoint) -> StepResult {
        let mut result = StepResult { until: now, ..StepResult::default() };
        let mut budget = self.settings.step_tokens;
        self.reserve_decode_blocks(&mut result);
        self.start_waiting();
        if self.running.is_empty() {
            return result;
        }
        let decoding = self.decode(&mut budget, &mut result);
        let context: u64 = self.running.values().map(|g| u64::from(g.computed)).sum();
        let prefilled = self.prefill(&mut budget, &mut result);
        self.remove_finished(&result);
        result.duration = self.duration(decoding, prefilled, context);
        result.until = now + result.duration;
        self.average_step(result.duration);
        result
    }

    /// Whether there is nothing to run.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// The engine's present figures, with age 0; models and fence are left to the caller.
    pub fn report(&mut self) -> RunnerReport {
        self.reports += 1;
        RunnerReport {
            runner: self.runner.clone(),
            incarnation: self.incarnation,
            sequence: self.reports,
            age: TimeSpan::default(),
            used_blocks: BlockCount(self.settings.total_blocks.0 - self.free_blocks),
            total_blocks: self.settings.total_blocks,
            block_tokens: self.settings.block_tokens,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            preemptions: self.preemptions,
            step: TimeSpan::micros(self.step_micros as u64),
            leaving: self.leaving,
            models: Vec::new(),
            fence: 0,
        }
    }

    /// Takes the cache events since the last call.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    /// Empties the prefix cache.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    /// Preemptions since the start.
    #[must_use]
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Tokens computed again since the start, after a preemption or a continuation.
    #[must_use]
    pub fn recomputed(&self) -> u64 {
        self.recomputed
    }

    /// Announces that the engine leaves, or takes that back.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether the engine has announced that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Makes every step `factor` times as long.
    pub fn set_slow_factor(&mut self, factor: f64) {
        self.slow_factor = factor;
    }

    /// Kills the engine: every attempt is lost.
    pub fn kill(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.places.clear();
        self.cache.clear();
        self.free_blocks = self.settings.total_blocks.0;
        self.killed = true;
    }

    /// Whether the engine was killed.
    #[must_use]
    pub fn is_killed(&self) -> bool {
        self.killed
    }

    fn check(&self, request: &EngineRequest) -> Result<(), AdmitError> {
        let longest = request.prompt_tokens.0 + request.length.0;
        if self.killed {
            Err(AdmitError::Killed)
        } else if self.leaving {
            Err(AdmitError::Leaving)
        } else if self.places.contains_key(&request.key) {
            Err(AdmitError::Duplicate)
        } else if self.settings.blocks_for(longest) + 1 > self.settings.total_blocks.0 {
            Err(AdmitError::TooLong)
        } else {
            Ok(())
        }
    }

    /// Gives every decoding generation room for its next token; takes the room from
    /// the least urgent, latest generation when memory is full.
    fn reserve_decode_blocks(&mut self, result: &mut StepResult) {
        let places: Vec<QueueKey> = self.running.keys().copied().collect();
        for place in places {
            while self.wants_block(place) {
                if self.free_blocks == 0 {
                    self.preempt_last(result);
                } else {
                    self.free_blocks -= 1;
                    self.running.entry(place).and_modify(|generation| generation.blocks += 1);
                }
            }
        }
    }

    fn wants_block(&self, place: QueueKey) -> bool {
        self.running.get(&place).is_some_and(|generation| {
            self.settings.blocks_for(generation.context() + 1) > generation.blocks
        })
    }

    fn preempt_last(&mut self, result: &mut StepResult) {
        let Some((place, mut generation)) = self.running.pop_last() else {
            return;
        };
        self.free_blocks += generation.blocks;
        generation.preempt();
        self.preemptions += 1;
        result.preempted.push(generation.key());
        self.waiting.insert(place, generation);
    }

    /// Starts waiting generations in order while the whole context of the next one fits.
    fn start_waiting(&mut self) {
        while self.running.len() < self.settings.running_limit {
            let Some(entry) = self.waiting.first_entry() else {
                return;
            };
            let blocks = self.settings.blocks_for(entry.get().context() + 1);
            if blocks > self.free_blocks {
                return;
            }
            let (place, mut generation) = entry.remove_entry();
            let cached = self.cache.find(generation.request.prefix);
            let cached = cached.min(generation.context().saturating_sub(1));
            generation.computed = cached;
            generation.blocks = blocks;
            self.free_blocks -= blocks;
            self.recomputed += u64::from(generation.lost.saturating_sub(cached));
            generation.lost = 0;
            self.running.insert(place, generation);
        }
    }

    /// One token for each generation whose context is computed but for the newest token.
    fn decode(&mut self, budget: &mut u32, result: &mut StepResult) -> u32 {
        let mut decoding = 0;
        let ready = self.running.values_mut().filter(|g| g.prefill_left() <= 1);
        for generation in ready.take(*budget as usize) {
            decoding += 1;
            generation.computed = generation.context();
            result.tokens.push(produce(generation));
        }
        *budget -= decoding;
        decoding
    }

    /// Spends the rest of the budget on contexts that are not computed yet.
    fn prefill(&mut self, budget: &mut u32, result: &mut StepResult) -> u32 {
        let mut prefilled = 0;
        for generation in self.running.values_mut().filter(|g| g.prefill_left() > 1) {
            let chunk = generation.prefill_left().min(*budget);
            generation.computed += chunk;
            *budget -= chunk;
            prefilled += chunk;
            if generation.prefill_left() == 0 {
                let request = &generation.request;
                let tokens = request.prefix_tokens.0;
                self.cache.store(request.prefix, tokens, self.settings.blocks_for(tokens));
                result.tokens.push(produce(generation));
            }
            if *budget == 0 {
                break;
            }
        }
        prefilled
    }

    fn remove_finished(&mut self, result: &StepResult) {
        for key in result.finished() {
            let place = self.places.remove(&key);
            if let Some(generation) = place.and_then(|place| self.running.remove(&place)) {
                self.free_blocks += generation.blocks;
            }
        }
    }

    fn duration(&self, decoding: u32, prefilled: u32, context: u64) -> TimeSpan {
        let costs = &self.settings;
        let micros = costs.base_cost.0
            + costs.sequence_cost.0 * u64::from(decoding)
            + costs.prefill_cost.0 * u64::from(prefilled)
            + costs.context_cost.0 * context / 1_000;
        TimeSpan::micros((micros as f64 * self.slow_factor) as u64)
    }

    fn average_step(&mut self, duration: TimeSpan) {
        self.step_micros += STEP_AVERAGE_WEIGHT * (duration.0 as f64 - self.step_micros);
    }
}

fn produce(generation: &mut EngineGeneration) -> StepToken {
    let index = TokenIndex(generation.produced);
    generation.produced += 1;
    StepToken { key: generation.key(), index, last: generation.is_finished() }
}
