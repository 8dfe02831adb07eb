//! Discovery of the other nodes through the store: each node writes its address there and
//! reads those of the others.

use std::rc::Rc;

use base::prelude::*;
use platform::{KeyedListing, NodeRecord, StoreClient, StoreTopic};

use crate::context::NodeContext;
use crate::dependency::DependencyState;

/// Pause between two reads. It can be long, since nodes that exchange heartbeats no longer
/// need the store to find each other.
const READ_PAUSE: TimeSpan = TimeSpan::seconds(10);
/// Pause after a failure.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(500);

/// Announces this node, then reads the addresses of the others until the process ends.
pub async fn follow_nodes(context: Rc<NodeContext>, client: StoreClient) {
    let dependency = DependencyState::new("store: nodes");
    let mut announced = false;
    let mut from: Option<LogOffset> = None;
    loop {
        match announce_and_read(&context, &client, &mut announced, from).await {
            Ok(next) => {
                dependency.record_success();
                from = next;
                kernel::sleep(READ_PAUSE.into()).await;
            }
            Err(error) => {
                dependency.record_failure(&error);
                context.metrics.store_failures.inc();
                kernel::sleep(RETRY_PAUSE.into()).await;
            }
        }
    }
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
