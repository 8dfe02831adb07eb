//! Messages exchanged between nodes.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    HeartbeatSections, InputUpdate, LimitUpdate, PlanVersion, RunnerChange, RunnerIncarnation,
    RunnerLoad,
};

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic state of the sender, sent several times a second.
    Heartbeat(Box<PeerHeartbeat>),
    /// Changes of the runner list, sent after the sender has read more of it.
    RunnerUpdate(RunnerUpdate),
}

/// Result of one incremental read of the runner list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerUpdate {
    /// Era of the store that the offsets belong to.
    pub era: StoreEra,
    /// Offset at which the read began.
    pub from: LogOffset,
    /// Offset at which the read ended.
    pub end: LogOffset,
    /// Changes between the two offsets, without those that had no effect.
    pub changes: Vec<RunnerChange>,
}

/// A node's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// VM of the sending node.
    pub vm: VmId,
    /// Random number that identifies this start of the node.
    pub incarnation: VmIncarnation,
    /// Increases with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other nodes use, for UDP and HTTP.
    pub peer_address: SocketAddr,
    /// Failure domain of the node.
    pub place: PlaceName,
    /// Whether the node accepts new callers.
    pub ready: bool,
    /// Whether the store has answered the node recently.
    pub store_reachable: bool,
    /// Whether the node reaches runners, as far as it knows.
    pub reaches_runners: bool,
    /// Version of the configuration in force; `None` before the first one.
    pub plan_version: Option<PlanVersion>,
    /// Newest era of the store that the node knows.
    pub store_era: StoreEra,
    /// Offset in that era up to which the node has read the runner list; 0 if it has not.
    pub runners_offset: LogOffset,
    /// Load that the node has placed on each runner.
    pub loads: Vec<RunnerLoad>,
    /// Services with queued calls on this node that can still be served in time.
    pub waiting_services: Vec<ServiceName>,
    /// Runners that told this node they are leaving. Peers learn it from here because the
    /// runner list may show it late or not at all.
    pub leaving: Vec<RunnerIncarnation>,
    /// What the node knows about inputs of calls that may crash runners.
    pub input_update: InputUpdate,
    /// What the node knows about limits of runners.
    pub limit_update: LimitUpdate,
    /// Optional sections, encoded after the message.
    #[serde(skip)]
    pub sections: HeartbeatSections,
}
