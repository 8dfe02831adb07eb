//! Plain calls: a runner's answer is read completely before any of it goes to the caller.

use std::rc::Rc;

use base::prelude::*;
use hyper::Response;
use hyper::body::Bytes;
use route::CallEnd;
use serving::{AttemptTracker, RouteKind, SendOutcome};
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
use crate::forward::{ForwardEnd, relay_response, try_forward};
use crate::hedged_call::{RaceEnd, SendEnd};
use crate::plain_sends::PlainSends;
use crate::router::RouterService;

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
        match try_forward(context, call).await {
            Some(ForwardEnd::Taken(taken)) => {
                return relay_response(context, call, &closer, taken).await;
            }
            Some(ForwardEnd::Failed(response)) => return response,
            None => (),
        }
        if !std::mem::replace(&mut is_counted, true) {
            count_request(context, &call.service);
        }
        let found = search.find_runner_here(context, router, call, &tried).await;
        let Some(found) = found else { continue };
        let (ticket, runner) = match found {
            Ok(found) => found,
            Err(failure) => return fail_call(context, call, &tracker, error_answer, failure),
        };
        let load = ticket.runner_summary(&runner.runner);
        log_send(context, call, &runner.runner, None, load.as_ref(), tracker.sends());
        let mut sends = PlainSends::new(context, router, call, &tracker, (ticket, runner));
        let mut is_withheld = false;
        while let Some(RaceEnd { last, failed, .. }) = sends.next(&tracker, &tried).await {
            for SendEnd { ticket, plan, result } in failed.into_iter().chain([last]) {
                if let Some(reason) = withheld_reason(&result) {
                    is_withheld = sends.is_empty();
                    if is_withheld {
                        let assigned = (ticket, &plan.runner.runner);
                        search.unassign(context, router, assigned, reason).await;
                    } else {
                        ticket.finish(CallEnd::Cancelled);
                    }
                    continue;
                }
                tried.push(plan.runner.runner.clone());
                match result {
                    Ok(answer) => {
                        ticket.finish(CallEnd::Finished);
                        record_full_answer(context, call, &answer);
                        let is_repeatable = call.route.kind == RouteKind::Idempotent;
                        if !answer.status().is_server_error() || !is_repeatable {
                            sends.give_up();
                            return forward_answer(context, call, &answer);
                        }
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
        }
        drop(sends);
        if is_withheld {
            continue;
        }
        if !may_retry(context, call, &tracker) {
            let failure = explain_failure(router, call, REFUSED_RETRY_AFTER);
            return fail_call(context, call, &tracker, error_answer, failure);
        }
    }
}
