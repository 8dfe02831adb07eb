//! Counts of a relay.

use serde::Serialize;

/// What happened since the counters were last taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct RelayCounters {
    /// Tokens accepted for the caller.
    pub accepted: u64,
    /// Earlier tokens read again to regain a prefix.
    pub regained: u64,
    /// Tokens dropped because they were accepted before.
    pub duplicates: u64,
    /// Tokens dropped because they belong to another generation or attempt.
    pub crossed: u64,
    /// Tokens dropped because earlier ones are missing.
    pub gaps: u64,
    /// Events of earlier readings or attempts, and events after the end.
    pub stale: u64,
    /// Readings taken up again at the same runner.
    pub resumes: u64,
    /// New attempts from the start.
    pub restarts: u64,
    /// New attempts from a prefix.
    pub continued: u64,
    /// Attempts taken off their runner by routing.
    pub withdrawn: u64,
}
