//! Optional sections of this node's heartbeats, and those of other nodes.

#![allow(dead_code, reason = "each subject adds its section here")]

use base::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serving::{HeartbeatSections, SectionTag};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::router::RouterService;

/// Collects what this node states about subjects that have a section.
#[must_use]
pub fn collect_sections(_context: &NodeContext) -> HeartbeatSections {
    HeartbeatSections::default()
}

/// Applies what another node states.
pub fn apply_sections(
    _context: &NodeContext,
    _router: &RouterService,
    _vm: &VmId,
    _sections: &HeartbeatSections,
) {
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
