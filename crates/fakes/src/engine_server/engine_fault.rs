//! Faults of the engine's stand-in.

use std::cell::Cell;

use base::TimePoint;
use serde::{Deserialize, Serialize};

/// Body of `POST /fault`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// Every step takes this many times as long; 1 ends it.
    Slow(f64),
    /// `/load` repeats one report, which grows older.
    FreezeReports(bool),
    /// The engine announces that it leaves: in its report, and by 503 to new work.
    Leaving(bool),
    /// Closes every reader's connection now; generations go on.
    KillStreams(bool),
    /// No stream passes tokens on for this many milliseconds from now; generations go on.
    StallMs(u64),
    /// Surrounds the next token events with early, repeated, late and crossed ones.
    Duplicate(u32),
    /// Ends the process at once with this exit code.
    Exit(i32),
}

/// Faults in force.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    pub reports_frozen: Cell<bool>,
    pub stall_until: Cell<TimePoint>,
    pub duplicates: Cell<u32>,
}

impl FaultState {
    /// Uses up one event to surround, if any is left.
    pub fn take_duplicate(&self) -> bool {
        let count = self.duplicates.get();
        self.duplicates.set(count.saturating_sub(1));
        count > 0
    }
}
