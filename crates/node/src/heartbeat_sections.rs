//! Optional sections of this node's heartbeats, and those of other nodes.

use base::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serving::{BrittleUpdate, HeartbeatSections, SectionTag};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::router::RouterService;
use crate::runner_gate::apply_brittle_update;

/// Collects what this node states about subjects that have a section.
#[must_use]
pub fn collect_sections(context: &NodeContext) -> HeartbeatSections {
    let mut sections = HeartbeatSections::default();
    let brittle = context.brittle.borrow().update(context.now());
    if !brittle.reports.is_empty() {
        put_section(context, &mut sections, SectionTag::BRITTLE_RUNNERS, &brittle);
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
    let brittle: Option<BrittleUpdate> =
        read_section(context, vm, sections, SectionTag::BRITTLE_RUNNERS);
    let changed = brittle.is_some_and(|update| apply_brittle_update(context, vm, update));
    if changed {
        router.update_members();
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
