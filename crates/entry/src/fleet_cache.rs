//! The last view that the steward gave, and how old it is.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::prelude::*;
use config::{ConfigPlan, ServicePlan};
use peers::{EntryRecord, FleetView, RunnerRecord};

/// What a view changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetChanges {
    /// Another configuration is in force.
    pub config: bool,
    /// Runners came, went, or changed their state.
    pub members: bool,
}

/// The entry's copy of the steward's view.
#[derive(Debug)]
pub struct FleetCache {
    /// The configuration in force; none until the first one arrives.
    pub plan: Option<Arc<ConfigPlan>>,
    /// Runners by name.
    pub runners: BTreeMap<RunnerId, RunnerRecord>,
    /// Entries that callers may use.
    pub entries: Vec<EntryRecord>,
    /// This VM is cut off from the others.
    pub cut_off: bool,
    /// Version of the view on the steward's start.
    pub version: u64,
    /// The steward's start.
    pub steward: VmIncarnation,
    /// When the last view arrived.
    pub updated: TimePoint,
    refused: BTreeSet<RunnerId>,
}

impl FleetCache {
    /// An empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self {
            plan: None,
            runners: BTreeMap::new(),
            entries: Vec::new(),
            cut_off: false,
            version: 0,
            steward: VmIncarnation(0),
            updated: TimePoint(0),
            refused: BTreeSet::new(),
        }
    }

    /// Takes a view; a configuration with a lower offset is never applied.
    pub fn apply(&mut self, now: TimePoint, view: FleetView) -> FleetChanges {
        let mut changes = FleetChanges::default();
        if let Some(plan) = view.config
            && self.config_offset() < plan.offset
        {
            self.plan = Some(plan);
            changes.config = true;
        }
        if view.all_runners {
            changes.members = true;
            self.runners.clear();
        }
        for record in view.runners {
            changes.members |= self.insert(record);
        }
        if let Some(entries) = view.entries {
            self.entries = entries;
        }
        self.cut_off = view.cut_off;
        self.version = view.version;
        self.steward = view.steward;
        self.updated = now;
        changes
    }

    fn insert(&mut self, mut record: RunnerRecord) -> bool {
        record.leaving |= self.refused.contains(&record.runner);
        let old = self.runners.insert(record.runner.clone(), record.clone());
        old.is_none_or(|old| {
            old.leaving != record.leaving
                || old.address != record.address
                || old.service != record.service
        })
    }

    /// Notes that a runner itself said that it is leaving; the word stays.
    pub fn note_leaving(&mut self, runner: &RunnerId) -> bool {
        let Some(record) = self.runners.get_mut(runner) else { return false };
        let news = !record.leaving;
        record.leaving = true;
        self.refused.insert(runner.clone());
        news
    }

    /// Offset of the configuration in use; 0 before the first.
    #[must_use]
    pub fn config_offset(&self) -> LogOffset {
        self.plan.as_ref().map_or(LogOffset(0), |plan| plan.offset)
    }

    /// Up to here the configuration is used as it was published; 0 before the first.
    #[must_use]
    pub fn config_in_force(&self) -> LogOffset {
        self.plan.as_ref().map_or(LogOffset(0), |plan| plan.in_force)
    }

    /// Where a runner listens.
    #[must_use]
    pub fn runner_address(&self, runner: &RunnerId) -> Option<SocketAddr> {
        self.runners.get(runner).map(|record| record.address)
    }

    /// A service in force.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ServicePlan> {
        self.plan.as_ref()?.services.get(service)
    }

    /// The view, for the dump.
    #[must_use]
    pub fn dump(&self, now: TimePoint) -> serde_json::Value {
        serde_json::json!({
            "version": self.version,
            "steward": self.steward,
            "age_ms": now.since(self.updated).as_millis(),
            "cut_off": self.cut_off,
            "config_offset": self.config_offset(),
            "services": self.plan.as_ref().map(|plan| plan.services.keys().collect::<Vec<_>>()),
            "entries": self.entries,
            "runners": self.runners.values().collect::<Vec<_>>(),
            "refused": self.refused,
        })
    }

    /// Whether a runner gets no new work, by the list, itself or the operators.
    #[must_use]
    pub fn is_leaving(&self, record: &RunnerRecord) -> bool {
        let drained = self.plan.as_ref().is_some_and(|plan| plan.drained.contains(&record.runner));
        record.leaving || drained
    }
}

impl Default for FleetCache {
    fn default() -> Self {
        Self::new()
    }
}
