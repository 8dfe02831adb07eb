//! Counts of a booking desk.

use serde::Serialize;

/// What happened since the counters were last taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct BookingCounters {
    /// Permissions to send.
    pub sends: u64,
    /// Replies with a target's answer.
    pub done: u64,
    /// Replies that say not run.
    pub not_run: u64,
    /// Replies that say unknown.
    pub unknown: u64,
    /// Calls passed to their home.
    pub forwarded: u64,
    /// Retries that waited for an answer under way.
    pub joined: u64,
    /// New keys refused because the table is full.
    pub table_full: u64,
    /// Entries evicted after the end of their tag.
    pub evicted: u64,
    /// Events about sends that are no longer current.
    pub stale: u64,
    /// Entries taken over from stopping homes.
    pub adopted: u64,
}
