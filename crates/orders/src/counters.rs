//! Counts of an order controller.

use serde::Serialize;

/// What happened since the counters were last taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct OrderCounters {
    /// Claims appended, renewals included.
    pub claims: u64,
    /// Places lost to another claimant.
    pub lost_places: u64,
    /// Orders sent.
    pub orders: u64,
    /// Orders refused for their fencing number.
    pub refused: u64,
    /// Records that are no claims of a known version.
    pub unreadable: u64,
    /// Orders held back because an earlier claimant may wake.
    pub blocked: u64,
}
