//! Handover of a stream from one runner to the next, which has its memory.
//!
//! Load pattern: runners leave every few seconds, and the next one may be out of reach, full or
//! silent. The old runner is given up only when the next one has answered.

use std::pin::pin;
use std::rc::Rc;

use futures_util::{FutureExt, select_biased};
use hyper::body::Bytes;
use life::RunMemory;
use serving::{OverlapRule, RunnerRecord, SendOutcome};
use web::{WebConnection, WebExchange};

use super::run_stop::OrderedStep;
use super::stream_overlap::{HeldEvents, OverlapEnd};
use super::stream_pump::{PumpStep, StreamPump};
use super::stream_silence::SourceActivity;
use super::stream_source::{SourceRest, StreamSource, is_event_stream};
use crate::call_log::{RequestOutcome, log_send_failure};
use crate::left_run::end_left_run;
use crate::runner_gate::SendPurpose;
use crate::runner_send::{SendFailure, SendPlan, connect_to_runner};

/// How a handover ended.
pub(crate) enum HandoverStep {
    /// The stream goes on at the next runner.
    Switched,
    /// The next runner was not reached; nothing was sent.
    Unreached,
    /// The next runner did not take over; the old source is kept, unless it is closed. Whether the next one
    /// may have run the request.
    Refused(SendOutcome),
    /// The source was not stopped and goes on with the run; nothing was sent to the next runner.
    Kept,
    /// The stream goes on through another node, or has ended meanwhile.
    End(PumpStep),
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
    /// Sends the request to a runner that has the run's memory, or is to run it again, and makes that
    /// runner the source of the stream. The old source is read on until that runner has answered. If that
    /// takes longer than [`MAX_OVERLAP`](super::stream_overlap::MAX_OVERLAP) while the old source works, that
    /// goes on alone; `rule` says whether a silent one counts as working.
    pub(crate) async fn hand_over(
        &mut self,
        mut plan: SendPlan,
        how: &'static str,
        mut rule: OverlapRule,
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
                OrderedStep::ReadOn(connection) => {
                    rule = OverlapRule::LeaveSilentSource;
                    connection
                }
            };
        }
        match &mut plan.resume {
            Some(resume) => resume.last_event_id = self.scanner.last_id(),
            None => plan.last_event_id = self.scanner.last_id(),
        }
        let mut held = HeldEvents::new(&self.scanner, self.source.body.open_charge());
        let exchange = match self.send_with_overlap(&plan, connection, &mut held, rule).await {
            OverlapEnd::Answered(exchange) if is_event_stream(&exchange.response) => exchange,
            OverlapEnd::Answered(exchange) => {
                let reason = exchange.response.status().to_string();
                return self.keep_source(&plan, held, &reason, SendOutcome::Failed).await;
            }
            OverlapEnd::Failed(failure) if failure.is_cut_off() => {
                return self.leave_cut_off(&plan, held).await;
            }
            OverlapEnd::Failed(failure) => {
                let outcome = failure.outcome;
                return match self.keep_source(&plan, held, &failure.reason, outcome).await {
                    HandoverStep::Refused(SendOutcome::NotSent) => HandoverStep::Unreached,
                    step => step,
                };
            }
            OverlapEnd::Unanswered => {
                return self.keep_source(&plan, held, "no answer", SendOutcome::Unknown).await;
            }
            OverlapEnd::CutOff => return self.leave_cut_off(&plan, held).await,
            OverlapEnd::Moved(taken) => {
                if let Some(end) = self.forward_held(held).await {
                    return HandoverStep::End(end);
                }
                let source = self.source.runner.runner.clone();
                return HandoverStep::End(self.switch_to_node(taken, &source));
            }
            OverlapEnd::End(step) => return HandoverStep::End(step),
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
        if plan.resume.is_none() {
            self.scanner.begin_run();
        }
        if plan.runner.runner != self.source.runner.runner {
            self.leaving_since = None;
            self.returned_at = None;
        }
        self.replace_source(StreamSource::new(plan, exchange));
    }

    /// Makes `source` the source of the stream. What was found out about the old one no longer holds.
    pub(crate) fn replace_source(&mut self, source: StreamSource) {
        self.close_source();
        let is_left = self.source.rest == SourceRest::Run;
        if is_left && self.source.runner.runner != source.runner.runner {
            end_left_run(&self.context, &self.call, &self.source.runner);
        }
        self.stays = false;
        self.next_move = self.context.now();
        // What is being copied is the run at the old source.
        self.pending_move = None;
        self.call.run_place.replace(source.run_place());
        self.call.stop_orders.borrow_mut().begin_run(&source.runner.runner);
        self.source = source;
        self.activity = SourceActivity::new(self.context.now());
        self.pending_check = None;
        self.pending_question = None;
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
                None if self.ends_stream(self.scanner.has_partial_event()) => {
                    return Err(PumpStep::End(RequestOutcome::Streamed, ""));
                }
                lost => {
                    self.log_send_failure(&describe_loss(lost));
                    self.close_source();
                }
            }
        }
    }

    /// Goes on through another node, or else with the source, after the next runner was found to be cut
    /// off from this node.
    async fn leave_cut_off(&mut self, plan: &SendPlan, held: HeldEvents) -> HandoverStep {
        let step = self.keep_source(plan, held, "cut off", SendOutcome::Unknown).await;
        if !matches!(step, HandoverStep::Refused(_)) {
            return step;
        }
        let through_node = Box::pin(self.go_on_through_node(plan, true)).await;
        through_node.map_or(step, HandoverStep::End)
    }

    /// Goes on with the source after the next runner did not take over.
    async fn keep_source(
        &mut self,
        plan: &SendPlan,
        held: HeldEvents,
        reason: &str,
        outcome: SendOutcome,
    ) -> HandoverStep {
        self.note_refusal(plan, reason);
        if let Some(places) = &mut self.left_places {
            places.note_failure(RunMemory::Copy, outcome);
        }
        let end = self.forward_held(held).await;
        end.map_or(HandoverStep::Refused(outcome), HandoverStep::End)
    }

    /// Forwards what the source delivered while the next runner was asked to go on. Returns how
    /// the stream ends, if it has to.
    async fn forward_held(&mut self, held: HeldEvents) -> Option<PumpStep> {
        self.forward_frames(held.frames).await
    }

    /// Forwards frames of the source. Returns how the stream ends, if it has to.
    pub(super) async fn forward_frames(&mut self, frames: Vec<Bytes>) -> Option<PumpStep> {
        for bytes in frames {
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
