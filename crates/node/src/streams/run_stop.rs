//! Handover of a run that is ended by an order before it goes on at the next runner.
//!
//! Load pattern: some runners go on with a request whose connection has closed, and two runners may not
//! work on one request. The order is sent once the next runner is connected to. A source that does not
//! answer it may be cut off from this node.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use hyper::body::Bytes;
use serving::{AnswerPlace, EndHabit, SendOutcome};
use web::WebConnection;

use super::stream_copy::{CopyTask, RunCopy};
use super::stream_handover::{HandoverStep, caller_disconnected, describe_loss};
use super::stream_places::{QUESTION_PAUSE, RunnerQuestion, ask_runner};
use super::stream_pump::{PumpStep, StreamPump};
use crate::call_log::RequestOutcome;
use crate::reach::{find_answer_place, is_unreached, suspect_runner};
use crate::run_end_watch::record_habit;
use crate::runner_gate::SendPurpose;
use crate::runner_send::SendPlan;

/// Time after a confirmed order in which the stream of the stopped run closes.
const CLOSE_TIME: TimeSpan = TimeSpan::millis(400);
/// Time for which a run that has lost its stream waits for the answer to the order.
const ANSWER_TIME: TimeSpan = TimeSpan::millis(500);
/// Silence of a source that has not answered the order, after which it is found out where it answers.
pub(super) const ORDER_SILENCE: TimeSpan = TimeSpan::millis(100);
/// Time for which a run stays at a source that it has returned to, before it leaves again.
const RETURN_STAY: TimeSpan = TimeSpan::millis(200);

/// Status of an order that found no room for the rest of the copy and has not stopped the run.
const NO_ROOM: u16 = 503;

/// Answer of a source to the order to stop a run.
pub(super) type StopAnswer = platform::Result<RunCopy>;

/// Inputs while a source is to stop a run.
enum StopInput {
    CallerDisconnected,
    /// The source has answered the order.
    Answered(StopAnswer),
    /// The stream should have closed, or the order been answered.
    Overdue,
    /// Who gets answers of the source while it has not answered the order.
    Asked(AnswerPlace),
    /// Data of the stream, an error, or the end of the body.
    Frame(Option<Result<Bytes, hyper::Error>>),
}

/// How the time ended in which the source was to stop.
enum StopEnd {
    /// The stream has closed before its end; what the source has answered until then.
    Stopped(Option<StopAnswer>),
    /// The source goes on with the run.
    Kept,
    /// The source goes on with the run, since the order found no room for the rest of its copy.
    NoRoom,
    /// The source answers another node and not this one, or nobody: it may have stopped the run.
    CutOff,
    /// The stream has ended.
    End(PumpStep),
}

/// How a handover by an order ended.
pub(super) enum OrderedStep {
    /// The handover has ended.
    Done(HandoverStep),
    /// The run was not stopped for want of room. The connection to the next runner is still unused.
    NoRoom(WebConnection),
    /// The source is cut off from this node, and may have stopped the run. The connection to the next
    /// runner is still unused.
    CutOff(WebConnection),
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
        let (context, attempt) = (Rc::clone(&self.context), self.call.attempt.clone());
        let (from, to) = (self.source.runner.address, plan.runner.address);
        let mut order = CopyTask::stop(context, attempt, from, to);
        let answer = match self.wait_for_stop(&mut order).await {
            StopEnd::Stopped(answer) => answer,
            StopEnd::NoRoom if self.ends_by_close() => return OrderedStep::NoRoom(connection),
            StopEnd::CutOff => return OrderedStep::CutOff(connection),
            StopEnd::Kept | StopEnd::NoRoom => {
                self.count_move("kept");
                return OrderedStep::Done(HandoverStep::Kept);
            }
            StopEnd::End(step) => return OrderedStep::Done(HandoverStep::End(step)),
        };
        let disconnected = self.caller.disconnected.clone();
        let mut disconnected = pin!(disconnected.wait().fuse());
        let resumed = {
            let mut resuming = pin!(self.resume_stopped(&plan, connection, order, answer).fuse());
            select_biased! {
                () = disconnected => {
                    return OrderedStep::Done(HandoverStep::End(caller_disconnected()));
                }
                resumed = resuming => resumed,
            }
        };
        let (plan, exchange) = match resumed {
            Ok(resumed) => resumed,
            Err(lost) => {
                let next_may_run = lost.contains(&plan.runner.runner);
                let through_node = Box::pin(self.go_on_through_node(&plan, next_may_run)).await;
                let refused = HandoverStep::Refused(SendOutcome::Unknown);
                return OrderedStep::Done(through_node.map_or(refused, HandoverStep::End));
            }
        };
        if plan.purpose == SendPurpose::Return {
            let tries = self.tries;
            self.switch_source(&plan, exchange, "returned");
            self.tries = tries;
            self.returned_at = Some(self.context.now());
            self.source.switch_at = Some(self.context.now() + RETURN_STAY);
        } else {
            self.switch_source(&plan, exchange, how);
        }
        OrderedStep::Done(HandoverStep::Switched)
    }

    /// Whether the runner of the source drops a run whose connection closes, as far as is known.
    fn ends_by_close(&self) -> bool {
        let runner = self.source.runner.incarnation();
        self.context.run_ends.borrow().habit(&runner).is_none()
    }

    /// Forwards the source until it has stopped the run as ordered, or is known to go on with it.
    async fn wait_for_stop(&mut self, order: &mut CopyTask) -> StopEnd {
        let mut answer: Option<StopAnswer> = None;
        let mut question = self.ask_ordered(ORDER_SILENCE);
        let mut due = None;
        let mut has_gone_on = false;
        // Whether the body was closed where it might have ended.
        let mut is_cut_short = false;
        loop {
            match &answer {
                Some(Err(error)) if is_cut_short && error.is_not_found() => {
                    // The body ended where the stream did.
                    return StopEnd::End(PumpStep::End(RequestOutcome::Streamed, ""));
                }
                Some(Err(error)) if !self.source.ended => {
                    self.log_send_failure(&error.to_string());
                    if error.status() == Some(NO_ROOM) {
                        return StopEnd::NoRoom;
                    }
                    // A run that the source no longer has is finished; its last events are in transit.
                    self.stays |= error.is_not_found();
                    return StopEnd::Kept;
                }
                Some(_) if self.source.ended => return StopEnd::Stopped(answer),
                // The copy of the rest may take long: it queues behind those of other runs.
                None if self.source.ended && !is_cut_short => {
                    return StopEnd::Stopped(None);
                }
                _ => (),
            }
            match self.next_stop_input(order, &mut question, answer.is_none(), due).await {
                StopInput::CallerDisconnected => return StopEnd::End(caller_disconnected()),
                StopInput::Answered(result) => {
                    due = result.is_ok().then(|| self.context.now() + CLOSE_TIME);
                    answer = Some(result);
                }
                StopInput::Overdue if self.source.ended => return StopEnd::Stopped(None),
                StopInput::Overdue if has_gone_on => {
                    self.stays = true;
                    record_habit(&self.context, &self.source.runner, EndHabit::IgnoresOrder);
                    return StopEnd::Kept;
                }
                StopInput::Overdue => self.source.close(),
                StopInput::Asked(place) => {
                    self.log_unanswered_order(&place);
                    if self.is_source_lost(&place) && !self.source.ended {
                        return StopEnd::CutOff;
                    }
                    let is_silent = place == AnswerPlace::Nowhere;
                    let pause = if is_silent { ORDER_SILENCE } else { QUESTION_PAUSE };
                    question = self.ask_ordered(pause);
                }
                StopInput::Frame(Some(Ok(bytes))) => {
                    question = self.ask_ordered(ORDER_SILENCE);
                    has_gone_on |= answer.is_some();
                    self.record_activity(self.context.now());
                    if let end @ PumpStep::End(..) = self.forward_events(&bytes).await {
                        return StopEnd::End(end);
                    }
                }
                StopInput::Frame(None) if self.is_whole() && self.source.is_framed() => {
                    return StopEnd::End(PumpStep::End(RequestOutcome::Streamed, ""));
                }
                StopInput::Frame(lost) => {
                    is_cut_short = lost.is_none() && self.is_whole();
                    if answer.is_none() {
                        self.log_send_failure(&describe_loss(lost));
                    }
                    self.source.close();
                    due = Some(self.context.now() + ANSWER_TIME);
                }
            }
        }
    }

    async fn next_stop_input(
        &mut self,
        order: &mut CopyTask,
        question: &mut RunnerQuestion,
        is_open: bool,
        due: Option<TimePoint>,
    ) -> StopInput {
        let now = self.context.now();
        let answered = async { if is_open { order.await } else { pending().await } };
        let asked = async { if is_open { question.await } else { pending().await } };
        let overdue = async {
            match due {
                Some(due) => kernel::sleep(due.since(now).into()).await,
                None => pending().await,
            }
        };
        let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
        let (mut answered, mut overdue) = (pin!(answered.fuse()), pin!(overdue.fuse()));
        let mut asked = pin!(asked.fuse());
        let mut frame = pin!(self.source.next_frame().fuse());
        select_biased! {
            () = disconnected => StopInput::CallerDisconnected,
            frame = frame => StopInput::Frame(frame),
            answer = answered => StopInput::Answered(answer),
            place = asked => StopInput::Asked(place),
            () = overdue => StopInput::Overdue,
        }
    }

    /// Whether this node does not reach the source: it answers only another node, or it answers nobody and
    /// counts as unreached.
    fn is_source_lost(&self, place: &AnswerPlace) -> bool {
        match place {
            AnswerPlace::Here => false,
            AnswerPlace::OtherNode(_) => true,
            AnswerPlace::Nowhere => is_unreached(&self.context, &self.source.runner),
        }
    }

    /// Finds out after a pause where a source answers that was ordered to stop a run. One that leaves is
    /// suspected as well, so that it soon counts as unreached if it answers nobody.
    fn ask_ordered(&self, pause: TimeSpan) -> RunnerQuestion {
        let (context, runner) = (Rc::clone(&self.context), self.source.runner.clone());
        let is_leaving = self.leaving_since.is_some();
        Box::pin(async move {
            kernel::sleep(pause.into()).await;
            if is_unreached(&context, &runner) {
                return AnswerPlace::Nowhere;
            }
            if is_leaving {
                suspect_runner(&context, &runner);
            }
            find_answer_place(&context, &runner).await
        })
    }

    /// Finds out after a pause where the source answers.
    pub(super) fn ask_source(&self, pause: TimeSpan) -> RunnerQuestion {
        ask_runner(&self.context, &self.source.runner, pause)
    }
}
