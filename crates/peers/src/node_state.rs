//! One machine of ours, as known to another steward.

use std::net::SocketAddr;

use base::prelude::*;

use crate::bounded_set::BoundedSet;
use crate::{ChangeCursor, EntryStatus, NodeNews, NodeRecord};

/// Silence after which a steward is no longer live.
pub const PEER_SILENCE: TimeSpan = TimeSpan::seconds(3);
/// Silence of an incarnation after which one that it seemed to replace is accepted again:
/// incarnations have no order, so a late message of the earlier one may have replaced the
/// later one.
pub const RETIRED_HOLD: TimeSpan = TimeSpan::seconds(2);
/// Replaced incarnations that are remembered, so that their late messages are recognized.
pub(crate) const MAX_RETIRED: usize = 4;
/// Incarnations of a steward and its entries that are remembered as leaving.
const MAX_LEAVING: usize = 16;

/// One peer.
pub(crate) struct NodeState {
    pub(crate) place: PlaceName,
    pub(crate) steward: SocketAddr,
    /// Its state in the platform's list; none if it is not listed.
    pub(crate) listed: Option<VmState>,
    /// When it was removed from the list.
    pub(crate) unlisted_at: Option<TimePoint>,
    pub(crate) record: Option<NodeRecord>,
    /// This steward's change that brought the record, or `down`.
    pub(crate) record_change: u64,
    /// The peer that relayed the record; none if the machine itself sent it.
    pub(crate) source: Option<VmId>,
    /// The machine has been silent since its record.
    pub(crate) down: bool,
    /// Others have the machine as down though it is heard here; the next digest reports that
    /// to it, so that it refutes it.
    pub(crate) suspected: bool,
    /// When its steward's last digest came.
    pub(crate) last_heard: Option<TimePoint>,
    /// It counted as live at the last tick or digest.
    pub(crate) live: bool,
    /// Configuration that the peer has.
    pub(crate) config_offset: LogOffset,
    /// The peer's changes that have been applied here.
    pub(crate) seen: ChangeCursor,
    /// This steward's changes that the peer has acknowledged.
    pub(crate) acked: u64,
    pub(crate) next_digest: TimePoint,
    /// Incarnations of its steward and entries that are leaving.
    leaving: BoundedSet<VmIncarnation>,
    /// Incarnations of its steward that were replaced.
    retired: BoundedSet<VmIncarnation>,
}

impl NodeState {
    pub(crate) fn new(place: PlaceName, steward: SocketAddr) -> Self {
        Self {
            place,
            steward,
            listed: None,
            unlisted_at: None,
            record: None,
            record_change: 0,
            source: None,
            down: false,
            suspected: false,
            last_heard: None,
            live: false,
            config_offset: LogOffset::default(),
            seen: ChangeCursor::default(),
            acked: 0,
            next_digest: TimePoint::default(),
            leaving: BoundedSet::new(MAX_LEAVING),
            retired: BoundedSet::new(MAX_RETIRED),
        }
    }

    /// Applies the machine's record of the platform's list; says whether its state changed.
    pub(crate) fn take_listing(&mut self, listing: &VmRecord, steward: SocketAddr) -> bool {
        let changed = self.listed != Some(listing.state);
        // Marked at the change only: a later incarnation on the machine is not marked.
        if changed && listing.state == VmState::Leaving {
            self.leave(self.seen.incarnation);
        }
        // The steward's own record of its address is newer than the list, which lags behind.
        if self.record.is_none() {
            self.steward = steward;
        }
        self.place = listing.place.clone();
        (self.listed, self.unlisted_at) = (Some(listing.state), None);
        changed
    }

    /// Records the incarnation of the peer's digest; for a new one, the positions of the
    /// exchange start over. False if it was replaced by one that is still heard.
    pub(crate) fn observe_incarnation(
        &mut self,
        now: TimePoint,
        incarnation: VmIncarnation,
    ) -> bool {
        let known = self.seen.incarnation;
        if known == incarnation {
            return true;
        }
        let held = self.last_heard.is_some_and(|heard| now.since(heard) < RETIRED_HOLD);
        if held && self.retired.contains(&incarnation) {
            return false;
        }
        self.retired.remove(&incarnation);
        if known != VmIncarnation::default() {
            self.retired.insert(known);
        }
        self.seen = ChangeCursor { incarnation, change: 0 };
        self.acked = 0;
        self.record = None;
        true
    }

    /// Applies the record that the peer itself sent, as change number `change`; says whether
    /// it was accepted.
    pub(crate) fn take_own(&mut self, record: NodeRecord, change: u64) -> bool {
        let known = self.record.as_ref().map(|known| known.sequence);
        if known > Some(record.sequence) || record.incarnation != self.seen.incarnation {
            return false;
        }
        // With the same sequence only the entries' figures differ, which are not relayed.
        if known != Some(record.sequence) {
            (self.record_change, self.source) = (change, None);
            (self.down, self.suspected) = (false, false);
        }
        self.take_record(record);
        true
    }

    /// Applies a record that `source` relayed; says whether it is newer than the known one.
    pub(crate) fn take_relayed(&mut self, news: NodeNews, source: &VmId, change: u64) -> bool {
        let known = self.record.as_ref().map(|known| (known.generation, known.sequence, self.down));
        if known >= Some(news.rank()) {
            return false;
        }
        (self.record_change, self.source) = (change, Some(source.clone()));
        self.down = news.down;
        self.take_record(news.record);
        true
    }

    fn take_record(&mut self, record: NodeRecord) {
        if record.leaving {
            self.leave(record.incarnation);
        }
        for entry in record.entries.iter().filter(|entry| entry.leaving) {
            self.leave(entry.incarnation);
        }
        self.steward = record.steward;
        self.record = Some(record);
    }

    /// The machine's record, if a change after number `change` brought it.
    pub(crate) fn news_since(&self, change: u64) -> Option<NodeNews> {
        let record = self.record.as_ref().filter(|_| self.record_change > change)?;
        Some(NodeNews { record: record.clone(), down: self.down })
    }

    /// Marks an incarnation as leaving: of the steward, or of an entry.
    pub(crate) fn leave(&mut self, incarnation: VmIncarnation) {
        self.leaving.insert(incarnation);
    }

    /// Whether the machine takes no new callers.
    pub(crate) fn is_leaving(&self) -> bool {
        let unlisted = self.listed.is_none() && self.unlisted_at.is_some();
        let incarnation =
            self.record.as_ref().map_or(self.seen.incarnation, |known| known.incarnation);
        unlisted || self.listed == Some(VmState::Leaving) || self.leaving.contains(&incarnation)
    }

    /// Its entries that callers may use.
    pub(crate) fn usable_entries(&self) -> impl Iterator<Item = &EntryStatus> {
        let usable = self.live && !self.is_leaving();
        let entries = self.record.iter().filter(move |_| usable);
        entries
            .flat_map(|record| &record.entries)
            .filter(|entry| !entry.leaving && !self.leaving.contains(&entry.incarnation))
    }

    /// Whether it counts as live: heard recently, or, if it is no direct peer, known by a
    /// relayed record that is not `down`.
    pub(crate) fn is_live(&self, now: TimePoint, direct: bool) -> bool {
        self.is_heard(now) || (!direct && self.record.is_some() && !self.down)
    }

    /// Whether it belongs to the fleet, as the list or its own digests show.
    pub(crate) fn is_present(&self) -> bool {
        self.live || self.listed.is_some()
    }

    /// Whether its steward has been heard within [`PEER_SILENCE`].
    fn is_heard(&self, now: TimePoint) -> bool {
        self.last_heard.is_some_and(|heard| now.since(heard) < PEER_SILENCE)
    }
}
