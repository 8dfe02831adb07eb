//! The steward's view: the part that its entries get.

use std::collections::BTreeSet;

use base::prelude::*;
use config::ConfigPlan;

use crate::{EntryRecord, FleetDesk, FleetView, RunnerRecord};

impl FleetDesk {
    /// The changes since `version` of this steward's incarnation; everything if `steward`
    /// is another incarnation. `plan` is the configuration in force, `config_offset` the
    /// entry's.
    #[must_use]
    pub fn view(
        &self,
        now: TimePoint,
        version: u64,
        steward: VmIncarnation,
        plan: Option<&Arc<ConfigPlan>>,
        config_offset: LogOffset,
    ) -> FleetView {
        let since = if steward == self.own_record.incarnation { version } else { 0 };
        let all_runners = self.runners_change > since;
        let runners = self.runner_records(now, since, all_runners, plan);
        let events = self.runners.iter().flat_map(|(runner, state)| {
            state.events_since(since, false).map(|event| (runner.clone(), event))
        });
        FleetView {
            version: self.change,
            steward: self.own_record.incarnation,
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
        let changed =
            self.runners.iter().filter(|(_, state)| all || state.is_reported_since(since));
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
        if !self.own_record.leaving && !drained(&self.own_record.vm) {
            for status in self.own_record.entries.iter().filter(|entry| !entry.leaving) {
                let (vm, place) = (self.own_record.vm.clone(), self.own_record.place.clone());
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

/// Hides models that are going to be unloaded from the entries' view of a runner.
fn hide_draining(record: &mut RunnerRecord, draining: &BTreeSet<(RunnerId, ModelName)>) {
    let Some(report) = record.report.as_mut().filter(|_| !draining.is_empty()) else { return };
    let had_models = !report.models.is_empty();
    let runner = &record.runner;
    report.models.retain(|model| !draining.contains(&(runner.clone(), model.clone())));
    // An empty list of models would mean that the runner serves all.
    record.leaving |= had_models && report.models.is_empty();
}
