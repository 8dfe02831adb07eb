//! The steward's view, as its entries get it.

use std::collections::BTreeSet;

use base::prelude::*;
use config::ConfigPlan;

use crate::{EntryRecord, FleetDesk, FleetView, RunnerRecord};

impl FleetDesk {
    /// What changed since `version` of this steward's start; everything if `steward` is
    /// another start. `plan` is the configuration in force, `config_offset` the entry's.
    #[must_use]
    pub fn view(
        &self,
        now: TimePoint,
        version: u64,
        steward: VmIncarnation,
        plan: Option<&Arc<ConfigPlan>>,
        config_offset: LogOffset,
    ) -> FleetView {
        let since = if steward == self.me.incarnation { version } else { 0 };
        let all_runners = self.runners_change > since;
        let runners = self.runner_records(now, since, all_runners, plan);
        let events = self.runners.iter().flat_map(|(runner, state)| {
            state.events_since(since, false).map(|event| (runner.clone(), event))
        });
        FleetView {
            version: self.change,
            steward: self.me.incarnation,
            config: plan.filter(|plan| plan.offset > config_offset).cloned(),
            runners,
            all_runners,
            entries: (self.entries_change > since).then(|| self.entry_records(plan)),
            cache_events: events.collect(),
            cut_off: self.cut_off,
        }
    }

    fn runner_records(
        &self,
        now: TimePoint,
        since: u64,
        all: bool,
        plan: Option<&Arc<ConfigPlan>>,
    ) -> Vec<RunnerRecord> {
        let changed = self.runners.iter().filter(|(_, state)| {
            all || state.known.as_ref().is_some_and(|known| known.change > since)
        });
        let records = changed.map(|(runner, state)| {
            let drained = plan.is_some_and(|plan| plan.drained.contains(runner));
            let mut record =
                state.record(now, runner, drained || self.is_runner_leaving(runner, state));
            hide_draining(&mut record, &self.draining);
            record
        });
        records.collect()
    }

    fn entry_records(&self, plan: Option<&Arc<ConfigPlan>>) -> Vec<EntryRecord> {
        let drained = |vm: &VmId| plan.is_some_and(|plan| plan.drained_vms.contains(vm));
        let mut records = Vec::new();
        if !self.me.leaving && !drained(&self.me.vm) {
            for status in self.me.entries.iter().filter(|entry| !entry.leaving) {
                let (vm, place) = (self.me.vm.clone(), self.me.place.clone());
                records.push(EntryRecord { vm, place, status: status.clone() });
            }
        }
        for (vm, node) in self.nodes.iter().filter(|(vm, _)| !drained(vm)) {
            for status in node.usable_entries() {
                let (vm, place) = (vm.clone(), node.place.clone());
                records.push(EntryRecord { vm, place, status: status.clone() });
            }
        }
        records
    }
}

/// Takes models that are going to be unloaded out of what entries see of a runner.
fn hide_draining(record: &mut RunnerRecord, draining: &BTreeSet<(RunnerId, ModelName)>) {
    let Some(report) = record.report.as_mut().filter(|_| !draining.is_empty()) else { return };
    let had_models = !report.models.is_empty();
    let runner = &record.runner;
    report.models.retain(|model| !draining.contains(&(runner.clone(), model.clone())));
    // No models at all would say that the runner serves any.
    record.leaving |= had_models && report.models.is_empty();
}
