//! Runs that this node resumes for another one, which no longer reaches their runners.

use std::rc::Rc;

use base::prelude::*;
use compio::time::timeout;
use dispatch::RouteCommand;
use futures_util::FutureExt;
use hyper::Response;
use platform::{ResumeSource, copy_reply_headers};
use route::CallEnd;
use serving::{AttemptTracker, RunnerRecord};
use web::{ConnectionCloser, WebConnection, WebExchange, WebResponse};

use super::moved_run::move_run;
use super::offer::ResumeOffer;
use super::run_trace::{ResumeRefusal, RunHandle, RunTrace};
use crate::call::Call;
use crate::call_log::{log_send, log_send_failure};
use crate::context::NodeContext;
use crate::left_run::end_left_run;
use crate::reach::{is_unreached, suspect_runner};
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::runner_gate::{SendPurpose, is_closed};
use crate::runner_send::{SendPlan, connect_to_runner, send_connected};
use crate::streams::{
    StreamAttempts, StreamParts, StreamSource, choose_backup, is_event_stream, start_stream,
};

/// Maximum time to connect to the runner; the other node asks the next one if this one does not reach
/// it.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::millis(100);
/// Reason to decline: the runner is not reached, leaves or is not known.
pub(super) const RUNNER_UNREACHED: &str = "runner_unreached";
/// Reason to decline: the runner did not resume the run.
pub(super) const RESUME_REFUSED: &str = "resume_refused";

/// A run that goes on at a runner of this node's choice.
pub(super) struct ResumedRun {
    /// The place of the call at the runner.
    pub(super) ticket: RouteTicket,
    /// How the run was sent there.
    pub(super) plan: SendPlan,
    /// The runner's answer, a stream of events.
    pub(super) exchange: WebExchange,
}

/// Resumes a run, and relays its stream.
///
/// # Errors
/// Returns the reason, and what is left of the run, if it cannot be resumed here.
pub async fn resume_run(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: Rc<Call>,
    closer: ConnectionCloser,
    offer: ResumeOffer,
) -> Result<WebResponse, ResumeRefusal> {
    // What this node has ordered goes on from here also if the runner is silent at the moment.
    let is_ordered = offer.copy.is_none() && context.late_orders.has(&call.attempt, &offer.runner);
    let holder = find_holder(context, &offer.runner, is_ordered)?;
    let resumed = match offer.copy.clone() {
        Some(memory) => take_memory(context, router, &call, holder, memory, &offer).await?,
        None => move_run(context, router, &call, holder, &offer).await?,
    };
    let ResumedRun { ticket, plan, exchange } = resumed;
    // The asking node may not reach it to end the run there.
    let source = offer.source.and_then(|source| find_known(context, &source));
    if let Some(source) = source.filter(|source| source.runner != plan.runner.runner) {
        end_left_run(context, &call, &source);
    }
    let mut head = Response::new(());
    *head.status_mut() = exchange.response.status();
    *head.headers_mut() = copy_reply_headers(exchange.response.headers());
    let source = StreamSource::new(&plan, exchange);
    let tracker = AttemptTracker::for_route(&call.route);
    let attempts = StreamAttempts { tracker, tried: Vec::new() };
    let resumed_after = offer.last_event_id;
    let parts = StreamParts { call, ticket, source, attempts, resumed_after };
    Ok(start_stream(context, router, parts, closer, head))
}

/// The runner that keeps the memory of a run or works on it. It counts as reached if the run `is_ordered`.
fn find_holder(
    context: &NodeContext,
    runner: &RunnerId,
    is_ordered: bool,
) -> Result<RunnerRecord, &'static str> {
    if !is_ordered {
        return find_runner(context, runner);
    }
    find_known(context, runner).ok_or(RUNNER_UNREACHED)
}

/// A runner that is listed, reached or not.
fn find_known(context: &NodeContext, runner: &RunnerId) -> Option<RunnerRecord> {
    context.runners.borrow().get(runner).map(|entry| entry.record.clone())
}

pub(super) fn find_runner(
    context: &NodeContext,
    runner: &RunnerId,
) -> Result<RunnerRecord, &'static str> {
    let known = find_known(context, runner);
    known.filter(|record| !is_unreached(context, record)).ok_or(RUNNER_UNREACHED)
}

/// Resumes the run at the runner that keeps its memory: a copy, or what it has kept of a run that
/// another node has stopped there.
async fn take_memory(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: &Rc<Call>,
    runner: RunnerRecord,
    memory: RunHandle,
    offer: &ResumeOffer,
) -> Result<ResumedRun, ResumeRefusal> {
    let is_stopped = offer.is_stopped(call, &runner);
    if !is_stopped && is_closed(context, &runner.runner) {
        return Err(RUNNER_UNREACHED.into());
    }
    let purpose = if is_stopped { SendPurpose::Return } else { SendPurpose::NewWork };
    let refuse = |reason| ResumeRefusal {
        reason,
        trace: is_stopped.then(|| RunTrace::Stopped(memory.clone())),
    };
    let connection = connect(context, call, &runner, purpose).await.map_err(refuse)?;
    let mut ticket = router.open(call.route_call(&[]));
    match ticket.next_command().now_or_never() {
        Some(RouteCommand::Send { .. }) => ticket.relocate_to(&runner.runner),
        // The copy has its place at the runner: the call does not wait for another one.
        _ => ticket.end(CallEnd::Cancelled),
    }
    let RunHandle { address, handle } = memory.clone();
    let resume = ResumeSource { address, handle, last_event_id: offer.last_event_id };
    let backup = choose_backup(context, call, &ticket);
    let plan = SendPlan { purpose, ..SendPlan::resume(runner, resume, backup) };
    log_send(context, call, &plan.runner.runner, None, None, 0);
    let left = call.deadline.since(context.now());
    let (reason, end) = match send_connected(context, call, &plan, connection, left).await {
        Ok(exchange) if is_event_stream(&exchange.response) => {
            return Ok(ResumedRun { ticket, plan, exchange });
        }
        Ok(exchange) => (exchange.response.status().to_string(), CallEnd::Cancelled),
        Err(failure) => (failure.reason.to_string(), failure.end),
    };
    log_send_failure(context, call, &plan.runner.runner, &reason);
    ticket.finish(end);
    Err(refuse(RESUME_REFUSED))
}

pub(super) async fn connect(
    context: &NodeContext,
    call: &Call,
    runner: &RunnerRecord,
    purpose: SendPurpose,
) -> Result<WebConnection, &'static str> {
    let connecting = connect_to_runner(context, call, runner, purpose);
    if let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT.into(), connecting).await {
        return Ok(connection);
    }
    suspect_runner(context, runner);
    Err(RUNNER_UNREACHED)
}
