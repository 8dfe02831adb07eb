//! Plain calls: the answer is read whole before any of it goes to the caller.

use std::rc::Rc;

use base::prelude::*;
use dispatch::RouteCommand;
use hyper::body::Bytes;
use hyper::{Response, StatusCode};
use platform::copy_reply_headers;
use route::CallEnd;
use serving::{AttemptTracker, FinalStatus, RouteKind, RunnerRecord};
use web::{WebResponse, full_body};

use crate::call::Call;
use crate::call_log::{CallEnding, EndOutcome, log_end, log_send, log_setback};
use crate::context::NodeContext;
use crate::front::Rejection;
use crate::router::{RouteTicket, RouterService};
use crate::runner_send::{SendPlan, SendSetback, read_whole, send_to_runner};

/// Part of the objective after which a further runner is tried, where that is allowed.
const ATTEMPT_AIMS: u64 = 2;
/// When a caller may come back if no runner took its request.
const REFUSED_COME_BACK: TimeSpan = TimeSpan::millis(150);

/// How a request ends that no runner has answered.
#[derive(Debug, Clone, Copy)]
pub struct GivenUp {
    /// Why, in one word.
    pub reason: &'static str,
    /// When the caller may come back.
    pub come_back: TimeSpan,
}

/// A runner for the request, with its place at the desk.
///
/// # Errors
/// [`GivenUp`] if there is none.
pub async fn find_runner(
    context: &NodeContext,
    router: &RouterService,
    call: &Call,
    tried: &[RunnerId],
) -> Result<(RouteTicket, RunnerRecord), GivenUp> {
    let mut ticket = router.open(call.route_call(tried));
    let runner = loop {
        match ticket.order().await {
            RouteCommand::Send { runner } => break runner,
            RouteCommand::Withdraw => (),
            RouteCommand::Refuse { reason, retry_after } => {
                return Err(GivenUp { reason: reason_word(reason), come_back: retry_after });
            }
        }
    };
    let record = context.runners.borrow().get(&runner).map(|entry| entry.record.clone());
    let gone = GivenUp { reason: "no_runner", come_back: REFUSED_COME_BACK };
    record.map(|record| (ticket, record)).ok_or(gone)
}

fn reason_word(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoRunner => "no_runner",
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::TableFull => "queue_full",
        RefusalReason::DeadlinePassed => "deadline_passed",
        _ => "refused",
    }
}

/// Whether the request may go to a further runner; takes its part of the shared budget.
pub fn may_repeat(context: &NodeContext, call: &Call, tracker: &AttemptTracker) -> bool {
    if !tracker.may_send() || call.deadline <= context.now() {
        return false;
    }
    if tracker.sends() == 0 {
        return true;
    }
    let nodes = context.peers.borrow().fleet_size();
    let allowed = context.budget.borrow_mut().try_acquire(context.now(), &call.service, nodes);
    if !allowed {
        context.metrics.repeats_denied.inc();
    }
    allowed
}

/// Serves a plain call.
pub async fn run_plain(
    context: &Rc<NodeContext>,
    router: &RouterService,
    call: &Call,
) -> WebResponse {
    context.budget.borrow_mut().record_request(context.now(), &call.service);
    let mut tracker = AttemptTracker::new(call.route.kind, call.route.max_attempts);
    let mut tried = Vec::new();
    let mut failure: Option<Response<Bytes>> = None;
    loop {
        let (ticket, runner) = match find_runner(context, router, call, &tried).await {
            Ok(found) => found,
            Err(given_up) => return give_up(context, call, &tracker, failure, given_up),
        };
        let load = ticket.load_of(&runner.runner);
        log_send(context, call, &runner.runner, None, load.as_ref(), tracker.sends());
        tried.push(runner.runner.clone());
        match try_runner(context, call, &tracker, &runner).await {
            Ok(answer) => {
                ticket.end(CallEnd::Finished);
                if !answer.status().is_server_error() || call.route.kind != RouteKind::Idempotent {
                    return pass_on(context, call, &answer);
                }
                tracker.record_send(serving::SendOutcome::Failed);
                failure = Some(answer);
            }
            Err(setback) => {
                take_setback(context, router, call, &runner.runner, &setback);
                tracker.record_send(setback.outcome);
                ticket.end(setback.end);
            }
        }
        if !may_repeat(context, call, &tracker) {
            let given_up = GivenUp { reason: "runners_failed", come_back: REFUSED_COME_BACK };
            return give_up(context, call, &tracker, failure, given_up);
        }
    }
}

async fn try_runner(
    context: &NodeContext,
    call: &Call,
    tracker: &AttemptTracker,
    runner: &RunnerRecord,
) -> Result<Response<Bytes>, SendSetback> {
    let left = call.deadline.since(context.now());
    let may_go_on =
        call.route.kind == RouteKind::Idempotent && tracker.sends() + 1 < call.route.max_attempts;
    let patience = TimeSpan(call.route.target_latency.0.saturating_mul(ATTEMPT_AIMS));
    let limit = if may_go_on { patience.min(left) } else { left };
    let exchange =
        send_to_runner(context, call, &SendPlan::first(runner.clone(), None), limit).await?;
    let left = call.deadline.since(context.now());
    read_whole(exchange, left).await
}

/// Notes what a setback says about its runner.
pub fn take_setback(
    context: &NodeContext,
    router: &RouterService,
    call: &Call,
    runner: &RunnerId,
    setback: &SendSetback,
) {
    log_setback(context, call, runner, &setback.reason);
    if setback.runner_gone {
        router.note_leaving(runner, "reply");
    }
}

/// Passes a runner's whole answer on, unchanged.
pub fn pass_on(context: &NodeContext, call: &Call, answer: &Response<Bytes>) -> WebResponse {
    let status = answer.status();
    log_end(
        context,
        call,
        CallEnding { outcome: EndOutcome::Answered, reason: "", status: status.as_u16() },
    );
    let mut response = Response::new(full_body(answer.body().clone()));
    *response.status_mut() = status;
    *response.headers_mut() = copy_reply_headers(answer.headers());
    response
}

/// The answer to a request that is given up.
pub fn give_up(
    context: &NodeContext,
    call: &Call,
    tracker: &AttemptTracker,
    failure: Option<Response<Bytes>>,
    given_up: GivenUp,
) -> WebResponse {
    if let Some(answer) = failure {
        return pass_on(context, call, &answer);
    }
    let (outcome, status) = match tracker.final_status() {
        FinalStatus::NotRun => (EndOutcome::NotRun, StatusCode::SERVICE_UNAVAILABLE),
        FinalStatus::Unknown if call.deadline <= context.now() => {
            (EndOutcome::Unknown, StatusCode::GATEWAY_TIMEOUT)
        }
        FinalStatus::Unknown => (EndOutcome::Unknown, StatusCode::BAD_GATEWAY),
    };
    let reason = given_up.reason;
    log_end(context, call, CallEnding { outcome, reason, status: status.as_u16() });
    let come_back = (tracker.final_status() == FinalStatus::NotRun).then_some(given_up.come_back);
    Rejection { status, reason, come_back }.reply()
}
