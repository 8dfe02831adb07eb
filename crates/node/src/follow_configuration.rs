//! Reading the configuration from the store, and activating newer versions from any source.

use std::rc::Rc;

use base::prelude::*;
use platform::{KeyedChange, KeyedListing, StoreTopic};
use serving::{ServingPlan, StoreCursor};

use crate::context::NodeContext;
use crate::dependency::DependencyState;
use crate::evacuation_watch::apply_evacuations;
use crate::router::RouterService;
use crate::store_reader::StoreReader;

/// Time that one read waits for a change. A connection that goes silent delays a change by
/// at most this plus the timeout of an exchange, which stays within the 2 s in which a
/// change has to take effect.
const READ_WAIT: TimeSpan = TimeSpan::millis(1_000);
/// Interval at which a node checks whether it has to read itself.
const TURN_CHECK_PAUSE: TimeSpan = TimeSpan::millis(100);
/// Pause after a failed read.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(250);

/// How a configuration came to this node.
#[derive(Debug, Clone, Copy)]
pub struct PlanTransfer {
    /// Name of where it came from, for logs.
    pub source: &'static str,
    /// When it was asked for. The store answers when it has a change, at the latest after [`READ_WAIT`].
    pub begun: TimePoint,
    /// Its size as it was sent; `None` if that is not known.
    pub bytes: Option<usize>,
}

/// Activates `plan` if it is newer than the active configuration.
pub fn apply_plan(
    context: &NodeContext,
    router: &RouterService,
    plan: ServingPlan,
    transfer: PlanTransfer,
) {
    let before = context.plan_version();
    if before.is_some_and(|version| version >= plan.version) {
        return;
    }
    tracing::info!(
        event = "plan_in_force",
        version = plan.version.0,
        before = before.map(|version| version.0),
        routes = plan.routes.values().map(std::collections::BTreeMap::len).sum::<usize>(),
        source = transfer.source,
        bytes = transfer.bytes,
        took_ms = context.now().since(transfer.begun).as_millis(),
    );
    *context.plan.borrow_mut() = Some(Rc::new(plan));
    context.newer_plan_since.set(None);
    context.metrics.plans.inc();
    router.update_services();
    router.request_heartbeat();
}

/// Reads the configuration from the store until the process ends.
pub async fn follow_configuration(
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    reader: StoreReader,
) {
    let dependency = DependencyState::new("store: configuration");
    let mut from: Option<StoreCursor> = None;
    loop {
        let is_informed = context.evacuations.borrow().is_informed(context.now());
        if from.is_some() || context.plan_version().is_some() && is_informed {
            wait_for_turn(&context).await;
        }
        let begun = context.now();
        match reader.read_or_list(StoreTopic::Operators, from, READ_WAIT).await {
            Ok(Some(read)) => {
                dependency.record_success();
                context.store_answered_at.set(Some(context.now()));
                // A configuration may be what this node needs to send its first request.
                apply_evacuations(&context, &router, from, &read);
                from = Some(read.end);
                apply_listing(&context, &router, &read.listing, begun);
            }
            Ok(None) => from = None,
            Err(error) => {
                dependency.record_failure(&error);
                context.metrics.store_failures.inc();
                kernel::sleep(RETRY_PAUSE.into()).await;
            }
        }
    }
}

/// Waits while enough other nodes read on behalf of this one, and what they read arrives here.
async fn wait_for_turn(context: &NodeContext) {
    while !context.is_plan_overdue()
        && context.readers_before() >= context.peers.borrow().target_reader_count()
    {
        kernel::sleep(TURN_CHECK_PAUSE.into()).await;
    }
}

/// Activates the newest configuration in `listing`, which was asked for when it had `begun`, and reports
/// malformed records.
fn apply_listing(
    context: &NodeContext,
    router: &RouterService,
    listing: &KeyedListing,
    begun: TimePoint,
) {
    if listing.malformed > 0 {
        tracing::warn!(
            event = "records_skipped",
            topic = "configuration",
            count = listing.malformed
        );
    }
    for change in &listing.entries {
        if let Some(plan) = decode_plan(change) {
            report_unconfirmed(context, &plan);
            let bytes = change.value.as_ref().map(Vec::len);
            apply_plan(context, router, plan, PlanTransfer { source: "store", begun, bytes });
        }
    }
}

/// Logs a first configuration that no other node can confirm: a store that has come back from a
/// copy may show an older one.
fn report_unconfirmed(context: &NodeContext, plan: &ServingPlan) {
    let is_alone = context.peers.borrow().live(context.now()).next().is_none();
    if context.plan_version().is_none() && is_alone {
        tracing::info!(
            event = "plan_unconfirmed",
            version = plan.version.0,
            reason = "no other node"
        );
    }
}

/// Decodes a configuration; `None` if the record is removed, of another kind or malformed.
fn decode_plan(change: &KeyedChange) -> Option<ServingPlan> {
    let value = change.value.as_ref()?;
    match platform::decode_plan(&change.key, value)? {
        Ok(plan) => Some(plan),
        Err(error) => {
            tracing::warn!(event = "record_skipped", topic = "configuration", key = %change.key, %error);
            None
        }
    }
}
