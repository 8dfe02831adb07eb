//! The other nodes of the fleet: which are alive, which read the store, and which hold newer
//! state than this node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use base::rendezvous_score;

use crate::{PeerHeartbeat, PlanVersion};

/// Heartbeat interval per node in the fleet. A node sends a heartbeat to every other node, so
/// the interval grows with the fleet: up to 100 nodes, each sends and receives at most about 100
/// heartbeats a second.
const HEARTBEAT_INTERVAL_PER_NODE: TimeSpan = TimeSpan::millis(10);
/// Shortest and longest heartbeat interval.
const HEARTBEAT_INTERVAL_BOUNDS: [TimeSpan; 2] = [TimeSpan::millis(100), TimeSpan::millis(1_000)];
/// Consecutive heartbeats that may be missed before a node is considered dead.
const MAX_MISSED_HEARTBEATS: u64 = 4;
/// Lower bound of the silence after which a node is considered dead.
const MIN_LIVENESS_TIMEOUT: TimeSpan = TimeSpan::millis(1_000);
/// Silence after which a node's entry is dropped and heartbeats are no longer sent to it,
/// unless the store lists its address.
const FORGET_TIMEOUT: TimeSpan = TimeSpan::seconds(30);

/// Missed heartbeats after which a node no longer counts as a reader of the store.
const READER_MISSED_HEARTBEATS: u64 = 2;
/// Bounds of the silence after which a reader no longer counts. The upper bound leaves the
/// next reader time to read a change before it has to be in force.
const READER_TIMEOUT_BOUNDS: [TimeSpan; 2] = [TimeSpan::millis(500), TimeSpan::millis(1_700)];
/// Fleet size per configuration reader. With several readers in a large fleet, a fault that
/// hits a third of the nodes is unlikely to hit all of them.
const NODES_PER_READER: usize = 16;
/// Minimum number of configuration readers.
const MIN_READERS: usize = 2;

#[derive(Debug)]
struct PeerEntry {
    heartbeat: PeerHeartbeat,
    received_at: TimePoint,
}

/// The known other nodes, with the latest heartbeat of each.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmId, PeerEntry>,
    /// Addresses read from the store; some may belong to nodes that no longer exist.
    listed: BTreeMap<VmId, SocketAddr>,
    last_heartbeat_at: Option<TimePoint>,
    /// Newest era of the store known to this node.
    store_era: StoreEra,
}

impl PeerTable {
    /// Stores a heartbeat. Returns `false` if one of the same incarnation with an equal or
    /// higher sequence number is already known.
    pub fn record_heartbeat(&mut self, now: TimePoint, heartbeat: PeerHeartbeat) -> bool {
        let stale = self.peers.get(&heartbeat.vm).is_some_and(|entry| {
            entry.heartbeat.incarnation == heartbeat.incarnation
                && entry.heartbeat.sequence >= heartbeat.sequence
        });
        if stale {
            return false;
        }
        self.last_heartbeat_at = Some(now);
        self.peers.insert(heartbeat.vm.clone(), PeerEntry { heartbeat, received_at: now });
        true
    }

    /// Adds the address of a node that is listed in the store.
    pub fn add_listed_address(&mut self, vm: VmId, address: SocketAddr) {
        self.listed.insert(vm, address);
    }

    /// Number of other nodes that the store lists or has listed.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Drops nodes that have been silent for `FORGET_TIMEOUT`. Returns the remaining ones
    /// that are considered dead, so that the caller can discard their load.
    pub fn prune(&mut self, now: TimePoint) -> Vec<VmId> {
        self.peers.retain(|_, entry| now.since(entry.received_at) < FORGET_TIMEOUT);
        let timeout = self.liveness_timeout();
        let silent = self.peers.values().filter(|entry| now.since(entry.received_at) >= timeout);
        silent.map(|entry| entry.heartbeat.vm.clone()).collect()
    }

    /// Time between two heartbeats of this node; grows with the fleet.
    #[must_use]
    pub fn heartbeat_interval(&self) -> TimeSpan {
        let [shortest, longest] = HEARTBEAT_INTERVAL_BOUNDS;
        let interval = TimeSpan(HEARTBEAT_INTERVAL_PER_NODE.0 * self.fleet_size() as u64);
        interval.clamp(shortest, longest)
    }

    /// Silence after which a node is considered dead.
    fn liveness_timeout(&self) -> TimeSpan {
        TimeSpan(self.heartbeat_interval().0 * MAX_MISSED_HEARTBEATS).max(MIN_LIVENESS_TIMEOUT)
    }

    /// Latest heartbeats of the nodes that are alive.
    pub fn live(&self, now: TimePoint) -> impl Iterator<Item = &PeerHeartbeat> {
        let timeout = self.liveness_timeout();
        let alive = move |entry: &&PeerEntry| now.since(entry.received_at) < timeout;
        self.peers.values().filter(alive).map(|entry| &entry.heartbeat)
    }

    /// Latest heartbeat of a node that has not been forgotten, even if it is considered dead.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<&PeerHeartbeat> {
        self.peers.get(vm).map(|entry| &entry.heartbeat)
    }

    /// Number of nodes that share fleet-wide budgets: this one and all that have not been
    /// forgotten, including those considered dead.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Addresses to send heartbeats to: all nodes that have not been forgotten and those listed
    /// in the store. The address from a node's own heartbeat takes precedence.
    #[must_use]
    pub fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        let mut all: BTreeMap<&VmId, SocketAddr> =
            self.listed.iter().map(|(vm, address)| (vm, *address)).collect();
        all.extend(
            self.peers.values().map(|entry| (&entry.heartbeat.vm, entry.heartbeat.peer_address)),
        );
        let mut addresses: Vec<SocketAddr> = all.into_values().collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Number of nodes that precede `vm` in the order in which nodes read the store for the
    /// fleet, which is the same on all nodes; `reaches_store` tells whether the store has
    /// answered `vm` recently. The first ones read, the next ones are standbys.
    ///
    /// Nodes that the store answers precede all others. While it answers none, they keep their
    /// order, so that an outage does not turn the whole fleet into readers. Only nodes with a
    /// recent heartbeat count, because a stalled node reads nothing.
    #[must_use]
    pub fn readers_ahead_of(&self, now: TimePoint, vm: &VmId, reaches_store: bool) -> usize {
        let timeout = TimeSpan(self.heartbeat_interval().0 * READER_MISSED_HEARTBEATS)
            .clamp(READER_TIMEOUT_BOUNDS[0], READER_TIMEOUT_BOUNDS[1]);
        let is_recent = |entry: &&PeerEntry| now.since(entry.received_at) < timeout;
        let own = reader_rank(vm);
        let precedes = |entry: &PeerEntry| match (entry.heartbeat.store_reachable, reaches_store) {
            (true, false) => true,
            (false, true) => false,
            _ => reader_rank(&entry.heartbeat.vm) < own,
        };
        self.peers.values().filter(is_recent).filter(|entry| precedes(entry)).count()
    }

    /// Number of nodes that should follow the configuration in the store at the same time.
    #[must_use]
    pub fn target_reader_count(&self) -> usize {
        (self.fleet_size() / NODES_PER_READER).max(MIN_READERS)
    }

    /// Addresses of the live nodes that hold the newest configuration, if it is newer than
    /// `own`.
    #[must_use]
    pub fn peers_with_newer_plan(
        &self,
        now: TimePoint,
        own: Option<PlanVersion>,
    ) -> Vec<SocketAddr> {
        let newest =
            self.live(now).map(|heartbeat| heartbeat.plan_version).max().filter(|plan| *plan > own);
        let holders = self.live(now).filter(|heartbeat| Some(heartbeat.plan_version) == newest);
        holders.map(|heartbeat| heartbeat.peer_address).collect()
    }

    /// Records the newest era of the store. Offsets of other eras are not compared.
    pub fn set_store_era(&mut self, era: StoreEra) {
        self.store_era = era;
    }

    /// Addresses of the live nodes that have read furthest in the runner list in the newest era of
    /// the store, if that is past `own`.
    #[must_use]
    pub fn peers_with_newer_runners(&self, now: TimePoint, own: LogOffset) -> Vec<SocketAddr> {
        let current = || self.live(now).filter(|heartbeat| heartbeat.store_era == self.store_era);
        let furthest = current().map(|heartbeat| heartbeat.runners_offset).max();
        let furthest = furthest.filter(|offset| *offset > own);
        let holders = current().filter(|heartbeat| Some(heartbeat.runners_offset) == furthest);
        holders.map(|heartbeat| heartbeat.peer_address).collect()
    }

    /// Whether a heartbeat was received since `since`.
    #[must_use]
    pub fn heard_since(&self, since: TimePoint) -> bool {
        self.last_heartbeat_at.is_some_and(|received_at| received_at >= since)
    }

    /// Whether heartbeats were received at some time, but none since `since`.
    #[must_use]
    pub fn all_silent_since(&self, since: TimePoint) -> bool {
        self.last_heartbeat_at.is_some_and(|received_at| received_at < since)
    }
}

/// Sort key of a node in the reader order; hashed, so that nodes with similar names are not
/// adjacent.
fn reader_rank(vm: &VmId) -> (u64, &VmId) {
    (rendezvous_score("reader", vm.as_str()), vm)
}
