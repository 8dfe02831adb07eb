//! Event counters of a booking coordinator.

use serde::Serialize;

/// Counts since the last call of [`crate::BookingCoordinator::take_counters`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct BookingCounters {
    /// `Send` actions, each of which permits one send.
    pub sends: u64,
    /// Replies with the target's answer.
    pub done: u64,
    /// Replies with the outcome *not run*.
    pub not_run: u64,
    /// Replies with the outcome *unknown*.
    pub unknown: u64,
    /// Calls forwarded to their home.
    pub forwarded: u64,
    /// Retries that waited for a send in progress.
    pub joined: u64,
    /// New keys refused because the table is full.
    pub table_full: u64,
    /// Entries evicted after their retention time.
    pub evicted: u64,
    /// Events of sends that are no longer current, and tables meant for another process.
    pub stale: u64,
    /// Entries adopted from stopping homes.
    pub adopted: u64,
}
