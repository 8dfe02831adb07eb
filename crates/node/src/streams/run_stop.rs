//! Handover of a run that is ended by an order before it goes on at the next runner.
//!
//! Load pattern: some runners go on with a request whose connection has closed, and two runners may not
//! work on one request. The order is sent once the next runner is connected to. What the source has
//! stopped can go on from its copy, and if that is refused, from the memory that the source keeps.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use hyper::body::Bytes;
use platform::ResumeSource;
use serving::{AnswerPlace, EndHabit, SendOutcome};
use web::{WebConnection, WebExchange};

use super::stream_backup::choose_backup;
use super::stream_copy::{CopyTask, RunCopy};
use super::stream_handover::{HandoverStep, caller_disconnected, describe_loss};
use super::stream_places::{QUESTION_PAUSE, RunnerQuestion, ask_runner};
use super::stream_pump::{PumpStep, StreamPump};
use crate::call::RunPlace;
use crate::call_log::RequestOutcome;
use crate::run_end_watch::{OpenRun, record_habit};
use crate::runner_gate::SendPurpose;
use crate::runner_send::{SendFailure, SendPlan, connect_to_runner, send_connected};

/// Time after a confirmed order in which the stream of the stopped run closes.
const CLOSE_TIME: TimeSpan = TimeSpan::millis(400);
/// Time for which a run that has lost its stream waits for the answer to the order.
const ANSWER_TIME: TimeSpan = TimeSpan::millis(500);
/// Silence of a source that has not answered the order, after which it is found out where it answers.
const ORDER_SILENCE: TimeSpan = TimeSpan::millis(100);
/// Time for which a stopped run waits for a runner to go on with it. A runner that has its memory
/// answers with its next step.
const HEAD_TIME: TimeSpan = TimeSpan::millis(250);
/// Number of times that each place of a stopped run's memory is asked to go on with it.
const RESUME_ROUNDS: u32 = 3;
/// Pause between these times.
const ROUND_PAUSE: TimeSpan = TimeSpan::millis(75);
/// Time for which a run stays at a source that it has returned to, before it leaves again.
const RETURN_STAY: TimeSpan = TimeSpan::millis(200);
/// Time to keep for another return when a run that has returned leaves again.
const RETURN_MARGIN: TimeSpan = TimeSpan::millis(500);

/// Status of an order that found no room for the rest of the copy and has not stopped the run.
const NO_ROOM: u16 = 503;
/// Reason of a run that may not go on at its source any more.
const RETURN_LATE: &str = "source_left";

/// Answer of a source to the order to stop a run.
type StopAnswer = platform::Result<RunCopy>;

/// Inputs while a source is to stop a run.
enum StopInput {
    CallerDisconnected,
    /// The source has answered the order.
    Answered(StopAnswer),
    /// The stream should have closed, or the order been answered.
    Overdue,
    /// Where the source answers, that has not answered the order.
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
    /// The source answers another node, and not this one: it may have stopped the run.
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
        let mut question = self.ask_source(ORDER_SILENCE);
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
                    if matches!(place, AnswerPlace::OtherNode(_)) && !self.source.ended {
                        return StopEnd::CutOff;
                    }
                    question = self.ask_source(QUESTION_PAUSE);
                }
                StopInput::Frame(Some(Ok(bytes))) => {
                    question = self.ask_source(ORDER_SILENCE);
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

    /// Finds out after a pause where the source answers.
    fn ask_source(&self, pause: TimeSpan) -> RunnerQuestion {
        ask_runner(&self.context, &self.source.runner, pause)
    }

    /// Waits for the answer to an order. `None` if the source answers another node, and not this one.
    async fn await_order(&self, mut order: CopyTask) -> Option<StopAnswer> {
        let mut question = self.ask_source(ORDER_SILENCE);
        loop {
            let place = select_biased! {
                answer = (&mut order).fuse() => return Some(answer),
                place = (&mut question).fuse() => place,
            };
            self.log_unanswered_order(&place);
            if matches!(place, AnswerPlace::OtherNode(_)) {
                return None;
            }
            question = self.ask_source(QUESTION_PAUSE);
        }
    }

    /// Sends the request to the runners that have the memory of the stopped run, until one goes on with
    /// it: first as `plan` says, then where the order has left it. Returns the send and its answer, or the
    /// runners that may have taken the run and gave no answer.
    async fn resume_stopped(
        &mut self,
        plan: &SendPlan,
        connection: WebConnection,
        order: CopyTask,
        answer: Option<StopAnswer>,
    ) -> Result<(SendPlan, WebExchange), Vec<RunnerId>> {
        let mut connection = Some(connection);
        let mut plans = vec![plan.clone()];
        let mut lost: Vec<RunnerId> = Vec::new();
        let mut order = answer.is_none().then_some(order);
        let mut copy = answer.and_then(|answer| self.add_stopped(&mut plans, plan, answer));
        for round in 0..RESUME_ROUNDS {
            if round > 0 {
                kernel::sleep(ROUND_PAUSE.into()).await;
            }
            let mut number = 0;
            while let Some(mut next) = plans.get(number).cloned() {
                number += 1;
                if lost.contains(&next.runner.runner) {
                    continue;
                }
                match self.resume_at(&mut next, connection.take()).await {
                    Ok(exchange) => {
                        let used = next.resume.as_ref().map(|resume| &resume.handle);
                        if let Some(copy) = copy.filter(|copy| used == Some(&copy.handle)) {
                            copy.keep();
                        }
                        return Ok((next, exchange));
                    }
                    Err(failure) => {
                        self.note_refusal(&next, &failure.reason);
                        if failure.outcome == SendOutcome::Unknown {
                            lost.push(next.runner.runner);
                        }
                    }
                }
                if let Some(order) = order.take()
                    && let Some(Ok(run)) = self.await_order(order).await
                {
                    copy = self.add_stopped(&mut plans, plan, Ok(run));
                }
            }
        }
        Err(lost)
    }

    /// Adds the places where an order has left the memory of the run: the runner of `plan`, if it has
    /// a copy, and the source.
    fn add_stopped(
        &self,
        plans: &mut Vec<SendPlan>,
        plan: &SendPlan,
        answer: StopAnswer,
    ) -> Option<RunCopy> {
        let copy = answer.ok()?;
        let source = &self.source.runner;
        let address = source.address;
        let resume = ResumeSource { address, handle: copy.handle.clone(), last_event_id: None };
        if copy.is_copied {
            plans.push(SendPlan { resume: Some(resume.clone()), ..plan.clone() });
        }
        let back = SendPlan::resume(source.clone(), resume, None);
        plans.push(SendPlan { purpose: SendPurpose::Return, ..back });
        Some(copy)
    }

    /// Sends the request as `plan` says, and waits for the head of a success.
    async fn resume_at(
        &mut self,
        plan: &mut SendPlan,
        connection: Option<WebConnection>,
    ) -> Result<WebExchange, SendFailure> {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        if plan.purpose == SendPurpose::Return && !self.may_return(TimeSpan::default()) {
            return Err(SendFailure::withheld(RETURN_LATE));
        }
        if self.ticket.assigned_runner().as_ref() != Some(&plan.runner.runner) {
            self.ticket.relocate_to(&plan.runner.runner);
        }
        if plan.purpose == SendPurpose::Return {
            plan.backup = choose_backup(&context, &call, &self.ticket);
        }
        if let Some(resume) = &mut plan.resume {
            resume.last_event_id = self.scanner.last_id();
        }
        let connection = if let Some(connection) = connection {
            connection
        } else {
            let connecting = connect_to_runner(&context, &call, &plan.runner, plan.purpose);
            Box::pin(connecting).await?
        };
        let limit = HEAD_TIME.min(call.deadline.since(context.now()));
        call.run_place.replace(RunPlace::Runner(plan.runner.runner.clone()));
        let run = OpenRun::new(&context, &call, &plan.runner);
        let sent = Box::pin(send_connected(&context, &call, plan, connection, limit)).await;
        if sent.as_ref().is_err_and(|failure| failure.outcome == SendOutcome::Unknown) {
            // It may work on the run, which goes on elsewhere.
            drop(run);
        } else {
            run.finish();
        }
        let exchange = sent?;
        let status = exchange.response.status();
        if status.is_success() {
            return Ok(exchange);
        }
        Err(SendFailure::withheld(&status.to_string()))
    }

    /// Whether the run can go on at its source if it is not taken elsewhere, or has not had to so far.
    pub(crate) fn may_leave_again(&self) -> bool {
        self.returned_at.is_none() || self.may_return(RETURN_MARGIN)
    }

    /// Whether the run may go on at its source, for `margin` more. It may in the first three quarters of
    /// the drain time: after that time a runner that has announced that it leaves may get no requests.
    fn may_return(&self, margin: TimeSpan) -> bool {
        let window = TimeSpan(self.context.settings.drain.0 / 4 * 3);
        let end = self.context.now() + margin;
        self.leaving_since.is_none_or(|since| end.since(since) < window)
    }
}
