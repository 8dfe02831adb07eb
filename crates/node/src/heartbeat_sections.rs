//! Optional sections of this node's heartbeats, and those of other nodes.

use base::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serving::{BrittleUpdate, ColdUpdate, HeartbeatSections, SectionTag};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::evacuation_watch::apply_evacuation_update;
use crate::reach::apply_reach_update;
use crate::router::RouterService;
use crate::runner_notices::{apply_brittle_update, apply_cold_update};
use crate::speed_share::{apply_speed_update, take_speed_update};

/// Collects what this node states about subjects that have a section.
#[must_use]
pub fn collect_sections(context: &NodeContext, router: &RouterService) -> HeartbeatSections {
    let mut sections = HeartbeatSections::default();
    if let Some(update) = context.evacuations.borrow().update() {
        put_section(context, &mut sections, SectionTag::EVACUATIONS, &update);
    }
    let (now, fleet_size) = (context.now(), context.members.borrow().known_size());
    let has_cold =
        context.plan().is_some_and(|plan| plan.services.values().any(|entry| entry.cold.is_some()));
    if has_cold {
        let cold = context.cold.borrow().update(now, fleet_size);
        put_section(context, &mut sections, SectionTag::COLD_RUNNERS, &cold);
    }
    let brittle = context.brittle.borrow().update(now, fleet_size);
    if !brittle.reports.is_empty() {
        put_section(context, &mut sections, SectionTag::BRITTLE_RUNNERS, &brittle);
    }
    let reach = context.reach.borrow().update();
    if !reach.0.is_empty() {
        put_section(context, &mut sections, SectionTag::RUNNER_REACH, &reach);
    }
    if let Some(update) = take_speed_update(context, router) {
        put_section(context, &mut sections, SectionTag::RUNNER_SPEEDS, &update);
    }
    sections
}

/// Applies what another node states.
pub fn apply_sections(
    context: &NodeContext,
    router: &RouterService,
    vm: &VmId,
    sections: &HeartbeatSections,
) {
    if let Some(update) = read_section(context, vm, sections, SectionTag::EVACUATIONS) {
        apply_evacuation_update(context, router, update);
    }
    let reach = read_section(context, vm, sections, SectionTag::RUNNER_REACH);
    apply_reach_update(context, vm, reach.unwrap_or_default());
    let brittle: Option<BrittleUpdate> =
        read_section(context, vm, sections, SectionTag::BRITTLE_RUNNERS);
    let cold: Option<ColdUpdate> = read_section(context, vm, sections, SectionTag::COLD_RUNNERS);
    let sizes = (
        cold.as_ref().map(|update| update.fleet_size),
        brittle.as_ref().map(|update| update.fleet_size),
    );
    if let Some(size) = sizes.0.max(sizes.1) {
        context.members.borrow_mut().record(context.now(), vm, Some(size as usize));
    }
    let cold_changed = cold.is_some_and(|update| apply_cold_update(context, update));
    let changed = brittle.is_some_and(|update| apply_brittle_update(context, vm, update));
    if changed || cold_changed {
        router.update_members();
    }
    if let Some(update) = read_section(context, vm, sections, SectionTag::RUNNER_SPEEDS) {
        apply_speed_update(context, router, &update);
    }
}

/// Adds a section; one that cannot be encoded is logged and left out.
pub fn put_section(
    context: &NodeContext,
    sections: &mut HeartbeatSections,
    tag: SectionTag,
    statement: &impl Serialize,
) {
    if let Err(error) = sections.put(tag, statement)
        && may_log(context)
    {
        tracing::warn!(event = "section_not_sent", ?tag, %error);
    }
}

/// Reads a section; `None` if the sender has none, or one that cannot be decoded, which is
/// logged.
pub fn read_section<T: DeserializeOwned>(
    context: &NodeContext,
    vm: &VmId,
    sections: &HeartbeatSections,
    tag: SectionTag,
) -> Option<T> {
    sections.get(tag).unwrap_or_else(|error| {
        if may_log(context) {
            tracing::warn!(event = "section_skipped", %vm, ?tag, %error);
        }
        None
    })
}
