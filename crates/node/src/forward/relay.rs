//! Relays the response of the node that took a call to the caller.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, SinkExt, select_biased};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::{HeaderMap, StatusCode};
use platform::copy_reply_headers;
use serving::{AttemptTracker, SendOutcome, StreamScanner};
use web::{ConnectionCloser, WebExchange, WebResponse, full_body};

use super::call_forward::{TakenResume, leave_out_node};
use super::forwarded_calls::FORWARD_RESULT;
use crate::call::Call;
use crate::call_answer::{CallFailure, fail_call};
use crate::call_log::{RequestOutcome, RequestSummary, log_end, may_log};
use crate::context::NodeContext;
use crate::metrics::OutcomeLabels;
use crate::reach::wait_node_lost;
use crate::runner_send::read_full_answer;
use crate::streams::{CallerSide, is_event_stream, open_caller_side};

/// Reason of a call that ends since the node that it came through is lost.
const NODE_LOST: &str = "node_lost";

/// `Retry-After` of a forwarded call whose outcome is unknown; not sent to the caller.
const UNKNOWN_RETRY_AFTER: TimeSpan = TimeSpan::millis(300);

/// Returns the response of the other node to the caller.
pub async fn relay_response(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    closer: &ConnectionCloser,
    taken: TakenResume,
) -> WebResponse {
    let TakenResume { node, exchange } = taken;
    let status = exchange.response.status();
    let headers = answer_headers(&exchange);
    let mut response = if is_event_stream(&exchange.response) {
        let waited = context.now().since(call.arrived);
        context.metrics.first_byte_time.observe(waited.as_seconds());
        let (caller, body) = open_caller_side(closer.clone());
        let taken = TakenResume { node, exchange };
        let relay = relay_stream(Rc::clone(context), Rc::clone(call), taken, caller);
        kernel::spawn(relay).detach();
        WebResponse::new(body)
    } else {
        let left = call.deadline.since(context.now());
        let Ok(answer) = read_full_answer(exchange, left).await else {
            return fail_unknown(context, call);
        };
        log_relayed_end(context, call, status);
        WebResponse::new(full_body(answer.into_body()))
    };
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The headers of another node's response that are those of the answer.
#[must_use]
pub fn answer_headers(exchange: &WebExchange) -> HeaderMap {
    let mut headers = copy_reply_headers(exchange.response.headers());
    headers.remove(FORWARD_RESULT);
    headers
}

fn log_relayed_end(context: &NodeContext, call: &Call, status: StatusCode) {
    let (outcome, reason) = match status {
        StatusCode::SERVICE_UNAVAILABLE => (RequestOutcome::NotRun, "forwarded"),
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            (RequestOutcome::Unknown, "forwarded")
        }
        _ => (RequestOutcome::Answered, ""),
    };
    log_end(context, call, RequestSummary { outcome, reason, status: status.as_u16() });
}

/// Relays the events of a stream until it has ended; closes the caller's connection if the
/// stream has broken off. It is not known where its run is, so that a stream whose node is lost goes on
/// nowhere; its caller is to learn that soon.
async fn relay_stream(
    context: Rc<NodeContext>,
    call: Rc<Call>,
    taken: TakenResume,
    mut caller: CallerSide,
) {
    let _active = context.track_request();
    let open = context.open_streams.open(&call);
    let TakenResume { node, exchange } = taken;
    let WebExchange { response, connection } = exchange;
    let mut body = response.into_body();
    let mut scanner = StreamScanner::default();
    let mut charge = body.open_charge();
    let (outcome, reason) = loop {
        let frame = {
            let left = call.deadline.since(context.now());
            let mut deadline = pin!(kernel::sleep(left.into()).fuse());
            let mut disconnected = pin!(caller.disconnected.wait().fuse());
            let mut frame = pin!(body.frame().fuse());
            let mut lost = pin!(wait_node_lost(&context, &node).fuse());
            select_biased! {
                () = disconnected => break (RequestOutcome::CallerDisconnected, ""),
                frame = frame => frame,
                () = lost => {
                    leave_silent_node(&context, &call, &node, scanner.event_count());
                    break (RequestOutcome::Interrupted, NODE_LOST);
                }
                () = deadline => break (RequestOutcome::Interrupted, "deadline_passed"),
            }
        };
        let bytes = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            None if !scanner.has_partial_event() => break (RequestOutcome::Streamed, ""),
            Some(Err(_)) | None => break (RequestOutcome::Interrupted, NODE_LOST),
        };
        let Ok(events) = scanner.push(&bytes) else {
            break (RequestOutcome::Interrupted, "stream_malformed");
        };
        if !charge.keep("event", scanner.partial_bytes()) {
            break (RequestOutcome::Interrupted, "memory_full");
        }
        if !events.is_empty() && !send_events(&mut caller, Bytes::from(events)).await {
            break (RequestOutcome::CallerDisconnected, "");
        }
    };
    open.end();
    log_end(&context, &call, RequestSummary { outcome, reason, status: 200 });
    drop(connection);
    if outcome == RequestOutcome::Interrupted {
        // Abort the connection before the body ends: the answer would look complete.
        caller.closer.close();
        caller.disconnected.wait().await;
    }
}

/// Logs and counts a stream that ends since its node is silent, and offers that node nothing for a moment.
fn leave_silent_node(context: &NodeContext, call: &Call, node: &VmId, events: u64) {
    leave_out_node(context, call, node);
    let labels = OutcomeLabels { outcome: "node_silent", reason: "" };
    context.metrics.moves.get_or_create(&labels).inc();
    if may_log(context) {
        let (request, is_lost) = (&call.attempt, false);
        tracing::info!(event = "relay_lost", %request, %node, is_lost, decision = "BreakOff", events);
    }
}

/// Passes events on to the caller; `false` if it has disconnected.
async fn send_events(caller: &mut CallerSide, events: Bytes) -> bool {
    let mut disconnected = pin!(caller.disconnected.wait().fuse());
    let mut sent = pin!(caller.sender.send(events).fuse());
    select_biased! {
        sent = sent => sent.is_ok(),
        () = disconnected => false,
    }
}

/// The response to a call of which it is unknown whether it ran at the other node.
pub(super) fn fail_unknown(context: &NodeContext, call: &Call) -> WebResponse {
    let mut tracker = AttemptTracker::new(call.route.kind, call.route.max_attempts);
    tracker.record_send(SendOutcome::Unknown);
    let failure = CallFailure { reason: NODE_LOST, retry_after: UNKNOWN_RETRY_AFTER };
    fail_call(context, call, &tracker, None, failure)
}
