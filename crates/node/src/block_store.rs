//! Blocked inputs of calls in the store, so that they outlast a fault that ends all nodes.
//!
//! Load pattern: all nodes are killed at once while requests that crash runners still
//! come. Without the store each of them would have to be learned anew by crashes.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::StreamExt;
use platform::{KeyedChange, KeyedListing, PartRecord, StoreClient, StoreTopic};

use serving::CallInput;

use crate::context::NodeContext;
use crate::crash_watch::log_block_changes;
use crate::dependency::DependencyState;

/// Pause after a failed exchange with the store.
const RETRY_PAUSE: TimeSpan = TimeSpan::seconds(1);
/// Time without a heartbeat of another node after which this one reads the blocked inputs again, as
/// often as this.
const SILENCE_SPAN: TimeSpan = TimeSpan::millis(1_500);
/// Number of nodes that compare the store with what they know after its return from a copy.
const CHECKING_NODES: usize = 3;
/// Time after which the next of them does so.
const CHECK_STEP: TimeSpan = TimeSpan::millis(1_500);

/// Reads the blocked inputs at the start, and while no other node is heard that would tell of them;
/// writes those that this node blocks or clears, and those that a copy lacks from which the store
/// has come back. Runs until the process ends.
pub async fn keep_blocks(
    context: Rc<NodeContext>,
    client: StoreClient,
    mut changes: mpsc::Receiver<()>,
) {
    let dependency = DependencyState::new("store: parts");
    let mut check = StoreCheck::default();
    let mut may_lack_blocks = true;
    loop {
        match exchange_blocks(&context, &client, &mut check, may_lack_blocks).await {
            Ok(()) => dependency.record_success(),
            Err(error) => {
                dependency.record_failure(&error);
                context.metrics.store_failures.inc();
                kernel::sleep(RETRY_PAUSE.into()).await;
                continue;
            }
        }
        // A change and the end of the pause both lead to the next exchange.
        let _ = timeout(SILENCE_SPAN.into(), changes.next()).await;
        may_lack_blocks = !context.peers.borrow().heard_since(context.now() - SILENCE_SPAN);
    }
}

/// In which era the store was last compared with the blocks of this node.
#[derive(Default)]
struct StoreCheck {
    /// The newest era, and when this node first saw it.
    seen: (StoreEra, TimePoint),
    /// The newest era in which the store was compared.
    checked: StoreEra,
}

impl StoreCheck {
    /// The era in which the store has to be compared now, if any. The nodes ranked first as readers
    /// compare it one after the other: the first of them may have just started.
    fn due_era(&mut self, context: &NodeContext) -> Option<StoreEra> {
        let (now, era) = (context.now(), context.newest_era());
        if era > self.seen.0 {
            self.seen = (era, now);
        }
        let rank = context.readers_before();
        let due = self.seen.1 + TimeSpan(CHECK_STEP.0 * rank as u64);
        (era > self.checked && rank < CHECKING_NODES && now >= due).then_some(era)
    }
}

/// Reads the blocked inputs if this node may lack some, and writes what it has blocked or cleared
/// and what the store has lost.
async fn exchange_blocks(
    context: &NodeContext,
    client: &StoreClient,
    check: &mut StoreCheck,
    may_lack_blocks: bool,
) -> platform::Result<()> {
    let due_era = check.due_era(context);
    if may_lack_blocks || due_era.is_some() {
        let listing = list_blocks(client).await?;
        if may_lack_blocks {
            load_blocks(context, &listing);
        }
        let is_current = |era: &StoreEra| listing.era.is_none_or(|listed| listed >= *era);
        if let Some(era) = due_era.filter(is_current) {
            compare_blocks(context, &listing);
            check.checked = era;
        }
    }
    store_blocks(context, client).await
}

/// Has the inputs written in which the store differs from what this node knows.
fn compare_blocks(context: &NodeContext, listing: &KeyedListing) {
    let listed = listing.entries.iter().filter_map(|change| decode_block(context, change));
    let stored = listed.map(|(input, _)| input).collect();
    context.inputs.borrow_mut().compare_stored(context.now(), &stored);
}

async fn list_blocks(client: &StoreClient) -> platform::Result<KeyedListing> {
    match client.list(StoreTopic::Parts).await {
        // The topic does not exist before its first record.
        Err(error) if error.is_not_found() => Ok(KeyedListing::default()),
        listed => listed,
    }
}

fn load_blocks(context: &NodeContext, listing: &KeyedListing) {
    for change in &listing.entries {
        if let Some((input, until)) = decode_block(context, change) {
            context.inputs.borrow_mut().load_block(context.now(), until, &input);
        }
    }
    log_block_changes(context, "store");
}

/// A stored input and the end of its block; `None` if the record is malformed.
fn decode_block(context: &NodeContext, change: &KeyedChange) -> Option<(CallInput, TimePoint)> {
    let value = change.value.as_ref()?;
    let (Ok(input), Ok(record)) = (change.key.parse(), PartRecord::decode(value)) else {
        tracing::debug!(event = "record_skipped", topic = "parts", key = %change.key);
        return None;
    };
    let left = TimeSpan::millis(record.until_unix_ms.saturating_sub(unix_millis()));
    Some((input, context.now() + left))
}

/// Writes what this node has blocked or cleared; keeps what could not be written.
async fn store_blocks(context: &NodeContext, client: &StoreClient) -> platform::Result<()> {
    let mut unsaved = context.inputs.borrow_mut().take_unsaved();
    while let Some((input, until)) = unsaved.pop_first() {
        if let Err(error) = store_block(context, client, &input, until).await {
            unsaved.insert(input, until);
            let mut inputs = context.inputs.borrow_mut();
            for (input, until) in unsaved {
                inputs.return_unsaved(input, until);
            }
            return Err(error);
        }
    }
    Ok(())
}

async fn store_block(
    context: &NodeContext,
    client: &StoreClient,
    input: &CallInput,
    until: Option<TimePoint>,
) -> platform::Result<()> {
    let left = until.map(|until| until.since(context.now()).as_millis());
    let record = left.map(|left| PartRecord { until_unix_ms: unix_millis() + left });
    let value = match record.map(PartRecord::encode).transpose() {
        Ok(value) => value.unwrap_or_default(),
        Err(error) => {
            tracing::error!(event = "part_not_stored", part = %input, %error);
            return Ok(());
        }
    };
    client.set(StoreTopic::Parts, &input.to_string(), &value).await?;
    tracing::info!(event = "part_stored", part = %input, blocked = until.is_some());
    Ok(())
}

/// The time of day in Unix milliseconds. It may be wrong by seconds, which the length of a block
/// allows for.
fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
