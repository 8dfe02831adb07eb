//! Following the list of runners: from the store, and from nodes that have read further.
//!
//! One node reads for all and tells the others; each other one reads by itself as soon as
//! that one has been silent for a little longer.

use std::rc::Rc;

use base::prelude::*;
use platform::{KeyedChange, KeyedListing, ReadOutcome, StoreClient, StoreTopic};
use serving::{RunnerChange, RunnerRecord, RunnerUpdate};

use crate::context::NodeContext;
use crate::dependency::DependencyState;
use crate::peer_link::PeerLink;
use crate::router::RouterService;

/// Pause between two reads. Runners repeat themselves about once a second each, so that a
/// waiting read would return at once anyway.
const READ_PAUSE: TimeSpan = TimeSpan::millis(150);
/// Further pause for each node that reads before this one.
const STANDBY_PAUSE: TimeSpan = TimeSpan::millis(80);
/// Nodes that stand by one after the other; all further ones come together.
const MAX_STANDBY_STEPS: u64 = 4;
/// Pause after a failure.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(200);

/// The feed of the list of runners.
pub struct RunnerFeed {
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    link: Rc<PeerLink>,
    client: StoreClient,
    dependency: DependencyState,
}

impl RunnerFeed {
    /// A feed that has read nothing yet.
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

    /// Follows the store until the process ends.
    pub async fn run(self) {
        let mut listed = false;
        loop {
            if listed {
                self.wait_for_turn().await;
            }
            match self.read(listed).await {
                Ok(more) => {
                    self.dependency.record_success();
                    listed = more;
                }
                Err(error) => {
                    self.dependency.record_failure(&error);
                    self.context.metrics.store_failures.inc();
                    kernel::sleep(RETRY_PAUSE.into()).await;
                }
            }
            self.context.runners.borrow_mut().prune(self.context.now());
        }
    }

    /// Waits until the list has not been read for a while, by this node or another.
    async fn wait_for_turn(&self) {
        loop {
            let standby = (self.context.readers_before() as u64).min(MAX_STANDBY_STEPS);
            let pause = TimeSpan(READ_PAUSE.0 + standby * STANDBY_PAUSE.0);
            let read = self.context.runners_updated.get().unwrap_or_default();
            let left = (read + pause).since(self.context.now());
            if left == TimeSpan::default() {
                return;
            }
            kernel::sleep(left.into()).await;
        }
    }

    /// One read; whether the next one can go on from it.
    async fn read(&self, listed: bool) -> platform::Result<bool> {
        let asked = self.context.now();
        if !listed {
            let listing = self.client.list(StoreTopic::Runners).await?;
            let records = decode_records(&listing);
            let changed = self.context.runners.borrow_mut().replace(self.context.now(), records);
            self.record_listing(asked, listing.end, changed);
            return Ok(true);
        }
        let from = self.context.runners_offset.get();
        match self.client.read_changes(StoreTopic::Runners, from, TimeSpan::default()).await? {
            ReadOutcome::Truncated => Ok(false),
            ReadOutcome::Changes(listing) => {
                self.apply_changes(asked, from, &listing);
                Ok(true)
            }
        }
    }

    fn apply_changes(&self, asked: TimePoint, from: LogOffset, listing: &KeyedListing) {
        let decoded: Vec<RunnerChange> = listing.entries.iter().filter_map(decode_change).collect();
        let changes = apply_to_table(&self.context, decoded, "store");
        let is_news = !changes.is_empty();
        self.record_listing(asked, listing.end, is_news);
        self.link.send_update(RunnerUpdate { from, end: listing.end, changes });
    }

    fn record_listing(&self, asked: TimePoint, end: LogOffset, changed: bool) {
        self.context.store_answered_at.set(Some(self.context.now()));
        record_read(&self.context, &self.router, asked, end, changed);
    }
}

/// Notes that the list is read up to `end` as it was at `current`, by this node or another.
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

/// Takes what another node has read, unless something between is missing here.
pub fn apply_peer_update(context: &NodeContext, router: &RouterService, update: RunnerUpdate) {
    let read = context.runners_offset.get();
    if context.runners_updated.get().is_none() || update.from > read || update.end < read {
        return;
    }
    let changed = !apply_to_table(context, update.changes, "node").is_empty();
    record_read(context, router, context.now(), update.end, changed);
}

/// Applies changes; gives those that changed what is believed.
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

fn describe_change(change: &RunnerChange) -> (&RunnerId, &'static str) {
    match change {
        RunnerChange::Put(record) if record.leaving => (&record.runner, "leaving"),
        RunnerChange::Put(record) => (&record.runner, "ready"),
        RunnerChange::Remove(runner) => (runner, "removed"),
    }
}

fn decode_records(listing: &KeyedListing) -> Vec<RunnerRecord> {
    let puts = listing.entries.iter().filter_map(decode_change);
    puts.filter_map(|change| match change {
        RunnerChange::Put(record) => Some(record),
        RunnerChange::Remove(_) => None,
    })
    .collect()
}

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
