//! Decides at the last moment whether a request may be sent to a runner, and records what
//! runners state about themselves in their answers.
//!
//! Load pattern: runners announce that they leave while calls that were assigned to them
//! earlier have not been sent yet. Busy runners name a time before which they accept nothing.

use std::net::SocketAddr;

use base::prelude::*;
use platform::{AttemptId, KvCopy, PlatformError, RunnerNotice, RunnerReply, StoppedRun};
use serving::{
    BrittleChange, BrittleUpdate, CallInput, ColdSource, ColdUpdate, LimitChange, LimitUpdate,
    MAX_RUNNER_WAIT, RunnerIncarnation, RunnerRecord,
};

use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::crash_watch::find_blocked_input;
use crate::evacuation_watch::is_runner_evacuated;
use crate::limit_share::{cold_plan, cold_share, runner_room};
use crate::metrics::WithheldLabels;
use crate::speed_share::record_speed_figure;

/// Why a request may not be sent to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendBlock {
    /// The runner is leaving.
    Leaving,
    /// The operator has evacuated the place of the runner.
    Evacuated,
    /// The runner asked this node to send it nothing for some time.
    Waiting,
    /// The runner may not get more requests of this node, since it can take only few.
    NoRoom,
    /// The runner is cold and gets no more from this node now.
    Cold,
    /// The prompt has a part that crashes runners.
    PartBlocked,
    /// The request crashes runners.
    RequestBlocked,
}

impl SendBlock {
    /// Name of the reason, for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "runner_leaving",
            Self::Evacuated => "place_evacuated",
            Self::Waiting => "runner_waiting",
            Self::NoRoom => "runner_without_room",
            Self::Cold => "runner_cold",
            Self::PartBlocked => "part_blocked",
            Self::RequestBlocked => "request_blocked",
        }
    }
}

/// What a request is sent to a runner for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPurpose {
    /// Work that the runner does not have yet.
    NewWork,
    /// Going on with a run that the runner has stopped.
    Return,
}

impl SendPurpose {
    /// Checks whether a request with this purpose may be sent to this start of a runner now.
    ///
    /// # Errors
    /// Returns the reason if it may not.
    pub fn check(self, context: &NodeContext, runner: &RunnerIncarnation) -> Result<(), SendBlock> {
        match self {
            Self::NewWork => check_send(context, runner),
            Self::Return => check_return(context, runner),
        }
    }
}

/// Checks whether a call may be sent to this start of a runner now.
///
/// # Errors
/// Returns the reason if it may not.
pub fn check_send(context: &NodeContext, runner: &RunnerIncarnation) -> Result<(), SendBlock> {
    match find_block(context, runner).or_else(|| find_shortage(context, runner)) {
        Some(block) => Err(withhold(context, runner, block)),
        None => Ok(()),
    }
}

/// Checks whether a call may be sent to any runner.
///
/// # Errors
/// Returns the reason if it may not.
pub fn check_inputs(
    context: &NodeContext,
    call: &Call,
    runner: &RunnerIncarnation,
) -> Result<(), SendBlock> {
    let block = match find_blocked_input(context, call) {
        None => return Ok(()),
        Some(CallInput::Part(_)) => SendBlock::PartBlocked,
        Some(CallInput::Request(_)) => SendBlock::RequestBlocked,
    };
    Err(withhold(context, runner, block))
}

/// Checks whether a run that this start of a runner has stopped may go on there. It may also while the
/// runner leaves: that is no new work.
///
/// # Errors
/// Returns the reason if it may not.
pub fn check_return(context: &NodeContext, runner: &RunnerIncarnation) -> Result<(), SendBlock> {
    match find_block(context, runner) {
        None | Some(SendBlock::Leaving) => Ok(()),
        Some(block) => Err(withhold(context, runner, block)),
    }
}

/// Counts a request that is not sent.
fn withhold(context: &NodeContext, runner: &RunnerIncarnation, block: SendBlock) -> SendBlock {
    if block == SendBlock::Waiting {
        context.waits.borrow_mut().count_withheld(runner);
    }
    let reason = block.as_str();
    context.metrics.sends_withheld.get_or_create(&WithheldLabels { reason }).inc();
    block
}

/// Why this start of a runner may be sent no requests; `None` if it may.
#[must_use]
pub fn find_block(context: &NodeContext, runner: &RunnerIncarnation) -> Option<SendBlock> {
    if is_runner_evacuated(context, &runner.runner) {
        return Some(SendBlock::Evacuated);
    }
    find_own_block(context, runner)
}

/// Why this start of a runner accepts nothing by its own statement; `None` if it does. Health checks
/// and reads of reports depend only on this: streams in an evacuated place go on.
#[must_use]
pub fn find_own_block(context: &NodeContext, runner: &RunnerIncarnation) -> Option<SendBlock> {
    if context.runners.borrow().is_incarnation_leaving(runner) {
        return Some(SendBlock::Leaving);
    }
    let end = context.waits.borrow().end(context.now(), runner);
    end.map(|_| SendBlock::Waiting)
}

/// Whether this start of a runner may not get another request of this node now, since it can take
/// only few. That does not concern health checks and reports.
fn find_shortage(context: &NodeContext, runner: &RunnerIncarnation) -> Option<SendBlock> {
    if let Some(cold) = cold_share(context, runner) {
        let now = context.now();
        let admits = |rate| context.cold.borrow_mut().admits(now, runner, rate);
        if !cold.rate.is_some_and(admits) {
            return Some(SendBlock::Cold);
        }
    }
    let room = runner_room(context, runner)?;
    (room.calls == 0).then_some(SendBlock::NoRoom)
}

/// A request that is being sent to a runner. If it is dropped, the runner may have rejected the
/// request.
pub struct PendingSend<'a> {
    context: &'a NodeContext,
    /// The runner, if it counts the requests that it rejects.
    brittle: Option<RunnerIncarnation>,
}

impl PendingSend<'_> {
    /// Records that the runner has answered, and whether it rejected the request.
    pub fn finish(mut self, rejected: bool) {
        self.record_end(rejected);
    }

    fn record_end(&mut self, rejected: bool) {
        let Some(runner) = self.brittle.take() else { return };
        let now = self.context.now();
        self.context.brittle.borrow_mut().end_send(now, &runner, rejected);
        self.context.room_changed.set(true);
        if rejected {
            self.context.metrics.brittle_rejections.inc();
            self.context.signal_runner_change();
        }
    }
}

impl Drop for PendingSend<'_> {
    fn drop(&mut self) {
        self.record_end(true);
    }
}

/// Checks for the last time whether a call may be sent to this start of a runner, and counts it.
///
/// # Errors
/// Returns the reason if it may not.
pub fn begin_send<'a>(
    context: &'a NodeContext,
    runner: &RunnerIncarnation,
    purpose: SendPurpose,
) -> Result<PendingSend<'a>, SendBlock> {
    purpose.check(context, runner)?;
    context.cold.borrow_mut().record_sent(context.now(), runner);
    let is_brittle = context.brittle.borrow().limit(context.now(), runner).is_some();
    if is_brittle {
        context.brittle.borrow_mut().begin_send(runner);
        context.room_changed.set(true);
    }
    Ok(PendingSend { context, brittle: is_brittle.then(|| runner.clone()) })
}

/// Records what this start of a runner stated about itself in an answer.
pub fn record_notice(context: &NodeContext, runner: &RunnerIncarnation, notice: &RunnerNotice) {
    if notice.leaving && mark_leaving(context, runner, "answer") {
        context.signal_runner_change();
    }
    if let Some(rate) = notice.limit {
        record_limit(context, runner, Some(rate));
    }
    if let Some(left) = notice.cold {
        record_cold(context, runner, left, ColdSource::Answer);
    }
    if let Some(count) = notice.brittle {
        record_brittle(context, runner, Some(count));
    }
    if let Some(span) = notice.retry_after {
        begin_wait(context, runner, span);
    }
    if let Some(factor) = notice.speed {
        record_speed_figure(context, &runner.runner, factor);
    }
    if let Some(header) = notice.unknown_value
        && may_log(context)
    {
        tracing::info!(event = "header_ignored", runner = %runner.runner, header);
    }
}

/// Records that this start of a runner served a call and named no limit.
pub fn record_unlimited(context: &NodeContext, runner: &RunnerIncarnation) {
    record_limit(context, runner, None);
}

/// Records that this start of a runner stays cold for `left`, unless its service has no cold
/// runners.
pub fn record_cold(
    context: &NodeContext,
    runner: &RunnerIncarnation,
    left: TimeSpan,
    source: ColdSource,
) {
    let service =
        context.runners.borrow().get(&runner.runner).map(|entry| entry.record.service.clone());
    let has_cold = service.is_some_and(|service| cold_plan(context, &service).is_some());
    // The list of runners may be read before the configuration.
    if !has_cold && context.plan().is_some() {
        return;
    }
    let is_new = context.cold.borrow_mut().record(context.now(), runner, left, source);
    if is_new {
        log_cold(context, runner, left, source);
        context.signal_runner_change();
    }
}

/// Takes what another node knows about cold runners. Returns whether anything has changed.
pub fn apply_cold_update(context: &NodeContext, update: ColdUpdate) -> bool {
    let reports = context.cold.borrow_mut().apply_update(context.now(), update);
    for report in &reports {
        log_cold(context, &report.runner, report.left, ColdSource::Node);
    }
    !reports.is_empty()
}

fn log_cold(context: &NodeContext, runner: &RunnerIncarnation, left: TimeSpan, source: ColdSource) {
    context.metrics.cold_runners.inc();
    if may_log(context) {
        let (left_ms, source) = (left.as_millis(), source.as_str());
        tracing::info!(event = "runner_cold", runner = %runner.runner, left_ms, source);
    }
}

/// Records that this start of a runner served a call and did not state that it is brittle.
pub fn record_not_brittle(context: &NodeContext, runner: &RunnerIncarnation) {
    record_brittle(context, runner, None);
}

fn record_brittle(context: &NodeContext, runner: &RunnerIncarnation, limit: Option<u32>) {
    let change = context.brittle.borrow_mut().record(context.now(), runner, limit);
    if let Some(change) = change {
        log_brittle(context, &change, "answer");
        context.signal_runner_change();
    }
}

/// Takes what another node knows about brittle runners. Returns whether anything has changed.
pub fn apply_brittle_update(context: &NodeContext, vm: &VmId, update: BrittleUpdate) -> bool {
    let changes = context.brittle.borrow_mut().apply_update(context.now(), vm, update);
    for change in &changes {
        log_brittle(context, change, "node");
    }
    !changes.is_empty()
}

fn log_brittle(context: &NodeContext, change: &BrittleChange, source: &str) {
    context.metrics.brittle_runners.inc();
    if !may_log(context) {
        return;
    }
    let runner = &change.runner;
    if let Some(rejections) = change.limit {
        tracing::info!(event = "runner_brittle", %runner, rejections, source);
    } else {
        tracing::info!(event = "runner_sturdy", %runner, source);
    }
}

fn record_limit(context: &NodeContext, runner: &RunnerIncarnation, limit: Option<RequestRate>) {
    let change = context.limits.borrow_mut().record(context.now(), runner, limit);
    if let Some(change) = change {
        log_limit(context, &change, "answer");
        context.signal_runner_change();
    }
}

/// Takes what another node knows about limits of runners. Returns whether one has changed.
pub fn apply_limit_update(context: &NodeContext, vm: &VmId, update: LimitUpdate) -> bool {
    let changes = context.limits.borrow_mut().apply_update(context.now(), vm, update);
    for change in &changes {
        log_limit(context, change, "node");
    }
    !changes.is_empty()
}

fn log_limit(context: &NodeContext, change: &LimitChange, source: &str) {
    context.metrics.runner_limits.inc();
    if !may_log(context) {
        return;
    }
    let runner = &change.runner;
    if let Some(rate) = change.limit {
        tracing::info!(event = "limit_named", %runner, rate = rate.0, source);
    } else {
        tracing::info!(event = "limit_ended", %runner, source);
    }
}

/// Records that this start of a runner wants no requests for `span`.
fn begin_wait(context: &NodeContext, runner: &RunnerIncarnation, span: TimeSpan) {
    if !context.waits.borrow_mut().record(context.now(), runner, span) {
        return;
    }
    context.metrics.runner_waits.inc();
    context.signal_runner_change();
    let (seconds, limit) = (span.as_seconds(), MAX_RUNNER_WAIT.as_seconds());
    if may_log(context) {
        tracing::info!(event = "wait_begun", runner = %runner.runner, seconds, limit);
    }
}

/// Logs the waits that have ended since the last call.
pub fn log_ended_waits(context: &NodeContext) {
    for wait in context.waits.borrow_mut().take_ended(context.now()) {
        let seconds = wait.until.since(wait.begun).as_seconds();
        let withheld = wait.withheld;
        if may_log(context) {
            tracing::info!(event = "wait_ended", runner = %wait.runner.runner, seconds, withheld);
        }
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
    if let Some(receiver) = find_runner(context, target) {
        check_send(context, &receiver).map_err(|block| not_sent(target, block))?;
    }
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

/// Whether no new run and no copy may go to the runner: it leaves, has gone, or is in an evacuated
/// place.
#[must_use]
pub fn is_closed(context: &NodeContext, runner: &RunnerId) -> bool {
    context.runners.borrow().is_leaving(runner) || is_runner_evacuated(context, runner)
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
