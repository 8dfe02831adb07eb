//! What this node takes, sends and answers after it has been told to stop.

use std::pin::pin;

use base::prelude::*;
use futures_util::future::{Either, select};
use hyper::StatusCode;
use serving::{RouteKind, RouteRule, StopWindow};
use web::WebResponse;

use crate::call::Call;
use crate::call_answer::{CallFailure, CallRejection};
use crate::call_log::{RequestOutcome, RequestSummary, log_end};
use crate::context::NodeContext;
use crate::metrics::WithheldLabels;

/// `Retry-After` of a stopping node; short, since the caller can retry at another node.
const STOPPING_RETRY_AFTER: TimeSpan = TimeSpan::millis(20);
/// Longest time for which a waiting call relies on how long calls were expected to take.
const EXPECTATION_AGE: TimeSpan = TimeSpan::millis(100);
/// Reason of a refusal by a stopping node.
const STOPPING: &str = "stopping";
/// Reason of a call that ends since the process does.
const STOPPED: &str = "stopped";
/// Label of refused streams, whose end is not known when they arrive.
const STREAM: &str = "stream";
/// Label of calls that had no runner in time.
const NO_RUNNER_IN_TIME: &str = "no_runner_in_time";

/// Checks whether a call that must end by `deadline` may be taken: while the node stops, only if it can
/// be expected to end before the process does.
///
/// # Errors
/// Returns a rejection that tells the caller to come back at another node at once.
pub fn check_intake(
    context: &NodeContext,
    route: &RouteRule,
    deadline: TimePoint,
) -> Result<(), CallRejection> {
    let Some(window) = context.stop_window.get() else { return Ok(()) };
    let now = context.now();
    let refusal = if route.kind == RouteKind::Stream {
        Some(STREAM)
    } else {
        let left = deadline.since(now);
        let longest = context.open_calls.longest(now, route, |call| Some(call.arrived));
        let expected = context.call_times.borrow().expected(route, longest);
        let expected = expected.map_or(left, |time| time.min(left));
        window.refusal(now, expected).map(serving::StopRefusal::as_str)
    };
    let Some(refusal) = refusal else { return Ok(()) };
    count_refusal(context, refusal);
    Err(CallRejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: STOPPING,
        retry_after: Some(STOPPING_RETRY_AFTER),
    })
}

/// Waits for `finding`, which finds a runner for the call and sends nothing.
///
/// # Errors
/// Returns a failure as soon as the process would end before the runner's answer.
pub async fn unless_too_late<T>(
    context: &NodeContext,
    call: &Call,
    finding: impl Future<Output = T>,
) -> Result<T, CallFailure> {
    let late = wait_until_too_late(context, call);
    match select(pin!(late), pin!(finding)).await {
        Either::Right((found, _)) => Ok(found),
        Either::Left(((), _)) => {
            count_refusal(context, NO_RUNNER_IN_TIME);
            Err(CallFailure { reason: STOPPING, retry_after: STOPPING_RETRY_AFTER })
        }
    }
}

async fn wait_until_too_late(context: &NodeContext, call: &Call) {
    let window = wait_for_window(context).await;
    loop {
        let now = context.now();
        let left = call.deadline.since(now);
        let longest = context.open_calls.longest(now, &call.route, |open| open.sent_at.get());
        let expected = context.work_times.borrow().expected(&call.route, longest);
        let last_begin = window.last_begin(expected.map_or(left, |time| time.min(left)));
        if last_begin <= now {
            return;
        }
        // What is expected may change while the call waits.
        kernel::sleep(last_begin.since(now).min(EXPECTATION_AGE).into()).await;
    }
}

/// Waits for the response to a call, but not beyond the end of the process: what is still under way then
/// gets a response that leaves open whether it has run.
pub async fn unless_stopped(
    context: &NodeContext,
    call: &Call,
    serving: impl Future<Output = WebResponse>,
) -> WebResponse {
    let stopped = async {
        let window = wait_for_window(context).await;
        kernel::sleep(window.answer_end().since(context.now()).into()).await;
    };
    match select(pin!(serving), pin!(stopped)).await {
        Either::Left((response, _)) => response,
        Either::Right(((), _)) => cut_call(context, call),
    }
}

async fn wait_for_window(context: &NodeContext) -> StopWindow {
    loop {
        context.stop.wait().await;
        if let Some(window) = context.stop_window.get() {
            return window;
        }
    }
}

fn cut_call(context: &NodeContext, call: &Call) -> WebResponse {
    let status = StatusCode::BAD_GATEWAY;
    context.metrics.stop_cuts.inc();
    let summary = RequestSummary {
        outcome: RequestOutcome::Unknown,
        reason: STOPPED,
        status: status.as_u16(),
    };
    log_end(context, call, summary);
    CallRejection::new(status, STOPPED).reply()
}

/// Logs and counts the streams that the end of the process cuts. Their connections stay as they are until
/// then: an answer that ends early must not look complete.
pub fn cut_streams(context: &NodeContext) {
    let begun =
        RequestSummary { outcome: RequestOutcome::Interrupted, reason: STOPPED, status: 200 };
    let headless = RequestSummary { outcome: RequestOutcome::Unknown, reason: STOPPED, status: 0 };
    for (streams, summary) in
        [(&context.open_streams, begun), (&context.headless_streams, headless)]
    {
        for call in streams.take() {
            context.metrics.stop_cuts.inc();
            log_end(context, &call, summary);
        }
    }
}

fn count_refusal(context: &NodeContext, reason: &'static str) {
    context.metrics.stop_refusals.get_or_create(&WithheldLabels { reason }).inc();
}

/// Logs that the stop has ended, with what it cost callers.
pub fn log_stop_end(context: &NodeContext, connections: usize) {
    let refused = [
        STREAM,
        NO_RUNNER_IN_TIME,
        serving::StopRefusal::TooLong.as_str(),
        serving::StopRefusal::AddressExpired.as_str(),
    ]
    .map(|reason| context.metrics.stop_refusals.get_or_create(&WithheldLabels { reason }).get());
    tracing::info!(
        event = "stop",
        step = "ended",
        active = context.active_requests.get(),
        connections,
        refused = refused.iter().sum::<u64>(),
        cut = context.metrics.stop_cuts.get(),
    );
}
