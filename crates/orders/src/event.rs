//! What an [`crate::OrderController`] is told.

use base::{FencingNumber, prelude::*};
use serde::{Deserialize, Serialize};

use crate::OrderPlan;

/// An entry VM as this steward knows it, from all its sources.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderMember {
    /// The machine.
    pub vm: VmId,
    /// It leaves.
    pub leaving: bool,
    /// Its steward has not been heard for a while.
    pub silent: bool,
}

/// A runner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderRunner {
    /// The runner.
    pub runner: RunnerId,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub place: PlaceName,
    /// It leaves.
    pub leaving: bool,
}

/// An event for the controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// A page of the stream `orders` was read from the controller's
    /// [`crate::OrderController::next_offset`] on.
    Log {
        /// Oldest offset retained.
        first: LogOffset,
        /// The records, by offset.
        records: Vec<(LogOffset, Arc<str>)>,
        /// Nothing after them is in the stream.
        at_end: bool,
    },
    /// The platform's VM list was read.
    VmList {
        /// The controller's [`crate::OrderController::offset`] when the list was asked for.
        after: LogOffset,
        /// All machines on it.
        vms: Vec<VmId>,
    },
    /// The entry VMs, this one among them; replaces earlier ones.
    Members(Vec<OrderMember>),
    /// The configuration in force.
    Plan(OrderPlan),
    /// All runners; replaces earlier ones.
    Runners(Vec<OrderRunner>),
    /// A runner's report; its age is counted up to now.
    Report(RunnerReport),
    /// A runner refused an order because it has accepted this higher fencing number.
    Refused {
        /// The runner.
        runner: RunnerId,
        /// The number.
        fence: FencingNumber,
    },
    /// Time passed; to be given every second.
    Tick,
}
