//! Settings of the order controller.

use base::prelude::*;

/// Identity of the controller's process, and its intervals.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderSettings {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Start of the process.
    pub incarnation: VmIncarnation,
    /// Age at which a claim is renewed; has to be well below the log's retention.
    pub renew_after: TimeSpan,
    /// Delay before a claim that was not read back is appended again.
    pub append_retry: TimeSpan,
    /// Delay before an order that is not reflected in the runner's reports is sent again.
    pub order_retry: TimeSpan,
    /// Time within which all entries learn that a model is about to be unloaded.
    pub drain_notice: TimeSpan,
    /// Minimum interval between two loads from the weight store, over all holders.
    pub load_interval: TimeSpan,
}
