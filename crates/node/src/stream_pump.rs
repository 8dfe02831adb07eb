//! The task of one stream: it takes events from a runner and gives them to the caller, and
//! changes the runner when that one leaves or is lost.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;

use futures_util::{FutureExt, SinkExt, select_biased};
use hyper::body::Bytes;
use route::CallEnd;
use serving::StreamScanner;

use crate::call::Call;
use crate::call_log::{RequestOutcome, RequestSummary, log_end, log_send_failure};
use crate::context::{NodeContext, RequestGuard};
use crate::router::RouteTicket;
use crate::stream_copy::RunCopy;
use crate::stream_handover::{MAX_SWITCH_TRIES, PendingMove};
use crate::stream_source::{CallerSide, StreamPace, StreamSource};

/// What the task has to act on.
enum PumpInput {
    CallerDisconnected,
    Deadline,
    RunnerLeaving,
    SwitchDue,
    Moved(platform::Result<RunCopy>),
    Frame(Option<Result<Bytes, hyper::Error>>),
}

/// How the task goes on.
pub(crate) enum PumpStep {
    Continue,
    /// How the stream ended, and why.
    End(RequestOutcome, &'static str),
}

/// The state of the task.
pub struct StreamPump {
    pub(crate) context: Rc<NodeContext>,
    pub(crate) call: Rc<Call>,
    pub(crate) ticket: RouteTicket,
    pub(crate) source: StreamSource,
    pub(crate) scanner: StreamScanner,
    pub(crate) caller: CallerSide,
    pub(crate) pending_move: Option<PendingMove>,
    /// Changes of the runner.
    pub(crate) changes: u32,
    /// Tries of the next change.
    pub(crate) tries: u32,
    pace: StreamPace,
    _active: RequestGuard,
}

impl StreamPump {
    /// A task for a stream whose head has come from `source`.
    #[must_use]
    pub fn new(
        context: &Rc<NodeContext>,
        call: Rc<Call>,
        ticket: RouteTicket,
        source: StreamSource,
        caller: CallerSide,
    ) -> Self {
        Self {
            context: Rc::clone(context),
            call,
            ticket,
            source,
            scanner: StreamScanner::default(),
            caller,
            pending_move: None,
            changes: 0,
            tries: 0,
            pace: StreamPace::default(),
            _active: context.track_request(),
        }
    }

    /// Runs until the stream has ended.
    pub async fn run(mut self) {
        loop {
            let step = match self.next_input().await {
                PumpInput::CallerDisconnected => {
                    PumpStep::End(RequestOutcome::CallerDisconnected, "")
                }
                PumpInput::Deadline => {
                    PumpStep::End(RequestOutcome::Interrupted, "deadline_passed")
                }
                PumpInput::RunnerLeaving => self.handle_leaving_runner(),
                PumpInput::SwitchDue => self.leave_source().await,
                PumpInput::Moved(outcome) => self.finish_move(outcome).await,
                PumpInput::Frame(frame) => self.handle_frame(frame).await,
            };
            if let PumpStep::End(outcome, reason) = step {
                self.finish(outcome, reason).await;
                return;
            }
        }
    }

    async fn next_input(&mut self) -> PumpInput {
        let now = self.context.now();
        let may_leave = self.pending_move.is_none()
            && self.source.switch_at.is_none()
            && self.tries < MAX_SWITCH_TRIES
            && (self.call.supports_moves || self.source.backup.is_some());
        let switch_at = self.source.switch_at.filter(|_| self.pending_move.is_none());
        let leaving = self.ticket.leaving();
        let source = &mut self.source;
        let moving = &mut self.pending_move;
        let frame = async { if source.ended { pending().await } else { source.next_data().await } };
        let moved = async {
            match moving {
                Some(moving) => (&mut moving.future).await,
                None => pending().await,
            }
        };
        let leaves = async { if may_leave { leaving.wait().await } else { pending().await } };
        let leave = async {
            match switch_at {
                Some(at) => kernel::sleep(at.since(now).into()).await,
                None => pending().await,
            }
        };
        let deadline = kernel::sleep(self.call.deadline.since(now).into());
        let (mut frame, mut moved) = (pin!(frame.fuse()), pin!(moved.fuse()));
        let (mut leaves, mut leave) = (pin!(leaves.fuse()), pin!(leave.fuse()));
        let mut deadline = pin!(deadline.fuse());
        let mut left = pin!(self.caller.disconnected.wait().fuse());
        select_biased! {
            () = left => PumpInput::CallerDisconnected,
            moved = moved => PumpInput::Moved(moved),
            () = leave => PumpInput::SwitchDue,
            () = leaves => PumpInput::RunnerLeaving,
            frame = frame => PumpInput::Frame(frame),
            () = deadline => PumpInput::Deadline,
        }
    }

    async fn handle_frame(&mut self, frame: Option<Result<Bytes, hyper::Error>>) -> PumpStep {
        match frame {
            Some(Ok(bytes)) => self.forward_events(&bytes).await,
            Some(Err(error)) => self.handle_source_loss(&error.to_string()).await,
            None => {
                if self.scanner.has_partial_event() {
                    self.handle_source_loss("the connection ended").await
                } else {
                    PumpStep::End(RequestOutcome::Streamed, "")
                }
            }
        }
    }

    /// Passes the whole events among `bytes` on.
    pub(crate) async fn forward_events(&mut self, bytes: &[u8]) -> PumpStep {
        let whole = match self.scanner.push(bytes) {
            Ok(whole) => whole,
            Err(error) => {
                self.log_send_failure(&error.to_string());
                return PumpStep::End(RequestOutcome::Interrupted, "stream_malformed");
            }
        };
        if whole.is_empty() {
            return PumpStep::Continue;
        }
        let now = self.context.now();
        self.pace.record(now);
        self.source.first_events.get_or_insert(now);
        let event_tokens = u64::from(self.call.tokens_per_event.unwrap_or(1));
        let produced = u32::try_from(self.scanner.event_count() * event_tokens).unwrap_or(u32::MAX);
        self.ticket.record_progress(self.call.head.prompt_tokens, produced);
        let mut sent = pin!(self.caller.sender.send(Bytes::from(whole)).fuse());
        let mut left = pin!(self.caller.disconnected.wait().fuse());
        select_biased! {
            sent = sent => match sent {
                Ok(()) => PumpStep::Continue,
                Err(_) => PumpStep::End(RequestOutcome::CallerDisconnected, ""),
            },
            () = left => PumpStep::End(RequestOutcome::CallerDisconnected, ""),
        }
    }

    /// Notes what went wrong at the present runner.
    pub(crate) fn log_send_failure(&self, reason: &str) {
        log_send_failure(&self.context, &self.call, &self.source.runner.runner, reason);
    }

    async fn finish(self, outcome: RequestOutcome, reason: &'static str) {
        let end = match outcome {
            RequestOutcome::Streamed => CallEnd::Finished,
            RequestOutcome::CallerDisconnected => CallEnd::Cancelled,
            _ => CallEnd::Failed,
        };
        let first = self.pace.first.unwrap_or(self.context.now());
        tracing::info!(
            event = "stream_pace",
            request = %self.call.attempt,
            events = self.scanner.event_count(),
            first_ms = first.since(self.call.arrived).as_millis(),
            longest_gap_ms = self.pace.longest_gap.as_millis(),
            changes = self.changes,
        );
        log_end(&self.context, &self.call, RequestSummary { outcome, reason, status: 200 });
        self.ticket.finish(end);
        drop(self.source.connection);
        if end == CallEnd::Failed {
            // The body must not end before its connection does: it would look whole.
            self.caller.cut.raise();
            self.caller.disconnected.wait().await;
        }
    }
}
