//! Counters of the order controller.

use serde::Serialize;

/// Number of events since the counters were last taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct OrderCounters {
    /// Claims appended, renewals included.
    pub claims: u64,
    /// Places whose holder changed from this process to another claimant.
    pub lost_places: u64,
    /// Orders sent.
    pub orders: u64,
    /// Orders that a runner refused because of their fencing number.
    pub refused: u64,
    /// Records that are not claims of a supported version.
    pub unreadable: u64,
    /// Orders not sent because an earlier claimant may still send orders.
    pub blocked: u64,
}
