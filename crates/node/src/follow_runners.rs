//! Reading the list of runners from the store, and applying what other nodes have read.
//!
//! One node reads on behalf of all and sends the changes to the others. The others stand by
//! and read themselves after a slightly longer silence each.

use std::rc::Rc;

use base::prelude::*;
use platform::{KeyedChange, KeyedListing, ReadOutcome, StoreClient, StoreTopic};
use serving::{RunnerChange, RunnerRecord, RunnerUpdate};

use crate::context::NodeContext;
use crate::dependency::DependencyState;
use crate::peer_link::PeerLink;
use crate::router::RouterService;

/// Pause between two reads. Runners rewrite their records about once a second each, so a
/// long poll would return immediately anyway.
const READ_PAUSE: TimeSpan = TimeSpan::millis(150);
/// Additional pause for each node that ranks before this one as a reader.
const STANDBY_PAUSE: TimeSpan = TimeSpan::millis(80);
/// Maximum number of additional pauses; all further nodes read at the same time.
const MAX_STANDBY_STEPS: u64 = 20;
/// Pause of the first reader after a failure; the others wait longer, as after a read.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(200);

/// Keeps the list of runners up to date from the store.
pub struct RunnerFeed {
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    link: Rc<PeerLink>,
    client: StoreClient,
    dependency: DependencyState,
}

impl RunnerFeed {
    /// Creates a feed that has read nothing yet.
    #[must_use]
    pub fn new(
        context: &Rc<NodeContext>,
        router: &Rc<RouterService>,
        link: &Rc<PeerLink>,
        client: StoreClient,
    ) -> Self {
        Self {
            context: Rc::clone(context),
            router: Rc::clone(router),
            link: Rc::clone(link),
            client,
            dependency: DependencyState::new("store: runners"),
        }
    }

    /// Reads the list of runners until the process ends.
    pub async fn run(self) {
        let mut has_list = false;
        loop {
            if has_list {
                self.wait_for_turn().await;
            }
            match self.read(has_list).await {
                Ok(can_continue) => {
                    self.dependency.record_success();
                    has_list = can_continue;
                }
                Err(error) => {
                    self.dependency.record_failure(&error);
                    self.context.metrics.store_failures.inc();
                    kernel::sleep(self.standby_pause(RETRY_PAUSE).into()).await;
                }
            }
            self.context.runners.borrow_mut().prune(self.context.now());
        }
    }

    /// Waits until neither this node nor another has read the list for a while.
    async fn wait_for_turn(&self) {
        loop {
            let read = self.context.runners_updated.get().unwrap_or_default();
            let left = (read + self.standby_pause(READ_PAUSE)).since(self.context.now());
            if left == TimeSpan::default() {
                return;
            }
            kernel::sleep(left.into()).await;
        }
    }

    /// Pause of this node by its rank as a reader; `first` is that of the first reader.
    fn standby_pause(&self, first: TimeSpan) -> TimeSpan {
        let steps = (self.context.readers_before() as u64).min(MAX_STANDBY_STEPS);
        TimeSpan(first.0 + steps * STANDBY_PAUSE.0)
    }

    /// Reads the whole list, or the changes since the last read if `has_list`; returns
    /// whether the next read can continue from this one.
    async fn read(&self, has_list: bool) -> platform::Result<bool> {
        let requested = self.context.now();
        if !has_list {
            let listing = self.client.list(StoreTopic::Runners).await?;
            let records = decode_records(&listing);
            let changed = self.context.runners.borrow_mut().replace(self.context.now(), records);
            self.record_listing(requested, listing.end, changed);
            return Ok(true);
        }
        let from = self.context.runners_offset.get();
        match self.client.read_changes(StoreTopic::Runners, from, TimeSpan::default()).await? {
            ReadOutcome::Truncated => Ok(false),
            ReadOutcome::Changes(listing) => {
                self.apply_changes(requested, from, &listing);
                Ok(true)
            }
        }
    }

    fn apply_changes(&self, requested: TimePoint, from: LogOffset, listing: &KeyedListing) {
        let decoded: Vec<RunnerChange> = listing.entries.iter().filter_map(decode_change).collect();
        let changes = apply_to_table(&self.context, decoded, "store");
        let has_changes = !changes.is_empty();
        self.record_listing(requested, listing.end, has_changes);
        self.link.send_update(RunnerUpdate { from, end: listing.end, changes });
    }

    fn record_listing(&self, requested: TimePoint, end: LogOffset, changed: bool) {
        self.context.store_answered_at.set(Some(self.context.now()));
        record_read(&self.context, &self.router, requested, end, changed);
    }
}

/// Records that the list has been read up to `end`, by this node or another, and was current
/// at `current`.
pub fn record_read(
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
    let read = context.runners_offset.get();
    if context.runners_updated.get().is_none() || update.from > read || update.end < read {
        return;
    }
    let changed = !apply_to_table(context, update.changes, "node").is_empty();
    record_read(context, router, context.now(), update.end, changed);
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

/// Runner and state of a change, for the log.
fn describe_change(change: &RunnerChange) -> (&RunnerId, &'static str) {
    match change {
        RunnerChange::Put(record) if record.leaving => (&record.runner, "leaving"),
        RunnerChange::Put(record) => (&record.runner, "ready"),
        RunnerChange::Remove(runner) => (runner, "removed"),
    }
}

/// Decodes the records of a whole list; malformed ones are skipped.
fn decode_records(listing: &KeyedListing) -> Vec<RunnerRecord> {
    let puts = listing.entries.iter().filter_map(decode_change);
    puts.filter_map(|change| match change {
        RunnerChange::Put(record) => Some(record),
        RunnerChange::Remove(_) => None,
    })
    .collect()
}

/// Decodes one change; `None` if it is malformed.
fn decode_change(change: &KeyedChange) -> Option<RunnerChange> {
    let Some(value) = &change.value else {
        return change.key.parse().ok().map(RunnerChange::Remove);
    };
    match platform::decode_runner(&change.key, value) {
        Ok(record) => Some(RunnerChange::Put(record)),
        Err(error) => {
            tracing::debug!(event = "record_skipped", topic = "runners", key = %change.key, %error);
            None
        }
    }
}
