//! What nodes tell each other.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{PlanVersion, RunnerChange, RunnerIncarnation, RunnerLoad};

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent several times a second.
    Heartbeat(PeerHeartbeat),
    /// Sent when the sender has read the list of runners on.
    RunnerUpdate(RunnerUpdate),
}

/// What a read of the list of runners gave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUpdate {
    /// Where the read began.
    pub from: LogOffset,
    /// Where it ended.
    pub end: LogOffset,
    /// The changes between, without those that change nothing.
    pub changes: Vec<RunnerChange>,
}

/// A node's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The node.
    pub vm: VmId,
    /// Random number of its start.
    pub incarnation: VmIncarnation,
    /// Grows with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that nodes talk to, UDP and HTTP.
    pub peer_address: SocketAddr,
    /// Its failure domain.
    pub place: PlaceName,
    /// It takes new callers.
    pub ready: bool,
    /// The store has answered it lately.
    pub store_reachable: bool,
    /// Configuration that it has in force; none if it has none yet.
    pub plan_version: Option<PlanVersion>,
    /// End of the list of runners as far as it has read it.
    pub runners_offset: LogOffset,
    /// What it has at the runners.
    pub loads: Vec<RunnerLoad>,
    /// Services for which calls wait at it that can still be served in time.
    pub waiting_services: Vec<ServiceName>,
    /// Runners that told it that they leave: the list may come late, or not at all.
    pub leaving: Vec<RunnerIncarnation>,
}
