//! The fold over the claims: who holds each place.

use std::collections::BTreeMap;

use base::{FencingNumber, prelude::*};

use crate::OrderClaim;

/// What the claims of one place say.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HolderState {
    /// The holder's machine.
    pub vm: VmId,
    /// The holder's start.
    pub incarnation: VmIncarnation,
    /// Offset of the holder's latest claim.
    pub fence: FencingNumber,
    /// Earlier claimants' machines, each with the offset of the last record that names it.
    pub earlier: BTreeMap<VmId, LogOffset>,
    /// Every earlier claimant is known.
    pub history_complete: bool,
}

/// All places; a pure function of the records that were applied.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ClaimTable {
    places: BTreeMap<PlaceName, HolderState>,
    /// Last offset applied.
    offset: LogOffset,
    /// Last offset that had expired when reading began or after a reader fell behind.
    last_expired: LogOffset,
}

impl ClaimTable {
    /// Notes that the log retains nothing before `first`.
    pub fn mark_expired_before(&mut self, first: LogOffset) {
        if first.0 > self.offset.0 + 1 {
            self.last_expired = LogOffset(first.0 - 1);
            self.offset = self.last_expired;
            for state in self.places.values_mut() {
                state.history_complete = false;
            }
        }
    }

    /// Applies the record at `offset`; one that was applied before has no effect. A
    /// record that is no claim still counts as read.
    pub fn apply(&mut self, offset: LogOffset, claim: Option<OrderClaim>) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        let Some(claim) = claim else { return };
        let told = claim.seen >= self.last_expired;
        let old = self.places.remove(&claim.place);
        let history_complete = told || old.as_ref().is_some_and(|old| old.history_complete);
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

    /// The holder of a place.
    #[must_use]
    pub fn get(&self, place: &PlaceName) -> Option<&HolderState> {
        self.places.get(place)
    }

    /// Last offset applied.
    #[must_use]
    pub fn offset(&self) -> LogOffset {
        self.offset
    }

    /// Last offset that had expired before it could be read.
    #[must_use]
    pub fn last_expired(&self) -> LogOffset {
        self.last_expired
    }

    /// Whether a place without any claim is known never to have had one.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.last_expired == LogOffset(0)
    }

    /// Drops the earlier claimants that a VM list, asked for when `after` was applied,
    /// proves to be gone.
    pub fn remove_gone(&mut self, after: LogOffset, is_listed: impl Fn(&VmId) -> bool) {
        for state in self.places.values_mut() {
            state.earlier.retain(|vm, named| *named > after || is_listed(vm));
        }
    }
}
