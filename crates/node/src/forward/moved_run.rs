//! Runs that this node moves for another one, which does not reach their runners and has no copy of them.
//!
//! Load pattern: a node is cut off from the runners of its streams, and the next runners are full, silent
//! or slow to take a copy. A run works on until the next runner has its memory and is connected to; what
//! was stopped goes on there or returns to its source, or the other node is told where its memory is.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use compio::time::timeout;
use dispatch::RouteCommand;
use futures_util::FutureExt;
use platform::ResumeSource;
use route::CallEnd;
use serving::{RunnerRecord, SendOutcome};
use web::{WebConnection, WebExchange};

use super::offer::ResumeOffer;
use super::resumed_run::{RESUME_REFUSED, RUNNER_UNREACHED, ResumedRun, connect, find_runner};
use super::run_trace::{ResumeRefusal, RunHandle, RunTrace};
use crate::call::Call;
use crate::call_log::{log_send, log_send_failure, may_log};
use crate::context::NodeContext;
use crate::metrics::WithheldLabels;
use crate::reach::{connects_quickly, suspect_runner};
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::run_end_watch::OpenRun;
use crate::runner_gate::SendPurpose;
use crate::runner_send::{SendPlan, send_connected};
use crate::streams::{CopyTask, RunCopy, choose_backup, is_event_stream};

/// Time to keep for the answer to the other node.
const ANSWER_TIME: TimeSpan = TimeSpan::millis(100);
/// Time to keep for stopping a run and going on with it, as a part of the time that the other node waits.
const STOP_SHARE: u64 = 2;
/// Most of it.
const MAX_STOP_TIME: TimeSpan = TimeSpan::millis(1_400);
/// Time in which a runner stops a run as ordered. The copy of the rest may take longer.
const ORDER_TIME: TimeSpan = TimeSpan::millis(400);
/// Time for a runner that has the memory of a run to go on with it.
const HEAD_TIME: TimeSpan = TimeSpan::millis(250);

/// Status of a copy or an order that found no room.
const NO_ROOM: u16 = 503;

/// A move in progress.
struct RunMove<'a> {
    context: &'a Rc<NodeContext>,
    call: &'a Rc<Call>,
    source: RunnerRecord,
    target: RunnerRecord,
    last_event_id: Option<u64>,
    /// When the other node is to have its answer.
    end: TimePoint,
    /// A connection to the target that is still unused.
    connection: Option<WebConnection>,
    /// Whether the target may have taken the run and gave no answer.
    is_target_lost: bool,
}

/// Moves a run from `source` to another runner.
///
/// # Errors
/// Returns the reason, and what is left of the run, if it goes on nowhere.
pub(super) async fn move_run(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: &Rc<Call>,
    source: RunnerRecord,
    offer: &ResumeOffer,
) -> Result<ResumedRun, ResumeRefusal> {
    if !connects_quickly(source.address).await {
        suspect_runner(context, &source);
        return Err(RUNNER_UNREACHED.into());
    }
    let mut ticket = router.open(call.route_call(std::slice::from_ref(&source.runner)));
    let moved = match ticket.next_command().now_or_never() {
        Some(RouteCommand::Send { runner }) if runner != source.runner => {
            move_to(context, call, &mut ticket, (source, &runner), offer).await
        }
        _ => Err(ResumeRefusal::works("no_room")),
    };
    match moved {
        Ok((plan, exchange)) => {
            let is_back = plan.purpose == SendPurpose::Return;
            note_end(context, call, if is_back { "returned" } else { "moved" }, "");
            Ok(ResumedRun { ticket, plan, exchange })
        }
        Err(refusal) => {
            let outcome = match &refusal.trace {
                Some(RunTrace::Works) => "works",
                Some(RunTrace::Stopped(_)) => "stopped",
                None => "unknown",
            };
            note_end(context, call, outcome, refusal.reason);
            ticket.finish(CallEnd::Cancelled);
            Err(refusal)
        }
    }
}

/// Moves a run between two runners. It is stopped once the next one has its memory and is connected to.
async fn move_to(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    ticket: &mut RouteTicket,
    (source, target): (RunnerRecord, &RunnerId),
    offer: &ResumeOffer,
) -> Result<(SendPlan, WebExchange), ResumeRefusal> {
    let target = find_runner(context, target).map_err(ResumeRefusal::works)?;
    let end = call.arrived + TimeSpan(offer.limit.0.saturating_sub(ANSWER_TIME.0));
    let last_event_id = offer.last_event_id;
    let (connection, is_target_lost) = (None, false);
    let mut run =
        RunMove { context, call, source, target, last_event_id, end, connection, is_target_lost };
    let stop_time = MAX_STOP_TIME.min(TimeSpan(offer.limit.0 / STOP_SHARE));
    let copy = run.copy_beside_run(end - stop_time).await?;
    let connected = connect(context, call, &run.target, SendPurpose::NewWork).await;
    run.connection = Some(connected.map_err(ResumeRefusal::works)?);
    run.stop_and_resume(ticket, copy).await
}

impl RunMove<'_> {
    /// Copies the memory of the run, which works on. Returns `None` if the next runner has no room.
    async fn copy_beside_run(&self, end: TimePoint) -> Result<Option<RunCopy>, ResumeRefusal> {
        let (from, to) = (self.source.address, self.target.address);
        let copying = CopyTask::copy(Rc::clone(self.context), self.call.attempt.clone(), from, to);
        let left = end.since(self.context.now());
        match timeout(left.into(), copying).await {
            Ok(Ok(copy)) => Ok(Some(copy)),
            Ok(Err(error)) if error.status() == Some(NO_ROOM) => Ok(None),
            Ok(Err(error)) => {
                self.log_source_failure(&error);
                let trace = (!error.is_not_found()).then_some(RunTrace::Works);
                Err(ResumeRefusal { reason: RESUME_REFUSED, trace })
            }
            Err(_) => Err(ResumeRefusal::works("copy_late")),
        }
    }

    /// Stops the run, and goes on with it from what is there: its copy, the rest that the order has
    /// copied, or the memory that the source keeps.
    async fn stop_and_resume(
        &mut self,
        ticket: &mut RouteTicket,
        copy: Option<RunCopy>,
    ) -> Result<(SendPlan, WebExchange), ResumeRefusal> {
        let (from, to) = (self.source.address, self.target.address);
        let order = CopyTask::stop(Rc::clone(self.context), self.call.attempt.clone(), from, to);
        let mut order = pin!(order.fuse());
        let early = timeout(ORDER_TIME.into(), order.as_mut()).await.ok();
        if let Some(Err(error)) = &early {
            self.log_source_failure(error);
            // A run that its source no longer has is finished; the caller has not got the rest.
            let is_finished = error.is_not_found() && copy.is_some();
            if !is_finished {
                return Err(RESUME_REFUSED.into());
            }
        }
        let is_answered = early.is_some();
        let mut stopped = early.and_then(Result::ok);
        if let Some(copy) = copy {
            match self.resume_at(ticket, &copy.handle, SendPurpose::NewWork).await {
                Some(resumed) => {
                    copy.keep();
                    return Ok(resumed);
                }
                // The runner may name both alike.
                None if stopped.as_ref().is_some_and(|run| run.handle == copy.handle) => {
                    copy.keep();
                }
                None => (),
            }
        }
        if !is_answered {
            stopped = self.await_order(order).await;
        }
        let Some(run) = stopped else { return Err(RESUME_REFUSED.into()) };
        let mut resumed = None;
        if run.is_copied {
            resumed = self.resume_at(ticket, &run.handle, SendPurpose::NewWork).await;
        }
        if resumed.is_none() {
            resumed = self.resume_at(ticket, &run.handle, SendPurpose::Return).await;
        }
        let memory = RunHandle { address: from, handle: run.handle.clone() };
        // The run has used it, or another node may go on from it.
        run.keep();
        resumed
            .ok_or(ResumeRefusal { reason: RESUME_REFUSED, trace: Some(RunTrace::Stopped(memory)) })
    }

    /// Waits for the answer to an order as long as the other node waits.
    async fn await_order(
        &self,
        order: impl Future<Output = platform::Result<RunCopy>>,
    ) -> Option<RunCopy> {
        let left = self.end.since(self.context.now());
        match timeout(left.into(), order).await {
            Ok(Ok(run)) => Some(run),
            Ok(Err(error)) => {
                self.log_source_failure(&error);
                None
            }
            Err(_) => None,
        }
    }

    /// Sends the request to the runner that has the memory `handle`, the source if it is to return, and
    /// waits for a stream.
    async fn resume_at(
        &mut self,
        ticket: &mut RouteTicket,
        handle: &Arc<str>,
        purpose: SendPurpose,
    ) -> Option<(SendPlan, WebExchange)> {
        let (context, call) = (self.context, self.call);
        let is_return = purpose == SendPurpose::Return;
        if !is_return && self.is_target_lost {
            return None;
        }
        let runner = if is_return { self.source.clone() } else { self.target.clone() };
        ticket.relocate_to(&runner.runner);
        let address = self.source.address;
        let resume =
            ResumeSource { address, handle: handle.clone(), last_event_id: self.last_event_id };
        let backup = choose_backup(context, call, ticket);
        let plan = SendPlan { purpose, ..SendPlan::resume(runner, resume, backup) };
        let connection = match self.connection.take().filter(|_| !is_return) {
            Some(connection) => connection,
            None => connect(context, call, &plan.runner, purpose).await.ok()?,
        };
        log_send(context, call, &plan.runner.runner, None, None, 0);
        let left = HEAD_TIME.min(call.deadline.since(context.now()));
        let run = OpenRun::new(context, call, &plan.runner);
        let sent = Box::pin(send_connected(context, call, &plan, connection, left)).await;
        let is_unknown =
            sent.as_ref().is_err_and(|failure| failure.outcome == SendOutcome::Unknown);
        if is_unknown {
            // It may work on the run, which goes on elsewhere.
            drop(run);
            self.is_target_lost |= !is_return;
        } else {
            run.finish();
        }
        let reason = match sent {
            Ok(exchange) if is_event_stream(&exchange.response) => return Some((plan, exchange)),
            Ok(exchange) => exchange.response.status().to_string(),
            Err(failure) => failure.reason.to_string(),
        };
        log_send_failure(context, call, &plan.runner.runner, &reason);
        None
    }

    fn log_source_failure(&self, error: &platform::PlatformError) {
        let runner = &self.source.runner;
        log_send_failure(self.context, self.call, runner, &error.to_string());
    }
}

/// Counts and logs how a move for another node ended.
fn note_end(context: &NodeContext, call: &Call, outcome: &'static str, reason: &'static str) {
    context.metrics.runs_moved.get_or_create(&WithheldLabels { reason: outcome }).inc();
    if may_log(context) {
        let waited_ms = context.now().since(call.arrived).as_millis();
        let request = &call.attempt;
        tracing::info!(event = "run_moved", %request, outcome, reason, waited_ms);
    }
}
