//! The steward's view: what it tells its peers, and what it takes from them.

use std::net::SocketAddr;

use base::CacheEvent;
use base::prelude::*;
use config::FollowerMember;

use crate::digest::{ChangeCursor, Digest};
use crate::node_state::NodeState;
use crate::runner_state::{ReportSource, RunnerState};
use crate::{FleetDesk, ReportDelta, starts_exchange};

/// Silence after which a peer is tried less often.
const LONG_SILENCE: TimeSpan = TimeSpan::seconds(10);
/// Time between two tries of a peer that is silent for long.
const SILENT_PERIOD: TimeSpan = TimeSpan::seconds(5);
/// Time between two full reconciles with one peer, in a fleet of up to
/// [`RECONCILE_NODES`] machines.
const RECONCILE_PERIOD: TimeSpan = TimeSpan::seconds(60);
/// Machines up to which the period stays; each doubling adds one more.
const RECONCILE_NODES: usize = 128;

impl FleetDesk {
    /// Peers that should get a digest now; each is then not due for a period. Of each
    /// pair one steward starts and the other replies, until that stays out.
    pub fn due_peers(&mut self, now: TimePoint) -> Vec<(VmId, SocketAddr)> {
        self.refresh_figures();
        let urgent = std::mem::take(&mut self.urgent);
        let (started, period) = (self.started, self.digest_period);
        let mut due = Vec::new();
        let present = |node: &NodeState| node.live || node.listed.is_some();
        let circle = &self.circle;
        let direct = |vm: &VmId, node: &NodeState| present(node) && circle.is_direct(vm);
        for (vm, node) in self.nodes.iter_mut().filter(|(vm, node)| direct(vm, node)) {
            let silent = now.since(node.heard.unwrap_or(started)) >= LONG_SILENCE;
            if now < node.next_digest && (silent || !urgent) {
                continue;
            }
            node.next_digest = now + if silent { SILENT_PERIOD } else { period };
            let recent = now.since(node.heard.unwrap_or(started)) < period + period;
            if !urgent && recent && !starts_exchange(&self.me.vm, vm) {
                continue;
            }
            due.push((vm.clone(), node.steward));
        }
        due
    }

    /// When the next peer is due.
    #[must_use]
    pub fn next_due(&self, now: TimePoint) -> TimePoint {
        if self.urgent {
            return now;
        }
        let present = |node: &NodeState| node.live || node.listed.is_some();
        let direct =
            self.nodes.iter().filter(|(vm, node)| present(node) && self.circle.is_direct(vm));
        let next = direct.map(|(_, node)| node.next_digest).min();
        next.unwrap_or(now + self.digest_period)
    }

    /// The news for `peer`.
    #[must_use]
    pub fn digest_for(&self, now: TimePoint, peer: &VmId) -> Digest {
        let node = self.nodes.get(peer);
        let acked = node.map_or(0, |node| node.acked);
        let mut cache_events: Vec<(RunnerId, CacheEvent)> = Vec::new();
        let mut reports = Vec::new();
        for runner in &self.duty.polled {
            let Some(state) = self.runners.get(runner) else { continue };
            reports.extend(state.delta_since(now, acked));
            let events = state.events_since(acked, true);
            cache_events.extend(events.map(|event| (runner.clone(), event)));
        }
        Digest {
            from: self.me.vm.clone(),
            above: acked,
            until: ChangeCursor { incarnation: self.me.incarnation, change: self.change },
            seen: node.map_or_else(ChangeCursor::default, |node| node.seen),
            config_offset: self.config_offset,
            nodes: self.news_for(peer, acked),
            reports,
            leaving: self.words.since(acked),
            cache_events,
        }
    }

    /// Takes a peer's news; false if they come from an earlier start of the peer.
    pub fn on_digest(&mut self, now: TimePoint, digest: Digest) -> bool {
        if digest.from == self.me.vm {
            return false;
        }
        let own = self.me.incarnation;
        let Some(known) = self.known_node(&digest) else { return false };
        if !known.meet(now, digest.until.incarnation) {
            return false;
        }
        known.heard = Some(now);
        known.config_offset = digest.config_offset;
        let mut changed = !known.live;
        known.live = true;
        // It was told to others as down: only its own next record takes that back.
        known.accused |= known.down;
        // A digest with a gap before it leaves the position, so that it is asked for again.
        if digest.above <= known.seen.change {
            known.seen.change = known.seen.change.max(digest.until.change);
        }
        // A peer that forgot this start, or lacks a part, says so by a lower position.
        known.acked = if digest.seen.incarnation == own { digest.seen.change } else { 0 };
        changed |= self.take_news(&digest.from, digest.nodes);
        if changed {
            self.change_entries();
        }
        if !self.take_deltas(now, digest.reports) {
            self.reconcile(&digest.from);
        }
        for word in digest.leaving {
            self.on_leaving(&word.runner, word.incarnation);
        }
        for (runner, event) in &digest.cache_events {
            self.take_event(runner, event, ReportSource::Peer);
        }
        true
    }

    /// Takes a peer's reports; false if one of them lacks a detail that is not known here.
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

    /// Takes cache events that this steward polled.
    pub fn on_cache_events(&mut self, runner: &RunnerId, events: &[CacheEvent]) {
        for event in events {
            self.take_event(runner, event, ReportSource::Own);
        }
    }

    /// Asks for everything that `peer` knows, with the next digest to it.
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

    /// Time between two full reconciles with one peer: they mend what was acknowledged but
    /// lost. It grows with the fleet, as in Consul's anti-entropy ("Anti-Entropy
    /// Enforcement", Consul documentation), since a full digest does.
    #[must_use]
    pub fn reconcile_period(&self) -> TimeSpan {
        let nodes = self.nodes.len() + 1;
        let doublings = nodes.div_ceil(RECONCILE_NODES).next_power_of_two().trailing_zeros();
        TimeSpan(RECONCILE_PERIOD.0 * (1 + u64::from(doublings)))
    }

    /// Peers with which this steward exchanges digests, and which are live.
    #[must_use]
    pub fn live_peers(&self) -> Vec<VmId> {
        let live = self.nodes.iter().filter(|(vm, node)| node.live && self.circle.is_direct(vm));
        live.map(|(vm, _)| vm.clone()).collect()
    }

    /// All live stewards, this one included.
    #[must_use]
    pub fn members(&self) -> Vec<FollowerMember> {
        let own = FollowerMember { vm: self.me.vm.clone(), place: self.me.place.clone() };
        let live = self.nodes.iter().filter(|(_, node)| node.live && !node.is_leaving());
        let peers =
            live.map(|(vm, node)| FollowerMember { vm: vm.clone(), place: node.place.clone() });
        std::iter::once(own).chain(peers).collect()
    }

    fn known_node(&mut self, digest: &Digest) -> Option<&mut NodeState> {
        if !self.nodes.contains_key(&digest.from) {
            // The list lags: a peer with a valid certificate is taken at its word.
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
