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
use web::{ConnectionCloser, WebConnection, WebResponse};

use super::offer::{ResumeOffer, RunHandle};
use crate::call::Call;
use crate::call_log::{log_send, log_send_failure};
use crate::context::NodeContext;
use crate::reach::connects_quickly;
use crate::reach::{is_unreached, suspect_runner};
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::runner_gate::{SendPurpose, is_closed};
use crate::runner_send::{SendPlan, connect_to_runner, send_connected};
use crate::streams::{
    CopyTask, RunCopy, StreamAttempts, StreamParts, StreamSource, choose_backup, is_event_stream,
    start_stream,
};

/// Maximum time to connect to the runner; the other node asks the next one if this one does not reach
/// it.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::millis(100);
/// Reason to decline: the runner is not reached, leaves or is not known.
const RUNNER_UNREACHED: &str = "runner_unreached";
/// Reason to decline: the runner did not resume the run.
const RESUME_REFUSED: &str = "resume_refused";

/// A place for the run: its runner, where its memory comes from, and a connection to the runner.
struct ResumePlace {
    ticket: RouteTicket,
    runner: RunnerRecord,
    memory: RunHandle,
    connection: WebConnection,
    /// A copy that was made for the run.
    copy: Option<RunCopy>,
    /// What the runner gets the request for.
    purpose: SendPurpose,
}

/// Resumes a run, and relays its stream.
///
/// # Errors
/// Returns the reason if the run cannot be resumed here.
pub async fn resume_run(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: Rc<Call>,
    closer: ConnectionCloser,
    offer: ResumeOffer,
) -> Result<WebResponse, &'static str> {
    let holder = find_runner(context, &offer.runner)?;
    let place = match offer.copy {
        Some(memory) => take_copy(context, router, &call, holder, memory).await?,
        None => move_run(context, router, &call, holder).await?,
    };
    let ResumePlace { ticket, runner, memory, connection, copy, purpose } = place;
    let backup = choose_backup(context, &call, &ticket);
    let RunHandle { address, handle } = memory;
    let resume = ResumeSource { address, handle, last_event_id: offer.last_event_id };
    let plan = SendPlan { purpose, ..SendPlan::resume(runner, resume, backup) };
    log_send(context, &call, &plan.runner.runner, None, None, 0);
    let left = call.deadline.since(context.now());
    let exchange = match send_connected(context, &call, &plan, connection, left).await {
        Ok(exchange) if is_event_stream(&exchange.response) => exchange,
        Ok(exchange) => {
            let reason = exchange.response.status().to_string();
            log_send_failure(context, &call, &plan.runner.runner, &reason);
            ticket.finish(CallEnd::Cancelled);
            return Err(RESUME_REFUSED);
        }
        Err(failure) => {
            log_send_failure(context, &call, &plan.runner.runner, &failure.reason);
            ticket.finish(failure.end);
            return Err(RESUME_REFUSED);
        }
    };
    if let Some(copy) = copy {
        copy.keep();
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

fn find_runner(context: &NodeContext, runner: &RunnerId) -> Result<RunnerRecord, &'static str> {
    let known = context.runners.borrow().get(runner).map(|entry| entry.record.clone());
    known.filter(|record| !is_unreached(context, record)).ok_or(RUNNER_UNREACHED)
}

/// A place at the runner that keeps a copy of the run's memory.
async fn take_copy(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: &Rc<Call>,
    runner: RunnerRecord,
    memory: RunHandle,
) -> Result<ResumePlace, &'static str> {
    if is_closed(context, &runner.runner) {
        return Err(RUNNER_UNREACHED);
    }
    let purpose = SendPurpose::NewWork;
    let connection = connect(context, call, &runner, purpose).await?;
    let mut ticket = router.open(call.route_call(&[]));
    match ticket.next_command().now_or_never() {
        Some(RouteCommand::Send { .. }) => ticket.relocate_to(&runner.runner),
        // The copy has its place at the runner: the call does not wait for another one.
        _ => ticket.end(CallEnd::Cancelled),
    }
    Ok(ResumePlace { ticket, runner, memory, connection, copy: None, purpose })
}

/// A place at another runner than `source`, to which the run moves from there. The run stops first, since
/// nobody reads its stream.
async fn move_run(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: &Rc<Call>,
    source: RunnerRecord,
) -> Result<ResumePlace, &'static str> {
    if !connects_quickly(source.address).await {
        suspect_runner(context, &source);
        return Err(RUNNER_UNREACHED);
    }
    let mut ticket = router.open(call.route_call(std::slice::from_ref(&source.runner)));
    let Some(RouteCommand::Send { runner: target }) = ticket.next_command().now_or_never() else {
        ticket.finish(CallEnd::Cancelled);
        return Err("no_room");
    };
    let target = find_runner(context, &target)?;
    if target.runner == source.runner {
        ticket.finish(CallEnd::Cancelled);
        return Err("no_room");
    }
    let purpose = SendPurpose::NewWork;
    let connection = connect(context, call, &target, purpose).await?;
    let (shared, attempt) = (Rc::clone(context), call.attempt.clone());
    let (from, to) = (source.address, target.address);
    let stopped = CopyTask::stop(shared, attempt, from, to).await;
    let copy = stopped.map_err(|error| {
        log_send_failure(context, call, &source.runner, &error.to_string());
        RESUME_REFUSED
    })?;
    let memory = RunHandle { address: source.address, handle: copy.handle.clone() };
    if copy.is_copied {
        let copy = Some(copy);
        return Ok(ResumePlace { ticket, runner: target, memory, connection, copy, purpose });
    }
    // The target had no room: the run goes on where it was stopped.
    let purpose = SendPurpose::Return;
    let connection = connect(context, call, &source, purpose).await?;
    ticket.relocate_to(&source.runner);
    Ok(ResumePlace { ticket, runner: source, memory, connection, copy: Some(copy), purpose })
}

async fn connect(
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
