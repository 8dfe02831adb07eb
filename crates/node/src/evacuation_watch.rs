//! What this node learns about evacuated places, from the store and from other nodes.

use base::prelude::*;
use platform::{EvacuationRecord, KeyedChange, decode_evacuation};
use serving::{EvacuationStatement, EvacuationUpdate, StoreCursor};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::router::RouterService;
use crate::store_reader::EraListing;

/// Applies a read of the operators' topic; `from` is `None` if it was a list.
pub fn apply_evacuations(
    context: &NodeContext,
    router: &RouterService,
    from: Option<StoreCursor>,
    read: &EraListing,
) {
    let entries = read.listing.entries.iter();
    let records: Vec<EvacuationRecord> =
        entries.filter_map(|change| decode_record(context, change)).collect();
    let now = context.now();
    let mut table = context.evacuations.borrow_mut();
    let changed = if let Some(from) = from {
        let changes = records.into_iter().map(|record| (record.place, record.evacuated));
        table.apply_changes(now, from, read.end, changes.collect())
    } else {
        let evacuated = records.into_iter().filter(|record| record.evacuated);
        let places = evacuated.map(|record| record.place).collect();
        table.apply_list(now, read.end, places, read.listing.malformed == 0)
    };
    drop(table);
    if record_changes(context, router, &changed, "store") {
        router.request_heartbeat();
    }
}

/// Decodes a record; `None` if it is of another kind or its key is malformed.
fn decode_record(context: &NodeContext, change: &KeyedChange) -> Option<EvacuationRecord> {
    let record = decode_evacuation(change)?;
    let error = match &record {
        Ok(record) => record.value_error.as_ref(),
        Err(error) => Some(error),
    };
    if let Some(error) = error
        && may_log(context)
    {
        let applied = record.is_ok();
        tracing::warn!(event = "evacuation_unread", key = %change.key, applied, %error);
    }
    record.ok()
}

/// Merges what another node states.
pub fn apply_evacuation_update(
    context: &NodeContext,
    router: &RouterService,
    update: EvacuationUpdate,
) {
    let changed = context.evacuations.borrow_mut().merge(context.now(), update);
    record_changes(context, router, &changed, "node");
}

/// Ends the evacuations that the store lacks since its return.
pub fn expire_evacuations(context: &NodeContext, router: &RouterService) {
    let changed = context.evacuations.borrow_mut().expire(context.now());
    record_changes(context, router, &changed, "expired");
}

/// Logs and counts changes, and has them applied to the choice of runners. Returns whether there
/// are any.
fn record_changes(
    context: &NodeContext,
    router: &RouterService,
    changed: &[EvacuationStatement],
    source: &str,
) -> bool {
    for EvacuationStatement { place, evacuated, version } in changed {
        context.metrics.evacuations.inc();
        if !may_log(context) {
            continue;
        }
        let (era, offset) = (version.era.0, version.offset.0);
        let runners = count_runners(context, place);
        if *evacuated {
            tracing::info!(event = "place_evacuated", %place, era, offset, source, runners);
        } else {
            tracing::info!(event = "evacuation_withdrawn", %place, era, offset, source, runners);
        }
    }
    if !changed.is_empty() {
        router.update_members();
    }
    !changed.is_empty()
}

/// Number of listed runners in a place.
fn count_runners(context: &NodeContext, place: &PlaceName) -> usize {
    let runners = context.runners.borrow();
    let listed = runners.entries().filter(|entry| entry.removed_at.is_none());
    listed.filter(|entry| entry.record.place == *place).count()
}

/// Whether all runners of a service that could take its calls are in evacuated places.
#[must_use]
pub fn is_service_evacuated(context: &NodeContext, service: &ServiceName) -> bool {
    let members = context.runners.borrow().route_members(service, context.now());
    context.evacuations.borrow().excludes_all(&members)
}

/// Whether the runner is in an evacuated place; a runner that is not listed is not.
#[must_use]
pub fn is_runner_evacuated(context: &NodeContext, runner: &RunnerId) -> bool {
    let runners = context.runners.borrow();
    runners
        .get(runner)
        .is_some_and(|entry| context.evacuations.borrow().is_evacuated(&entry.record.place))
}
