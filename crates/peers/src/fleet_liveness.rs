//! The steward's view: which machines are live, and whether this one is cut off.

use base::prelude::*;

use crate::{FleetDesk, PeerCandidate};

/// Silence of the platform and all peers after which this machine is cut off.
pub const CUT_OFF_SILENCE: TimeSpan = TimeSpan::seconds(5);

/// Time between two ticks from which this process counts as paused.
const PAUSE_LIMIT: TimeSpan = TimeSpan::seconds(2);
/// Time for which a machine that was removed from the list is remembered.
const UNLISTED_MEMORY: TimeSpan = TimeSpan::seconds(900);

impl FleetDesk {
    /// Removes silent entries and peers, and checks whether this machine is cut off.
    pub fn tick(&mut self, now: TimePoint) {
        self.discount_pause(now);
        self.drop_silent_entries(now);
        self.refresh_topology();
        self.refresh_assignment();
        let changed = self.update_liveness(now);
        self.collect_draining();
        self.nodes.retain(|_, node| {
            let remembered = |at: TimePoint| now.since(at) < UNLISTED_MEMORY;
            node.is_present() || node.unlisted_at.is_some_and(remembered)
        });
        let cut_off = self.check_cut_off(now);
        if changed {
            self.change_entries();
        }
        if cut_off != self.cut_off {
            self.cut_off = cut_off;
            self.change += 1;
        }
    }

    /// Chooses the peers again if the machines changed.
    pub(crate) fn refresh_topology(&mut self) {
        let (vm, place) = (self.own_record.vm.clone(), self.own_record.place.clone());
        let own = PeerCandidate { vm, place };
        let present = self.nodes.iter().filter(|(_, node)| node.is_present());
        let peers =
            present.map(|(vm, node)| PeerCandidate { vm: vm.clone(), place: node.place.clone() });
        let nodes = std::iter::once(own.clone()).chain(peers).collect();
        self.topology.refresh(&own, nodes);
    }

    /// Moves the times of the last messages on by a pause of this process, in which it
    /// could receive none: the pause must not count as silence of the senders.
    fn discount_pause(&mut self, now: TimePoint) {
        let pause = now.since(self.ticked.unwrap_or(now));
        self.ticked = Some(now);
        if pause < PAUSE_LIMIT {
            return;
        }
        let peers = self.nodes.values_mut().filter_map(|node| node.last_heard.as_mut());
        let times =
            peers.chain(self.entry_last_heard.values_mut()).chain(&mut self.platform_last_heard);
        for at in times {
            *at = (*at + pause).min(now);
        }
    }

    /// Updates which machines are live; says whether any changed. Outside a mesh, a direct
    /// peer that falls silent is reported as down to the others.
    fn update_liveness(&mut self, now: TimePoint) -> bool {
        let mut changed = false;
        for (vm, node) in &mut self.nodes {
            let direct = self.topology.is_direct(vm);
            let live = node.is_live(now, direct);
            if node.live && !live && direct && !self.topology.is_mesh() && node.record.is_some() {
                (node.down, node.source) = (true, None);
                node.record_change = self.change + 1;
                self.urgent = true;
            }
            changed |= live != node.live;
            node.live = live;
        }
        changed
    }

    /// Whether neither the platform nor any peer has been heard for [`CUT_OFF_SILENCE`],
    /// though there are peers. With only the platform down, the peers still answer.
    fn check_cut_off(&self, now: TimePoint) -> bool {
        let is_silent = |last_heard: Option<TimePoint>| {
            now.since(last_heard.unwrap_or(self.started)) >= CUT_OFF_SILENCE
        };
        let has_peers = self.nodes.values().any(|node| node.listed.is_some());
        let peers_last_heard = self.nodes.values().filter_map(|node| node.last_heard).max();
        (has_peers || !self.listed)
            && is_silent(self.platform_last_heard)
            && is_silent(peers_last_heard)
    }
}
