//! Outlier ejection of runners that fail, refuse calls or are much slower than the others,
//! and their recovery.

use base::prelude::*;
use serde::Serialize;

/// Duration of a runner's first ejection; each further consecutive one lasts twice as long.
const FIRST_EJECTION: TimeSpan = TimeSpan::seconds(1);
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Time after an ejection during which a runner gets at most one call per report.
const RECOVERY_TIME: TimeSpan = TimeSpan::seconds(2);
/// Ratio of a runner's step time to the service average above which the runner is slow.
const SLOW_RATIO: f64 = 2.0;
/// Number of consecutive slow reports that eject a runner.
const SLOW_REPORTS: u32 = 2;

/// Health of one runner as observed by this entry.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunnerHealth {
    /// The runner gets no calls before this time.
    pub ejected_until: TimePoint,
    /// Number of consecutive ejections.
    pub ejections: u32,
    slow_reports: u32,
}

impl RunnerHealth {
    /// Records an attempt that failed or that the runner refused.
    pub fn record_failure(&mut self, now: TimePoint) {
        if self.ejected_until <= now {
            self.eject(now);
        }
    }

    /// Records an attempt that completed.
    pub fn record_success(&mut self) {
        if self.slow_reports == 0 {
            self.ejections = 0;
        }
    }

    /// Records the step time of a report; `average` is the service average in microseconds.
    pub fn record_step(&mut self, now: TimePoint, step: TimeSpan, average: f64) {
        let slow = average > 0.0 && step.0 as f64 > SLOW_RATIO * average;
        self.slow_reports = if slow { self.slow_reports + 1 } else { 0 };
        if self.slow_reports >= SLOW_REPORTS && self.ejected_until <= now {
            self.eject(now);
        }
    }

    /// Returns whether the runner is not ejected.
    #[must_use]
    pub fn is_available(&self, now: TimePoint) -> bool {
        self.ejected_until <= now
    }

    /// Returns whether the runner was ejected recently, so that it gets few calls.
    #[must_use]
    pub fn is_recovering(&self, now: TimePoint) -> bool {
        self.ejections > 0 && now < self.ejected_until + RECOVERY_TIME
    }

    fn eject(&mut self, now: TimePoint) {
        let factor = 1 << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + TimeSpan(FIRST_EJECTION.0 * factor);
        self.ejections += 1;
    }
}
