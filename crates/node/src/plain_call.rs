//! Plain calls: a runner's answer is read completely before any of it goes to the caller.

use std::rc::Rc;

use base::prelude::*;
use dispatch::RouteCommand;
use hyper::body::Bytes;
use hyper::{Response, StatusCode};
use platform::copy_reply_headers;
use route::CallEnd;
use serving::{AttemptTracker, FinalStatus, RouteKind, RunnerRecord, SendOutcome};
use web::{WebResponse, full_body};

use crate::call::Call;
use crate::call_log::{RequestOutcome, RequestSummary, log_end, log_send, log_send_failure};
use crate::caller_server::CallRejection;
use crate::context::NodeContext;
use crate::part_watch::{find_part_refusal, probe_lost_runner, record_full_answer};
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::runner_gate::{check_prompt, check_send};
use crate::runner_send::{SendFailure, SendPlan, read_full_answer, send_to_runner};

/// Timeout of one attempt, as a multiple of the route's target latency, while another runner
/// may still be tried.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 2;
/// `Retry-After` if no runner accepted the request.
const REFUSED_RETRY_AFTER: TimeSpan = TimeSpan::millis(150);

/// Reason of a refusal because every runner of the service has named a wait.
const RUNNERS_WAIT: &str = "runners_wait";

/// Why no runner answered a request.
#[derive(Debug, Clone, Copy)]
pub struct CallFailure {
    /// Reason, sent to the caller and logged.
    pub reason: &'static str,
    /// Time after which the caller may retry, if the request did not run.
    pub retry_after: TimeSpan,
}

/// Waits until the dispatcher assigns a runner that accepts the request.
///
/// # Errors
/// Returns [`CallFailure`] if the dispatcher refuses the call, the assigned runner was removed, or
/// the prompt has a part that crashes runners.
pub async fn find_runner(
    context: &NodeContext,
    router: &RouterService,
    call: &Call,
    tried: &[RunnerId],
) -> Result<(RouteTicket, RunnerRecord), CallFailure> {
    loop {
        if let Some(refusal) = find_part_refusal(context, call) {
            return Err(refusal);
        }
        let (ticket, runner) = assign_runner(context, router, call, tried).await?;
        let incarnation = runner.incarnation();
        let accepts = check_send(context, &incarnation)
            .and_then(|()| check_prompt(context, call, &incarnation));
        if accepts.is_ok() {
            return Ok((ticket, runner));
        }
        unassign(router, ticket);
    }
}

/// Takes back the assignment of a call that was not sent, since its runner accepts no
/// requests. The dispatcher then knows that it does not, and assigns another.
pub fn unassign(router: &RouterService, ticket: RouteTicket) {
    ticket.finish(CallEnd::Cancelled);
    router.update_members();
}

/// Waits until the dispatcher assigns a runner to the request.
async fn assign_runner(
    context: &NodeContext,
    router: &RouterService,
    call: &Call,
    tried: &[RunnerId],
) -> Result<(RouteTicket, RunnerRecord), CallFailure> {
    let mut ticket = router.open(call.route_call(tried));
    let runner = loop {
        match ticket.next_command().await {
            RouteCommand::Send { runner } => break runner,
            RouteCommand::Withdraw => (),
            RouteCommand::Refuse { reason, retry_after } => {
                return Err(CallFailure { reason: refusal_reason(reason), retry_after });
            }
        }
    };
    let record = context.runners.borrow().get(&runner).map(|entry| entry.record.clone());
    let gone = CallFailure { reason: "no_runner", retry_after: REFUSED_RETRY_AFTER };
    record.map(|record| (ticket, record)).ok_or(gone)
}

fn refusal_reason(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoRunner => "no_runner",
        RefusalReason::RunnersWait => RUNNERS_WAIT,
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::TableFull => "queue_full",
        RefusalReason::DeadlinePassed => "deadline_passed",
        _ => "refused",
    }
}

/// Whether the request may be sent to another runner. A retry is charged to the retry budget
/// that the nodes share.
pub fn may_retry(context: &NodeContext, call: &Call, tracker: &AttemptTracker) -> bool {
    if !tracker.may_send() || call.deadline <= context.now() {
        return false;
    }
    if tracker.sends() == 0 {
        return true;
    }
    let nodes = context.peers.borrow().fleet_size();
    let allowed =
        context.retry_budget.borrow_mut().try_acquire(context.now(), &call.service, nodes);
    if !allowed {
        context.metrics.retries_denied.inc();
    }
    allowed
}

/// Runs a plain call: tries runners until one answers or no further try is allowed.
pub async fn run_plain(
    context: &Rc<NodeContext>,
    router: &RouterService,
    call: &Rc<Call>,
) -> WebResponse {
    context.retry_budget.borrow_mut().record_request(context.now(), &call.service);
    let mut tracker = AttemptTracker::new(call.route.kind, call.route.max_attempts);
    let mut tried = Vec::new();
    let mut error_answer: Option<Response<Bytes>> = None;
    loop {
        let (ticket, runner) = match find_runner(context, router, call, &tried).await {
            Ok(found) => found,
            Err(failure) => return fail_call(context, call, &tracker, error_answer, failure),
        };
        let load = ticket.runner_summary(&runner.runner);
        log_send(context, call, &runner.runner, None, load.as_ref(), tracker.sends());
        let answer = try_runner(context, call, &tracker, &runner).await;
        if answer.as_ref().is_err_and(|failure| failure.withheld) {
            unassign(router, ticket);
            continue;
        }
        tried.push(runner.runner.clone());
        match answer {
            Ok(answer) => {
                ticket.finish(CallEnd::Finished);
                record_full_answer(context, call, &answer);
                if !answer.status().is_server_error() || call.route.kind != RouteKind::Idempotent {
                    return forward_answer(context, call, &answer);
                }
                tracker.record_send(SendOutcome::Failed);
                error_answer = Some(answer);
            }
            Err(failure) => {
                record_send_failure(context, router, call, &runner, &failure);
                tracker.record_send(failure.outcome);
                ticket.finish(failure.end);
            }
        }
        if !may_retry(context, call, &tracker) {
            let failure = explain_failure(router, call, REFUSED_RETRY_AFTER);
            return fail_call(context, call, &tracker, error_answer, failure);
        }
    }
}

/// Why a call is given up after its sends, and when its caller may come back: after
/// `retry_after`, unless every runner waits for longer.
pub fn explain_failure(router: &RouterService, call: &Call, retry_after: TimeSpan) -> CallFailure {
    match router.wait_retry_after(call) {
        Some(wait) => CallFailure { reason: RUNNERS_WAIT, retry_after: wait.max(retry_after) },
        None => CallFailure { reason: "runners_failed", retry_after },
    }
}

/// Sends the call to one runner and reads its whole answer.
async fn try_runner(
    context: &NodeContext,
    call: &Call,
    tracker: &AttemptTracker,
    runner: &RunnerRecord,
) -> Result<Response<Bytes>, SendFailure> {
    let left = call.deadline.since(context.now());
    let can_retry =
        call.route.kind == RouteKind::Idempotent && tracker.sends() + 1 < call.route.max_attempts;
    let attempt_timeout =
        TimeSpan(call.route.target_latency.0.saturating_mul(ATTEMPT_TIMEOUT_FACTOR));
    let limit = if can_retry { attempt_timeout.min(left) } else { left };
    let exchange =
        send_to_runner(context, call, &SendPlan::first(runner.clone(), None), limit).await?;
    let left = call.deadline.since(context.now());
    read_full_answer(context, exchange, left).await
}

/// Logs a failed send, marks the runner as leaving if the failure says so, and finds out whether
/// it has crashed.
pub fn record_send_failure(
    context: &Rc<NodeContext>,
    router: &RouterService,
    call: &Rc<Call>,
    runner: &RunnerRecord,
    failure: &SendFailure,
) {
    log_send_failure(context, call, &runner.runner, &failure.reason);
    if failure.runner_gone {
        router.mark_leaving(&runner.incarnation(), "reply");
    }
    if failure.outcome == SendOutcome::Unknown {
        probe_lost_runner(context, call, runner);
    }
}

/// Forwards a runner's complete answer unchanged.
pub fn forward_answer(context: &NodeContext, call: &Call, answer: &Response<Bytes>) -> WebResponse {
    let status = answer.status();
    log_end(
        context,
        call,
        RequestSummary { outcome: RequestOutcome::Answered, reason: "", status: status.as_u16() },
    );
    let mut response = Response::new(full_body(answer.body().clone()));
    *response.status_mut() = status;
    *response.headers_mut() = copy_reply_headers(answer.headers());
    response
}

/// Builds the answer to a request that failed: the last server error of a runner if there
/// is one, otherwise a rejection whose status tells whether the request may have run.
pub fn fail_call(
    context: &NodeContext,
    call: &Call,
    tracker: &AttemptTracker,
    error_answer: Option<Response<Bytes>>,
    failure: CallFailure,
) -> WebResponse {
    if let Some(answer) = error_answer {
        return forward_answer(context, call, &answer);
    }
    let (outcome, status) = match tracker.final_status() {
        FinalStatus::NotRun => (RequestOutcome::NotRun, StatusCode::SERVICE_UNAVAILABLE),
        FinalStatus::Unknown if call.deadline <= context.now() => {
            (RequestOutcome::Unknown, StatusCode::GATEWAY_TIMEOUT)
        }
        FinalStatus::Unknown => (RequestOutcome::Unknown, StatusCode::BAD_GATEWAY),
    };
    let reason = failure.reason;
    log_end(context, call, RequestSummary { outcome, reason, status: status.as_u16() });
    let retry_after =
        (tracker.final_status() == FinalStatus::NotRun).then_some(failure.retry_after);
    CallRejection { status, reason, retry_after }.reply()
}
