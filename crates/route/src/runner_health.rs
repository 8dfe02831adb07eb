//! Ejection of runners that fail, refuse or are much slower than the others, and their
//! way back (outlier ejection).

use base::prelude::*;
use serde::Serialize;

/// Time for which a runner is ejected the first time; it doubles with each further time.
const FIRST_EJECTION: TimeSpan = TimeSpan::seconds(1);
/// Doublings of the ejection time at most.
const EJECTION_DOUBLINGS: u32 = 4;
/// Time after an ejection in which a runner gets one call for each report.
const RECOVERY_SPAN: TimeSpan = TimeSpan::seconds(2);
/// Step time, relative to the average of the service, from which a runner is slow.
const SLOW_RATIO: f64 = 2.0;
/// Slow reports in a row that eject a runner.
const SLOW_REPORTS: u32 = 2;

/// Health of one runner, as one entry sees it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunnerHealth {
    /// It gets no call before.
    pub ejected_until: TimePoint,
    /// Ejections in a row.
    pub ejections: u32,
    slow_reports: u32,
}

impl RunnerHealth {
    /// An attempt at the runner failed, or the runner refused it.
    pub fn record_failure(&mut self, now: TimePoint) {
        if self.ejected_until <= now {
            self.eject(now);
        }
    }

    /// An attempt ended well.
    pub fn record_success(&mut self) {
        if self.slow_reports == 0 {
            self.ejections = 0;
        }
    }

    /// A report shows this step time; `average` is that of the service.
    pub fn record_step(&mut self, now: TimePoint, step: TimeSpan, average: f64) {
        let slow = average > 0.0 && step.0 as f64 > SLOW_RATIO * average;
        self.slow_reports = if slow { self.slow_reports + 1 } else { 0 };
        if self.slow_reports >= SLOW_REPORTS && self.ejected_until <= now {
            self.eject(now);
        }
    }

    /// Whether the runner may get calls.
    #[must_use]
    pub fn is_available(&self, now: TimePoint) -> bool {
        self.ejected_until <= now
    }

    /// Whether the runner comes back from an ejection and gets few calls.
    #[must_use]
    pub fn is_recovering(&self, now: TimePoint) -> bool {
        self.ejections > 0 && now < self.ejected_until + RECOVERY_SPAN
    }

    fn eject(&mut self, now: TimePoint) {
        let factor = 1 << self.ejections.min(EJECTION_DOUBLINGS);
        self.ejected_until = now + TimeSpan(FIRST_EJECTION.0 * factor);
        self.ejections += 1;
    }
}
