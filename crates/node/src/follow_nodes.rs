//! Discovery of the other nodes through the store: each node writes its address there and
//! reads those of the others.

use std::rc::Rc;

use base::prelude::*;
use platform::{KeyedListing, NodeRecord, StoreClient, StoreTopic};

use crate::context::NodeContext;
use crate::dependency::DependencyState;

/// Pause between two reads of one node, per node of the fleet. It can be long: of two nodes that
/// start, at least one reads the address of the other, and its heartbeats tell its own.
const READ_PAUSE_PER_NODE: TimeSpan = TimeSpan::millis(750);
/// Shortest pause between two reads.
const MIN_READ_PAUSE: TimeSpan = TimeSpan::seconds(10);
/// Pauses after the first failure in a row, and the longest after further ones.
const RETRY_PAUSES: [TimeSpan; 2] = [TimeSpan::millis(500), TimeSpan::seconds(4)];

/// Announces this node, then reads the addresses of the others until the process ends.
pub async fn follow_nodes(context: Rc<NodeContext>, client: StoreClient) {
    let dependency = DependencyState::new("store: nodes");
    let mut announced = false;
    let mut from: Option<LogOffset> = None;
    let [first_retry, longest_retry] = RETRY_PAUSES;
    let mut retry_pause = first_retry;
    loop {
        match announce_and_read(&context, &client, &mut announced, from).await {
            Ok(next) => {
                dependency.record_success();
                from = next;
                retry_pause = first_retry;
                kernel::sleep(read_pause(&context).into()).await;
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

/// Announces this node if that has not succeeded yet, then reads the list of nodes from the
/// offset `from`; returns the offset for the next read.
async fn announce_and_read(
    context: &NodeContext,
    client: &StoreClient,
    announced: &mut bool,
    from: Option<LogOffset>,
) -> platform::Result<Option<LogOffset>> {
    if !*announced {
        announce(context, client).await?;
        *announced = true;
    }
    let listing = client.read_or_list(StoreTopic::Nodes, from, TimeSpan::default()).await?;
    Ok(listing.map(|listing| {
        apply_listing(context, &listing);
        listing.end
    }))
}

/// Writes this node's address to the store.
async fn announce(context: &NodeContext, client: &StoreClient) -> platform::Result<()> {
    let settings = &context.settings;
    let record = NodeRecord { vm: settings.vm.clone(), peer: settings.peer_address() };
    match record.encode() {
        Ok(value) => client.set(StoreTopic::Nodes, settings.vm.as_str(), &value).await,
        Err(error) => {
            tracing::error!(event = "announce_failed", %error);
            Ok(())
        }
    }
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
}
