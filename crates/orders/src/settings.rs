//! Settings of an order controller.

use base::prelude::*;

/// Who the controller is, and its paces.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderSettings {
    /// Its machine.
    pub vm: VmId,
    /// Its process's start.
    pub incarnation: VmIncarnation,
    /// Age at which a claim is renewed; well below the log's retention.
    pub renew_after: TimeSpan,
    /// Time after which a claim that was not read back is appended again.
    pub append_retry: TimeSpan,
    /// Time after which an order that reports do not show yet is sent again.
    pub order_retry: TimeSpan,
    /// Time that the entries need to learn that a model is going to be unloaded.
    pub drain_notice: TimeSpan,
    /// Time between two loads from the weight store, over all holders.
    pub load_interval: TimeSpan,
}
