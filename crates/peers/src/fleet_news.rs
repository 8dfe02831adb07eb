//! The steward's view: news of machines that it passes on, in fleets too large for a mesh.
//!
//! Each machine's record spreads along the chosen peers. When a machine falls silent, its
//! direct peers spread its record as `down`, and the machine itself, if it lives, refutes
//! that with a higher sequence, as in SWIM (Das, Gupta and Motivala, 2002).

use base::prelude::*;

use crate::FleetDesk;
use crate::digest::NodeNews;
use crate::node_state::NodeState;

impl FleetDesk {
    /// The news of machines for `peer`, which has all changes up to `acked`.
    pub(crate) fn news_for(&self, peer: &VmId, acked: u64) -> Vec<NodeNews> {
        let mut news = Vec::new();
        if self.me_change > acked {
            news.push(NodeNews { record: self.me.clone(), down: false });
        }
        if let Some(accused) = self.nodes.get(peer).filter(|node| node.accused) {
            let record = accused.record.clone();
            news.extend(record.map(|record| NodeNews { record, down: true }));
        }
        if self.circle.is_mesh() {
            return news;
        }
        let same_cell = self.circle.is_cell(peer);
        for (vm, node) in self.nodes.iter().filter(|(vm, _)| *vm != peer) {
            let known = node.source.as_ref() == Some(peer);
            // Machines of one cell hear each other.
            let heard = same_cell && self.circle.is_cell(vm) && !node.down;
            if !known && !heard {
                news.extend(node.news_since(acked));
            }
        }
        news
    }

    /// Takes a peer's own record and the news that it passed on; says whether they changed
    /// anything.
    pub(crate) fn take_news(&mut self, from: &VmId, news: Vec<NodeNews>) -> bool {
        let mut changed = false;
        for news in news {
            changed |= if news.record.vm == self.me.vm {
                self.refute(&news);
                false
            } else if news.record.vm == *from {
                let node = self.nodes.get_mut(from);
                node.is_some_and(|node| node.take_own(news.record, self.change + 1))
            } else {
                self.take_passed(from, news)
            };
        }
        changed
    }

    fn take_passed(&mut self, from: &VmId, news: NodeNews) -> bool {
        let record = &news.record;
        let node = self
            .nodes
            .entry(record.vm.clone())
            .or_insert_with(|| NodeState::new(record.place.clone(), record.steward));
        if node.live && self.circle.is_direct(&record.vm) {
            // What the machine says itself counts more; it should hear that it is missed.
            let known = node.record.as_ref().map(|known| known.sequence);
            node.accused |= news.down && known <= Some(record.sequence);
            return false;
        }
        let urgent = news.down || record.leaving;
        let taken = node.take_passed(news, from, self.change + 1);
        self.urgent |= urgent && taken;
        taken
    }

    /// Answers news of this machine that are not its own.
    fn refute(&mut self, news: &NodeNews) {
        let other_start = news.record.incarnation != self.me.incarnation;
        if other_start && news.record.generation >= self.me.generation {
            self.me.generation = news.record.generation + 1;
            self.change_me();
        } else if !other_start && news.down && news.record.sequence >= self.me.sequence {
            self.me.sequence = news.record.sequence;
            self.urgent = true;
            self.change_me();
        }
    }
}
