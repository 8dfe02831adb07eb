//! Streams: finding a runner that answers, up to the head of its answer.

use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use futures_util::StreamExt;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, TRANSFER_ENCODING};
use kernel::StopSignal;
use platform::copy_reply_headers;
use route::CallEnd;
use serving::{AttemptTrack, RunnerRecord};
use web::{ConnectionCut, WebExchange, WebResponse, stream_body};

use crate::call::Call;
use crate::call_log::log_send;
use crate::context::NodeContext;
use crate::plain_call::{GivenUp, find_runner, give_up, may_repeat, pass_on, take_setback};
use crate::router::{RouteTicket, RouterService};
use crate::runner_send::{read_whole, send_to_runner};
use crate::stream_pump::{StreamPump, StreamSource};

/// Chunks that wait for a slow caller.
const WAITING_CHUNKS: usize = 16;
/// When a caller may come back if no runner took its request.
const REFUSED_COME_BACK: TimeSpan = TimeSpan::millis(300);

/// Raises its signal when the caller's side of a stream is dropped.
struct LeftGuard(StopSignal);

impl Drop for LeftGuard {
    fn drop(&mut self) {
        self.0.raise();
    }
}

/// Serves a stream.
pub async fn run_stream(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: Rc<Call>,
    cut: ConnectionCut,
) -> WebResponse {
    context.budget.borrow_mut().note_request(context.now(), &call.service);
    let mut track = AttemptTrack::new(call.route.kind, call.route.max_attempts);
    let mut tried = Vec::new();
    loop {
        let (ticket, runner) = match find_runner(context, router, &call, &tried).await {
            Ok(found) => found,
            Err(given_up) => return give_up(context, &call, &track, None, given_up),
        };
        log_send(context, &call, &runner.runner, track.sends());
        tried.push(runner.runner.clone());
        let left = call.deadline.since(context.now());
        match send_to_runner(context, &call, &runner, None, left).await {
            Ok(exchange) if is_stream(&exchange) => {
                return start(context, call, cut, ticket, runner, exchange);
            }
            Ok(exchange) => {
                let left = call.deadline.since(context.now());
                match read_whole(exchange, left).await {
                    Ok(answer) => {
                        ticket.end(CallEnd::Finished);
                        return pass_on(context, &call, &answer);
                    }
                    Err(setback) => {
                        track.note(setback.outcome);
                        take_setback(context, router, &call, &runner.runner, &setback);
                        ticket.end(setback.end);
                    }
                }
            }
            Err(setback) => {
                track.note(setback.outcome);
                take_setback(context, router, &call, &runner.runner, &setback);
                ticket.end(setback.end);
            }
        }
        if !may_repeat(context, &call, &track) {
            let given_up = GivenUp { reason: "runners_failed", come_back: REFUSED_COME_BACK };
            return give_up(context, &call, &track, None, given_up);
        }
    }
}

fn is_stream(exchange: &WebExchange) -> bool {
    let kind = exchange.response.headers().get(CONTENT_TYPE);
    let events = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    exchange.response.status().is_success() && events
}

fn start(
    context: &Rc<NodeContext>,
    call: Rc<Call>,
    cut: ConnectionCut,
    ticket: RouteTicket,
    runner: RunnerRecord,
    exchange: WebExchange,
) -> WebResponse {
    let waited = context.now().since(call.arrived);
    context.metrics.first_byte.observe(waited.as_seconds());
    let (sender, receiver) = mpsc::channel(WAITING_CHUNKS);
    let left = StopSignal::new();
    let guard = LeftGuard(left.clone());
    let headers = copy_reply_headers(exchange.response.headers());
    let status = exchange.response.status();
    let source = StreamSource::new(runner, exchange);
    let pump = StreamPump::new(context, call, ticket, source, sender, cut, left);
    kernel::spawn(pump.run()).detach();
    let chunks = receiver.map(move |chunk| {
        let _held = &guard;
        chunk
    });
    let mut response = Response::new(stream_body(chunks));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Whether the end of an answer can be told from a broken connection.
pub fn is_framed(exchange: &WebExchange) -> bool {
    exchange.response.headers().contains_key(TRANSFER_ENCODING)
}
