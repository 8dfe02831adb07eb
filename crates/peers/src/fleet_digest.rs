//! The steward's view: the digests that it exchanges with its peers.

use std::net::SocketAddr;

use base::CacheEvent;
use base::prelude::*;
use config::FollowerMember;

use crate::digest::{ChangeCursor, Digest};
use crate::node_state::NodeState;
use crate::runner_state::{ReportSource, RunnerState};
use crate::{FleetDesk, ReportDelta, starts_exchange};

/// Silence after which digests to a peer become less frequent.
const LONG_SILENCE: TimeSpan = TimeSpan::seconds(10);
/// Time between two digests to a peer that has been silent for [`LONG_SILENCE`].
const SILENT_PERIOD: TimeSpan = TimeSpan::seconds(5);
/// Time between two full reconciles with one peer, in a fleet of up to
/// [`RECONCILE_NODES`] machines.
const RECONCILE_PERIOD: TimeSpan = TimeSpan::seconds(60);
/// Machines up to which the period is the same; each doubling adds one more period.
const RECONCILE_NODES: usize = 128;

impl FleetDesk {
    /// Peers that should get a digest now; each is due again after a period. Of each pair
    /// one steward starts the exchanges and the other replies; it starts them itself once
    /// none has come for two periods.
    pub fn due_peers(&mut self, now: TimePoint) -> Vec<(VmId, SocketAddr)> {
        self.refresh_figures();
        let urgent = std::mem::take(&mut self.urgent);
        let (started, period) = (self.started, self.digest_period);
        let mut due = Vec::new();
        let topology = &self.topology;
        let direct = |vm: &VmId, node: &NodeState| node.is_present() && topology.is_direct(vm);
        for (vm, node) in self.nodes.iter_mut().filter(|(vm, node)| direct(vm, node)) {
            let silence = now.since(node.last_heard.unwrap_or(started));
            let is_silent = silence >= LONG_SILENCE;
            if now < node.next_digest && (is_silent || !urgent) {
                continue;
            }
            node.next_digest = now + if is_silent { SILENT_PERIOD } else { period };
            let recent = silence < period + period;
            if !urgent && recent && !starts_exchange(&self.own_record.vm, vm) {
                continue;
            }
            due.push((vm.clone(), node.steward));
        }
        due
    }

    /// When a peer is due next.
    #[must_use]
    pub fn next_due(&self, now: TimePoint) -> TimePoint {
        if self.urgent {
            return now;
        }
        let direct =
            self.nodes.iter().filter(|(vm, node)| node.is_present() && self.topology.is_direct(vm));
        let next = direct.map(|(_, node)| node.next_digest).min();
        next.unwrap_or(now + self.digest_period)
    }

    /// The changes that `peer` has not acknowledged.
    #[must_use]
    pub fn digest_for(&self, now: TimePoint, peer: &VmId) -> Digest {
        let node = self.nodes.get(peer);
        let acked = node.map_or(0, |node| node.acked);
        let mut cache_events: Vec<(RunnerId, CacheEvent)> = Vec::new();
        let mut reports = Vec::new();
        for runner in &self.assignment.polled {
            let Some(state) = self.runners.get(runner) else { continue };
            reports.extend(state.delta_since(now, acked));
            let events = state.events_since(acked, true);
            cache_events.extend(events.map(|event| (runner.clone(), event)));
        }
        Digest {
            from: self.own_record.vm.clone(),
            above: acked,
            until: ChangeCursor { incarnation: self.own_record.incarnation, change: self.change },
            seen: node.map_or_else(ChangeCursor::default, |node| node.seen),
            config_offset: self.config_offset,
            nodes: self.news_for(peer, acked),
            reports,
            leaving: self.leaving_runners.since(acked),
            cache_events,
        }
    }

    /// Applies a peer's digest; false if it is of an earlier incarnation of the peer.
    pub fn on_digest(&mut self, now: TimePoint, digest: Digest) -> bool {
        if digest.from == self.own_record.vm {
            return false;
        }
        let own = self.own_record.incarnation;
        let Some(known) = self.known_node(&digest) else { return false };
        if !known.observe_incarnation(now, digest.until.incarnation) {
            return false;
        }
        known.last_heard = Some(now);
        known.config_offset = digest.config_offset;
        let mut changed = !known.live;
        known.live = true;
        // Others have it as down; only a newer record of its own overrides that.
        known.suspected |= known.down;
        // A gap before this digest leaves the position as it is, so that the peer sends the
        // missing changes again.
        if digest.above <= known.seen.change {
            known.seen.change = known.seen.change.max(digest.until.change);
        }
        // A peer that restarted or asks for a reconcile acknowledges a lower position.
        known.acked = if digest.seen.incarnation == own { digest.seen.change } else { 0 };
        changed |= self.take_news(&digest.from, digest.nodes);
        if changed {
            self.change_entries();
        }
        if !self.take_deltas(now, digest.reports) {
            self.reconcile(&digest.from);
        }
        for leaving in digest.leaving {
            self.on_leaving(&leaving.runner, leaving.incarnation);
        }
        for (runner, event) in &digest.cache_events {
            self.take_event(runner, event, ReportSource::Peer);
        }
        true
    }

    /// Applies a peer's reports; false if one lacks a detail that is not known here either.
    fn take_deltas(&mut self, now: TimePoint, deltas: Vec<ReportDelta>) -> bool {
        let mut whole = true;
        for delta in deltas {
            let Some(state) = self.runners.get(&delta.runner) else { continue };
            match delta.whole(state.known.as_ref().map(|known| &known.report)) {
                Some(report) => self.take_report(now, report, ReportSource::Peer),
                None => whole = false,
            }
        }
        whole
    }

    /// Applies cache events that this steward polled.
    pub fn on_cache_events(&mut self, runner: &RunnerId, events: &[CacheEvent]) {
        for event in events {
            self.take_event(runner, event, ReportSource::Own);
        }
    }

    /// Asks `peer` for its whole state, with the next digest to it.
    pub fn reconcile(&mut self, peer: &VmId) {
        if let Some(node) = self.nodes.get_mut(peer) {
            node.seen.change = 0;
        }
    }

    /// The highest configuration that a live peer has, and its steward's address.
    #[must_use]
    pub fn newest_config(&self) -> Option<(LogOffset, SocketAddr)> {
        let live = self.nodes.values().filter(|node| node.live);
        live.map(|node| (node.config_offset, node.steward)).max()
    }

    /// Time between two full reconciles with one peer, which repair state that was
    /// acknowledged but lost. It grows with the fleet, as in Consul's anti-entropy
    /// ("Anti-Entropy Enforcement", Consul documentation), since a full digest does.
    #[must_use]
    pub fn reconcile_period(&self) -> TimeSpan {
        let nodes = self.nodes.len() + 1;
        let doublings = nodes.div_ceil(RECONCILE_NODES).next_power_of_two().trailing_zeros();
        TimeSpan(RECONCILE_PERIOD.0 * (1 + u64::from(doublings)))
    }

    /// Live peers with which this steward exchanges digests.
    #[must_use]
    pub fn live_peers(&self) -> Vec<VmId> {
        let live = self.nodes.iter().filter(|(vm, node)| node.live && self.topology.is_direct(vm));
        live.map(|(vm, _)| vm.clone()).collect()
    }

    /// All live stewards, this one included.
    #[must_use]
    pub fn members(&self) -> Vec<FollowerMember> {
        let own =
            FollowerMember { vm: self.own_record.vm.clone(), place: self.own_record.place.clone() };
        let live = self.nodes.iter().filter(|(_, node)| node.live && !node.is_leaving());
        let peers =
            live.map(|(vm, node)| FollowerMember { vm: vm.clone(), place: node.place.clone() });
        std::iter::once(own).chain(peers).collect()
    }

    fn known_node(&mut self, digest: &Digest) -> Option<&mut NodeState> {
        if !self.nodes.contains_key(&digest.from) {
            // The list lags behind: a record from a peer with a valid certificate is enough.
            let own = digest.nodes.iter().map(|news| &news.record);
            let record = own.into_iter().find(|record| record.vm == digest.from)?;
            let node = NodeState::new(record.place.clone(), record.steward);
            self.nodes.insert(digest.from.clone(), node);
        }
        self.nodes.get_mut(&digest.from)
    }

    fn take_event(&mut self, runner: &RunnerId, event: &CacheEvent, source: ReportSource) {
        let taken = self.runners.get_mut(runner).is_some_and(|state: &mut RunnerState| {
            state.take_event(event, source, self.change + 1)
        });
        if taken {
            self.change += 1;
        }
    }
}
