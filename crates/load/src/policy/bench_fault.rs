//! Faults that a run can have.

use std::fmt;
use std::str::FromStr;

use crate::policy::PolicyError;

/// A fault; it begins and goes at fixed instants of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultName {
    /// None.
    None,
    /// One engine dies, and is replaced at the end.
    EngineKilled,
    /// Two engines announce that they leave and die soon after.
    EnginesReclaimed,
    /// As [`Self::EnginesReclaimed`], but only the engines' answers say that they leave.
    EnginesLeaveByAnswer,
    /// One engine becomes several times slower.
    SlowEngine,
    /// No load report arrives.
    ReportsFrozen,
    /// Prefix caches empty all the time, and cache events are lost.
    CacheLost,
    /// Calls arrive at a multiple of the rate.
    Burst,
    /// One entry dies with its calls; callers come back to others.
    EntryGone,
    /// A third of the runners turns calls away for 3 s, then the next third.
    RunnersTurnAway,
}

const FAULTS: [(&str, FaultName); 10] = [
    ("none", FaultName::None),
    ("engine-killed", FaultName::EngineKilled),
    ("engines-reclaimed", FaultName::EnginesReclaimed),
    ("engines-leave-by-answer", FaultName::EnginesLeaveByAnswer),
    ("slow-engine", FaultName::SlowEngine),
    ("reports-frozen", FaultName::ReportsFrozen),
    ("cache-lost", FaultName::CacheLost),
    ("burst", FaultName::Burst),
    ("entry-gone", FaultName::EntryGone),
    ("runners-turn-away", FaultName::RunnersTurnAway),
];

impl fmt::Display for FaultName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, _) = FAULTS.iter().find(|(_, fault)| fault == self).unwrap_or(&FAULTS[0]);
        f.write_str(name)
    }
}

impl FromStr for FaultName {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let found = FAULTS.iter().find(|(name, _)| *name == text);
        let unknown = || PolicyError::UnknownName { what: "fault", text: text.into() };
        found.map(|(_, fault)| *fault).ok_or_else(unknown)
    }
}
