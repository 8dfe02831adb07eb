//! The steward's view: the machines and runners of the platform's VM list.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::FleetDesk;
use crate::node_state::NodeState;
use crate::runner_state::RunnerState;

impl FleetDesk {
    /// Applies the platform's list. An empty one after a list with machines is a fault of
    /// the platform: the last one stays in use.
    pub fn on_vms(&mut self, now: TimePoint, vms: &[VmRecord]) {
        self.platform_last_heard = Some(now);
        if vms.is_empty() && self.listed {
            return;
        }
        self.listed = true;
        self.take_runners(vms);
        self.take_nodes(now, vms);
        self.refresh_topology();
        self.refresh_assignment();
    }

    fn take_runners(&mut self, vms: &[VmRecord]) {
        let listed = listed_runners(vms);
        let mut changed = self.remove_unlisted(&listed);
        let mut leaving = Vec::new();
        for (runner, vm) in listed {
            let Some(service) = vm.service.clone() else { continue };
            let state = self.runners.entry(runner.clone()).or_insert_with(|| {
                changed = true;
                RunnerState::new(service.clone(), vm.place.clone(), vm.address)
            });
            let was_leaving = state.listed_leaving;
            changed |= state.take_listing(vm, service);
            if state.listed_leaving && !was_leaving {
                leaving.push(runner);
            }
        }
        if changed {
            self.change += 1;
            self.runners_change = self.change;
            self.list_change = self.change;
        }
        for runner in leaving {
            self.on_leaving(&runner, 0);
        }
    }

    /// Removes runners that the list no longer names; says whether there were any.
    fn remove_unlisted(&mut self, listed: &BTreeMap<RunnerId, &VmRecord>) -> bool {
        let unlisted: Vec<RunnerId> =
            self.runners.keys().filter(|runner| !listed.contains_key(*runner)).cloned().collect();
        for runner in &unlisted {
            self.runners.remove(runner);
            self.assignment.polled.remove(runner);
            self.leaving_runners.remove(runner);
        }
        !unlisted.is_empty()
    }

    fn take_nodes(&mut self, now: TimePoint, vms: &[VmRecord]) {
        let mut listed = BTreeSet::new();
        let mut changed = false;
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
            let Some(steward) = vm.steward else { continue };
            listed.insert(&vm.vm);
            if vm.vm == self.own_record.vm {
                if vm.state == VmState::Leaving {
                    self.leave();
                }
                continue;
            }
            let node = self
                .nodes
                .entry(vm.vm.clone())
                .or_insert_with(|| NodeState::new(vm.place.clone(), steward));
            changed |= node.take_listing(vm, steward);
        }
        for (vm, node) in &mut self.nodes {
            if node.listed.is_some() && !listed.contains(vm) {
                (node.listed, node.unlisted_at) = (None, Some(now));
                changed = true;
            }
        }
        if changed {
            self.change_entries();
        }
    }
}

fn listed_runners(vms: &[VmRecord]) -> BTreeMap<RunnerId, &VmRecord> {
    let mut listed = BTreeMap::new();
    for vm in vms.iter().filter(|vm| vm.role == VmRole::Runner) {
        if let Ok(runner) = vm.vm.as_str().parse() {
            listed.insert(runner, vm);
        }
    }
    listed
}
