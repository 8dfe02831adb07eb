//! Event counters of a relay.

use serde::Serialize;

/// Counts since the last call of [`crate::TokenRelay::take_counters`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct RelayCounters {
    /// New tokens accepted for the caller.
    pub accepted: u64,
    /// Delivered tokens that were read again to rebuild the prefix.
    pub regained: u64,
    /// Tokens dropped because their index was already read.
    pub duplicates: u64,
    /// Tokens dropped because they belong to another generation or attempt.
    pub crossed: u64,
    /// Tokens dropped because an earlier token is missing.
    pub gaps: u64,
    /// Events of earlier reads or attempts, and events after the end.
    pub stale: u64,
    /// Reads resumed at the same runner.
    pub resumes: u64,
    /// New attempts that start from the beginning.
    pub restarts: u64,
    /// New attempts that continue from a prefix.
    pub continued: u64,
    /// Attempts that routing took off their runner.
    pub withdrawn: u64,
}
