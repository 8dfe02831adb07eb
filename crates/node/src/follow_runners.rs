//! Following the list of runners: from the store, and from nodes that have read further.

use std::rc::Rc;

use base::prelude::*;
use platform::{KeyedChange, KeyedListing, KeyedNews, StoreClient, StoreTopic};
use serving::{RunnerChange, RunnerRecord};

use crate::context::NodeContext;
use crate::dependency::DependencyState;
use crate::router::RouterService;

/// Pause between two reads. Runners repeat themselves about once a second each, so that a
/// waiting read would return at once anyway.
const READ_PAUSE: TimeSpan = TimeSpan::millis(250);

/// Follows the store until the process ends.
pub async fn follow_runners(
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    client: StoreClient,
) {
    let state = DependencyState::new("store: runners");
    let mut from: Option<LogOffset> = None;
    loop {
        match step(&context, &router, &client, from).await {
            Ok(next) => {
                state.note_answer();
                from = next;
            }
            Err(error) => {
                state.note_failure(&error);
                context.metrics.store_failures.inc();
            }
        }
        context.runners.borrow_mut().prune(context.now());
        kernel::sleep(READ_PAUSE.into()).await;
    }
}

/// One read; gives the offset to go on from, or none if the topic has to be listed anew.
async fn step(
    context: &NodeContext,
    router: &RouterService,
    client: &StoreClient,
    from: Option<LogOffset>,
) -> platform::Result<Option<LogOffset>> {
    let asked = context.now();
    let Some(from) = from else {
        let listing = client.newest(StoreTopic::Runners).await?;
        let records = decode_all(&listing);
        let changed = context.runners.borrow_mut().replace(context.now(), records);
        finish(context, router, asked, listing.end, changed);
        return Ok(Some(listing.end));
    };
    match client.changes(StoreTopic::Runners, from, TimeSpan::default()).await? {
        KeyedNews::Deleted => Ok(None),
        KeyedNews::Changes(listing) => {
            let mut changed = false;
            for change in &listing.entries {
                changed |= take_change(context, change);
            }
            finish(context, router, asked, listing.end, changed);
            Ok(Some(listing.end))
        }
    }
}

fn finish(
    context: &NodeContext,
    router: &RouterService,
    asked: TimePoint,
    end: LogOffset,
    changed: bool,
) {
    context.runners_read.set(end);
    context.runners_current.set(Some(asked));
    if changed {
        router.update_members();
    }
}

fn take_change(context: &NodeContext, change: &KeyedChange) -> bool {
    let Some(change) = decode(change) else { return false };
    let now = context.now();
    let described = describe(&change);
    let changed = context.runners.borrow_mut().apply(now, change);
    if changed {
        let (runner, state) = described;
        tracing::info!(event = "runner_changed", %runner, state, source = "store");
    }
    changed
}

fn describe(change: &RunnerChange) -> (RunnerId, &'static str) {
    match change {
        RunnerChange::Put(record) if record.leaving => (record.runner.clone(), "leaving"),
        RunnerChange::Put(record) => (record.runner.clone(), "ready"),
        RunnerChange::Remove(runner) => (runner.clone(), "removed"),
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
