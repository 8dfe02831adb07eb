//! The steward's share of the runners' reports, kept until stewards or runners change.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;

use crate::FleetDesk;
use crate::report_share::ReportShare;

/// A runner that is due to be polled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DuePoll {
    /// The runner.
    pub runner: RunnerId,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// The next cache event that is wanted.
    pub next_event: u64,
}

/// Runners that this steward owns.
#[derive(Default)]
pub(crate) struct ReportDuty {
    /// What the share was computed from: the list's change, the choice of peers, and the
    /// live stewards.
    basis: (u64, u64, Vec<(VmId, PlaceName)>),
    /// Runners, each with whether this steward only stands by.
    owned: Vec<(RunnerId, bool)>,
    /// Runners whose report this steward has polled.
    pub(crate) polled: BTreeSet<RunnerId>,
}

impl FleetDesk {
    /// Runners that this steward has to poll now: those that it owns first, and of those
    /// for which it stands by the ones without a recent report.
    #[must_use]
    pub fn polls(&self, now: TimePoint) -> Vec<DuePoll> {
        let patience = self.digest_period + self.digest_period;
        let mut polls = Vec::new();
        for (runner, stands_by) in &self.duty.owned {
            let Some(state) = self.runners.get(runner) else { continue };
            let received = state.known.as_ref().map(|known| known.received);
            let fresh = received.is_some_and(|received| now.since(received) < patience);
            if !stands_by || !fresh {
                let (address, next_event) = (state.address, state.events_next());
                polls.push(DuePoll { runner: runner.clone(), address, next_event });
            }
        }
        polls
    }

    /// Computes the share anew if stewards or runners changed.
    pub(crate) fn refresh_duty(&mut self) {
        let peers = self
            .nodes
            .iter()
            .filter(|(vm, node)| self.circle.is_cell(vm) && node.live && !node.is_leaving());
        let mut stewards: Vec<(VmId, PlaceName)> =
            peers.map(|(vm, node)| (vm.clone(), node.place.clone())).collect();
        // A leaving steward goes on until others have taken over.
        if !self.me.leaving || stewards.is_empty() {
            stewards.push((self.me.vm.clone(), self.me.place.clone()));
        }
        let basis = (self.list_change, self.circle.choices(), stewards);
        if self.duty.basis == basis {
            return;
        }
        let mut share = ReportShare::default();
        for (vm, place) in &basis.2 {
            share.add(vm, place);
        }
        let owned = self.runners.iter().filter_map(|(runner, state)| {
            let own = self.circle.is_own(runner, &state.place);
            let rank = share.rank(&self.me.vm, runner, &state.place).filter(|_| own)?;
            Some((runner.clone(), rank > 0))
        });
        self.duty.owned = owned.collect();
        self.duty.basis = basis;
    }
}
