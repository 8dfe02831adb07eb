//! Decides at the last moment whether a request may be sent to a runner.
//!
//! Load pattern: runners announce that they leave while calls that were assigned to them
//! earlier have not been sent yet. Busy runners name a time before which they accept nothing.

use base::prelude::*;
use serving::{CallInput, RunnerIncarnation};

use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::crash_watch::find_blocked_input;
use crate::evacuation_watch::is_runner_evacuated;
use crate::limit_share::{cold_share, runner_room};
use crate::metrics::WithheldLabels;

/// Why a request may not be sent to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendBlock {
    /// The runner is leaving, or is not listed any more.
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
    /// Going on with a run that was stopped when this runner, which has its memory, could be asked. It may have
    /// announced since then that it leaves, or its place may be evacuated.
    StoppedRun,
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
            Self::StoppedRun => check_stopped(context, runner),
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

/// Time from when a run was ordered to stop, or from when this node has learned that its runner leaves, in which the
/// run may go to a runner that leaves: a part of the time after which that may get no requests.
#[must_use]
pub fn stopped_run_window(context: &NodeContext) -> TimeSpan {
    TimeSpan(context.settings.drain.0 / 4 * 3)
}

/// Checks whether a run that was stopped for this start of a runner may go on there: that is no new work.
fn check_stopped(context: &NodeContext, runner: &RunnerIncarnation) -> Result<(), SendBlock> {
    match find_block(context, runner).or_else(|| find_shortage(context, runner)) {
        None | Some(SendBlock::Leaving | SendBlock::Evacuated) => Ok(()),
        Some(block) => Err(withhold(context, runner, block)),
    }
}

/// Counts a request that is not sent.
pub fn withhold(context: &NodeContext, runner: &RunnerIncarnation, block: SendBlock) -> SendBlock {
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
    // A runner that has crashed is not listed either, and is asked what became of it.
    if context.runners.borrow().has_left(runner, context.now()) {
        return Some(SendBlock::Leaving);
    }
    find_own_block(context, runner)
}

/// Why this start of a runner accepts nothing by its own statement; `None` if it does. Reads of reports
/// depend only on this: streams in an evacuated place go on. The question whether a runner is reached,
/// a health check, depends on nothing.
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

/// Whether no new run and no copy may go to the runner: it leaves, has gone, or is in an evacuated
/// place.
#[must_use]
pub fn is_closed(context: &NodeContext, runner: &RunnerId) -> bool {
    context.runners.borrow().is_leaving(runner) || is_runner_evacuated(context, runner)
}
