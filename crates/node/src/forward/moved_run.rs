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
use futures_util::{FutureExt, select_biased};
use platform::ResumeSource;
use route::CallEnd;
use serving::{AnswerPlace, RunnerRecord, SendOutcome};
use web::{WebConnection, WebExchange};

use super::offer::ResumeOffer;
use super::resumed_run::{RESUME_REFUSED, RUNNER_UNREACHED, ResumedRun, connect, find_runner};
use super::run_order::{LateOrder, RunOrder, keep_order};
use super::run_trace::{ResumeRefusal, RunHandle, RunTrace};
use crate::call::Call;
use crate::call_log::{log_send, log_send_failure, may_log};
use crate::context::NodeContext;
use crate::metrics::WithheldLabels;
use crate::reach::{connects_quickly, find_answer_place, suspect_runner};
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::run_end_watch::OpenRun;
use crate::runner_gate::{SendPurpose, stopped_run_window};
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
/// Time after which the source is asked, if it has the memory of a run as well: the next runner answers with its next step.
const HEAD_TIME: TimeSpan = TimeSpan::millis(250);
/// Longest time for a runner that has the memory of a run to go on with it: a sound one may be silent for a second.
const SILENCE_TIME: TimeSpan = TimeSpan::millis(2_500);

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
    /// Until when the target may get a run that was stopped for it although it leaves, or its place is evacuated.
    target_end: TimePoint,
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
    if let Some(late) = context.late_orders.take(&call.attempt, &source.runner) {
        let moved = resume_late(context, router, call, late, offer).await;
        return end_move(context, call, moved);
    }
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
    end_move(context, call, (ticket, moved))
}

/// A move that has ended: the place of the call, and how the run goes on.
type MoveEnd = (RouteTicket, Result<(SendPlan, WebExchange), ResumeRefusal>);

/// Counts and logs how a move ended, and gives its place back if the run does not go on.
fn end_move(
    context: &NodeContext,
    call: &Call,
    (ticket, moved): MoveEnd,
) -> Result<ResumedRun, ResumeRefusal> {
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
                Some(RunTrace::Ordered) => "ordered",
                None => "unknown",
            };
            note_end(context, call, outcome, refusal.reason);
            ticket.finish(CallEnd::Cancelled);
            Err(refusal)
        }
    }
}

/// Goes on with a run that this node has ordered to stop when it was asked before.
async fn resume_late(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: &Rc<Call>,
    late: LateOrder,
    offer: &ResumeOffer,
) -> MoveEnd {
    let LateOrder { source, target, order, copy } = late;
    let mut ticket = router.open(call.route_call(std::slice::from_ref(&source.runner)));
    // The copy has its place at the next runner: the call does not wait for another one.
    if ticket.next_command().now_or_never().is_none() {
        ticket.end(CallEnd::Cancelled);
    }
    let mut run = RunMove::new(context, call, (source, target), offer);
    let moved = run.follow_order(&mut ticket, copy, order).await;
    (ticket, moved)
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
    let mut run = RunMove::new(context, call, (source, target), offer);
    let stop_time = MAX_STOP_TIME.min(TimeSpan(offer.limit.0 / STOP_SHARE));
    let copy = run.copy_beside_run(run.end - stop_time).await?;
    let connected = connect(context, call, &run.target, SendPurpose::NewWork).await;
    run.connection = Some(connected.map_err(ResumeRefusal::works)?);
    run.stop_and_resume(ticket, copy).await
}

impl<'a> RunMove<'a> {
    /// A move between two runners that has not begun.
    fn new(
        context: &'a Rc<NodeContext>,
        call: &'a Rc<Call>,
        (source, target): (RunnerRecord, RunnerRecord),
        offer: &ResumeOffer,
    ) -> Self {
        Self {
            context,
            call,
            source,
            target,
            last_event_id: offer.last_event_id,
            end: call.arrived + TimeSpan(offer.limit.0.saturating_sub(ANSWER_TIME.0)),
            target_end: context.now(),
            connection: None,
            is_target_lost: false,
        }
    }

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
        let order = RunOrder::give(self.context, self.call, &self.source, self.target.address);
        self.target_end = self.context.now() + stopped_run_window(self.context);
        let is_early = timeout(ORDER_TIME.into(), order.wait()).await.is_ok();
        if is_early {
            order.log_failure(self.context, self.call, &self.source);
            // A run that its source no longer has is finished; the caller has not got the rest.
            let is_finished = order.is_not_found() && copy.is_some();
            if !order.has_memory() && !order.is_open() && !is_finished {
                return Err(RESUME_REFUSED.into());
            }
        }
        self.follow_order(ticket, copy, order).await
    }

    /// Goes on with a run that was ordered to stop. Its copy and what the order leaves are kept until it is known
    /// who goes on.
    async fn follow_order(
        &mut self,
        ticket: &mut RouteTicket,
        copy: Option<RunCopy>,
        order: RunOrder,
    ) -> Result<(SendPlan, WebExchange), ResumeRefusal> {
        if let Some(held) = &copy {
            let handle = held.handle.clone();
            if let Some(resumed) = self.resume_copy(ticket, &handle, &order).await {
                copy.into_iter().for_each(RunCopy::keep);
                return Ok(resumed);
            }
        }
        let is_late = timeout(self.left().into(), order.wait()).await.is_err();
        if is_late || order.is_open() {
            let (source, target) = (self.source.clone(), self.target.clone());
            keep_order(self.context, self.call, LateOrder { source, target, order, copy });
            let trace = Some(RunTrace::Ordered);
            return Err(ResumeRefusal { reason: RESUME_REFUSED, trace });
        }
        let Some(run) = order.take_memory() else { return Err(RESUME_REFUSED.into()) };
        let mut resumed = None;
        if run.is_copied {
            resumed = self.resume_rest(ticket, &run.handle).await;
        }
        if resumed.is_none() {
            let left = self.left().min(SILENCE_TIME);
            resumed = self.resume_at(ticket, &run.handle, SendPurpose::Return, left).await;
        }
        let memory = RunHandle { address: self.source.address, handle: run.handle.clone() };
        // The runner may name both alike.
        copy.into_iter().filter(|copy| copy.handle == run.handle).for_each(RunCopy::keep);
        // The run has used it, or another node may go on from it.
        run.keep();
        resumed
            .ok_or(ResumeRefusal { reason: RESUME_REFUSED, trace: Some(RunTrace::Stopped(memory)) })
    }

    /// Goes on from the copy at the next runner. That runner is waited for as long as no other place of the
    /// run is known, and from when the order has left one until the source is known to answer.
    async fn resume_copy(
        &mut self,
        ticket: &mut RouteTicket,
        handle: &Arc<str>,
        order: &RunOrder,
    ) -> Option<(SendPlan, WebExchange)> {
        let left = self.left().min(SILENCE_TIME);
        let (context, source) = (Rc::clone(self.context), self.source.clone());
        let resumed = {
            let resuming = self.resume_at(ticket, handle, SendPurpose::NewWork, left);
            let mut resuming = pin!(resuming.fuse());
            let mut answered = pin!(order.wait().fuse());
            select_biased! {
                resumed = resuming => return resumed,
                () = answered => (),
            }
            if order.has_memory() {
                let mut source_answers = pin!(wait_source_answers(&context, &source).fuse());
                select_biased! {
                    resumed = resuming => Some(resumed),
                    () = source_answers => None,
                }
            } else {
                Some(resuming.await)
            }
        };
        // It may have taken the run.
        self.is_target_lost |= resumed.is_none();
        resumed.flatten()
    }

    /// Goes on from the rest that the order has copied, until the source is known to answer.
    async fn resume_rest(
        &mut self,
        ticket: &mut RouteTicket,
        handle: &Arc<str>,
    ) -> Option<(SendPlan, WebExchange)> {
        let left = self.left().min(SILENCE_TIME);
        let (context, source) = (Rc::clone(self.context), self.source.clone());
        let resuming = self.resume_at(ticket, handle, SendPurpose::NewWork, left);
        let (mut resuming, mut source_answers) =
            (pin!(resuming.fuse()), pin!(wait_source_answers(&context, &source).fuse()));
        select_biased! {
            resumed = resuming => resumed,
            () = source_answers => None,
        }
    }

    /// Time until the other node is to have its answer.
    fn left(&self) -> TimeSpan {
        self.end.since(self.context.now())
    }

    /// Sends the request to the runner that has the memory `handle`, the source if it is to return, and
    /// waits for a stream, for `limit` at most.
    async fn resume_at(
        &mut self,
        ticket: &mut RouteTicket,
        handle: &Arc<str>,
        purpose: SendPurpose,
        limit: TimeSpan,
    ) -> Option<(SendPlan, WebExchange)> {
        let (context, call) = (self.context, self.call);
        let is_return = purpose == SendPurpose::Return;
        if !is_return && self.is_target_lost {
            return None;
        }
        let runner = if is_return { self.source.clone() } else { self.target.clone() };
        let is_stopped = !is_return && context.now() < self.target_end;
        let purpose = if is_stopped { SendPurpose::StoppedRun } else { purpose };
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
        let left = limit.min(call.deadline.since(context.now()));
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

/// Waits until a run can go on at its source instead: from [`HEAD_TIME`] on that is asked until it answers a node. While
/// nobody does, the link of this node may be full, and a memory is used once.
async fn wait_source_answers(context: &NodeContext, source: &RunnerRecord) {
    loop {
        kernel::sleep(HEAD_TIME.into()).await;
        if find_answer_place(context, source).await != AnswerPlace::Nowhere {
            return;
        }
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
