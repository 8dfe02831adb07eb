//! The other nodes: who lives, who takes callers, who knows more.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use base::rendezvous_score;

use crate::{PeerHeartbeat, PlanVersion};

/// Time between two heartbeats of a node, for each node of the fleet: what a node sends and
/// takes stays at a hundred heartbeats a second.
const BEAT_SPAN_PER_NODE: TimeSpan = TimeSpan::millis(10);
/// Least and longest time between two heartbeats.
const BEAT_SPANS: [TimeSpan; 2] = [TimeSpan::millis(100), TimeSpan::millis(1_000)];
/// Heartbeats that may be lost before a node is taken to be gone.
const LOST_BEATS: u64 = 4;
/// Least silence after which a node is taken to be gone.
const LEAST_SILENT_SPAN: TimeSpan = TimeSpan::millis(1_000);
/// Silence after which a node's address is no longer tried.
const FORGET_SPAN: TimeSpan = TimeSpan::seconds(30);

/// Heartbeats after which a reader that is not heard no longer counts.
const READER_BEATS: u64 = 2;
/// Least and longest silence after which that is so: others have to read well within the
/// time in which a change must be in force.
const READER_SPANS: [TimeSpan; 2] = [TimeSpan::millis(500), TimeSpan::millis(1_700)];
/// One reader of the configuration for so many nodes, so that a fault that strikes a third
/// of the nodes hardly strikes all readers.
const NODES_PER_READER: usize = 16;
/// Readers of the configuration at least.
const LEAST_READERS: usize = 2;

#[derive(Debug)]
struct PeerEntry {
    beat: PeerHeartbeat,
    heard: TimePoint,
}

/// All other nodes.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmId, PeerEntry>,
    /// Addresses read from the store, which may be of nodes that are gone.
    listed: BTreeMap<VmId, SocketAddr>,
    last_heard: Option<TimePoint>,
}

impl PeerTable {
    /// Takes a heartbeat; false if a newer one was there.
    pub fn record_heartbeat(&mut self, now: TimePoint, beat: PeerHeartbeat) -> bool {
        let stale = self.peers.get(&beat.vm).is_some_and(|entry| {
            entry.beat.incarnation == beat.incarnation && entry.beat.sequence >= beat.sequence
        });
        if stale {
            return false;
        }
        self.last_heard = Some(now);
        self.peers.insert(beat.vm.clone(), PeerEntry { beat, heard: now });
        true
    }

    /// Notes the address of a node that the store lists.
    pub fn add_listed_address(&mut self, vm: VmId, peer: SocketAddr) {
        self.listed.insert(vm, peer);
    }

    /// Drops nodes that have been silent for long; gives those that have just fallen
    /// silent, whose load no longer counts.
    pub fn prune(&mut self, now: TimePoint) -> Vec<VmId> {
        self.peers.retain(|_, entry| now.since(entry.heard) < FORGET_SPAN);
        let span = self.silent_span();
        let silent = self.peers.values().filter(|entry| now.since(entry.heard) >= span);
        silent.map(|entry| entry.beat.vm.clone()).collect()
    }

    /// Time between two heartbeats, which grows with the fleet.
    #[must_use]
    pub fn heartbeat_interval(&self) -> TimeSpan {
        let [least, longest] = BEAT_SPANS;
        let span = TimeSpan(BEAT_SPAN_PER_NODE.0 * self.fleet_size() as u64);
        span.clamp(least, longest)
    }

    /// Silence after which a node is taken to be gone.
    fn silent_span(&self) -> TimeSpan {
        TimeSpan(self.heartbeat_interval().0 * LOST_BEATS).max(LEAST_SILENT_SPAN)
    }

    /// Heartbeats of the nodes that live.
    pub fn live(&self, now: TimePoint) -> impl Iterator<Item = &PeerHeartbeat> {
        let span = self.silent_span();
        let alive = move |entry: &&PeerEntry| now.since(entry.heard) < span;
        self.peers.values().filter(alive).map(|entry| &entry.beat)
    }

    /// Nodes that may spend a part of a shared budget: all heard of lately, and this one.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Where heartbeats go: to nodes heard of lately, and to those that the store lists.
    #[must_use]
    pub fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        let mut all: BTreeMap<&VmId, SocketAddr> =
            self.listed.iter().map(|(vm, address)| (vm, *address)).collect();
        all.extend(self.peers.values().map(|entry| (&entry.beat.vm, entry.beat.peer_address)));
        let mut addresses: Vec<SocketAddr> = all.into_values().collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Nodes that read the store and come before `vm` in an order that all share: the first
    /// ones read for the others, the next ones stand by.
    ///
    /// Only nodes that were heard lately count, since one that stands still reads nothing.
    #[must_use]
    pub fn readers_ahead_of(&self, now: TimePoint, vm: &VmId) -> usize {
        let span = TimeSpan(self.heartbeat_interval().0 * READER_BEATS)
            .clamp(READER_SPANS[0], READER_SPANS[1]);
        let reads =
            |entry: &&PeerEntry| entry.beat.store_reachable && now.since(entry.heard) < span;
        let own = reader_rank(vm);
        self.peers.values().filter(reads).filter(|entry| reader_rank(&entry.beat.vm) < own).count()
    }

    /// Nodes that wait for changes of the configuration at a time.
    #[must_use]
    pub fn target_reader_count(&self) -> usize {
        (self.fleet_size() / NODES_PER_READER).max(LEAST_READERS)
    }

    /// Live nodes with a newer configuration: those with the newest one.
    #[must_use]
    pub fn peers_with_newer_plan(
        &self,
        now: TimePoint,
        own: Option<PlanVersion>,
    ) -> Vec<SocketAddr> {
        let newest = self.live(now).map(|beat| beat.plan_version).max().filter(|plan| *plan > own);
        let holders = self.live(now).filter(|beat| Some(beat.plan_version) == newest);
        holders.map(|beat| beat.peer_address).collect()
    }

    /// A live node that has read more of the list of runners.
    #[must_use]
    pub fn peer_with_newer_runners(&self, now: TimePoint, own: LogOffset) -> Option<SocketAddr> {
        let ahead = self.live(now).filter(|beat| beat.runners_offset > own);
        ahead.max_by_key(|beat| beat.runners_offset).map(|beat| beat.peer_address)
    }

    /// Whether nodes were heard before, and none since `since`.
    #[must_use]
    pub fn all_silent_since(&self, since: TimePoint) -> bool {
        self.last_heard.is_some_and(|heard| heard < since)
    }
}

/// Place of a node among the readers; neighbours by name are not neighbours here.
fn reader_rank(vm: &VmId) -> (u64, &VmId) {
    (rendezvous_score("reader", vm.as_str()), vm)
}
