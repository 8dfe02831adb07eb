//! Which nodes may send to a runner that can take only few requests from all nodes together.
//!
//! Load pattern: many nodes have calls for a runner at the same instant. If each of them sent one,
//! that alone could exceed what the runner can take in a second. The runner's allowance is divided
//! into slots, which are dealt to the nodes by rendezvous hashing, so that the sum over all nodes
//! does not depend on messages between them.

use std::collections::BTreeMap;

use base::prelude::*;
use base::rendezvous_score;

/// Time for which a silent node still counts as a member. It exceeds the disturbances in which
/// nodes do not hear each other but still send to runners.
const MEMBER_TTL: TimeSpan = TimeSpan::seconds(300);
/// Silence of all other nodes from which this node has no slots: after `MEMBER_TTL`, the others deal
/// them among themselves.
const ABSTAIN_SPAN: TimeSpan = TimeSpan::seconds(240);
/// Silence of all other nodes from which this node counts as cut off; its members then stay.
const ISOLATION_SPAN: TimeSpan = TimeSpan::seconds(5);
/// Time after its start from which a node counts as settled: an earlier process of the same node may
/// have used its slots within the last second, and the other nodes are not known yet.
const SETTLE_SPAN: TimeSpan = TimeSpan::seconds(2);
/// Time for which the size of the fleet that a node has stated counts. Nodes that state one repeat it
/// with each heartbeat.
const STATEMENT_TTL: TimeSpan = TimeSpan::seconds(10);
/// Maximum number of shares that are cached.
const MAX_CACHED_SHARES: usize = 4_096;

/// What is known of another node.
#[derive(Debug)]
struct FleetMember {
    heard_at: TimePoint,
    /// Size of the fleet that the node states; 0 if it states none.
    stated_size: usize,
    /// When the node last stated it.
    stated_at: TimePoint,
}

/// The nodes that may send to runners, and this node's slots.
#[derive(Debug)]
pub struct FleetMembers {
    own: VmId,
    started_at: TimePoint,
    others: BTreeMap<VmId, FleetMember>,
    heard_at: TimePoint,
    /// Other nodes that the store lists; some may no longer exist.
    listed: usize,
    /// Slots of this node by runner and number of slots.
    shares: BTreeMap<(RunnerId, u32), u32>,
}

impl FleetMembers {
    /// Creates the members known to a node that has just started: itself.
    #[must_use]
    pub fn new(own: VmId, started_at: TimePoint) -> Self {
        let (others, shares) = (BTreeMap::new(), BTreeMap::new());
        Self { own, started_at, others, heard_at: started_at, listed: 0, shares }
    }

    /// Records a heartbeat, and the size of the fleet if it states one.
    pub fn record(&mut self, now: TimePoint, vm: &VmId, stated_size: Option<usize>) {
        let before = (self.others.len(), self.size());
        let member = FleetMember { heard_at: now, stated_size: 0, stated_at: now };
        let member = self.others.entry(vm.clone()).or_insert(member);
        member.heard_at = now;
        if let Some(size) = stated_size {
            member.stated_size = size;
            member.stated_at = now;
        }
        self.heard_at = now;
        self.clear_changed(before);
    }

    /// Records the number of other nodes that the store lists.
    pub fn set_listed(&mut self, listed: usize) {
        let before = (self.others.len(), self.size());
        self.listed = listed;
        self.clear_changed(before);
    }

    /// Drops members that have been silent for long, unless this node is cut off from all.
    pub fn prune(&mut self, now: TimePoint) {
        if now.since(self.heard_at) >= ISOLATION_SPAN {
            return;
        }
        let before = (self.others.len(), self.size());
        self.others.retain(|_, member| now.since(member.heard_at) < MEMBER_TTL);
        // Sizes are stated only while runners are cold or brittle; one of an earlier period would
        // count nodes that are gone.
        for member in self.others.values_mut() {
            if now.since(member.stated_at) >= STATEMENT_TTL {
                member.stated_size = 0;
            }
        }
        self.clear_changed(before);
    }

    fn clear_changed(&mut self, before: (usize, usize)) {
        if before != (self.others.len(), self.size()) {
            self.shares.clear();
        }
    }

    /// Number of members that this node knows by name, itself included.
    #[must_use]
    pub fn known_size(&self) -> usize {
        self.others.len() + 1
    }

    /// Size of the fleet: the largest that this node or a member knows. A node that has heard no
    /// other one uses the list in the store.
    #[must_use]
    pub fn size(&self) -> usize {
        let listed = if self.others.is_empty() { self.listed + 1 } else { 1 };
        let stated = self.others.values().map(|member| member.stated_size).max();
        self.known_size().max(stated.unwrap_or_default()).max(listed)
    }

    /// Whether this node has run for long enough to use slots that an earlier process of it may have
    /// used.
    #[must_use]
    pub fn is_settled(&self, now: TimePoint) -> bool {
        now.since(self.started_at) >= SETTLE_SPAN
    }

    /// Number of slots of this node among `slots` of a runner; over all nodes, they add up to
    /// `slots`.
    #[must_use]
    pub fn share(&mut self, now: TimePoint, runner: &RunnerId, slots: u32) -> u32 {
        if !self.others.is_empty() && now.since(self.heard_at) >= ABSTAIN_SPAN {
            return 0;
        }
        let key = (runner.clone(), slots);
        if let Some(share) = self.shares.get(&key) {
            return *share;
        }
        let share = self.deal(runner, slots);
        if self.shares.len() >= MAX_CACHED_SHARES {
            self.shares.clear();
        }
        self.shares.insert(key, share);
        share
    }

    fn deal(&self, runner: &RunnerId, slots: u32) -> u32 {
        let (known, size) = (self.known_size() as u64, self.size() as u64);
        // A node that knows only some of the members deals only their part of the slots.
        let slots = u64::from(slots) * known / size;
        let score = |vm: &VmId| (rendezvous_score(runner.as_str(), vm.as_str()), vm.clone());
        let own = score(&self.own);
        let rank = self.others.keys().filter(|vm| score(vm) > own).count() as u64;
        let share = slots / known + u64::from(rank < slots % known);
        u32::try_from(share).unwrap_or(u32::MAX)
    }
}
