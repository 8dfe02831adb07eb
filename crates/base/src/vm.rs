//! Entries of the platform's VM list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{PlaceName, ServiceName, VmId};

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs an entry and a steward; `address` is the entry's address for callers.
    Entry,
    /// Runs a back end, whose `RunnerId` has the same text as the `VmId`.
    Runner,
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// Announced to be removed; it gets no new work.
    Leaving,
}

/// An entry of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Id of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub place: PlaceName,
    /// Role of the VM.
    pub role: VmRole,
    /// Service that a runner belongs to; `None` for entries.
    pub service: Option<ServiceName>,
    /// HTTP address of the runner or of the entry.
    pub address: SocketAddr,
    /// UDP address of the steward on an entry VM; `None` for runners.
    pub steward: Option<SocketAddr>,
    /// Lifecycle state.
    pub state: VmState,
}
