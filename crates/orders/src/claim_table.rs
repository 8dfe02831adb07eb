//! The current holder of each place, computed from the claims in the log.

use std::collections::BTreeMap;

use base::{FencingNumber, prelude::*};

use crate::OrderClaim;

/// Holder and earlier claimants of one place.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HolderState {
    /// VM of the holder.
    pub vm: VmId,
    /// Process start of the holder.
    pub incarnation: VmIncarnation,
    /// Fencing number of the holder: the offset of its latest claim.
    pub fence: FencingNumber,
    /// VMs of earlier claimants that may still exist, each with the offset of the last record
    /// that names it.
    pub earlier: BTreeMap<VmId, LogOffset>,
    /// Whether `earlier` contains every earlier claimant that may still exist.
    pub history_complete: bool,
}

/// State of all places; determined by the applied records, the expired offsets and the VM
/// lists.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ClaimTable {
    places: BTreeMap<PlaceName, HolderState>,
    /// Offset of the last record applied, or skipped because it had expired.
    offset: LogOffset,
    /// Last offset that had expired before it was read, because reading started or resumed too
    /// late; 0 if there is none.
    last_expired: LogOffset,
}

impl ClaimTable {
    /// Records that the log retains no records before `first`. If any of them was not applied,
    /// the history of every place is incomplete.
    pub fn mark_expired_before(&mut self, first: LogOffset) {
        if first.0 > self.offset.0 + 1 {
            self.last_expired = LogOffset(first.0 - 1);
            self.offset = self.last_expired;
            for state in self.places.values_mut() {
                state.history_complete = false;
            }
        }
    }

    /// Applies the record at `offset`; a record that was applied before has no effect.
    /// `None` stands for a record that is not a supported claim; it only advances the offset.
    pub fn apply(&mut self, offset: LogOffset, claim: Option<OrderClaim>) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        let Some(claim) = claim else { return };
        let names_all = claim.seen >= self.last_expired;
        let old = self.places.remove(&claim.place);
        let history_complete = names_all || old.as_ref().is_some_and(|old| old.history_complete);
        let mut earlier = BTreeMap::new();
        if let Some(old) = old {
            earlier = old.earlier;
            earlier.insert(old.vm, offset);
        }
        earlier.extend(claim.earlier.into_iter().map(|vm| (vm, offset)));
        earlier.remove(&claim.vm);
        let state = HolderState {
            vm: claim.vm,
            incarnation: claim.incarnation,
            fence: FencingNumber(offset.0),
            earlier,
            history_complete,
        };
        self.places.insert(claim.place, state);
    }

    /// State of a place; `None` if no claim of it was read.
    #[must_use]
    pub fn get(&self, place: &PlaceName) -> Option<&HolderState> {
        self.places.get(place)
    }

    /// Offset of the last record applied.
    #[must_use]
    pub fn offset(&self) -> LogOffset {
        self.offset
    }

    /// Last offset that had expired before it was read; 0 if there is none.
    #[must_use]
    pub fn last_expired(&self) -> LogOffset {
        self.last_expired
    }

    /// Whether no record expired unread, so that a place without a claim never had one.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.last_expired == LogOffset(0)
    }

    /// Removes the earlier claimants that a VM list proves not to exist any more: they are not
    /// listed, and no record after `after`, the offset applied when the list was requested,
    /// names them.
    pub fn remove_unlisted(&mut self, after: LogOffset, is_listed: impl Fn(&VmId) -> bool) {
        for state in self.places.values_mut() {
            state.earlier.retain(|vm, named_at| *named_at > after || is_listed(vm));
        }
    }
}
