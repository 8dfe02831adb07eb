//! Decides when a steward claims a place, and when an earlier claimant no longer exists.

use std::collections::BTreeSet;

use base::{prelude::*, rendezvous_order};

use crate::{OrderAction, OrderClaim, OrderController};

impl OrderController {
    /// Applies a VM list. A list that does not contain this VM is outdated or wrong, so it
    /// proves nothing about other VMs.
    pub(crate) fn apply_vm_list(&mut self, after: LogOffset, vms: Vec<VmId>) {
        let listed: BTreeSet<VmId> = vms.into_iter().collect();
        if !listed.contains(&self.settings.vm) {
            self.listed.clear();
            return;
        }
        // An earlier process of this VM has ended, since this process could bind its port.
        let own = self.settings.vm.clone();
        self.claim_table.remove_unlisted(after, |vm| listed.contains(vm) && *vm != own);
        self.listed = listed;
        self.listed_after = after;
    }

    /// Claims the places without an available holder for which this VM ranks first, and
    /// renews the claims of places that it holds.
    pub(crate) fn claim_places(&mut self, now: TimePoint) -> Vec<OrderAction> {
        if !self.caught_up || !self.listed.contains(&self.settings.vm) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for place in self.places() {
            let is_due = self.append_at.get(&place).is_none_or(|at| *at <= now);
            if is_due && self.can_name_earlier(&place) && self.needs_claim(now, &place) {
                self.append_at.insert(place.clone(), now + self.settings.append_retry);
                self.counters.claims += 1;
                actions.push(OrderAction::Append { text: self.build_claim(place).encode() });
            }
        }
        actions
    }

    fn needs_claim(&self, now: TimePoint, place: &PlaceName) -> bool {
        if self.fence(place).is_some() {
            return self.renew_at.get(place).is_some_and(|at| *at <= now);
        }
        let Some(state) = self.claim_table.get(place) else { return self.ranks_first(place) };
        if state.vm == self.settings.vm {
            // The holder was an earlier process of this VM. Other VMs see the VM as available
            // and don't claim the place.
            return true;
        }
        let member = self.members.iter().find(|member| member.vm == state.vm);
        let is_available = member.is_some_and(|member| !member.leaving && !member.silent);
        !is_available && self.ranks_first(place)
    }

    fn ranks_first(&self, place: &PlaceName) -> bool {
        let available = self.members.iter().filter(|member| !member.leaving && !member.silent);
        let order = rendezvous_order(place.as_str(), available.map(|member| member.vm.as_str()));
        order.first().is_some_and(|vm| *vm == self.settings.vm.as_str())
    }

    fn is_history_complete(&self, place: &PlaceName) -> bool {
        self.claim_table
            .get(place)
            .map_or(self.claim_table.is_complete(), |state| state.history_complete)
    }

    /// Whether a claim can name all earlier claimants. Authors of expired claims whose VMs
    /// still exist are on the VM list, if it was requested after those claims were appended.
    fn can_name_earlier(&self, place: &PlaceName) -> bool {
        self.is_history_complete(place) || self.listed_after >= self.claim_table.last_expired()
    }

    fn build_claim(&self, place: PlaceName) -> OrderClaim {
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

    /// Whether no earlier claimant of a place held by this VM can still send orders.
    pub(crate) fn has_no_earlier_claimants(&self, place: &PlaceName) -> bool {
        let state = self.claim_table.get(place);
        state.is_some_and(|state| state.history_complete && state.earlier.is_empty())
    }
}
