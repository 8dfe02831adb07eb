//! Optional sections of this node's heartbeats, and those of other nodes.

use base::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serving::{HeartbeatSections, SectionTag};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::router::RouterService;
use crate::speed_share::{apply_speed_update, take_speed_update};

/// Collects what this node states about subjects that have a section.
#[must_use]
pub fn collect_sections(context: &NodeContext, router: &RouterService) -> HeartbeatSections {
    let mut sections = HeartbeatSections::default();
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
