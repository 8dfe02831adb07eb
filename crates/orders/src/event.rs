//! Input events of [`crate::OrderController`].

use base::{FencingNumber, prelude::*};
use serde::{Deserialize, Serialize};

use crate::OrderPlan;

/// State of an entry VM, combined from all sources of this steward.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderMember {
    /// Id of the VM.
    pub vm: VmId,
    /// The VM is shutting down.
    pub leaving: bool,
    /// No message of its steward arrived recently.
    pub silent: bool,
}

/// A runner, its service and its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderRunner {
    /// Id of the runner.
    pub runner: RunnerId,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Its failure domain.
    pub place: PlaceName,
    /// The runner is shutting down.
    pub leaving: bool,
}

/// An event for the controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// A page of the stream `orders` was read, starting at
    /// [`crate::OrderController::next_offset`].
    Log {
        /// Oldest offset that the log retains.
        first: LogOffset,
        /// The records with their offsets, in ascending order.
        records: Vec<(LogOffset, Arc<str>)>,
        /// The stream has no records after this page.
        at_end: bool,
    },
    /// The platform's VM list was read.
    VmList {
        /// [`crate::OrderController::offset`] when the list was requested.
        after: LogOffset,
        /// All VMs on the list.
        vms: Vec<VmId>,
    },
    /// All entry VMs, including this one; replaces the previous list.
    Members(Vec<OrderMember>),
    /// The configuration in force changed.
    Plan(OrderPlan),
    /// All runners; replaces the previous list.
    Runners(Vec<OrderRunner>),
    /// A report of a runner arrived; its age is the age at the time of this event.
    Report(RunnerReport),
    /// A runner refused an order because it had accepted a higher fencing number.
    Refused {
        /// The runner.
        runner: RunnerId,
        /// Lower bound of the number that it accepted.
        fence: FencingNumber,
    },
    /// Timer tick; expected once per second.
    Tick,
}
