//! Reading the list of runners from the store, and applying what other nodes have read.
//!
//! One node reads on behalf of all and sends the changes to the others. The others stand by
//! and read themselves after a slightly longer silence each.

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use platform::{KeyedChange, KeyedListing, RunnerCold, StoreTopic};
use serving::{
    ColdSource, RunnerChange, RunnerIncarnation, RunnerRecord, RunnerUpdate, StoreCursor,
};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::dependency::DependencyState;
use crate::limit_share::cold_plan;
use crate::peer_link::PeerLink;
use crate::router::RouterService;
use crate::runner_notices::record_cold;
use crate::store_reader::{EraListing, StoreReader};

/// Pause between two reads. Runners rewrite their records about once a second each, so a
/// long poll would return immediately anyway.
const READ_PAUSE: TimeSpan = TimeSpan::millis(150);
/// Additional pause for each node that ranks before this one as a reader.
const STANDBY_PAUSE: TimeSpan = TimeSpan::millis(80);
/// Maximum number of additional pauses; all further nodes read at the same time.
const MAX_STANDBY_STEPS: u64 = 20;
/// Maximum number of lines about the changes of one whole list.
const MAX_LIST_LINES: usize = 32;
/// Pause of the first reader after a failure; the others wait longer, as after a read.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(200);

/// Keeps the list of runners up to date from the store.
pub struct RunnerFeed {
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    link: Rc<PeerLink>,
    reader: StoreReader,
    /// Where the last read of this node ended.
    last_end: Cell<Option<StoreCursor>>,
    dependency: DependencyState,
}

impl RunnerFeed {
    /// Creates a feed that has read nothing yet.
    #[must_use]
    pub fn new(
        context: &Rc<NodeContext>,
        router: &Rc<RouterService>,
        link: &Rc<PeerLink>,
        reader: StoreReader,
    ) -> Self {
        Self {
            context: Rc::clone(context),
            router: Rc::clone(router),
            link: Rc::clone(link),
            reader,
            last_end: Cell::default(),
            dependency: DependencyState::new("store: runners"),
        }
    }

    /// Reads the list of runners until the process ends.
    pub async fn run(self) {
        loop {
            if self.last_end.get().is_some() {
                self.wait_for_turn().await;
            }
            match self.read().await {
                Ok(()) => self.dependency.record_success(),
                Err(error) => {
                    self.dependency.record_failure(&error);
                    self.context.metrics.store_failures.inc();
                    kernel::sleep(self.standby_pause(RETRY_PAUSE).into()).await;
                }
            }
        }
    }

    /// Waits until neither this node nor another has read the list for a while.
    async fn wait_for_turn(&self) {
        loop {
            self.tend_table();
            let read = self.context.runners_updated.get().unwrap_or_default();
            let left = (read + self.standby_pause(READ_PAUSE)).since(self.context.now());
            if left == TimeSpan::default() {
                return;
            }
            kernel::sleep(left.into()).await;
        }
    }

    /// Forgets entries removed long ago. Has the list read once more where a return of the store
    /// has left entries open.
    fn tend_table(&self) {
        let now = self.context.now();
        let mut table = self.context.runners.borrow_mut();
        table.prune(now);
        self.context.run_ends.borrow_mut().retain(|incarnation| {
            let entry = table.get(&incarnation.runner);
            entry.is_some_and(|entry| entry.record.started_unix_ms == incarnation.started_unix_ms)
        });
        if table.take_list_request(now) {
            self.context.runners_offset.take();
            self.context.metrics.cursors_dropped.inc();
            tracing::info!(event = "cursor_dropped", topic = "runners", reason = "entries open");
        }
    }

    /// Pause of this node by its rank as a reader; `first` is that of the first reader.
    fn standby_pause(&self, first: TimeSpan) -> TimeSpan {
        let steps = (self.context.readers_before() as u64).min(MAX_STANDBY_STEPS);
        TimeSpan(first.0 + steps * STANDBY_PAUSE.0)
    }

    /// Where the next read can begin; `None` if the whole list has to be read.
    ///
    /// Which entries the store lacks after a return, and which are written again, only shows in
    /// what this node has read itself: other nodes pass on their own list of runners, and only
    /// changes that had an effect on it.
    fn cursor(&self) -> Option<StoreCursor> {
        let era = self.context.newest_era();
        let last_end = self.last_end.get().filter(|last_end| last_end.era == era)?;
        let cursor = StoreCursor { era, offset: self.context.runners_offset.get() };
        let is_own = cursor == last_end;
        let is_read = cursor.offset > LogOffset::default();
        let is_settled = !self.context.runners.borrow().awaits_rewrites();
        (is_own || is_read && is_settled).then_some(cursor)
    }

    /// Reads the changes since the last read, or the whole list.
    async fn read(&self) -> platform::Result<()> {
        let requested = self.context.now();
        let cursor = self.cursor();
        let outcome =
            self.reader.read_or_list(StoreTopic::Runners, cursor, TimeSpan::default()).await?;
        match (outcome, cursor) {
            (None, _) => self.last_end.set(None),
            (Some(read), None) => self.apply_list(requested, &read),
            (Some(read), Some(cursor)) => self.apply_changes(requested, cursor, &read),
        }
        Ok(())
    }

    fn apply_list(&self, requested: TimePoint, read: &EraListing) {
        let (records, cold) = decode_records(&self.context, &read.listing);
        let changed = self.context.runners.borrow_mut().replace_listed(self.context.now(), records);
        record_cold_entries(&self.context, &cold);
        // The list counts alone, also where it ends before what was read.
        self.context.runners_offset.take();
        log_list_changes(&self.context, &changed, "store");
        self.record_end(requested, read.end, !changed.is_empty());
    }

    fn apply_changes(&self, requested: TimePoint, from: StoreCursor, read: &EraListing) {
        let (mut decoded, cold): (Vec<RunnerChange>, Vec<Option<ColdEntry>>) = read
            .listing
            .entries
            .iter()
            .filter_map(|entry| decode_change(&self.context, entry))
            .unzip();
        let overdue = self.context.runners.borrow().overdue_rewrites(self.context.now());
        let rewritten: Vec<&RunnerId> = decoded.iter().map(changed_runner).collect();
        let expired: Vec<RunnerId> =
            overdue.into_iter().filter(|runner| !rewritten.contains(&runner)).collect();
        decoded.extend(expired.into_iter().map(RunnerChange::Remove));
        let changes = apply_to_table(&self.context, decoded, "store");
        let cold: Vec<ColdEntry> = cold.into_iter().flatten().collect();
        record_cold_entries(&self.context, &cold);
        self.record_end(requested, read.end, !changes.is_empty());
        let (from, end) = (from.offset, read.end.offset);
        self.link.send_update(RunnerUpdate { era: read.end.era, from, end, changes });
    }

    fn record_end(&self, requested: TimePoint, end: StoreCursor, changed: bool) {
        self.context.store_answered_at.set(Some(self.context.now()));
        self.last_end.set(Some(end));
        record_current_read(&self.context, &self.router, requested, end.offset, changed);
    }
}

/// Records that another node's list, read up to `end` and current at `current`, has been taken.
/// Its offset may belong to an older era if a newer one became known since.
pub fn record_read(
    context: &NodeContext,
    router: &RouterService,
    current: TimePoint,
    end: LogOffset,
    changed: bool,
) {
    if !context.store_era.borrow().may_be_older(current) {
        record_current_read(context, router, current, end, changed);
        return;
    }
    tracing::info!(
        event = "offset_skipped",
        topic = "runners",
        offset = end.0,
        reason = "older era"
    );
    if changed {
        router.update_members();
    }
}

/// Records that the list has been read up to `end` of the newest era and was current at
/// `current`.
fn record_current_read(
    context: &NodeContext,
    router: &RouterService,
    current: TimePoint,
    end: LogOffset,
    changed: bool,
) {
    context.runners_offset.set(end.max(context.runners_offset.get()));
    context.runners_updated.set(Some(current));
    if changed {
        router.update_members();
    }
}

/// Applies changes that another node has read, unless there is a gap to what is known here.
pub fn apply_peer_update(context: &NodeContext, router: &RouterService, update: RunnerUpdate) {
    context.observe_store_era(update.era, "node");
    if update.era < context.newest_era() {
        return;
    }
    let read = context.runners_offset.get();
    if context.runners_updated.get().is_none() || update.from > read || update.end < read {
        return;
    }
    let started = new_starts(context, update.changes.iter().filter_map(written_record));
    let changed = !apply_to_table(context, update.changes, "node").is_empty();
    for runner in &started {
        assume_cold(context, runner);
    }
    record_current_read(context, router, context.now(), update.end, changed);
}

/// The record of a change that writes one.
fn written_record(change: &RunnerChange) -> Option<&RunnerRecord> {
    match change {
        RunnerChange::Put(record) => Some(record),
        RunnerChange::Remove(_) => None,
    }
}

/// Starts of runners among `records` that are not in the table.
pub fn new_starts<'a>(
    context: &NodeContext,
    records: impl IntoIterator<Item = &'a RunnerRecord>,
) -> Vec<RunnerRecord> {
    let table = context.runners.borrow();
    let is_new = |record: &&RunnerRecord| {
        let known = table.get(&record.runner);
        known.is_none_or(|known| known.record.started_unix_ms < record.started_unix_ms)
    };
    records.into_iter().filter(is_new).cloned().collect()
}

/// Treats a runner that another node has read of as cold, if its service has cold runners: that it
/// is cold may become known only with that node's next heartbeat.
pub fn assume_cold(context: &NodeContext, runner: &RunnerRecord) {
    if let Some(cold) = cold_plan(context, &runner.service) {
        record_cold(context, &runner.incarnation(), cold.span, ColdSource::Start);
    }
}

/// A runner that is cold as its entry states.
type ColdEntry = (RunnerIncarnation, RunnerCold);

fn record_cold_entries(context: &NodeContext, entries: &[ColdEntry]) {
    for (runner, cold) in entries {
        record_cold(context, runner, cold.left, ColdSource::Store(cold.sequence));
    }
}

/// Applies changes to the runner table; returns those that had an effect.
fn apply_to_table(
    context: &NodeContext,
    changes: Vec<RunnerChange>,
    source: &str,
) -> Vec<RunnerChange> {
    let now = context.now();
    let mut table = context.runners.borrow_mut();
    let mut effective = Vec::new();
    for change in changes {
        if table.apply(now, change.clone()) {
            let (runner, state) = describe_change(&change);
            tracing::info!(event = "runner_changed", %runner, state, source);
            effective.push(change);
        }
    }
    effective
}

/// Logs which entries a whole list has changed; the rest of a long list only as a number.
pub fn log_list_changes(context: &NodeContext, changed: &[RunnerId], source: &str) {
    let table = context.runners.borrow();
    for entry in changed.iter().take(MAX_LIST_LINES).filter_map(|runner| table.get(runner)) {
        let state =
            if entry.removed_at.is_some() { "removed" } else { describe_record(&entry.record) };
        let runner = &entry.record.runner;
        tracing::info!(event = "runner_changed", %runner, state, source);
    }
    if let Some(omitted) = changed.len().checked_sub(MAX_LIST_LINES).filter(|count| *count > 0) {
        tracing::info!(event = "runner_lines_omitted", omitted, source);
    }
}

/// Runner that a change is about.
fn changed_runner(change: &RunnerChange) -> &RunnerId {
    match change {
        RunnerChange::Put(record) => &record.runner,
        RunnerChange::Remove(runner) => runner,
    }
}

/// Runner and state of a change, for the log.
fn describe_change(change: &RunnerChange) -> (&RunnerId, &'static str) {
    match change {
        RunnerChange::Put(record) => (&record.runner, describe_record(record)),
        RunnerChange::Remove(runner) => (runner, "removed"),
    }
}

fn describe_record(record: &RunnerRecord) -> &'static str {
    if record.leaving { "leaving" } else { "ready" }
}

/// Decodes the records of a whole list, and which of the runners are cold; malformed ones are
/// skipped.
fn decode_records(
    context: &NodeContext,
    listing: &KeyedListing,
) -> (Vec<RunnerRecord>, Vec<ColdEntry>) {
    let (mut records, mut cold_entries) = (Vec::new(), Vec::new());
    let changes = listing.entries.iter().filter_map(|entry| decode_change(context, entry));
    for (change, cold) in changes {
        if let RunnerChange::Put(record) = change {
            records.push(record);
        }
        cold_entries.extend(cold);
    }
    (records, cold_entries)
}

/// Decodes one change, and whether the runner is cold; `None` if it is malformed.
fn decode_change(
    context: &NodeContext,
    change: &KeyedChange,
) -> Option<(RunnerChange, Option<ColdEntry>)> {
    let Some(value) = &change.value else {
        return change.key.parse().ok().map(|runner| (RunnerChange::Remove(runner), None));
    };
    match platform::decode_runner_entry(&change.key, value) {
        Ok((record, cold)) => {
            let is_cold = cold.left > TimeSpan::default();
            let entry = is_cold.then(|| (record.incarnation(), cold));
            Some((RunnerChange::Put(record), entry))
        }
        Err(error) => {
            if may_log(context) {
                let key = &change.key;
                tracing::info!(event = "record_skipped", topic = "runners", %key, %error);
            }
            None
        }
    }
}
