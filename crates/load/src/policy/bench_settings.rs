//! What a run is to be.

use base::prelude::*;

use crate::policy::{BenchPolicy, FaultName, Workload};

/// What a run is to be.
#[derive(Debug, Clone)]
pub struct BenchSettings {
    /// The workload.
    pub workload: Workload,
    /// Who decides.
    pub policy: BenchPolicy,
    /// Seed of all draws.
    pub seed: u64,
    /// Arrivals relative to the capacity.
    pub load: f64,
    /// The fault.
    pub fault: FaultName,
    /// When the fault begins and goes.
    pub fault_window: (TimePoint, TimePoint),
    /// The entries are told what a runner's answer says of it: that it leaves, or the time before
    /// which it accepts no calls.
    pub notices_told: bool,
    /// What is measured.
    pub window: (TimePoint, TimePoint),
    /// End of the run.
    pub until: TimePoint,
}

impl BenchSettings {
    /// A run of 180 s that measures from 30 s to 150 s, with any fault from 60 s to 90 s.
    #[must_use]
    pub fn new(workload: Workload, policy: BenchPolicy, seed: u64, load: f64) -> Self {
        let at = |seconds| TimePoint::default() + TimeSpan::seconds(seconds);
        Self {
            workload,
            policy,
            seed,
            load,
            fault: FaultName::None,
            fault_window: (at(60), at(90)),
            notices_told: true,
            window: (at(30), at(150)),
            until: at(180),
        }
    }

    /// Measures between these two instants only.
    pub fn measure_seconds(&mut self, first: u64, last: u64) {
        let at = |seconds| TimePoint::default() + TimeSpan::seconds(seconds);
        self.window = (at(first), at(last));
        self.until = self.until.max(at(last));
    }
}
