//! How long work takes at one runner, relative to the usual runner of its service.
//!
//! Load pattern: runners of one service differ in speed, and share their machines with other
//! work that slows some of them down for some hundred milliseconds at a time.

use base::prelude::*;

/// Weight of the assumption that a runner is as fast as the others, in the units of evidence.
const PRIOR_WEIGHT: f64 = 1.0;
/// Limit of the weight of evidence, so that a runner whose speed changes is noticed.
const MAX_WEIGHT: f64 = 40.0;
/// Logarithm of the factor up to which a runner counts as usual, however much evidence there is.
const DEAD_BAND: f64 = 0.16;
/// Widening of the dead band at a weight of 1; it shrinks with the square root of the weight.
const DEAD_BAND_SPREAD: f64 = 0.6;
/// Deviation from the average up to which an observation counts in full. A disturbance of 2.5
/// times is beyond it, so that it affects the average little.
const MAX_DEVIATION: f64 = 0.25;
/// Logarithm of the ratio of the present figure to the average from which it is used.
const PRESENT_BAND: f64 = 0.5;
/// Age at which the present figure is no longer used: disturbances last about 600 ms.
const PRESENT_SPAN: TimeSpan = TimeSpan::millis(500);
/// Weight of a newly observed pause in the present figure.
const PRESENT_WEIGHT: f64 = 0.5;
/// Time in which evidence loses half of its weight.
const EVIDENCE_HALF_LIFE: TimeSpan = TimeSpan::seconds(30);
/// Limits of the logarithm of one observation.
const MAX_LOG: f64 = 2.0;

/// Evidence on the speed of a runner: the mean of logarithms of factors, and their weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedEvidence {
    /// Mean logarithm of the factor; positive if the runner is slow.
    pub log_factor: f64,
    /// Weight; about one for each independent observation.
    pub weight: f64,
}

impl SpeedEvidence {
    fn add(&mut self, log_factor: f64, weight: f64) {
        self.weight += weight;
        if self.weight > 0.0 {
            self.log_factor += weight / self.weight * (log_factor - self.log_factor);
        }
    }
}

/// How far the present speed deviates from the average, and when that was observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PresentSpeed {
    /// Logarithm of the ratio of the present factor to the average one.
    pub deviation: f64,
    /// When it was observed.
    pub at: TimePoint,
}

/// Speed of one runner: a slow average, and the present figure.
#[derive(Debug, Default)]
pub struct RunnerSpeed {
    average: SpeedEvidence,
    /// Evidence of this entry that the other entries have not been told.
    fresh: SpeedEvidence,
    present: Option<PresentSpeed>,
    /// Whether the present figure was observed here after the other entries were last told.
    is_present_fresh: bool,
    /// Logarithm of the settled factor; 0 inside the dead band.
    settled: f64,
    /// When the weight of the evidence was last reduced for its age.
    aged_at: TimePoint,
}

impl RunnerSpeed {
    /// Records an observation of this entry.
    pub fn observe(&mut self, log_factor: f64, weight: f64) {
        let log_factor = log_factor.clamp(-MAX_LOG, MAX_LOG);
        self.fresh.add(log_factor, weight);
        self.learn(log_factor, weight);
    }

    /// Records evidence of another entry.
    pub fn learn(&mut self, log_factor: f64, weight: f64) {
        let limit = MAX_DEVIATION + 1.0 / (1.0 + self.average.weight);
        let average = self.average.log_factor;
        let deviation = (log_factor - average).clamp(-limit, limit);
        self.average.add(average + deviation, weight.clamp(0.0, MAX_WEIGHT));
        self.average.weight = self.average.weight.min(MAX_WEIGHT);
    }

    /// Records how far a pause at `now` deviates from those that the average explains.
    pub fn observe_present(&mut self, now: TimePoint, deviation: f64) {
        let deviation = deviation.clamp(-MAX_LOG, MAX_LOG);
        let recent = self.present.filter(|present| now.since(present.at) < PRESENT_SPAN);
        let before = recent.map_or(0.0, |present| present.deviation);
        let deviation = before + PRESENT_WEIGHT * (deviation - before);
        self.set_present(PresentSpeed { deviation, at: now });
        self.is_present_fresh = true;
    }

    /// Records the figure that the runner stated at `now`.
    pub fn state_present(&mut self, now: TimePoint, log_factor: f64) {
        let deviation = log_factor - self.average.log_factor;
        self.set_present(PresentSpeed { deviation, at: now });
        self.is_present_fresh = true;
    }

    /// Records a present figure, unless a newer one is known.
    pub fn set_present(&mut self, present: PresentSpeed) {
        if self.present.is_none_or(|known| known.at <= present.at) {
            self.present = Some(present);
        }
    }

    /// The slow average, if there is evidence.
    #[must_use]
    pub fn average(&self) -> Option<f64> {
        (self.average.weight >= PRIOR_WEIGHT).then_some(self.average.log_factor)
    }

    /// Reduces the weight of the evidence for its age. A runner that counts as slow gets few calls,
    /// and so little evidence that it has become faster.
    pub fn age(&mut self, now: TimePoint) {
        let half_lives = now.since(self.aged_at).as_seconds() / EVIDENCE_HALF_LIFE.as_seconds();
        self.average.weight *= 0.5_f64.powf(half_lives);
        self.aged_at = now;
    }

    /// Settles the factor, relative to the median `center` of the service.
    pub fn settle(&mut self, center: f64) {
        let SpeedEvidence { log_factor, weight } = self.average;
        let pulled = (log_factor - center) * weight / (weight + PRIOR_WEIGHT);
        let band = DEAD_BAND + DEAD_BAND_SPREAD / weight.max(PRIOR_WEIGHT).sqrt();
        self.settled = if pulled.abs() > band { pulled } else { 0.0 };
    }

    /// Logarithm of the settled factor; 0 inside the dead band.
    #[must_use]
    pub fn settled(&self) -> f64 {
        self.settled
    }

    /// Factor by which work takes longer at this runner than usual; 1 without evidence.
    #[must_use]
    pub fn settled_factor(&self) -> f64 {
        if self.settled == 0.0 { 1.0 } else { self.settled.exp() }
    }

    /// Factor expected now: the settled one, moved towards the present figure as far as that is
    /// recent.
    #[must_use]
    pub fn factor(&self, now: TimePoint) -> f64 {
        let present = self.present.filter(|present| now.since(present.at) < PRESENT_SPAN);
        let Some(present) = present else { return self.settled_factor() };
        if present.deviation.abs() < PRESENT_BAND {
            return self.settled_factor();
        }
        let trust = 1.0 - now.since(present.at).as_seconds() / PRESENT_SPAN.as_seconds();
        (self.settled + trust * present.deviation).exp()
    }

    /// Takes what the other entries have not been told yet.
    pub fn take_fresh(&mut self) -> (SpeedEvidence, Option<PresentSpeed>) {
        let present = self.present.filter(|_| std::mem::take(&mut self.is_present_fresh));
        (std::mem::take(&mut self.fresh), present)
    }

    /// Weight of the evidence that the other entries have not been told yet.
    #[must_use]
    pub fn fresh_weight(&self) -> f64 {
        self.fresh.weight
    }
}
