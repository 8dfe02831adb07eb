//! What a caller gets of its generation: the head, the tokens, the end.

use std::pin::Pin;
use std::task::{Context, Poll};

use base::prelude::*;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, Stream};
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use kernel::StopSignal;
use relay::{EndCause, RelayEnd};
use serde_json::json;
use web::{SseEvent, WebResponse, json_reply, stream_body};

use crate::context::EntryContext;
use crate::refusal::CallRefusal;

/// Events that may wait for a caller that reads slowly.
const EVENT_CAPACITY: usize = 64;
/// Gap between tokens from which on a stream counts as stalled.
const STALL_GAP: TimeSpan = TimeSpan::millis(48);

/// The answer's head: a response, or a refusal.
pub type CallerHead = Result<WebResponse, CallRefusal>;

/// The writing end of one caller's answer.
pub struct CallerDelivery {
    head: Option<oneshot::Sender<CallerHead>>,
    events: Option<mpsc::Sender<Bytes>>,
    body: Option<EventStream>,
    arrived: TimePoint,
    last_token: Option<TimePoint>,
}

impl CallerDelivery {
    /// A delivery and where its head will arrive. `left` is raised when the caller leaves.
    #[must_use]
    pub fn new(now: TimePoint, left: &StopSignal) -> (Self, HeadWait) {
        let (head, receiver) = oneshot::channel();
        let (events, body) = mpsc::channel(EVENT_CAPACITY);
        let body = EventStream { events: body, guard: LeaveGuard { left: left.clone() } };
        let delivery = Self {
            head: Some(head),
            events: Some(events),
            body: Some(body),
            arrived: now,
            last_token: None,
        };
        let guard = LeaveGuard { left: left.clone() };
        (delivery, HeadWait { receiver, guard: Some(guard) })
    }

    /// Writes one token; the first one also writes the head.
    pub async fn token(
        &mut self,
        context: &EntryContext,
        cursor: String,
        index: TokenIndex,
        text: &str,
    ) {
        self.measure(context);
        self.open();
        let data = json!({ "index": index, "token": text }).to_string();
        self.write(SseEvent::new(Some(cursor), data)).await;
    }

    /// Writes the end of the answer.
    pub async fn end(&mut self, end: RelayEnd) {
        match end.outcome {
            CallOutcome::Done => self.end_whole(end).await,
            _ => self.end_early(&end).await,
        }
    }

    async fn end_whole(&mut self, end: RelayEnd) {
        let Some(tokens) = end.full_answer else {
            self.open();
            return self.write(SseEvent::new(None, "[DONE]".to_owned())).await;
        };
        let text: String = tokens.iter().map(|token| &**token).collect();
        let body = json!({ "outcome": end.outcome, "text": text, "tokens": tokens.len() });
        self.answer(Ok(json_reply(StatusCode::OK, &body)));
    }

    async fn end_early(&mut self, end: &RelayEnd) {
        let refusal = early_refusal(end);
        if self.head.is_some() {
            return self.answer(Err(refusal));
        }
        let data = json!({ "error": {
            "outcome": end.outcome,
            "reason": refusal.reason,
            "message": refusal.message,
            "delivered": end.delivered,
            "retry_after_ms": end.retry_after.map(TimeSpan::as_millis),
        }});
        let event = SseEvent { id: None, event: "error".to_owned(), data: data.to_string() };
        self.write(event).await;
    }

    fn open(&mut self) {
        let Some(body) = self.body.take() else { return };
        let mut response = WebResponse::new(stream_body(body));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        self.answer(Ok(response));
    }

    fn answer(&mut self, head: CallerHead) {
        if let Some(sender) = self.head.take() {
            // A caller that has left is seen by its guard.
            let _ = sender.send(head);
        }
    }

    async fn write(&mut self, event: SseEvent) {
        if let Some(events) = &mut self.events {
            let _ = events.send(event.encode()).await;
        }
    }

    fn measure(&mut self, context: &EntryContext) {
        let now = context.now();
        match self.last_token {
            None => context.counters.time("token.first_us", now.since(self.arrived)),
            Some(last) => {
                let gap = now.since(last);
                context.counters.time("token.gap_us", gap);
                if gap > STALL_GAP {
                    context.counters.add("stall_us", gap.0 - STALL_GAP.0);
                }
            }
        }
        self.last_token = Some(now);
    }
}

fn early_refusal(end: &RelayEnd) -> CallRefusal {
    let (reason, message) = match end.cause {
        EndCause::Refused(reason) => (reason, "no runner can take the call now"),
        EndCause::DeadlinePassed => (RefusalReason::DeadlinePassed, "the deadline has passed"),
        EndCause::TooLarge => (RefusalReason::TableFull, "the answer is too large to be held"),
        EndCause::RunnerLost | EndCause::CallerLeft | EndCause::Complete => {
            (RefusalReason::NoRunner, "the runner was lost")
        }
    };
    let mut refusal = CallRefusal::by_desk(reason, end.retry_after.unwrap_or(TimeSpan::seconds(1)));
    refusal.come_back = end.retry_after;
    refusal.outcome = end.outcome;
    message.clone_into(&mut refusal.message);
    refusal
}

/// Waits for the head; dropped before it, the caller has left.
pub struct HeadWait {
    receiver: oneshot::Receiver<CallerHead>,
    guard: Option<LeaveGuard>,
}

impl HeadWait {
    /// The head of the answer.
    ///
    /// # Errors
    /// The refusal that the answer consists of.
    pub async fn head(mut self) -> CallerHead {
        let head = (&mut self.receiver).await;
        if let Some(guard) = self.guard.take() {
            guard.disarm();
        }
        head.unwrap_or_else(|_| {
            Err(CallRefusal::unknown(RefusalReason::Stopping, "the process is stopping"))
        })
    }
}

/// The events of one answer, as its body reads them.
struct EventStream {
    events: mpsc::Receiver<Bytes>,
    guard: LeaveGuard,
}

impl Stream for EventStream {
    type Item = Bytes;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let polled = Pin::new(&mut self.events).poll_next(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.guard.left = StopSignal::new();
        }
        polled
    }
}

/// Raises the signal when it is dropped.
struct LeaveGuard {
    left: StopSignal,
}

impl LeaveGuard {
    fn disarm(mut self) {
        self.left = StopSignal::new();
    }
}

impl Drop for LeaveGuard {
    fn drop(&mut self) {
        self.left.raise();
    }
}
