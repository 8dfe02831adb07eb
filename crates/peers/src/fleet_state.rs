//! The steward's view: queries of the steward's other services.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;

use crate::node_state::NodeState;
use crate::{FleetDesk, RunnerRecord};

/// One of our machines, this one included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberState {
    /// The machine.
    pub vm: VmId,
    /// It is leaving.
    pub leaving: bool,
    /// Its steward is not live.
    pub silent: bool,
}

impl FleetDesk {
    /// All our machines.
    #[must_use]
    pub fn member_states(&self) -> Vec<MemberState> {
        let own = MemberState {
            vm: self.own_record.vm.clone(),
            leaving: self.own_record.leaving,
            silent: false,
        };
        let peers = self.nodes.iter().map(|(vm, node)| MemberState {
            vm: vm.clone(),
            leaving: node.is_leaving(),
            silent: !node.live,
        });
        std::iter::once(own).chain(peers).collect()
    }

    /// Entries that callers may use.
    #[must_use]
    pub fn known_entries(&self) -> usize {
        let peers = self.nodes.values().flat_map(NodeState::usable_entries).count();
        peers + self.own_record.entries.len()
    }

    /// Runners whose report changed after change number `since`; all of them for 0.
    #[must_use]
    pub fn runner_state(&self, now: TimePoint, since: u64) -> Vec<RunnerRecord> {
        let changed =
            self.runners.iter().filter(|(_, state)| since == 0 || state.is_reported_since(since));
        let records = changed.map(|(runner, state)| {
            state.record(now, runner, self.is_runner_leaving(runner, state))
        });
        records.collect()
    }

    /// A runner's HTTP address and failure domain.
    #[must_use]
    pub fn runner_address(&self, runner: &RunnerId) -> Option<(SocketAddr, PlaceName)> {
        let state = self.runners.get(runner)?;
        Some((state.address, state.place.clone()))
    }

    /// Failure domains that have runners.
    #[must_use]
    pub fn places(&self) -> Vec<PlaceName> {
        let places: BTreeSet<&PlaceName> =
            self.runners.values().map(|state| &state.place).collect();
        places.into_iter().cloned().collect()
    }

    /// Sets the models to which no new calls go, because this machine's orders unload them.
    pub fn set_draining(&mut self, mut draining: Vec<(RunnerId, ModelName)>) {
        draining.sort();
        if draining != self.own_record.draining {
            self.own_record.draining = draining;
            self.urgent = true;
            self.change_own_record();
            self.collect_draining();
        }
    }

    /// Collects the models that live machines' orders unload; entries do not see them.
    pub(crate) fn collect_draining(&mut self) {
        let live = self.nodes.values().filter(|node| node.live);
        let records = live.filter_map(|node| node.record.as_ref()).chain([&self.own_record]);
        let draining: BTreeSet<(RunnerId, ModelName)> =
            records.flat_map(|record| &record.draining).cloned().collect();
        if draining != self.draining {
            self.draining = draining;
            self.change += 1;
            self.runners_change = self.change;
        }
    }
}
