//! The runners that the platform lists, and which of them may get new work.
//!
//! Load pattern: engines are reclaimed every few seconds. A runner that once said that it
//! leaves stays leaving for this incarnation, also when a stale list shows it as ready.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use route::RouteMember;
use serde::{Deserialize, Serialize};

/// Time after which a removed entry is forgotten.
const FORGET_SPAN: TimeSpan = TimeSpan::seconds(20);

/// A runner as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerRecord {
    /// Its id; mostly another one for each of its starts.
    pub runner: RunnerId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub place: PlaceName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It has announced that it leaves.
    pub leaving: bool,
    /// When it was started, in Unix milliseconds; tells two starts under one id apart.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
}

/// A runner and what became of its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerEntry {
    /// Its newest record.
    pub record: RunnerRecord,
    /// When its entry was removed.
    pub removed_at: Option<TimePoint>,
    /// It told this node itself that it leaves.
    pub announced_leaving: bool,
}

/// One start of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerIncarnation {
    /// Its id.
    pub runner: RunnerId,
    /// When it was started, in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerChange {
    /// An entry was written.
    Put(RunnerRecord),
    /// An entry was removed.
    Remove(RunnerId),
}

/// All runners that are known.
#[derive(Debug)]
pub struct RunnerTable {
    entries: BTreeMap<RunnerId, RunnerEntry>,
    /// Time for which a runner whose entry was removed may still be used if its service has
    /// no other.
    lapse_grace: TimeSpan,
}

impl RunnerTable {
    /// An empty table. A leaving runner serves on for `drain`: removed ones are used for
    /// three quarters of it, in which entries that lapsed with the store are back.
    #[must_use]
    pub fn new(drain: TimeSpan) -> Self {
        Self { entries: BTreeMap::new(), lapse_grace: TimeSpan(drain.0 / 4 * 3) }
    }

    /// Takes a change; whether it changed what is believed.
    pub fn apply(&mut self, now: TimePoint, change: RunnerChange) -> bool {
        match change {
            RunnerChange::Put(record) => self.put(record),
            RunnerChange::Remove(runner) => self.remove(now, &runner),
        }
    }

    /// Takes a whole list: what is not in it was removed.
    pub fn replace(&mut self, now: TimePoint, records: Vec<RunnerRecord>) -> bool {
        let listed: Vec<RunnerId> = records.iter().map(|record| record.runner.clone()).collect();
        let gone: Vec<RunnerId> =
            self.entries.keys().filter(|runner| !listed.contains(runner)).cloned().collect();
        let mut changed = false;
        for record in records {
            changed |= self.put(record);
        }
        for runner in gone {
            changed |= self.remove(now, &runner);
        }
        changed
    }

    fn put(&mut self, mut record: RunnerRecord) -> bool {
        let before = self.entries.get(&record.runner);
        let same = before.filter(|entry| entry.record.started_unix_ms == record.started_unix_ms);
        if before.is_some_and(|entry| entry.record.started_unix_ms > record.started_unix_ms) {
            return false;
        }
        record.leaving |= same.is_some_and(|entry| entry.record.leaving);
        let announced_leaving = same.is_some_and(|entry| entry.announced_leaving);
        let entry = RunnerEntry { record, removed_at: None, announced_leaving };
        let changed = before != Some(&entry);
        self.entries.insert(entry.record.runner.clone(), entry);
        changed
    }

    fn remove(&mut self, now: TimePoint, runner: &RunnerId) -> bool {
        let Some(entry) = self.entries.get_mut(runner) else { return false };
        let changed = entry.removed_at.is_none();
        entry.removed_at.get_or_insert(now);
        changed
    }

    /// Notes that a runner told this node that it leaves; whether that is news.
    pub fn mark_leaving(&mut self, runner: &RunnerId) -> bool {
        let Some(entry) = self.entries.get_mut(runner) else { return false };
        let changed = !entry.record.leaving;
        entry.record.leaving = true;
        entry.announced_leaving = true;
        changed
    }

    /// Takes the word of another node that a runner told it that it leaves; whether that is
    /// news. It holds for that start of the runner only.
    pub fn mark_incarnation_leaving(&mut self, start: &RunnerIncarnation) -> bool {
        let Some(entry) = self.entries.get_mut(&start.runner) else { return false };
        let changed =
            entry.record.started_unix_ms == start.started_unix_ms && !entry.record.leaving;
        entry.record.leaving |= changed;
        changed
    }

    /// The listed runners that told this node that they leave.
    #[must_use]
    pub fn announced_leaving(&self) -> Vec<RunnerIncarnation> {
        let told = |entry: &&RunnerEntry| entry.announced_leaving && entry.removed_at.is_none();
        let start = |entry: &RunnerEntry| RunnerIncarnation {
            runner: entry.record.runner.clone(),
            started_unix_ms: entry.record.started_unix_ms,
        };
        self.entries.values().filter(told).map(start).collect()
    }

    /// Forgets entries that were removed long ago.
    pub fn prune(&mut self, now: TimePoint) {
        let keep = |entry: &RunnerEntry| match entry.removed_at {
            Some(removed) => now.since(removed) < FORGET_SPAN,
            None => true,
        };
        self.entries.retain(|_, entry| keep(entry));
    }

    /// A runner by id.
    #[must_use]
    pub fn get(&self, runner: &RunnerId) -> Option<&RunnerEntry> {
        self.entries.get(runner)
    }

    /// All runners.
    pub fn entries(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.entries.values()
    }

    /// Whether the runner gets no new work.
    #[must_use]
    pub fn is_leaving(&self, runner: &RunnerId) -> bool {
        self.entries
            .get(runner)
            .is_none_or(|entry| entry.record.leaving || entry.removed_at.is_some())
    }

    /// The runners of a service for the routing desk.
    ///
    /// Where every entry of the service was removed at about the same time, as after an
    /// outage of the store, the removed ones are used for a short time.
    #[must_use]
    pub fn route_members(&self, service: &ServiceName, now: TimePoint) -> Vec<RouteMember> {
        let own = || self.entries.values().filter(|entry| entry.record.service == *service);
        let all_removed = own().all(|entry| entry.removed_at.is_some());
        let usable = |entry: &RunnerEntry| match entry.removed_at {
            Some(removed) => all_removed && now.since(removed) < self.lapse_grace,
            None => true,
        };
        own()
            .map(|entry| RouteMember {
                runner: entry.record.runner.clone(),
                place: entry.record.place.clone(),
                leaving: entry.record.leaving || !usable(entry),
            })
            .collect()
    }
}
