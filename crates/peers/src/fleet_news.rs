//! The steward's view: machines' records that it relays, in fleets too large for a mesh.
//!
//! Each machine's record is relayed along the chosen peers. When a machine falls silent, its
//! direct peers relay its record as `down`, and the machine itself, if it is live, refutes
//! that with a higher sequence, as in SWIM (Das, Gupta and Motivala, 2002).

use base::prelude::*;

use crate::FleetDesk;
use crate::digest::NodeNews;
use crate::node_state::NodeState;

impl FleetDesk {
    /// The machines' records for `peer`, which has all changes up to `acked`.
    pub(crate) fn news_for(&self, peer: &VmId, acked: u64) -> Vec<NodeNews> {
        let mut news = Vec::new();
        if self.own_record_change > acked {
            news.push(NodeNews { record: self.own_record.clone(), down: false });
        }
        if let Some(node) = self.nodes.get(peer).filter(|node| node.suspected) {
            let record = node.record.clone();
            news.extend(record.map(|record| NodeNews { record, down: true }));
        }
        if self.topology.is_mesh() {
            return news;
        }
        let same_cell = self.topology.is_cell_peer(peer);
        for (vm, node) in self.nodes.iter().filter(|(vm, _)| *vm != peer) {
            let known = node.source.as_ref() == Some(peer);
            // Machines of one cell exchange their records directly.
            let is_direct = same_cell && self.topology.is_cell_peer(vm) && !node.down;
            if !known && !is_direct {
                news.extend(node.news_since(acked));
            }
        }
        news
    }

    /// Applies a peer's own record and those that it relayed; says whether they changed
    /// anything.
    pub(crate) fn take_news(&mut self, from: &VmId, news: Vec<NodeNews>) -> bool {
        let mut changed = false;
        for news in news {
            changed |= if news.record.vm == self.own_record.vm {
                self.refute(&news);
                false
            } else if news.record.vm == *from {
                let node = self.nodes.get_mut(from);
                node.is_some_and(|node| node.take_own(news.record, self.change + 1))
            } else {
                self.take_relayed(from, news)
            };
        }
        changed
    }

    fn take_relayed(&mut self, from: &VmId, news: NodeNews) -> bool {
        let record = &news.record;
        let node = self
            .nodes
            .entry(record.vm.clone())
            .or_insert_with(|| NodeState::new(record.place.clone(), record.steward));
        if node.live && self.topology.is_direct(&record.vm) {
            // A direct peer's own record takes precedence; it has to learn that others have
            // it as down, so that it can refute that.
            let known = node.record.as_ref().map(|known| known.sequence);
            node.suspected |= news.down && known <= Some(record.sequence);
            return false;
        }
        let urgent = news.down || record.leaving;
        let taken = node.take_relayed(news, from, self.change + 1);
        self.urgent |= urgent && taken;
        taken
    }

    /// Overrides a record of this machine that is of another incarnation or says `down`.
    fn refute(&mut self, news: &NodeNews) {
        let is_other = news.record.incarnation != self.own_record.incarnation;
        if is_other && news.record.generation >= self.own_record.generation {
            self.own_record.generation = news.record.generation + 1;
            self.change_own_record();
        } else if !is_other && news.down && news.record.sequence >= self.own_record.sequence {
            self.own_record.sequence = news.record.sequence;
            self.urgent = true;
            self.change_own_record();
        }
    }
}
