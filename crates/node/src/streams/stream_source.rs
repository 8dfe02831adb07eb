//! The two ends of a relayed stream: the source runner and the caller.

use std::collections::VecDeque;
use std::future::pending;

use base::prelude::*;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use kernel::StopSignal;
use life::{BodyEnd, BodyFraming, EndMeaning, OrderOrigin, judge_end};
use serving::{RunnerLoss, RunnerRecord, StreamScanner};
use web::{
    ConnectionCloser, ConnectionTask, ReadCharge, ReplyBody, WebBody, WebExchange, stream_body,
};

use crate::call::RunPlace;
use crate::runner_send::{SendFailure, SendPlan};

/// What may be left of a run whose source is read no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceRest {
    /// Nothing, as far as is known, or it is read.
    Nothing,
    /// The run: its connection was closed before its end.
    Run,
    /// Nothing if its body has ended whole; or what an order to stop it has left.
    MaybeMemory,
}

/// The runner that a stream is read from.
pub struct StreamSource {
    /// The runner that works on the stream.
    pub runner: RunnerRecord,
    /// The runner that keeps a copy of the run's memory.
    pub backup: Option<RunnerRecord>,
    /// Data that was read before the stream was passed on.
    peeked: VecDeque<Bytes>,
    /// Body of the runner's answer.
    pub body: ReplyBody,
    /// For what is kept of the body until a whole event has come.
    charge: ReadCharge,
    /// The connection to the runner; `None` once closed.
    pub connection: Option<ConnectionTask>,
    /// What shows the end of the body.
    framing: BodyFraming,
    /// Whether the source was closed and is no longer read.
    pub ended: bool,
    /// What may be left of its run.
    pub rest: SourceRest,
    /// Whether the stream comes through another node, which looks after its runner.
    pub is_relayed: bool,
    /// That node.
    pub relay: Option<VmId>,
    /// When the first events arrived from this runner.
    pub first_events: Option<TimePoint>,
    /// When the stream is to switch to another runner.
    pub switch_at: Option<TimePoint>,
}

impl StreamSource {
    /// Creates the source of a stream whose response head has arrived.
    #[must_use]
    pub fn new(plan: &SendPlan, exchange: WebExchange) -> Self {
        let WebExchange { response, connection } = exchange;
        let headers = response.headers();
        let is_framed =
            headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH);
        let body = response.into_body();
        Self {
            runner: plan.runner.clone(),
            backup: plan.backup.clone(),
            peeked: VecDeque::new(),
            charge: body.open_charge(),
            body,
            connection: Some(connection),
            framing: if is_framed { BodyFraming::Framed } else { BodyFraming::ByConnection },
            ended: false,
            rest: SourceRest::Nothing,
            is_relayed: false,
            relay: None,
            first_events: None,
            switch_at: None,
        }
    }

    /// Creates the source of a stream that `node` has taken over, at the runner of `plan`.
    #[must_use]
    pub fn relayed(plan: &SendPlan, exchange: WebExchange, node: VmId) -> Self {
        let framing = BodyFraming::Relayed;
        Self { is_relayed: true, relay: Some(node), framing, ..Self::new(plan, exchange) }
    }

    /// Where the run is.
    #[must_use]
    pub fn run_place(&self) -> RunPlace {
        if self.is_relayed {
            RunPlace::OtherNode(self.relay.clone())
        } else {
            RunPlace::Runner(self.runner.runner.clone())
        }
    }

    /// The end of the body, which has come now, `is_in_event` or not.
    #[must_use]
    pub fn body_end(&self, is_in_event: bool, stopped_by: Option<OrderOrigin>) -> BodyEnd {
        let has_event = self.first_events.is_some();
        BodyEnd { framing: self.framing, has_event, is_in_event, stopped_by }
    }

    /// Closes the connection and stops reading from it.
    pub fn close(&mut self) {
        self.connection = None;
        self.ended = true;
    }

    /// Next data of the body while it is read; waits forever once closed.
    pub async fn next_frame(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        if self.ended {
            return pending().await;
        }
        match self.peeked.pop_front() {
            Some(bytes) => Some(Ok(bytes)),
            None => self.next_data().await,
        }
    }

    /// Charges `bytes` that are kept until a whole event has come; `false` without room for them.
    #[must_use]
    pub fn hold(&mut self, bytes: usize) -> bool {
        self.charge.keep("event", bytes)
    }

    /// Keeps `bytes`, which were read, as the next data of the body.
    pub fn keep_frame(&mut self, bytes: Bytes) {
        self.peeked.push_front(bytes);
    }

    /// Waits at most `limit` for the first whole event, and keeps what is read until then. A body
    /// that ends before is whole if it has a length or chunks.
    ///
    /// # Errors
    /// [`SendFailure`] if the body breaks off before its first event, or if none comes in time.
    pub async fn read_first_event(&mut self, limit: TimeSpan) -> Result<(), SendFailure> {
        let connection_ended = RunnerLoss::ConnectionEnded;
        let mut scanner = StreamScanner::default();
        let read = async {
            while scanner.event_count() == 0 {
                let Some(data) = self.next_data().await else {
                    // A body without events is that of a stream only if it is framed, whoever has ordered what.
                    let end = self.body_end(scanner.has_partial_event(), None);
                    let is_whole = judge_end(&end) == EndMeaning::Whole;
                    let loss =
                        || SendFailure::stream_lost("the connection ended", connection_ended);
                    return is_whole.then_some(()).ok_or_else(loss);
                };
                let bytes = data.map_err(|error| {
                    SendFailure::stream_lost(&error.to_string(), connection_ended)
                })?;
                // What is malformed is left to the relay of the stream.
                let is_malformed = scanner.push(&bytes).is_err();
                if !self.hold(scanner.partial_bytes() + bytes.len()) {
                    let reason = "no memory left for the first event";
                    return Err(SendFailure::stream_lost(reason, RunnerLoss::NoAnswer));
                }
                self.peeked.push_back(bytes);
                if is_malformed {
                    break;
                }
            }
            Ok(())
        };
        timeout(limit.into(), read).await.unwrap_or_else(|_| {
            let reason = "timed out before the first event";
            Err(SendFailure::stream_lost(reason, RunnerLoss::NoAnswer))
        })
    }

    /// Next data of the body; `None` at its end.
    async fn next_data(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Err(error) => return Some(Err(error)),
            }
        }
    }
}

/// Number of chunks buffered for a slow caller.
const CHUNK_BUFFER: usize = 16;

/// Raises its signal when the response body is dropped, as on a caller's disconnect.
struct DisconnectGuard(StopSignal);

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.0.raise();
    }
}

/// Whether a response is a stream of events.
#[must_use]
pub fn is_event_stream<B>(response: &Response<B>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    let is_events = content_type
        .is_some_and(|content_type| content_type.as_bytes().starts_with(b"text/event-stream"));
    response.status().is_success() && is_events
}

/// Opens the caller's side of a stream: what feeds it, and the body that is fed.
#[must_use]
pub fn open_caller_side(closer: ConnectionCloser) -> (CallerSide, WebBody) {
    let (sender, receiver) = mpsc::channel(CHUNK_BUFFER);
    let disconnected = StopSignal::new();
    let guard = DisconnectGuard(disconnected.clone());
    let chunks = receiver.map(move |chunk| {
        // Moves the guard into the body, so that dropping the body drops it.
        let _guard = &guard;
        chunk
    });
    (CallerSide { sender, closer, disconnected }, stream_body(chunks))
}

/// The caller's side of a stream.
pub struct CallerSide {
    /// Channel of whole events to the caller.
    pub sender: mpsc::Sender<Bytes>,
    /// Aborts the caller's connection.
    pub closer: ConnectionCloser,
    /// Raised when the caller has disconnected.
    pub disconnected: StopSignal,
}

/// Arrival times of events, for the log.
#[derive(Debug, Default)]
pub struct StreamPace {
    /// When the first event arrived.
    pub first: Option<TimePoint>,
    /// Longest time between two arrivals.
    pub longest_gap: TimeSpan,
    last: TimePoint,
}

impl StreamPace {
    /// Records the arrival of events.
    pub fn record(&mut self, now: TimePoint) {
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.last));
        }
        self.first.get_or_insert(now);
        self.last = now;
    }
}
