//! Handover of a run that is ended by an order before it goes on at the next runner.
//!
//! Load pattern: some runners go on with a request whose connection has closed, and two runners may not
//! work on one request. The order is sent once the next runner is connected to. A source that does not
//! answer it may be cut off from this node. [`decide_stop`] says what follows from its answer.

use std::net::SocketAddr;

use serving::{
    AnswerPlace, BodyState, EndHabit, OrderAnswer, SendOutcome, StopDecision, StopFacts,
    decide_stop,
};
use web::WebConnection;

use super::stop_order::{ANSWER_TIME, ORDER_PAUSE, ORDER_SILENCE, StopInput, StopOrder};
use super::stream_copy::CopyTask;
use super::stream_handover::{HandoverStep, caller_disconnected, describe_loss};
use super::stream_places::QUESTION_PAUSE;
use super::stream_pump::{PumpStep, StreamPump};
use super::stream_source::SourceRest;
use crate::call_log::{RequestOutcome, may_log};
use crate::run_end_watch::record_habit;
use crate::runner_send::SendPlan;

/// How the time ended in which the source was to stop.
enum StopEnd {
    /// The run has stopped, as far as is known.
    Stopped,
    /// The source goes on with the run.
    Kept,
    /// The source goes on with the run, since the order found no room for the rest of its copy.
    NoRoom,
    /// The source answers another node and not this one, or nobody: it may have stopped the run.
    CutOff,
    /// The source does not have the run, and its stream is still open: the rest of it may come late.
    NotFound,
    /// The stream has ended.
    End(PumpStep),
}

/// How a handover by an order ended.
pub(super) enum OrderedStep {
    /// The handover has ended.
    Done(HandoverStep),
    /// The run was not stopped for want of room. The connection to the next runner is still unused.
    NoRoom(WebConnection),
    /// The source is cut off from this node, or does not have the run: it is read on, and the next runner asked. The
    /// connection to that is still unused.
    ReadOn(WebConnection),
}

impl StreamPump {
    /// Has the source stop the run, then sends the request to the runner of `plan`, to which `connection`
    /// leads. Until the run has stopped, the source is forwarded as before.
    pub(crate) async fn hand_over_stopped(
        &mut self,
        plan: SendPlan,
        how: &'static str,
        connection: WebConnection,
    ) -> OrderedStep {
        let to = plan.runner.address;
        let task = CopyTask::stop(&self.context, &self.call, &self.source.runner, to);
        let ordered_at = self.context.now();
        let mut order = self.begin_order(task);
        match self.wait_for_stop(&mut order, to).await {
            StopEnd::Stopped => (),
            StopEnd::NoRoom if self.ends_by_close() => return OrderedStep::NoRoom(connection),
            StopEnd::CutOff => {
                // The order may be followed, and what it leaves is the only place that is certain.
                let StopOrder { task, answer, .. } = order;
                let places = self.begin_places(&plan, ordered_at).with_order(task, answer);
                self.left_places = Some(Box::new(places));
                return OrderedStep::ReadOn(connection);
            }
            StopEnd::NotFound => return OrderedStep::ReadOn(connection),
            StopEnd::Kept | StopEnd::NoRoom => {
                self.count_move("kept");
                return OrderedStep::Done(HandoverStep::Kept);
            }
            StopEnd::End(step) => return OrderedStep::Done(HandoverStep::End(step)),
        }
        if order.answer().is_some_and(OrderAnswer::is_open) {
            self.order_again(&mut order, to);
        }
        let StopOrder { task, answer, .. } = order;
        let mut places = self.begin_places(&plan, ordered_at).with_order(task, answer);
        let resumed = self.resume_until_end(Some(connection), &mut places).await;
        OrderedStep::Done(match self.follow_stopped(resumed, places, how) {
            Some(PumpStep::Continue) if !self.source.is_relayed => HandoverStep::Switched,
            Some(step) => HandoverStep::End(step),
            None => HandoverStep::Refused(SendOutcome::Unknown),
        })
    }

    /// Whether the runner of the source drops a run whose connection closes, as far as is known.
    fn ends_by_close(&self) -> bool {
        let runner = self.source.runner.incarnation();
        self.context.run_ends.borrow().habit(&runner).is_none()
    }

    /// Forwards the source until it has stopped the run as ordered, or is known to go on with it. `to` is the
    /// next runner.
    async fn wait_for_stop(&mut self, order: &mut StopOrder, to: SocketAddr) -> StopEnd {
        loop {
            let facts = self.stop_facts(order);
            let decision = decide_stop(&facts, self.context.now());
            let is_not_found = facts.answer == Some(OrderAnswer::NotFound);
            let is_early = self.context.now() < order.sent_at + ORDER_PAUSE;
            if decision == StopDecision::OrderAgain && !is_early {
                self.log_stop(&facts, decision);
                self.order_again(order, to);
            } else if let Some(end) = self.end_stop(decision, is_not_found) {
                self.log_stop(&facts, decision);
                return end;
            }
            let due = self.stop_input_due(order);
            match self.next_stop_input(order, due).await {
                StopInput::CallerDisconnected => return StopEnd::End(caller_disconnected()),
                StopInput::Deadline => {
                    let late = PumpStep::End(RequestOutcome::Interrupted, "deadline_passed");
                    return StopEnd::End(late);
                }
                StopInput::Answered(answer) => {
                    if let Err(error) = &answer {
                        self.log_send_failure(&error.to_string());
                    }
                    if answer.as_ref().is_ok_and(|run| run.events > self.scanner.total_events()) {
                        order.check = Some(self.ask_stopped(to));
                    }
                    order.answer = Some(answer);
                    order.answered_at = self.context.now();
                }
                StopInput::Due => (),
                StopInput::Checked(is_gone) => {
                    order.is_gone = is_gone;
                    order.check = None;
                }
                StopInput::Asked(place) => {
                    self.log_unanswered_order(&place);
                    if self.is_source_lost(&place) && !self.source.ended {
                        return StopEnd::CutOff;
                    }
                    let is_silent = place == AnswerPlace::Nowhere;
                    let pause = if is_silent { ORDER_SILENCE } else { QUESTION_PAUSE };
                    order.question = self.ask_ordered(pause);
                }
                StopInput::Frame(Some(Ok(bytes))) => {
                    let events = self.scanner.event_count();
                    order.question = self.ask_ordered(ORDER_SILENCE);
                    self.record_activity(self.context.now());
                    if let end @ PumpStep::End(..) = self.forward_events(&bytes).await {
                        return StopEnd::End(end);
                    }
                    if self.scanner.event_count() > events {
                        order.last_event_at = self.context.now();
                    }
                }
                StopInput::Frame(None) if self.ends_stream(self.scanner.has_partial_event()) => {
                    return StopEnd::End(PumpStep::End(RequestOutcome::Streamed, ""));
                }
                StopInput::Frame(lost) => {
                    let may_be_whole =
                        lost.is_none() && self.source.rest == SourceRest::MaybeMemory;
                    order.body =
                        if may_be_whole { BodyState::MaybeWhole } else { BodyState::Broken };
                    if order.answer.is_none() {
                        self.log_send_failure(&describe_loss(lost));
                    }
                    self.source.close();
                    order.answer_due = Some(self.context.now() + ANSWER_TIME);
                }
            }
        }
    }

    /// Ends the wait for the stop as decided; `None` if it goes on.
    fn end_stop(&mut self, decision: StopDecision, is_not_found: bool) -> Option<StopEnd> {
        let end = match decision {
            StopDecision::Wait | StopDecision::OrderAgain => return None,
            StopDecision::TakeNext if is_not_found && !self.source.ended => StopEnd::NotFound,
            StopDecision::TakeNext => {
                self.source.close();
                StopEnd::Stopped
            }
            StopDecision::Finish => StopEnd::End(PumpStep::End(RequestOutcome::Streamed, "")),
            StopDecision::NoRoom => StopEnd::NoRoom,
            StopDecision::GoesOn => {
                self.stays = true;
                let runner = &self.source.runner;
                record_habit(&self.context, &self.call, runner, EndHabit::IgnoresOrder);
                StopEnd::Kept
            }
            StopDecision::Keep => StopEnd::Kept,
        };
        Some(end)
    }

    /// Logs and counts what was decided about a source that was ordered to stop, and from what.
    fn log_stop(&self, facts: &StopFacts, decision: StopDecision) {
        self.count_move(decision.as_str());
        if !may_log(&self.context) {
            return;
        }
        let now = self.context.now();
        let made = match facts.answer {
            Some(OrderAnswer::Stopped(made)) => made,
            _ => None,
        };
        tracing::info!(
            event = "stop_decided",
            request = %self.call.attempt,
            runner = %self.source.runner.runner,
            decision = decision.as_str(),
            answer = facts.answer.map(OrderAnswer::as_str),
            answer_age_ms = now.since(facts.answered_at).as_millis(),
            event_age_ms = now.since(facts.last_event_at).as_millis(),
            made,
            is_gone = facts.is_gone,
            events = facts.events,
            body = ?facts.body,
            left_ms = self.call.deadline.since(now).as_millis(),
        );
    }
}
