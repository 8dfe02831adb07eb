//! Discovery of the other nodes through the store: each node writes its address there and
//! reads those of the others. A store that comes back from a copy may have lost the address, so
//! it is written once in each era.

use std::rc::Rc;

use base::prelude::*;
use base::rendezvous_score;
use platform::{KeyedListing, NodeRecord, PlatformError, StoreClient, StoreTopic};
use serving::StoreCursor;

use crate::context::NodeContext;
use crate::dependency::DependencyState;
use crate::store_reader::StoreReader;

/// Pause between two reads of one node, per node of the fleet. It can be long: of two nodes that
/// start, at least one reads the address of the other, and its heartbeats tell its own.
const READ_PAUSE_PER_NODE: TimeSpan = TimeSpan::millis(750);
/// Shortest pause between two reads.
const MIN_READ_PAUSE: TimeSpan = TimeSpan::seconds(10);
/// Pauses after the first failure in a row, and the longest after further ones.
const RETRY_PAUSES: [TimeSpan; 2] = [TimeSpan::millis(500), TimeSpan::seconds(4)];

/// Interval at which a node checks whether the store has a newer era.
const ERA_CHECK_PAUSE: TimeSpan = TimeSpan::millis(100);
/// Time over which the nodes spread their writes in a new era, per node of the fleet: 100 writes
/// a second, a quarter of the rate that the store allows.
const WRITE_SPREAD_PER_NODE: TimeSpan = TimeSpan::millis(10);

/// Announces this node, then reads the addresses of the others until the process ends.
pub async fn follow_nodes(context: Rc<NodeContext>, client: StoreClient) {
    let dependency = DependencyState::new("store: nodes");
    let reader = StoreReader::new(&context, client.clone());
    let mut announced: Option<StoreEra> = None;
    let mut from: Option<StoreCursor> = None;
    let [first_retry, longest_retry] = RETRY_PAUSES;
    let mut retry_pause = first_retry;
    loop {
        let outcome = async {
            announce_in_era(&context, &client, &mut announced).await?;
            read_nodes(&context, &reader, from).await
        };
        match outcome.await {
            Ok(next) => {
                dependency.record_success();
                from = next;
                retry_pause = first_retry;
                wait_for_read(&context, announced).await;
            }
            Err(error) => {
                dependency.record_failure(&error);
                context.metrics.store_failures.inc();
                kernel::sleep(retry_pause.into()).await;
                retry_pause = TimeSpan(retry_pause.0 * 2).min(longest_retry);
            }
        }
    }
}

/// Pause until the next read; grows with the fleet, so that the rate over all nodes does not.
fn read_pause(context: &NodeContext) -> TimeSpan {
    let nodes = context.peers.borrow().fleet_size() as u64;
    TimeSpan(READ_PAUSE_PER_NODE.0 * nodes).max(MIN_READ_PAUSE)
}

/// Waits until the next read, or until the store has a newer era than `announced`.
async fn wait_for_read(context: &NodeContext, announced: Option<StoreEra>) {
    let deadline = context.now() + read_pause(context);
    while context.now() < deadline {
        if announced < Some(context.newest_era()) {
            kernel::sleep(write_delay(context).into()).await;
            return;
        }
        kernel::sleep(ERA_CHECK_PAUSE.into()).await;
    }
}

/// Delay of this node's write in a new era.
fn write_delay(context: &NodeContext) -> TimeSpan {
    let spread = WRITE_SPREAD_PER_NODE.0 * context.peers.borrow().fleet_size() as u64;
    TimeSpan(rendezvous_score("announce", context.settings.vm.as_str()) % spread)
}

/// Announces this node, unless it has done so in the newest era.
async fn announce_in_era(
    context: &NodeContext,
    client: &StoreClient,
    announced: &mut Option<StoreEra>,
) -> platform::Result<()> {
    let asked_in = context.newest_era();
    if *announced >= Some(asked_in) {
        return Ok(());
    }
    let era = announce(context, client).await?.unwrap_or(asked_in);
    if era < asked_in {
        return Err(PlatformError::InvalidResponse {
            step: "write of a key",
            peer: context.settings.store,
            reason: "it belongs to an older era of the store",
        });
    }
    if announced.is_some() {
        context.metrics.records_rewritten.inc();
        tracing::info!(event = "record_rewritten", topic = "nodes", era = era.0);
    }
    *announced = Some(era);
    Ok(())
}

/// Writes this node's address to the store; returns the era that the store named.
async fn announce(
    context: &NodeContext,
    client: &StoreClient,
) -> platform::Result<Option<StoreEra>> {
    let settings = &context.settings;
    let record = NodeRecord { vm: settings.vm.clone(), peer: settings.peer_address() };
    match record.encode() {
        Ok(value) => client.set(StoreTopic::Nodes, settings.vm.as_str(), &value).await,
        Err(error) => {
            tracing::error!(event = "announce_failed", %error);
            Ok(None)
        }
    }
}

/// Reads the list of nodes, or its changes from `from` on; returns where to read next.
async fn read_nodes(
    context: &NodeContext,
    reader: &StoreReader,
    from: Option<StoreCursor>,
) -> platform::Result<Option<StoreCursor>> {
    let mut read = reader.read_or_list(StoreTopic::Nodes, from, TimeSpan::default()).await?;
    if read.is_none() {
        read = reader.read_or_list(StoreTopic::Nodes, None, TimeSpan::default()).await?;
    }
    Ok(read.map(|read| {
        apply_listing(context, &read.listing);
        read.end
    }))
}

/// Records the addresses of the other nodes.
fn apply_listing(context: &NodeContext, listing: &KeyedListing) {
    for value in listing.entries.iter().filter_map(|change| change.value.as_ref()) {
        match NodeRecord::decode(value) {
            Ok(record) if record.vm == context.settings.vm => (),
            Ok(record) => context.peers.borrow_mut().add_listed_address(record.vm, record.peer),
            Err(error) => tracing::debug!(event = "record_skipped", topic = "nodes", %error),
        }
    }
    let listed = context.peers.borrow().listed_count();
    context.members.borrow_mut().set_listed(listed);
}
