//! The platform's list of machines, as our processes hold it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{PlaceName, ServiceName, VmId};

/// What a machine is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs our own processes; `address` is its caller-facing entry.
    Entry,
    /// A back end; its `RunnerId` is the text of its `VmId`.
    Runner,
}

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// Announced to leave: it gets no new work.
    Leaving,
}

/// One line of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the machine.
    pub vm: VmId,
    /// Failure domain.
    pub place: PlaceName,
    /// What it is for.
    pub role: VmRole,
    /// Service of a runner; none for entries.
    pub service: Option<ServiceName>,
    /// HTTP address: of the runner, or of the entry.
    pub address: SocketAddr,
    /// UDP address of the steward on an entry machine; none for runners.
    pub steward: Option<SocketAddr>,
    /// Whether it stays.
    pub state: VmState,
}
