//! The runners that this steward polls, computed again only when stewards or runners change.

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
    /// Sequence number of the next cache event that is wanted.
    pub next_event: u64,
}

/// The inputs of an assignment; an equal set gives an equal assignment.
#[derive(Default, PartialEq, Eq)]
struct AssignmentInputs {
    /// Last change of the list of runners.
    list_change: u64,
    /// Revision of the choice of peers.
    topology_revision: u64,
    /// Live stewards of the own cell that share the polls.
    stewards: Vec<(VmId, PlaceName)>,
}

/// A runner assigned to this steward.
struct AssignedRunner {
    runner: RunnerId,
    /// This steward polls only while reports from the owner are missing.
    is_standby: bool,
}

/// Runners assigned to this steward.
#[derive(Default)]
pub(crate) struct PollAssignment {
    inputs: AssignmentInputs,
    runners: Vec<AssignedRunner>,
    /// Runners whose report this steward has polled.
    pub(crate) polled: BTreeSet<RunnerId>,
}

impl FleetDesk {
    /// Runners that this steward has to poll now: those that it owns, and those without a
    /// recent report for which it is the standby.
    #[must_use]
    pub fn polls(&self, now: TimePoint) -> Vec<DuePoll> {
        let max_age = self.digest_period + self.digest_period;
        let mut polls = Vec::new();
        for assigned in &self.assignment.runners {
            let Some(state) = self.runners.get(&assigned.runner) else { continue };
            let received = state.known.as_ref().map(|known| known.received);
            let is_fresh = received.is_some_and(|received| now.since(received) < max_age);
            if !assigned.is_standby || !is_fresh {
                let (address, next_event) = (state.address, state.events_next());
                polls.push(DuePoll { runner: assigned.runner.clone(), address, next_event });
            }
        }
        polls
    }

    /// Computes the assignment again if stewards or runners changed.
    pub(crate) fn refresh_assignment(&mut self) {
        let inputs = AssignmentInputs {
            list_change: self.list_change,
            topology_revision: self.topology.revision(),
            stewards: self.polling_stewards(),
        };
        if self.assignment.inputs == inputs {
            return;
        }
        let mut share = ReportShare::default();
        for (vm, place) in &inputs.stewards {
            share.add(vm, place);
        }
        let assigned = self.runners.iter().filter_map(|(runner, state)| {
            let in_cell = self.topology.cell_polls(runner, &state.place);
            let rank = share.rank(&self.own_record.vm, runner, &state.place).filter(|_| in_cell)?;
            Some(AssignedRunner { runner: runner.clone(), is_standby: rank > 0 })
        });
        self.assignment.runners = assigned.collect();
        self.assignment.inputs = inputs;
    }

    /// Stewards of the own cell that share the polls.
    fn polling_stewards(&self) -> Vec<(VmId, PlaceName)> {
        let peers = self
            .nodes
            .iter()
            .filter(|(vm, node)| self.topology.is_cell_peer(vm) && node.live && !node.is_leaving());
        let mut stewards: Vec<(VmId, PlaceName)> =
            peers.map(|(vm, node)| (vm.clone(), node.place.clone())).collect();
        // A leaving steward goes on polling until another one is live.
        if !self.own_record.leaving || stewards.is_empty() {
            stewards.push((self.own_record.vm.clone(), self.own_record.place.clone()));
        }
        stewards
    }
}
