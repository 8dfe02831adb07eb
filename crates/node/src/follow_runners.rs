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
const STAND_BY_PAUSE: TimeSpan = TimeSpan::millis(80);
/// Nodes that stand by one after the other; all further ones come together.
const MAX_STAND_BY: u64 = 4;
/// Pause after a failure.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(200);

/// The feed of the list of runners.
pub struct RunnerFeed {
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    link: Rc<PeerLink>,
    client: StoreClient,
    state: DependencyState,
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
            state: DependencyState::new("store: runners"),
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
                    self.state.note_answer();
                    listed = more;
                }
                Err(error) => {
                    self.state.note_failure(&error);
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
            let stand_by = (self.context.readers_before() as u64).min(MAX_STAND_BY);
            let pause = TimeSpan(READ_PAUSE.0 + stand_by * STAND_BY_PAUSE.0);
            let read = self.context.runners_current.get().unwrap_or_default();
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
            let records = decode_all(&listing);
            let changed = self.context.runners.borrow_mut().replace(self.context.now(), records);
            self.finish(asked, listing.end, changed);
            return Ok(true);
        }
        let from = self.context.runners_read.get();
        match self.client.read_changes(StoreTopic::Runners, from, TimeSpan::default()).await? {
            ReadOutcome::Truncated => Ok(false),
            ReadOutcome::Changes(listing) => {
                self.take_changes(asked, from, &listing);
                Ok(true)
            }
        }
    }

    fn take_changes(&self, asked: TimePoint, from: LogOffset, listing: &KeyedListing) {
        let decoded: Vec<RunnerChange> = listing.entries.iter().filter_map(decode).collect();
        let changes = apply(&self.context, decoded, "store");
        let is_news = !changes.is_empty();
        self.finish(asked, listing.end, is_news);
        self.link.tell_news(RunnerUpdate { from, end: listing.end, changes });
    }

    fn finish(&self, asked: TimePoint, end: LogOffset, changed: bool) {
        self.context.store_answered.set(Some(self.context.now()));
        note_read(&self.context, &self.router, asked, end, changed);
    }
}

/// Notes that the list is read up to `end` as it was at `current`, by this node or another.
pub fn note_read(
    context: &NodeContext,
    router: &RouterService,
    current: TimePoint,
    end: LogOffset,
    changed: bool,
) {
    context.runners_read.set(end.max(context.runners_read.get()));
    context.runners_current.set(Some(current));
    if changed {
        router.update_members();
    }
}

/// Takes what another node has read, unless something between is missing here.
pub fn take_news(context: &NodeContext, router: &RouterService, news: RunnerUpdate) {
    let read = context.runners_read.get();
    if context.runners_current.get().is_none() || news.from > read || news.end < read {
        return;
    }
    let changed = !apply(context, news.changes, "node").is_empty();
    note_read(context, router, context.now(), news.end, changed);
}

/// Applies changes; gives those that changed what is believed.
fn apply(context: &NodeContext, changes: Vec<RunnerChange>, source: &str) -> Vec<RunnerChange> {
    let now = context.now();
    let mut table = context.runners.borrow_mut();
    let mut news = Vec::new();
    for change in changes {
        if table.apply(now, change.clone()) {
            let (runner, state) = describe(&change);
            tracing::info!(event = "runner_changed", %runner, state, source);
            news.push(change);
        }
    }
    news
}

fn describe(change: &RunnerChange) -> (&RunnerId, &'static str) {
    match change {
        RunnerChange::Put(record) if record.leaving => (&record.runner, "leaving"),
        RunnerChange::Put(record) => (&record.runner, "ready"),
        RunnerChange::Remove(runner) => (runner, "removed"),
    }
}

fn decode_all(listing: &KeyedListing) -> Vec<RunnerRecord> {
    let puts = listing.entries.iter().filter_map(decode);
    puts.filter_map(|change| match change {
        RunnerChange::Put(record) => Some(record),
        RunnerChange::Remove(_) => None,
    })
    .collect()
}

fn decode(change: &KeyedChange) -> Option<RunnerChange> {
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
