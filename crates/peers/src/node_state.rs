//! One machine of ours, as another steward knows it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;

use crate::{ChangeCursor, EntryStatus, NodeNews, NodeRecord};

/// Silence after which a steward, and what it told, no longer counts.
pub const PEER_SILENCE: TimeSpan = TimeSpan::seconds(3);
/// Silence of a start after which one that it seemed to replace is heard again: starts
/// have no order, and the first word of the earlier one may be the late one.
pub const RETIRED_HOLD: TimeSpan = TimeSpan::seconds(2);
/// Earlier starts of a steward that are remembered, so that their late words are told.
const MAX_RETIRED: usize = 4;

/// One peer.
pub(crate) struct NodeState {
    pub(crate) place: PlaceName,
    pub(crate) steward: SocketAddr,
    /// What the platform's list says now; none if it does not name the machine.
    pub(crate) listed: Option<VmState>,
    /// When the list ceased to name the machine.
    pub(crate) gone: Option<TimePoint>,
    pub(crate) record: Option<NodeRecord>,
    /// This steward's change with which the record, or `down`, came.
    pub(crate) record_change: u64,
    /// Who told the record; none if the machine itself.
    pub(crate) source: Option<VmId>,
    /// The machine has been silent since its record.
    pub(crate) down: bool,
    /// Others miss the machine, which is heard here: it has to be told.
    pub(crate) accused: bool,
    pub(crate) heard: Option<TimePoint>,
    pub(crate) live: bool,
    /// Configuration that the peer has.
    pub(crate) config_offset: LogOffset,
    /// The peer's changes that are known here.
    pub(crate) seen: ChangeCursor,
    /// This steward's changes that the peer has.
    pub(crate) acked: u64,
    pub(crate) next_digest: TimePoint,
    left: Vec<VmIncarnation>,
    retired: VecDeque<VmIncarnation>,
}

impl NodeState {
    pub(crate) fn new(place: PlaceName, steward: SocketAddr) -> Self {
        Self {
            place,
            steward,
            listed: None,
            gone: None,
            record: None,
            record_change: 0,
            source: None,
            down: false,
            accused: false,
            heard: None,
            live: false,
            config_offset: LogOffset::default(),
            seen: ChangeCursor::default(),
            acked: 0,
            next_digest: TimePoint::default(),
            left: Vec::new(),
            retired: VecDeque::new(),
        }
    }

    /// Takes the machine's line of the platform's list; says whether it changed anything.
    pub(crate) fn take_line(&mut self, line: &VmRecord, steward: SocketAddr) -> bool {
        let changed = self.listed != Some(line.state);
        // Only the change to leaving is sticky: a later start on the machine is another.
        if changed && line.state == VmState::Leaving {
            self.leave(self.seen.incarnation);
        }
        // The steward itself knows its address better than the list, which lags.
        if self.record.is_none() {
            self.steward = steward;
        }
        self.place = line.place.clone();
        (self.listed, self.gone) = (Some(line.state), None);
        changed
    }

    /// Notes that the peer speaks as `incarnation`; a new start has no memory of the old.
    /// False if a later start has replaced it and is still heard.
    pub(crate) fn meet(&mut self, now: TimePoint, incarnation: VmIncarnation) -> bool {
        let known = self.seen.incarnation;
        if known == incarnation {
            return true;
        }
        let held = self.heard.is_some_and(|heard| now.since(heard) < RETIRED_HOLD);
        if held && self.retired.contains(&incarnation) {
            return false;
        }
        self.retired.retain(|retired| *retired != incarnation);
        if known != VmIncarnation::default() {
            if self.retired.len() >= MAX_RETIRED {
                self.retired.pop_front();
            }
            self.retired.push_back(known);
        }
        self.seen = ChangeCursor { incarnation, change: 0 };
        self.acked = 0;
        self.record = None;
        true
    }

    /// Takes the record that the peer itself told as change number `change`; says whether
    /// it changed anything.
    pub(crate) fn take_own(&mut self, record: NodeRecord, change: u64) -> bool {
        let known = self.record.as_ref().map(|known| known.sequence);
        if known > Some(record.sequence) || record.incarnation != self.seen.incarnation {
            return false;
        }
        // With the same sequence, only the entries' calls differ: no news for others.
        if known != Some(record.sequence) {
            (self.record_change, self.source) = (change, None);
            (self.down, self.accused) = (false, false);
        }
        self.take_record(record);
        true
    }

    /// Takes news that `source` passed on; says whether it changed anything.
    pub(crate) fn take_passed(&mut self, news: NodeNews, source: &VmId, change: u64) -> bool {
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

    /// The machine's news as change number `change` and later ones brought them.
    pub(crate) fn news_since(&self, change: u64) -> Option<NodeNews> {
        let record = self.record.as_ref().filter(|_| self.record_change > change)?;
        Some(NodeNews { record: record.clone(), down: self.down })
    }

    /// Notes that a start leaves: of the steward, or of an entry.
    pub(crate) fn leave(&mut self, incarnation: VmIncarnation) {
        if self.left.contains(&incarnation) {
            return;
        }
        if self.left.len() >= MAX_RETIRED * 4 {
            self.left.remove(0);
        }
        self.left.push(incarnation);
    }

    /// Whether the machine takes no new callers.
    pub(crate) fn is_leaving(&self) -> bool {
        let gone = self.listed.is_none() && self.gone.is_some();
        let start = self.record.as_ref().map_or(self.seen.incarnation, |known| known.incarnation);
        gone || self.listed == Some(VmState::Leaving) || self.left.contains(&start)
    }

    /// Its entries that callers may use.
    pub(crate) fn usable_entries(&self) -> impl Iterator<Item = &EntryStatus> {
        let usable = self.live && !self.is_leaving();
        let entries = self.record.iter().filter(move |_| usable);
        entries
            .flat_map(|record| &record.entries)
            .filter(|entry| !entry.leaving && !self.left.contains(&entry.incarnation))
    }

    /// Whether it counts as live: heard lately, or else, if it is no direct peer, known by
    /// others and not missed.
    pub(crate) fn is_live(&self, now: TimePoint, direct: bool) -> bool {
        self.is_heard(now) || (!direct && self.record.is_some() && !self.down)
    }

    /// Whether it has been heard lately.
    pub(crate) fn is_heard(&self, now: TimePoint) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < PEER_SILENCE)
    }
}
