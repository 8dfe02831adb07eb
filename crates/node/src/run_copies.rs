//! Copies of runs between runners: each is asked for at the runner that works on the run, and occupies room
//! at the other one.

use std::net::SocketAddr;

use base::prelude::*;
use platform::{AttemptId, KvCopy, PlatformError, RunnerReply, StoppedRun};
use serving::{RunnerIncarnation, RunnerRecord};

use crate::context::NodeContext;
use crate::evacuation_watch::is_runner_evacuated;
use crate::runner_gate::{SendBlock, check_send, withhold};
use crate::runner_notices::record_notice;

/// Copies the KV cache of a run, which continues, from the runner at `source` to the one at `target`,
/// unless either accepts no requests, and records what the source states about itself.
///
/// # Errors
/// [`PlatformError`]; it is `NotSent` if either accepts no requests.
pub async fn copy_between_runners(
    context: &NodeContext,
    attempt: &AttemptId,
    source: SocketAddr,
    target: SocketAddr,
    limit: TimeSpan,
) -> platform::Result<KvCopy> {
    let sender = check_copy(context, source, target)?;
    let reply = platform::copy_kv_cache(source, attempt, target, limit).await;
    record_reply(context, sender, reply)
}

/// Stops a run at the runner at `source` and copies its KV cache like [`copy_between_runners`].
///
/// # Errors
/// [`PlatformError`]; it is `NotSent` if either accepts no requests.
pub async fn stop_at_runner(
    context: &NodeContext,
    attempt: &AttemptId,
    source: SocketAddr,
    target: SocketAddr,
    limit: TimeSpan,
) -> platform::Result<StoppedRun> {
    let sender = check_copy(context, source, target)?;
    let reply = platform::stop_run(source, attempt, target, limit).await;
    record_reply(context, sender, reply)
}

/// Checks whether a run may be copied between two runners. Returns the source, if it is known.
fn check_copy(
    context: &NodeContext,
    source: SocketAddr,
    target: SocketAddr,
) -> platform::Result<Option<RunnerIncarnation>> {
    let step = "KV cache copy";
    let not_sent =
        |peer, block: SendBlock| PlatformError::NotSent { step, peer, reason: block.as_str() };
    // A runner that is not listed any more has left.
    let receiver = find_runner(context, target).ok_or(SendBlock::Leaving);
    receiver
        .and_then(|receiver| check_send(context, &receiver))
        .map_err(|block| not_sent(target, block))?;
    let sender = find_runner(context, source);
    if let Some(sender) = &sender {
        check_copy_source(context, sender).map_err(|block| not_sent(source, block))?;
    }
    Ok(sender)
}

/// Records what a runner stated about itself in the answer to a control call.
fn record_reply<T>(
    context: &NodeContext,
    runner: Option<RunnerIncarnation>,
    reply: RunnerReply<T>,
) -> platform::Result<T> {
    if let (Some(runner), Some(notice)) = (runner, reply.notice) {
        record_notice(context, &runner, &notice);
    }
    reply.result
}

/// Frees a copy of a run at both runners, unless the source accepts no requests or is in an
/// evacuated place; the copy then expires.
///
/// # Errors
/// [`PlatformError`].
pub async fn free_copy(
    context: &NodeContext,
    source: SocketAddr,
    handle: &str,
    limit: TimeSpan,
) -> platform::Result<()> {
    let step = "KV cache copy release";
    let sender = find_runner(context, source);
    if let Some(sender) = &sender {
        let checked = if is_runner_evacuated(context, &sender.runner) {
            Err(withhold(context, sender, SendBlock::Evacuated))
        } else {
            check_copy_source(context, sender)
        };
        checked.map_err(|block| PlatformError::NotSent {
            step,
            peer: source,
            reason: block.as_str(),
        })?;
    }
    let reply = platform::release_kv_copy(source, handle, limit).await;
    record_reply(context, sender, reply)
}

/// Checks whether a runner may be asked to copy a run. One that leaves may: it hands its runs
/// over. So may one in an evacuated place: only what goes there is held back.
fn check_copy_source(context: &NodeContext, runner: &RunnerIncarnation) -> Result<(), SendBlock> {
    if context.waits.borrow().end(context.now(), runner).is_none() {
        return Ok(());
    }
    Err(withhold(context, runner, SendBlock::Waiting))
}

/// The latest known start of the runner at `address`.
fn find_runner(context: &NodeContext, address: SocketAddr) -> Option<RunnerIncarnation> {
    context.runners.borrow().find_by_address(address).map(RunnerRecord::incarnation)
}
