//! Plain calls: a runner's answer is read completely before any of it goes to the caller.

use std::rc::Rc;

use base::prelude::*;
use hyper::Response;
use hyper::body::Bytes;
use route::CallEnd;
use serving::{AttemptTracker, RouteKind, RunnerRecord, SendOutcome};
use web::{ConnectionCloser, WebResponse};

use crate::call::Call;
use crate::call_answer::{fail_call, forward_answer};
use crate::call_attempt::{
    RunnerSearch, count_request, explain_failure, may_retry, record_send, record_send_failure,
    withheld_reason,
};
use crate::call_log::log_send;
use crate::context::NodeContext;
use crate::crash_watch::record_full_answer;
use crate::forward::try_forward;
use crate::hedged_call::{RaceEnd, SendEnd, may_hedge, race_plain};
use crate::router::RouterService;
use crate::runner_send::{SendFailure, SendPlan, read_full_answer, send_to_runner};

/// Timeout of one attempt, as a multiple of the route's target latency, while another runner
/// may still be tried.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 2;
/// `Retry-After` if no runner accepted the request.
const REFUSED_RETRY_AFTER: TimeSpan = TimeSpan::millis(150);

/// Runs a plain call: tries runners until one answers or no further try is allowed.
pub async fn run_plain(
    context: &Rc<NodeContext>,
    router: &RouterService,
    call: &Rc<Call>,
    closer: ConnectionCloser,
) -> WebResponse {
    let mut is_counted = false;
    let mut tracker = AttemptTracker::for_route(&call.route);
    let mut tried = Vec::new();
    let mut search = RunnerSearch::default();
    let mut error_answer: Option<Response<Bytes>> = None;
    loop {
        if let Some(response) = try_forward(context, call, &closer).await {
            return response;
        }
        if !std::mem::replace(&mut is_counted, true) {
            count_request(context, &call.service);
        }
        let found = search.find_runner_here(context, router, call, &tried).await;
        let Some(found) = found else { continue };
        let (mut ticket, mut runner) = match found {
            Ok(found) => found,
            Err(failure) => return fail_call(context, call, &tracker, error_answer, failure),
        };
        let load = ticket.runner_summary(&runner.runner);
        log_send(context, call, &runner.runner, None, load.as_ref(), tracker.sends());
        let answer = if may_hedge(context, call, &tracker) {
            let first = (ticket, SendPlan::first(runner, None));
            let limit = attempt_limit(context, call, &tracker);
            let RaceEnd { last, failed, .. } =
                race_plain(context, router, call, &tracker, first, limit).await;
            if let Some(SendEnd { ticket, plan, result }) = failed {
                tried.push(plan.runner.runner.clone());
                match result {
                    Ok(answer) => {
                        ticket.finish(CallEnd::Finished);
                        record_full_answer(context, call, &answer);
                        record_send(call, &mut tracker, SendOutcome::Failed);
                        error_answer = Some(answer);
                    }
                    Err(failure) => {
                        record_send_failure(context, router, call, &plan.runner, &failure);
                        record_send(call, &mut tracker, failure.outcome);
                        ticket.finish(failure.end);
                    }
                }
            }
            (ticket, runner) = (last.ticket, last.plan.runner);
            last.result
        } else {
            try_runner(context, call, &tracker, &runner).await
        };
        if let Some(reason) = withheld_reason(&answer) {
            search.unassign(context, router, (ticket, &runner.runner), reason).await;
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
                record_send(call, &mut tracker, SendOutcome::Failed);
                error_answer = Some(answer);
            }
            Err(failure) => {
                record_send_failure(context, router, call, &runner, &failure);
                record_send(call, &mut tracker, failure.outcome);
                ticket.finish(failure.end);
            }
        }
        if !may_retry(context, call, &tracker) {
            let failure = explain_failure(router, call, REFUSED_RETRY_AFTER);
            return fail_call(context, call, &tracker, error_answer, failure);
        }
    }
}

/// Sends the call to one runner and reads its whole answer.
async fn try_runner(
    context: &NodeContext,
    call: &Call,
    tracker: &AttemptTracker,
    runner: &RunnerRecord,
) -> Result<Response<Bytes>, SendFailure> {
    let limit = attempt_limit(context, call, tracker);
    let exchange =
        send_to_runner(context, call, &SendPlan::first(runner.clone(), None), limit).await?;
    let left = call.deadline.since(context.now());
    read_full_answer(exchange, left).await
}

/// Time for the head of the answer to the next send.
fn attempt_limit(context: &NodeContext, call: &Call, tracker: &AttemptTracker) -> TimeSpan {
    let left = call.deadline.since(context.now());
    let can_retry =
        call.route.kind == RouteKind::Idempotent && tracker.sends() + 1 < call.route.max_attempts;
    let attempt_timeout =
        TimeSpan(call.route.target_latency.0.saturating_mul(ATTEMPT_TIMEOUT_FACTOR));
    if can_retry { attempt_timeout.min(left) } else { left }
}
