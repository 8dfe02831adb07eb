//! The runners that the platform lists, and which of them may receive new requests.
//!
//! Load pattern: engines are reclaimed every few seconds. A runner that has announced that it
//! is leaving stays so for its incarnation, even if a stale list shows it as ready. A store that
//! comes back from a copy lists runners that have ended, and lacks some that have just started.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use route::RouteMember;
use serde::{Deserialize, Serialize};

/// Time after which a removed entry is dropped from the table.
const FORGET_TIMEOUT: TimeSpan = TimeSpan::seconds(20);
/// Time after a return of the store in which a runner that its copy lacks writes its entry again.
const REWRITE_TIMEOUT: TimeSpan = TimeSpan::seconds(2);
/// Time after a return of the store in which its list may show runners that have ended: it
/// removes an entry after three heartbeat intervals of silence.
const STALE_LIST_TIMEOUT: TimeSpan = TimeSpan::seconds(5);

/// The entry of a runner in the list, as written by the runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerRecord {
    /// Id of the runner; usually a new one for each start.
    pub runner: RunnerId,
    /// Service that the runner belongs to.
    pub service: ServiceName,
    /// HTTP address.
    pub address: SocketAddr,
    /// Failure domain.
    pub place: PlaceName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Start time in Unix milliseconds; distinguishes incarnations that share an id.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
}

impl RunnerRecord {
    /// The start of the runner that wrote the entry.
    #[must_use]
    pub fn incarnation(&self) -> RunnerIncarnation {
        let (runner, started_unix_ms) = (self.runner.clone(), self.started_unix_ms);
        RunnerIncarnation { runner, started_unix_ms }
    }
}

/// A runner in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerEntry {
    /// Latest record of the runner.
    pub record: RunnerRecord,
    /// When its entry was removed from the list; `None` while it is listed.
    pub removed_at: Option<TimePoint>,
    /// Whether the runner told this node directly that it is leaving.
    pub announced_leaving: bool,
    /// Whether the list of a store that has come back lacks it, so that it may still be written
    /// again.
    pub awaits_rewrite: bool,
}

/// Identifies one start of a runner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunnerIncarnation {
    /// Id of the runner.
    pub runner: RunnerId,
    /// Start time in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// A change of the runner list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerChange {
    /// An entry was added or replaced.
    Put(RunnerRecord),
    /// An entry was removed.
    Remove(RunnerId),
}

/// All known runners.
#[derive(Debug)]
pub struct RunnerTable {
    entries: BTreeMap<RunnerId, RunnerEntry>,
    /// Time for which a removed runner may still be used if all entries of its service were
    /// removed.
    lapse_grace: TimeSpan,
    /// The last return of the store from a copy.
    store_return: Option<StoreReturn>,
}

/// A return of the store from a copy.
#[derive(Debug)]
struct StoreReturn {
    /// When this node learned of it.
    seen_at: TimePoint,
    /// Whether a list showed a runner that had been removed before.
    showed_removed: bool,
}

impl RunnerTable {
    /// Creates an empty table. A leaving runner keeps serving for `drain`. Removed runners may
    /// be used for three quarters of that time, within which entries that lapsed during an
    /// outage of the store are written again.
    #[must_use]
    pub fn new(drain: TimeSpan) -> Self {
        Self {
            entries: BTreeMap::new(),
            lapse_grace: TimeSpan(drain.0 / 4 * 3),
            store_return: None,
        }
    }

    /// Records that the store has come back from a copy.
    pub fn mark_store_return(&mut self, now: TimePoint) {
        self.store_return = Some(StoreReturn { seen_at: now, showed_removed: false });
    }

    /// Applies a change. Returns whether the table changed.
    pub fn apply(&mut self, now: TimePoint, change: RunnerChange) -> bool {
        match change {
            RunnerChange::Put(record) => self.put(record),
            RunnerChange::Remove(runner) => self.remove(now, &runner),
        }
    }

    /// Replaces the table by the complete list of another node; entries that are not in it count
    /// as removed. Returns the runners whose entries changed.
    ///
    /// Soon after a return of the store, entries that are not in the list stay for a while, and
    /// those that had been removed before stay removed: both may be due to the copy.
    pub fn replace(&mut self, now: TimePoint, records: Vec<RunnerRecord>) -> Vec<RunnerId> {
        let awaiting: Vec<RunnerId> = self.awaiting_rewrite().cloned().collect();
        let changed = self.replace_listed(now, records);
        // The other node may keep an entry that the store lacks.
        for runner in awaiting {
            self.await_rewrite(&runner);
        }
        changed
    }

    /// Like [`Self::replace`], with a list read from the store: its entries have been written.
    pub fn replace_listed(&mut self, now: TimePoint, records: Vec<RunnerRecord>) -> Vec<RunnerId> {
        let listed: BTreeMap<&RunnerId, u64> =
            records.iter().map(|record| (&record.runner, record.started_unix_ms)).collect();
        let is_missing = |entry: &&RunnerEntry| {
            let started = listed.get(&entry.record.runner);
            started.is_none_or(|started| *started < entry.record.started_unix_ms)
        };
        let missing = self.entries.values().filter(is_missing);
        let missing: Vec<RunnerId> = missing.map(|entry| entry.record.runner.clone()).collect();
        let mut changed = Vec::new();
        for record in records {
            let runner = record.runner.clone();
            if self.is_stale_entry(now, &record) {
                self.record_stale_entry();
            } else if self.put(record) {
                changed.push(runner);
            }
        }
        let may_be_rewritten = self.has_returned_within(now, REWRITE_TIMEOUT);
        for runner in missing {
            if may_be_rewritten {
                self.await_rewrite(&runner);
            } else if self.remove(now, &runner) {
                changed.push(runner);
            }
        }
        changed
    }

    fn has_returned_within(&self, now: TimePoint, span: TimeSpan) -> bool {
        self.store_return.as_ref().is_some_and(|last| now.since(last.seen_at) < span)
    }

    /// Whether a list shows an incarnation that was removed before the store came back.
    fn is_stale_entry(&self, now: TimePoint, record: &RunnerRecord) -> bool {
        let Some(entry) = self.entries.get(&record.runner) else { return false };
        let Some(last) = &self.store_return else { return false };
        entry.record.started_unix_ms == record.started_unix_ms
            && entry.removed_at.is_some_and(|removed| removed <= last.seen_at)
            && now.since(last.seen_at) < STALE_LIST_TIMEOUT
    }

    fn record_stale_entry(&mut self) {
        if let Some(last) = &mut self.store_return {
            last.showed_removed = true;
        }
    }

    fn await_rewrite(&mut self, runner: &RunnerId) {
        if let Some(entry) = self.entries.get_mut(runner) {
            entry.awaits_rewrite = entry.removed_at.is_none();
        }
    }

    /// Whether entries may still be written again.
    #[must_use]
    pub fn awaits_rewrites(&self) -> bool {
        self.awaiting_rewrite().next().is_some()
    }

    fn awaiting_rewrite(&self) -> impl Iterator<Item = &RunnerId> {
        let awaiting = self.entries.values().filter(|entry| entry.awaits_rewrite);
        awaiting.map(|entry| &entry.record.runner)
    }

    /// The runners whose entries were not written again in time after a return of the store.
    #[must_use]
    pub fn overdue_rewrites(&self, now: TimePoint) -> Vec<RunnerId> {
        if self.has_returned_within(now, REWRITE_TIMEOUT) {
            return Vec::new();
        }
        self.awaiting_rewrite().cloned().collect()
    }

    /// Whether the list has to be read once more, since the time in which it may be stale has
    /// ended and entries were left open.
    pub fn take_list_request(&mut self, now: TimePoint) -> bool {
        if self.has_returned_within(now, STALE_LIST_TIMEOUT) {
            return false;
        }
        let showed_removed = self.store_return.take().is_some_and(|last| last.showed_removed);
        let is_open = self.awaits_rewrites();
        for entry in self.entries.values_mut() {
            entry.awaits_rewrite = false;
        }
        showed_removed || is_open
    }

    fn put(&mut self, mut record: RunnerRecord) -> bool {
        let before = self.entries.get(&record.runner);
        let same_incarnation =
            before.filter(|entry| entry.record.started_unix_ms == record.started_unix_ms);
        if before.is_some_and(|entry| entry.record.started_unix_ms > record.started_unix_ms) {
            return false;
        }
        record.leaving |= same_incarnation.is_some_and(|entry| entry.record.leaving);
        let announced_leaving = same_incarnation.is_some_and(|entry| entry.announced_leaving);
        let entry =
            RunnerEntry { record, removed_at: None, announced_leaving, awaits_rewrite: false };
        let changed = before != Some(&entry);
        self.entries.insert(entry.record.runner.clone(), entry);
        changed
    }

    fn remove(&mut self, now: TimePoint, runner: &RunnerId) -> bool {
        let Some(entry) = self.entries.get_mut(runner) else { return false };
        let changed = entry.removed_at.is_none();
        entry.removed_at.get_or_insert(now);
        entry.awaits_rewrite = false;
        changed
    }

    /// Marks an incarnation of a runner that told this node directly that it is leaving. Later
    /// incarnations are not affected. Returns whether that was not known before.
    pub fn mark_leaving(&mut self, incarnation: &RunnerIncarnation) -> bool {
        let Some(entry) = self.entries.get_mut(&incarnation.runner) else { return false };
        if entry.record.started_unix_ms != incarnation.started_unix_ms {
            return false;
        }
        let changed = !entry.record.leaving;
        entry.record.leaving = true;
        entry.announced_leaving = true;
        changed
    }

    /// Marks an incarnation of a runner that another node reported as leaving. Later
    /// incarnations are not affected. Returns whether that was not known before.
    pub fn mark_incarnation_leaving(&mut self, incarnation: &RunnerIncarnation) -> bool {
        let Some(entry) = self.entries.get_mut(&incarnation.runner) else { return false };
        let changed =
            entry.record.started_unix_ms == incarnation.started_unix_ms && !entry.record.leaving;
        entry.record.leaving |= changed;
        changed
    }

    /// The listed runners that told this node directly that they are leaving.
    #[must_use]
    pub fn announced_leaving(&self) -> Vec<RunnerIncarnation> {
        let announced =
            |entry: &&RunnerEntry| entry.announced_leaving && entry.removed_at.is_none();
        let incarnation = |entry: &RunnerEntry| entry.record.incarnation();
        self.entries.values().filter(announced).map(incarnation).collect()
    }

    /// Drops entries that were removed long ago.
    pub fn prune(&mut self, now: TimePoint) {
        let keep = |entry: &RunnerEntry| match entry.removed_at {
            Some(removed) => now.since(removed) < FORGET_TIMEOUT,
            None => true,
        };
        self.entries.retain(|_, entry| keep(entry));
    }

    /// Looks up a runner by id.
    #[must_use]
    pub fn get(&self, runner: &RunnerId) -> Option<&RunnerEntry> {
        self.entries.get(runner)
    }

    /// All runners, including removed ones that have not been dropped.
    pub fn entries(&self) -> impl Iterator<Item = &RunnerEntry> {
        self.entries.values()
    }

    /// Whether the runner is leaving, removed or unknown, and so receives no new requests.
    #[must_use]
    pub fn is_leaving(&self, runner: &RunnerId) -> bool {
        self.entries
            .get(runner)
            .is_none_or(|entry| entry.record.leaving || entry.removed_at.is_some())
    }

    /// Whether this incarnation is known to be leaving. An incarnation that is not listed is
    /// not.
    #[must_use]
    pub fn is_incarnation_leaving(&self, incarnation: &RunnerIncarnation) -> bool {
        self.entries.get(&incarnation.runner).is_some_and(|entry| {
            entry.record.leaving && entry.record.started_unix_ms == incarnation.started_unix_ms
        })
    }

    /// Whether this incarnation leaves, or is not listed any more and gets no new requests. One of a newer start
    /// does not count: it answers that the runner has changed.
    #[must_use]
    pub fn has_left(&self, incarnation: &RunnerIncarnation, now: TimePoint) -> bool {
        let Some(entry) = self.entries.get(&incarnation.runner) else { return true };
        let service = &entry.record.service;
        let mut of_service = self.entries.values().filter(|entry| entry.record.service == *service);
        let all_removed = of_service.all(|entry| entry.removed_at.is_some());
        self.is_incarnation_leaving(incarnation) || !self.is_usable(entry, all_removed, now)
    }

    /// Whether an entry is listed, or counts as listed since all of its service were removed at about the
    /// same time.
    fn is_usable(&self, entry: &RunnerEntry, all_removed: bool, now: TimePoint) -> bool {
        match entry.removed_at {
            Some(removed) => all_removed && now.since(removed) < self.lapse_grace,
            None => true,
        }
    }

    /// The record of the runner at `address`; of several, that of the latest start.
    #[must_use]
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&RunnerRecord> {
        let at_address = |record: &&RunnerRecord| record.address == address;
        let records = self.entries.values().map(|entry| &entry.record).filter(at_address);
        records.max_by_key(|record| record.started_unix_ms)
    }

    /// The runners of a service, as input for routing.
    ///
    /// If every entry of the service was removed at about the same time, as after an outage of
    /// the store, the removed runners remain usable for a short time.
    #[must_use]
    pub fn route_members(&self, service: &ServiceName, now: TimePoint) -> Vec<RouteMember> {
        let of_service = || self.entries.values().filter(|entry| entry.record.service == *service);
        let all_removed = of_service().all(|entry| entry.removed_at.is_some());
        let usable = |entry: &RunnerEntry| self.is_usable(entry, all_removed, now);
        of_service()
            .map(|entry| RouteMember {
                runner: entry.record.runner.clone(),
                place: entry.record.place.clone(),
                leaving: entry.record.leaving || !usable(entry),
            })
            .collect()
    }
}
