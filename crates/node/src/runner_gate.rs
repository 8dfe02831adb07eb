//! Decides at the last moment whether a request may be sent to a runner, and records what
//! runners state about themselves in their answers.
//!
//! Load pattern: runners announce that they leave while calls that were assigned to them
//! earlier have not been sent yet.

use std::net::SocketAddr;

use base::prelude::*;
use platform::{AttemptId, KvCopy, PlatformError, RunnerNotice, RunnerReply};
use serving::{RunnerIncarnation, RunnerRecord};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::metrics::WithheldLabels;

/// Why a request may not be sent to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendBlock {
    /// The runner is leaving.
    Leaving,
}

impl SendBlock {
    /// Name of the reason, for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "runner_leaving",
        }
    }
}

/// Checks whether a call may be sent to this start of a runner now.
///
/// # Errors
/// Returns the reason if it may not.
pub fn check_send(context: &NodeContext, runner: &RunnerIncarnation) -> Result<(), SendBlock> {
    let Some(block) = find_block(context, runner) else { return Ok(()) };
    let reason = block.as_str();
    context.metrics.sends_withheld.get_or_create(&WithheldLabels { reason }).inc();
    Err(block)
}

/// Why this start of a runner accepts no requests; `None` if it does.
#[must_use]
pub fn find_block(context: &NodeContext, runner: &RunnerIncarnation) -> Option<SendBlock> {
    context.runners.borrow().is_incarnation_leaving(runner).then_some(SendBlock::Leaving)
}

/// Records what this start of a runner stated about itself in an answer.
pub fn record_notice(context: &NodeContext, runner: &RunnerIncarnation, notice: &RunnerNotice) {
    if notice.leaving && mark_leaving(context, runner, "answer") {
        context.signal_runner_change();
    }
    if let Some(header) = notice.unknown_value
        && may_log(context)
    {
        tracing::info!(event = "header_ignored", runner = %runner.runner, header);
    }
}

/// Records that this start of a runner told this node that it is leaving. Returns whether
/// that was not known before.
pub fn mark_leaving(context: &NodeContext, runner: &RunnerIncarnation, source: &str) -> bool {
    let changed = context.runners.borrow_mut().mark_leaving(runner);
    if changed {
        tracing::info!(event = "runner_changed", runner = %runner.runner, state = "leaving", source);
    }
    changed
}

/// Copies the KV cache of a run from the runner at `source` to the one at `target`, unless
/// either accepts no requests, and records what the source states about itself.
///
/// # Errors
/// Those of [`platform::copy_kv_cache`], and [`PlatformError::NotSent`].
#[allow(dead_code, reason = "stream_copy.rs does not call it yet")]
pub async fn copy_between_runners(
    context: &NodeContext,
    attempt: &AttemptId,
    source: SocketAddr,
    target: SocketAddr,
    limit: TimeSpan,
) -> platform::Result<KvCopy> {
    let receiver = find_runner(context, target);
    if let Some(block) = receiver.and_then(|runner| check_send(context, &runner).err()) {
        let (step, reason) = ("KV cache copy", block.as_str());
        return Err(PlatformError::NotSent { step, peer: target, reason });
    }
    let sender = find_runner(context, source);
    let RunnerReply { notice, result } =
        platform::request_kv_copy(source, attempt, target, limit).await;
    if let (Some(runner), Some(notice)) = (sender, notice) {
        record_notice(context, &runner, &notice);
    }
    result
}

/// The latest known start of the runner at `address`.
#[allow(dead_code, reason = "stream_copy.rs does not call it yet")]
fn find_runner(context: &NodeContext, address: SocketAddr) -> Option<RunnerIncarnation> {
    context.runners.borrow().find_by_address(address).map(RunnerRecord::incarnation)
}
