//! The task that relays a stream: forwards events from a runner to the caller, and switches
//! to another runner when the current one leaves or is lost.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, SinkExt, select_biased};
use hyper::body::Bytes;
use life::{FreeFacts, may_free_memory};
use route::CallEnd;
use serving::StreamScanner;

use super::stopped_places::StoppedPlaces;
use super::stream_copy::RunCopy;
use super::stream_move::{MAX_SWITCH_TRIES, PendingMove};
use super::stream_relay::NodeQuestion;
use super::stream_resume::StreamAttempts;
use super::stream_silence::{CheckFuture, SourceActivity, SourceCheck};
use super::stream_source::{CallerSide, SourceRest, StreamPace, StreamSource};
use crate::call::Call;
use crate::call_log::{RequestOutcome, RequestSummary, format_parts, log_end, log_send_failure};
use crate::context::{NodeContext, RequestGuard};
use crate::crash_watch::{PROOF_SPAN, record_answer};
use crate::open_calls::OpenCall;
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::run_end_watch::watch_closed_run;

/// Time for which a caller has to hold up a stream for the next pause not to count as its runner's.
const SLOW_CALLER_SPAN: TimeSpan = TimeSpan::millis(2);

/// Inputs that the task reacts to.
enum PumpInput {
    /// The caller closed the connection.
    CallerDisconnected,
    /// The call's deadline has passed.
    Deadline,
    /// The runner has announced that it leaves.
    RunnerLeaving,
    /// The time to switch to another runner has come.
    SwitchDue,
    /// Nothing has come from the runner for some time.
    SourceSilent,
    /// It is known who reaches the runners of a silent stream.
    SourceChecked(SourceCheck),
    /// Whether the node that a silent stream comes through has answered.
    NodeAsked(bool),
    /// Copying the run's memory to another runner has ended.
    Moved(platform::Result<RunCopy>),
    /// An order to stop the run was answered after the source was found to be cut off.
    OrderAnswered(platform::Result<RunCopy>),
    /// Data of the stream, an error, or the end of the body.
    Frame(Option<Result<Bytes, hyper::Error>>),
    /// The source has ended, and nothing that is under way leads to another one.
    SourceGone,
}

/// Whether the task continues after an input.
pub(crate) enum PumpStep {
    Continue,
    /// The stream has ended with this outcome and reason.
    End(RequestOutcome, &'static str),
}

/// A stream whose response head has arrived.
pub struct StreamParts {
    /// The request.
    pub call: Rc<Call>,
    /// Its place at the runner.
    pub ticket: RouteTicket,
    /// The runner's answer.
    pub source: StreamSource,
    /// Its earlier sends.
    pub attempts: StreamAttempts,
    /// Id of the last event that the caller has; `None` if it has none.
    pub resumed_after: Option<u64>,
}

/// Relays one stream from its runner to its caller.
pub struct StreamPump {
    pub(crate) context: Rc<NodeContext>,
    pub(crate) router: Rc<RouterService>,
    pub(crate) call: Rc<Call>,
    pub(crate) ticket: RouteTicket,
    /// Sends that failed; the current source is not among them.
    pub(crate) attempts: StreamAttempts,
    pub(crate) source: StreamSource,
    pub(crate) scanner: StreamScanner,
    pub(crate) caller: CallerSide,
    pub(crate) pending_move: Option<PendingMove>,
    /// Number of runner changes so far.
    pub(crate) changes: u32,
    /// Number of tries of the next runner change.
    pub(crate) tries: u32,
    /// Whether the answer shows that the prompt does not crash runners.
    pub(crate) is_prompt_proven: bool,
    pub(crate) activity: SourceActivity,
    /// When another node may be asked again to move the run.
    pub(crate) next_move: TimePoint,
    /// Whether the stream stays at its runner although that leaves, since its run cannot be ended there.
    pub(crate) stays: bool,
    /// When this node learned that the runner of the stream leaves.
    pub(crate) leaving_since: Option<TimePoint>,
    /// When the run last returned to the runner of the stream, which had stopped it.
    pub(crate) returned_at: Option<TimePoint>,
    /// The check of a silent source that is in progress.
    pub(crate) pending_check: Option<CheckFuture>,
    /// The question to the node that a silent stream comes through.
    pub(crate) pending_question: Option<NodeQuestion>,
    /// What else is left of a run that was stopped, until its next place has delivered an event.
    pub(crate) left_places: Option<Box<StoppedPlaces>>,
    pace: StreamPace,
    open: OpenCall,
    _active: RequestGuard,
}

impl StreamPump {
    /// Creates the task of a stream.
    #[must_use]
    pub fn new(
        context: &Rc<NodeContext>,
        router: &Rc<RouterService>,
        parts: StreamParts,
        caller: CallerSide,
    ) -> Self {
        let StreamParts { call, ticket, source, attempts, resumed_after } = parts;
        call.run_place.replace(source.run_place());
        let open = context.open_streams.open(&call);
        Self {
            context: Rc::clone(context),
            router: Rc::clone(router),
            call,
            ticket,
            attempts,
            source,
            scanner: StreamScanner::after(resumed_after),
            caller,
            pending_move: None,
            changes: 0,
            tries: 0,
            is_prompt_proven: false,
            activity: SourceActivity::new(context.now()),
            next_move: context.now(),
            stays: false,
            leaving_since: None,
            returned_at: None,
            pending_check: None,
            pending_question: None,
            left_places: None,
            pace: StreamPace::default(),
            open,
            _active: context.track_request(),
        }
    }

    /// Relays the stream until it has ended.
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
                PumpInput::SourceSilent if self.source.is_relayed => self.ask_relay(),
                PumpInput::NodeAsked(answers) => self.follow_relay(answers).await,
                PumpInput::SourceSilent => self.handle_silence().await,
                PumpInput::SourceChecked(check) => self.finish_check(check).await,
                PumpInput::Moved(outcome) => self.finish_move(outcome).await,
                PumpInput::OrderAnswered(answer) => self.follow_late_order(answer).await,
                PumpInput::Frame(frame) => self.handle_frame(frame).await,
                PumpInput::SourceGone => self.replace_ended_source().await,
            };
            if let PumpStep::End(outcome, reason) = step {
                self.finish(outcome, reason).await;
                return;
            }
        }
    }

    /// Waits for the next input. The order of the branches is their priority.
    async fn next_input(&mut self) -> PumpInput {
        if self.is_source_gone() {
            return PumpInput::SourceGone;
        }
        let now = self.context.now();
        let may_switch = self.pending_move.is_none()
            && self.source.switch_at.is_none()
            && self.tries < MAX_SWITCH_TRIES
            && !self.source.is_relayed
            && !self.stays
            && (self.call.supports_moves || self.source.backup.is_some());
        let switch_at = self.source.switch_at.filter(|_| self.pending_move.is_none());
        let leaving = self.ticket.leaving();
        let silence_due = self.silence_due().or_else(|| self.relay_due());
        let source = &mut self.source;
        let pending_move = &mut self.pending_move;
        let pending_check = &mut self.pending_check;
        let pending_question = &mut self.pending_question;
        let frame = source.next_frame();
        let (context, left_places) = (&self.context, &mut self.left_places);
        let ordered = async {
            match left_places {
                Some(places) => places.next_answer(context).await,
                None => pending().await,
            }
        };
        let moved = async {
            match pending_move {
                Some(pending) => (&mut pending.future).await,
                None => pending().await,
            }
        };
        let checked = async {
            match pending_check {
                Some(check) => check.await,
                None => pending().await,
            }
        };
        let asked = async {
            match pending_question {
                Some(question) => question.await,
                None => pending().await,
            }
        };
        let runner_leaving =
            async { if may_switch { leaving.wait().await } else { pending().await } };
        let switch_due = async {
            match switch_at {
                Some(at) => kernel::sleep(at.since(now).into()).await,
                None => pending().await,
            }
        };
        let silent = async {
            match silence_due {
                Some(at) => kernel::sleep(at.since(now).into()).await,
                None => pending().await,
            }
        };
        let deadline = kernel::sleep(self.call.deadline.since(now).into());
        let (mut frame, mut moved) = (pin!(frame.fuse()), pin!(moved.fuse()));
        let (mut runner_leaving, mut switch_due) =
            (pin!(runner_leaving.fuse()), pin!(switch_due.fuse()));
        let (mut checked, mut asked) = (pin!(checked.fuse()), pin!(asked.fuse()));
        let mut ordered = pin!(ordered.fuse());
        let (mut silent, mut deadline) = (pin!(silent.fuse()), pin!(deadline.fuse()));
        let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
        select_biased! {
            () = disconnected => PumpInput::CallerDisconnected,
            moved = moved => PumpInput::Moved(moved),
            answer = ordered => PumpInput::OrderAnswered(answer),
            () = switch_due => PumpInput::SwitchDue,
            () = runner_leaving => PumpInput::RunnerLeaving,
            frame = frame => PumpInput::Frame(frame),
            check = checked => PumpInput::SourceChecked(check),
            answers = asked => PumpInput::NodeAsked(answers),
            () = silent => PumpInput::SourceSilent,
            () = deadline => PumpInput::Deadline,
        }
    }

    /// Whether the source has ended, and no move, check or order is under way after which the stream may go on.
    fn is_source_gone(&self) -> bool {
        let is_ordered = self.left_places.as_ref().is_some_and(|places| places.is_order_open());
        let is_checked = self.pending_check.is_some() || self.pending_question.is_some();
        let is_moved = self.pending_move.is_some() || self.source.switch_at.is_some();
        self.source.ended && !is_ordered && !is_checked && !is_moved
    }

    async fn handle_frame(&mut self, frame: Option<Result<Bytes, hyper::Error>>) -> PumpStep {
        match frame {
            Some(Ok(bytes)) => {
                self.record_activity(self.context.now());
                self.forward_events(&bytes).await
            }
            Some(Err(error)) => self.lose_source(&error.to_string()).await,
            None => {
                if self.ends_stream(self.scanner.has_partial_event()) {
                    PumpStep::End(RequestOutcome::Streamed, "")
                } else {
                    self.lose_source("the connection ended").await
                }
            }
        }
    }

    /// Forwards the complete events in `bytes`; the scanner keeps an incomplete rest.
    pub(crate) async fn forward_events(&mut self, bytes: &[u8]) -> PumpStep {
        let events = match self.scanner.push(bytes) {
            Ok(events) => events,
            Err(error) => {
                self.log_send_failure(&error.to_string());
                return PumpStep::End(RequestOutcome::Interrupted, "stream_malformed");
            }
        };
        if !self.source.hold(self.scanner.partial_bytes()) {
            self.log_send_failure("no memory left for an event");
            return PumpStep::End(RequestOutcome::Interrupted, "memory_full");
        }
        if events.is_empty() {
            return PumpStep::Continue;
        }
        let now = self.context.now();
        self.pace.record(now);
        // While a move is under way the call is accounted to another runner than its source.
        if self.pending_move.is_some() || self.source.first_events.is_none() {
            self.ticket.hold_progress();
        }
        let has_event = self.source.first_events.is_none();
        self.free_left_places(FreeFacts { has_event, is_over: false });
        let first = *self.source.first_events.get_or_insert(now);
        if !self.is_prompt_proven && now.since(first) >= PROOF_SPAN {
            self.is_prompt_proven = true;
            record_answer(&self.context, &self.call);
        }
        let event_tokens = u64::from(self.call.tokens_per_event.unwrap_or(1));
        let produced = u32::try_from(self.scanner.event_count() * event_tokens).unwrap_or(u32::MAX);
        self.ticket.record_progress(self.call.head.prompt_tokens, produced);
        let mut sent = pin!(self.caller.sender.send(Bytes::from(events)).fuse());
        let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
        select_biased! {
            sent = sent => match sent {
                Ok(()) => {
                    if self.context.now().since(now) >= SLOW_CALLER_SPAN {
                        self.ticket.hold_progress();
                    }
                    PumpStep::Continue
                }
                Err(_) => PumpStep::End(RequestOutcome::CallerDisconnected, ""),
            },
            () = disconnected => PumpStep::End(RequestOutcome::CallerDisconnected, ""),
        }
    }

    /// Frees what else is left of a stopped run, if that is not needed any more.
    fn free_left_places(&mut self, facts: FreeFacts) {
        if may_free_memory(facts) {
            self.left_places = None;
        }
    }

    /// Closes the source before the end of its stream. Its runner may go on with the run.
    pub(crate) fn close_source(&mut self) {
        if !self.source.ended && !self.source.is_relayed {
            if self.source.rest == SourceRest::Nothing {
                self.source.rest = SourceRest::Run;
            }
            watch_closed_run(&self.context, &self.call, &self.source.runner);
        }
        self.source.close();
    }

    /// Logs a failure of the current runner.
    pub(crate) fn log_send_failure(&self, reason: &str) {
        log_send_failure(&self.context, &self.call, &self.source.runner.runner, reason);
    }

    async fn finish(mut self, outcome: RequestOutcome, reason: &'static str) {
        let end = match outcome {
            RequestOutcome::Streamed => CallEnd::Finished,
            RequestOutcome::CallerDisconnected => CallEnd::Cancelled,
            _ => CallEnd::Failed,
        };
        if outcome == RequestOutcome::Streamed {
            record_answer(&self.context, &self.call);
        }
        let first = self.pace.first.unwrap_or(self.context.now());
        tracing::info!(
            event = "stream_pace",
            request = %self.call.attempt,
            events = self.scanner.event_count(),
            first_ms = first.since(self.call.arrived).as_millis(),
            longest_gap_ms = self.pace.longest_gap.as_millis(),
            changes = self.changes,
            parts = format_parts(&self.call.head.shared_parts),
        );
        self.open.end();
        log_end(&self.context, &self.call, RequestSummary { outcome, reason, status: 200 });
        self.call.run_place.take();
        if outcome != RequestOutcome::Streamed {
            self.close_source();
        }
        self.free_left_places(FreeFacts { has_event: false, is_over: true });
        self.ticket.finish(end);
        drop(self.source.connection);
        if end == CallEnd::Failed {
            // Abort the connection before the body ends: the answer would look complete.
            self.caller.closer.close();
            self.caller.disconnected.wait().await;
        }
    }
}
