//! Handover of a stream from one runner to the next, which has its memory.
//!
//! Load pattern: runners leave every few seconds, and the next one may be out of reach, full or
//! silent. The old runner is given up only when the next one has answered.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use hyper::body::Bytes;
use serving::{RunnerRecord, SendOutcome, StreamScanner};
use web::{ReadCharge, WebConnection, WebExchange};

use super::run_stop::OrderedStep;
use super::stream_pump::{PumpStep, StreamPump};
use super::stream_silence::SourceActivity;
use super::stream_source::StreamSource;
use crate::call::RunPlace;
use crate::call_log::{RequestOutcome, log_send_failure};
use crate::context::NodeContext;
use crate::run_end_watch::OpenRun;
use crate::runner_gate::SendPurpose;
use crate::runner_send::{SendFailure, SendPlan, connect_to_runner, send_connected};

/// Time that another runner has to take over a run from one that is still working on it. Two
/// runners may not work on one request for longer than 400 ms.
pub(crate) const MAX_OVERLAP: TimeSpan = TimeSpan::millis(250);

/// Reason of a source that is given up since nothing has come from it while the next runner worked.
pub(crate) const SOURCE_SILENT: &str = "source_silent";

/// How a handover ended.
pub(crate) enum HandoverStep {
    /// The stream goes on at the next runner.
    Switched,
    /// The next runner was not reached; nothing was sent.
    Unreached,
    /// The next runner did not take over; the old source is kept, unless it is closed.
    Refused,
    /// The source was not stopped and goes on with the run; nothing was sent to the next runner.
    Kept,
    /// The stream has ended meanwhile.
    End(PumpStep),
}

/// What becomes of the old source if the next runner has not answered within [`MAX_OVERLAP`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OverlapRule {
    /// The source is kept, and the next runner given up.
    KeepSource,
    /// A source from which nothing has come meanwhile is given up: a runner that refuses does so at
    /// once.
    LeaveSilentSource,
}

/// How the time ended in which the next runner was asked to go on.
enum OverlapEnd {
    /// The next runner has answered.
    Answered(WebExchange),
    /// The next runner gave no answer to go on with.
    Failed(SendFailure),
    /// The next runner has not answered in time, and the source still works: the connection to
    /// the next one is closed, so that only the source goes on.
    Unanswered,
    /// The source has delivered the stream to its end.
    SourceEnded,
    /// The caller closed the connection.
    CallerDisconnected,
}

/// What a source delivered after the next runner was asked to go on. It is forwarded only if
/// that runner does not take over, since it would make the same events again.
struct HeldEvents {
    frames: Vec<Bytes>,
    /// Reads the frames ahead of their forwarding.
    scanner: StreamScanner,
    malformed: bool,
    /// Bytes of the frames.
    bytes: usize,
    charge: ReadCharge,
}

impl HeldEvents {
    /// Nothing held yet; `scanner` is that of the forwarded events.
    fn new(scanner: &StreamScanner, charge: ReadCharge) -> Self {
        let scanner = scanner.clone();
        Self { frames: Vec::new(), scanner, malformed: false, bytes: 0, charge }
    }

    /// Holds `bytes`, unless what came before is malformed or had no room.
    fn push(&mut self, bytes: Bytes) {
        if self.malformed {
            return;
        }
        self.malformed = self.scanner.push(&bytes).is_err();
        self.bytes += bytes.len();
        if self.charge.keep("held events", self.bytes) {
            self.frames.push(bytes);
        } else {
            self.malformed = true;
        }
    }

    /// Whether the held frames end with a complete event.
    fn is_whole(&self) -> bool {
        !self.malformed && !self.scanner.has_partial_event()
    }
}

/// Waits until the source may no longer work beside the next runner; forever if it is closed.
pub(crate) async fn overlap_left(context: &NodeContext, source_ended: bool, end: TimePoint) {
    if source_ended {
        pending::<()>().await;
    }
    kernel::sleep(end.since(context.now()).into()).await;
}

pub(super) fn caller_disconnected() -> PumpStep {
    PumpStep::End(RequestOutcome::CallerDisconnected, "")
}

/// Reason of a source's loss, for the log.
pub(crate) fn describe_loss(lost: Option<Result<Bytes, hyper::Error>>) -> String {
    match lost {
        Some(Err(error)) => error.to_string(),
        _ => "the connection ended".to_owned(),
    }
}

impl StreamPump {
    /// Sends the request to the runner that has the run's memory, and makes that runner the
    /// source of the stream. The old source is read on until that runner has answered. If that takes
    /// longer than [`MAX_OVERLAP`], `rule` says which of them is given up, unless the old source has
    /// ended.
    pub(crate) async fn hand_over(
        &mut self,
        mut plan: SendPlan,
        how: &'static str,
        rule: OverlapRule,
    ) -> HandoverStep {
        let ends_by_order = rule == OverlapRule::KeepSource && self.is_ended_by_order();
        if ends_by_order && !(self.follows_orders() && self.may_leave_again()) {
            self.stays = true;
            return HandoverStep::Kept;
        }
        let mut connection = match self.connect_next(&plan.runner).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(failure)) => {
                self.note_refusal(&plan, &failure.reason);
                return HandoverStep::Unreached;
            }
            Err(end) => return HandoverStep::End(end),
        };
        if rule == OverlapRule::KeepSource && self.is_ended_by_order() {
            let ordered = Box::pin(self.hand_over_stopped(plan.clone(), how, connection)).await;
            connection = match ordered {
                OrderedStep::Done(step) => return step,
                OrderedStep::NoRoom(connection) => connection,
            };
        }
        if let Some(resume) = &mut plan.resume {
            resume.last_event_id = self.scanner.last_id();
        }
        let mut held = HeldEvents::new(&self.scanner, self.source.body.open_charge());
        let exchange = match self.send_with_overlap(&plan, connection, &mut held, rule).await {
            OverlapEnd::Answered(exchange) if exchange.response.status().is_success() => exchange,
            OverlapEnd::Answered(exchange) => {
                let reason = exchange.response.status().to_string();
                return self.keep_source(&plan, held, &reason).await;
            }
            OverlapEnd::Failed(failure) => {
                return match self.keep_source(&plan, held, &failure.reason).await {
                    HandoverStep::Refused if failure.outcome == SendOutcome::NotSent => {
                        HandoverStep::Unreached
                    }
                    step => step,
                };
            }
            OverlapEnd::Unanswered => return self.keep_source(&plan, held, "no answer").await,
            OverlapEnd::SourceEnded => {
                self.count_move("source_ended");
                let end = self.forward_held(held).await;
                let whole = PumpStep::End(RequestOutcome::Streamed, "");
                return HandoverStep::End(end.unwrap_or(whole));
            }
            OverlapEnd::CallerDisconnected => return HandoverStep::End(caller_disconnected()),
        };
        self.switch_source(&plan, exchange, how);
        HandoverStep::Switched
    }

    /// Whether the run at the source has to be stopped by an order before it goes on elsewhere.
    fn is_ended_by_order(&self) -> bool {
        !self.source.ended && !self.source.is_relayed && self.call.supports_moves
    }

    /// Whether the runner of the source stops runs as ordered, as far as is known.
    pub(crate) fn follows_orders(&self) -> bool {
        let runner = self.source.runner.incarnation();
        self.context.run_ends.borrow().follows_orders(&runner)
    }

    /// Makes the answer of the runner of `plan` the source of the stream.
    pub(crate) fn switch_source(
        &mut self,
        plan: &SendPlan,
        exchange: WebExchange,
        how: &'static str,
    ) {
        self.count_move(how);
        self.changes += 1;
        self.tries = 0;
        tracing::info!(
            event = "runner_changed_over",
            request = %self.call.attempt,
            how,
            from = %self.source.runner.runner,
            to = %plan.runner.runner,
            backup = plan.backup.as_ref().map(|backup| backup.runner.as_str()),
            events = self.scanner.event_count(),
        );
        self.scanner.discard_partial_event();
        if plan.runner.runner != self.source.runner.runner {
            self.leaving_since = None;
            self.returned_at = None;
        }
        self.replace_source(StreamSource::new(plan, exchange));
    }

    /// Makes `source` the source of the stream. What was found out about the old one no longer holds.
    pub(crate) fn replace_source(&mut self, source: StreamSource) {
        self.close_source();
        self.stays = false;
        let place = if source.is_relayed {
            RunPlace::OtherNode
        } else {
            RunPlace::Runner(source.runner.runner.clone())
        };
        self.call.run_place.replace(place);
        self.source = source;
        self.activity = SourceActivity::new(self.context.now());
        self.pending_check = None;
    }

    /// Connects to the next runner; meanwhile the source is forwarded as before. Returns `Err`
    /// if the stream has ended.
    async fn connect_next(
        &mut self,
        runner: &RunnerRecord,
    ) -> Result<Result<WebConnection, SendFailure>, PumpStep> {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        let mut connect =
            pin!(connect_to_runner(&context, &call, runner, SendPurpose::NewWork).fuse());
        loop {
            let frame = {
                let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
                let mut frame = pin!(self.source.next_frame().fuse());
                select_biased! {
                    () = disconnected => return Err(caller_disconnected()),
                    connected = connect => return Ok(connected),
                    frame = frame => frame,
                }
            };
            match frame {
                Some(Ok(bytes)) => {
                    self.record_activity(self.context.now());
                    if let end @ PumpStep::End(..) = self.forward_events(&bytes).await {
                        return Err(end);
                    }
                }
                None if self.is_whole() => {
                    return Err(PumpStep::End(RequestOutcome::Streamed, ""));
                }
                lost => {
                    self.log_send_failure(&describe_loss(lost));
                    self.close_source();
                }
            }
        }
    }

    /// Sends the request and waits for the head of the answer. What the source delivers
    /// meanwhile goes to `held`. While both are kept, the wait takes [`MAX_OVERLAP`] at most.
    async fn send_with_overlap(
        &mut self,
        plan: &SendPlan,
        connection: WebConnection,
        held: &mut HeldEvents,
        rule: OverlapRule,
    ) -> OverlapEnd {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        let overlap_end = context.now() + MAX_OVERLAP;
        let left = call.deadline.since(context.now());
        let mut send = pin!(send_connected(&context, &call, plan, connection, left).fuse());
        let run = OpenRun::new(&context, &call, &plan.runner);
        loop {
            let frame = {
                let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
                let mut overlap =
                    pin!(overlap_left(&context, self.source.ended, overlap_end).fuse());
                let mut frame = pin!(self.source.next_frame().fuse());
                select_biased! {
                    () = disconnected => return OverlapEnd::CallerDisconnected,
                    outcome = send => {
                        run.finish();
                        return outcome.map_or_else(OverlapEnd::Failed, OverlapEnd::Answered);
                    }
                    frame = frame => Some(frame),
                    () = overlap => None,
                }
            };
            match frame {
                Some(Some(Ok(bytes))) => held.push(bytes),
                Some(None) if held.is_whole() && self.source.has_whole_body() => {
                    return OverlapEnd::SourceEnded;
                }
                Some(lost) => {
                    self.log_send_failure(&describe_loss(lost));
                    self.close_source();
                }
                None if rule == OverlapRule::LeaveSilentSource && held.frames.is_empty() => {
                    self.log_send_failure(SOURCE_SILENT);
                    self.close_source();
                }
                None => return OverlapEnd::Unanswered,
            }
        }
    }

    /// Goes on with the source after the next runner did not take over.
    async fn keep_source(
        &mut self,
        plan: &SendPlan,
        held: HeldEvents,
        reason: &str,
    ) -> HandoverStep {
        self.note_refusal(plan, reason);
        let end = self.forward_held(held).await;
        end.map_or(HandoverStep::Refused, HandoverStep::End)
    }

    /// Forwards what the source delivered while the next runner was asked to go on. Returns how
    /// the stream ends, if it has to.
    async fn forward_held(&mut self, held: HeldEvents) -> Option<PumpStep> {
        for bytes in held.frames {
            if let end @ PumpStep::End(..) = self.forward_events(&bytes).await {
                return Some(end);
            }
        }
        None
    }

    /// Logs and counts a runner that did not take over.
    pub(crate) fn note_refusal(&self, plan: &SendPlan, reason: &str) {
        self.count_move("refused");
        log_send_failure(&self.context, &self.call, &plan.runner.runner, reason);
    }
}
