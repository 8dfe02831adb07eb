//! When a steward claims a place, and what proves that an earlier claimant is gone.

use std::collections::BTreeSet;

use base::{prelude::*, rendezvous_order};

use crate::{OrderAction, OrderClaim, OrderController};

impl OrderController {
    /// A list that lacks this VM proves nothing about the others.
    pub(crate) fn take_list(&mut self, after: LogOffset, vms: Vec<VmId>) {
        let listed: BTreeSet<VmId> = vms.into_iter().collect();
        if !listed.contains(&self.settings.vm) {
            self.listed.clear();
            return;
        }
        // An earlier process of this VM is dead, since this one has its port.
        let own = self.settings.vm.clone();
        self.claim_table.remove_gone(after, |vm| listed.contains(vm) && *vm != own);
        self.listed = listed;
        self.listed_after = after;
    }

    /// Claims the places that have no holder in service and for which this VM is the
    /// first choice, and renews its own claims.
    pub(crate) fn claim_places(&mut self, now: TimePoint) -> Vec<OrderAction> {
        if !self.caught_up || !self.listed.contains(&self.settings.vm) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for place in self.places() {
            let due = self.append_at.get(&place).is_none_or(|at| *at <= now);
            if due && self.knows_earlier(&place) && self.wants(now, &place) {
                self.append_at.insert(place.clone(), now + self.settings.append_retry);
                self.counters.claims += 1;
                actions.push(OrderAction::Append { text: self.make_claim(place).encode() });
            }
        }
        actions
    }

    fn wants(&self, now: TimePoint, place: &PlaceName) -> bool {
        if self.fence(place).is_some() {
            return self.renew_at.get(place).is_some_and(|at| *at <= now);
        }
        let Some(state) = self.claim_table.get(place) else { return self.is_first_choice(place) };
        if state.vm == self.settings.vm {
            // The holder was an earlier process of this VM; no other VM sees it missing.
            return true;
        }
        let member = self.members.iter().find(|member| member.vm == state.vm);
        let serves = member.is_some_and(|member| !member.leaving && !member.silent);
        !serves && self.is_first_choice(place)
    }

    fn is_first_choice(&self, place: &PlaceName) -> bool {
        let able = self.members.iter().filter(|member| !member.leaving && !member.silent);
        let order = rendezvous_order(place.as_str(), able.map(|member| member.vm.as_str()));
        order.first().is_some_and(|vm| *vm == self.settings.vm.as_str())
    }

    fn is_history_complete(&self, place: &PlaceName) -> bool {
        self.claim_table
            .get(place)
            .map_or(self.claim_table.is_complete(), |state| state.history_complete)
    }

    /// Whether a claim can name all earlier claimants. Those of expired claims are among
    /// the VMs of the list, if it was asked for after those claims were appended.
    fn knows_earlier(&self, place: &PlaceName) -> bool {
        self.is_history_complete(place) || self.listed_after >= self.claim_table.last_expired()
    }

    fn make_claim(&self, place: PlaceName) -> OrderClaim {
        let state = self.claim_table.get(&place);
        let mut earlier: BTreeSet<VmId> = BTreeSet::new();
        if let Some(state) = state {
            earlier.extend(state.earlier.keys().cloned());
            earlier.insert(state.vm.clone());
        }
        if !self.is_history_complete(&place) {
            earlier.extend(self.listed.iter().cloned());
        }
        earlier.remove(&self.settings.vm);
        let seen = self.claim_table.offset();
        OrderClaim::new(place, self.settings.vm.clone(), self.settings.incarnation, seen, earlier)
    }

    /// Whether no earlier claimant of a place held by this VM can wake.
    pub(crate) fn is_alone(&self, place: &PlaceName) -> bool {
        let state = self.claim_table.get(place);
        state.is_some_and(|state| state.history_complete && state.earlier.is_empty())
    }
}
