//! Usual times at the runners of a service, by what runs there: the pause between two tokens,
//! and the time of a plain call.
//!
//! Load pattern: a pause grows with the number of running calls, and while a prompt is prefilled.

use base::prelude::*;

/// Number of classes of runner loads.
const LOAD_CLASSES: usize = 12;
/// Running calls in one class.
const CLASS_CALLS: u32 = 4;
/// Relative step of a median at each observation.
const MEDIAN_STEP: f64 = 0.02;
/// Share of times that exceeds the upper one of a load class.
const UPPER_SHARE: f64 = 0.1;
/// Relative step of an upper time at each observation.
const UPPER_STEP: f64 = 0.05;
/// Observations from which an upper time is used.
const MIN_UPPER_COUNT: u32 = 100;
/// Share of pauses, at runners of usual speed, that the unsteadiness exceeds.
const UNSTEADY_SHARE: f64 = 0.05;
/// Relative step of the unsteadiness.
const UNSTEADY_STEP: f64 = 0.02;
/// Highest unsteadiness: a longer pause is a fault and not a slow machine.
const MAX_UNSTEADINESS: f64 = 4.0;

/// Time that a tenth of the observed ones exceeds.
#[derive(Debug, Clone, Copy, Default)]
struct UpperTime {
    micros: f64,
    count: u32,
}

impl UpperTime {
    fn observe(&mut self, micros: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.micros = micros;
        }
        let step = if micros > self.micros { 1.0 - UPPER_SHARE } else { -UPPER_SHARE };
        self.micros *= 1.0 + UPPER_STEP * step;
    }
}

/// Usual times of a service by load.
#[derive(Debug, Clone)]
pub struct PauseModel {
    /// Medians in microseconds, without and with a prompt in prefill; 0 if never observed.
    medians: [[f64; LOAD_CLASSES]; 2],
    /// Times with a prompt in prefill that a tenth of them exceeds.
    upper_times: [UpperTime; LOAD_CLASSES],
    /// Ratio of a pause to the usual one that few pauses exceed.
    unsteadiness: f64,
    /// Bound of the pause between two events, and tokens of an event.
    bound: Option<(TimeSpan, u32)>,
}

impl Default for PauseModel {
    fn default() -> Self {
        Self {
            medians: [[0.0; LOAD_CLASSES]; 2],
            upper_times: [UpperTime::default(); LOAD_CLASSES],
            unsteadiness: 1.0,
            bound: None,
        }
    }
}

fn class(calls: u32) -> usize {
    ((calls / CLASS_CALLS) as usize).min(LOAD_CLASSES - 1)
}

impl PauseModel {
    /// Whether pauses have a bound.
    #[must_use]
    pub fn has_bound(&self) -> bool {
        self.bound.is_some()
    }

    /// Sets the bound of the pause between two events of `event_tokens` tokens.
    pub fn set_bound(&mut self, bound: Option<TimeSpan>, event_tokens: u32) {
        self.bound = bound.map(|bound| (bound, event_tokens.max(1)));
    }

    /// Records a time of `micros` at a runner of `factor` with this load. Returns the logarithm
    /// of its ratio to the usual time; none if none is known.
    pub fn observe(&mut self, micros: f64, factor: f64, calls: u32, prefills: bool) -> Option<f64> {
        let usual = self.usual(calls, prefills);
        let median = &mut self.medians[usize::from(prefills)][class(calls)];
        let corrected = micros.max(1.0) / factor;
        if prefills {
            self.upper_times[class(calls)].observe(corrected);
        }
        if *median <= 0.0 {
            *median = corrected;
        }
        *median *= 1.0 + if corrected > *median { MEDIAN_STEP } else { -MEDIAN_STEP };
        let ratio = corrected / usual?;
        let step = if ratio > self.unsteadiness { 1.0 - UNSTEADY_SHARE } else { -UNSTEADY_SHARE };
        let unsteadiness = self.unsteadiness * (1.0 + UNSTEADY_STEP * step);
        self.unsteadiness = unsteadiness.clamp(1.0, MAX_UNSTEADINESS);
        Some((micros.max(1.0) / usual?).ln())
    }

    /// Logarithm of how far a time is above those that are usual with a prompt in prefill; 0 if it
    /// is not, or if too few are known. Whether a prompt is in prefill at this moment is known too
    /// late to compare with the other times.
    #[must_use]
    pub fn deviation(&self, micros: f64, calls: u32) -> f64 {
        let upper = self.upper_times[class(calls)];
        let is_known = upper.count >= MIN_UPPER_COUNT;
        if is_known { (micros / upper.micros).ln().max(0.0) } else { 0.0 }
    }

    /// The usual time in microseconds at a runner with this load, or with the nearest known one.
    #[must_use]
    pub fn usual(&self, calls: u32, prefills: bool) -> Option<f64> {
        let medians = &self.medians[usize::from(prefills)];
        let own = class(calls);
        let known = (0..LOAD_CLASSES).filter(|other| medians[*other] > 0.0);
        known.min_by_key(|other| other.abs_diff(own)).map(|nearest| medians[nearest])
    }

    /// Ratio to the bound of the pause between two events at a runner of `factor` with this many
    /// calls while a prompt is prefilled; none if there is no bound or no observation.
    #[must_use]
    pub fn bound_share(&self, factor: f64, calls: u32) -> Option<f64> {
        let (bound, tokens) = self.bound?;
        let pause = self.usual(calls, true).or_else(|| self.usual(calls, false))?;
        Some(pause * f64::from(tokens) * factor / bound.0.max(1) as f64)
    }

    /// Ratio of a pause to the usual one that few pauses exceed; 1 if all are usual.
    #[must_use]
    pub fn unsteadiness(&self) -> f64 {
        self.unsteadiness
    }
}
