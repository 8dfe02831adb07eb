//! Handover of a run that is ended by an order before it goes on at the next runner.
//!
//! Load pattern: some runners go on with a request whose connection has closed, and two runners may not
//! work on one request. The order is sent once the next runner is connected to. A source that does not
//! answer it may be cut off from this node. [`decide_stop`] says what follows from its answer.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use hyper::body::Bytes;
use serving::{
    AnswerPlace, BodyState, EndHabit, OrderAnswer, SendOutcome, StopDecision, StopFacts,
    decide_stop, stop_due,
};
use web::WebConnection;

use super::run_return::StoppedResume;
use super::stopped_places::StoppedPlaces;
use super::stream_copy::{CopyTask, RunCopy};
use super::stream_handover::{HandoverStep, caller_disconnected, describe_loss};
use super::stream_places::{QUESTION_PAUSE, RunnerQuestion, ask_runner};
use super::stream_pump::{PumpStep, StreamPump};
use crate::call_log::{RequestOutcome, may_log};
use crate::reach::{find_answer_place, is_unreached, suspect_runner};
use crate::run_copies::stop_at_runner;
use crate::run_end_watch::record_habit;
use crate::runner_gate::SendPurpose;
use crate::runner_send::SendPlan;

/// Time for which a run that has lost its stream waits for the answer to the order.
const ANSWER_TIME: TimeSpan = TimeSpan::millis(500);
/// Shortest time between two orders to stop a run.
pub(super) const ORDER_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Silence of a source that has not answered the order, after which it is found out where it answers.
pub(super) const ORDER_SILENCE: TimeSpan = TimeSpan::millis(100);
/// Time in which the stream of a stopped run closes over a link that is not full.
const CHECK_PAUSE: TimeSpan = TimeSpan::millis(50);
/// Time for which a run stays at a source that it has returned to, before it leaves again.
const RETURN_STAY: TimeSpan = TimeSpan::millis(200);

/// Status of an order that found no room for the rest of the copy and has not stopped the run.
const NO_ROOM: u16 = 503;
/// Status of an order while an earlier call about the same run is in progress.
const IN_PROGRESS: u16 = 409;

/// Answer of a source to the order to stop a run.
pub(super) type StopAnswer = platform::Result<RunCopy>;

/// Inputs while a source is to stop a run.
enum StopInput {
    CallerDisconnected,
    /// The call's deadline has passed.
    Deadline,
    /// The source has answered the order.
    Answered(StopAnswer),
    /// A stored deadline of the order has passed.
    Due,
    /// Who gets answers of the source while it has not answered the order.
    Asked(AnswerPlace),
    /// Whether a source that has stopped the run was found not to have it any more.
    Checked(bool),
    /// Data of the stream, an error, or the end of the body.
    Frame(Option<Result<Bytes, hyper::Error>>),
}

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
    /// The stream has ended.
    End(PumpStep),
}

/// An order to the source to stop the run, and what is known since.
struct StopOrder {
    /// The latest order. Once answered, it is not polled any more.
    task: CopyTask,
    sent_at: TimePoint,
    /// Events of the run that were read before the first order; `None` if its begin was read elsewhere.
    events_before: Option<u64>,
    answer: Option<StopAnswer>,
    /// Whether the source may have followed an earlier order.
    may_have_stopped: bool,
    answered_at: TimePoint,
    last_event_at: TimePoint,
    body: BodyState,
    /// When an order whose stream has closed is to be answered at the latest.
    answer_due: Option<TimePoint>,
    /// Asks the source once more after it has answered that the run has stopped.
    check: Option<CheckFuture>,
    /// Whether the source was found not to have the run any more.
    is_gone: bool,
    question: RunnerQuestion,
}

/// The answer to whether a source still has a run that it has stopped.
type CheckFuture = Pin<Box<dyn Future<Output = bool>>>;

impl StopOrder {
    /// What the source has answered. Events that were read before the first order show whether its count
    /// is that of this stream.
    fn answer(&self) -> Option<OrderAnswer> {
        let answer = match self.answer.as_ref()? {
            Ok(run) => {
                OrderAnswer::Stopped(run.events.filter(|made| Some(*made) >= self.events_before))
            }
            Err(error) if error.is_not_found() => OrderAnswer::NotFound,
            Err(error) if error.status() == Some(NO_ROOM) => OrderAnswer::NoRoom,
            Err(error) if error.is_unreached() => OrderAnswer::Unreached,
            Err(error) if error.is_outcome_unknown() => OrderAnswer::Unknown,
            Err(error) if error.status() == Some(IN_PROGRESS) => OrderAnswer::Unknown,
            Err(_) => OrderAnswer::Refused,
        };
        Some(answer)
    }
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
        let task = CopyTask::stop(context, attempt, from, to);
        let mut order = self.begin_order(task);
        match self.wait_for_stop(&mut order, to).await {
            StopEnd::Stopped => (),
            StopEnd::NoRoom if self.ends_by_close() => return OrderedStep::NoRoom(connection),
            StopEnd::CutOff => {
                // The order may be followed, and what it leaves is the only place that is certain.
                let StopOrder { task, answer, .. } = order;
                let places = self.begin_places(&plan).with_order(task, answer);
                self.left_places = Some(Box::new(places));
                return OrderedStep::CutOff(connection);
            }
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
        let mut places = self.begin_places(&plan).with_order(task, answer);
        let disconnected = self.caller.disconnected.clone();
        let resumed = {
            let mut disconnected = pin!(disconnected.wait().fuse());
            let resuming = Box::pin(self.resume_stopped(Some(connection), &mut places));
            let mut resuming = resuming.fuse();
            select_biased! {
                () = disconnected => {
                    return OrderedStep::Done(HandoverStep::End(caller_disconnected()));
                }
                resumed = resuming => resumed,
            }
        };
        OrderedStep::Done(match self.follow_stopped(resumed, places, how) {
            Some(PumpStep::Continue) if !self.source.is_relayed => HandoverStep::Switched,
            Some(step) => HandoverStep::End(step),
            None => HandoverStep::Refused(SendOutcome::Unknown),
        })
    }

    /// Reads a stopped run from where it goes on. What else is left of it is kept until an event has come from there.
    /// `None` if it goes on nowhere.
    pub(super) fn follow_stopped(
        &mut self,
        resumed: StoppedResume,
        places: StoppedPlaces,
        how: &'static str,
    ) -> Option<PumpStep> {
        match resumed {
            StoppedResume::Here(plan, exchange) if plan.purpose == SendPurpose::Return => {
                let tries = self.tries;
                self.switch_source(&plan, exchange, "returned");
                self.tries = tries;
                self.returned_at = Some(self.context.now());
                self.source.switch_at = Some(self.context.now() + RETURN_STAY);
            }
            StoppedResume::Here(plan, exchange) => self.switch_source(&plan, exchange, how),
            StoppedResume::Through(PumpStep::Continue) => (),
            StoppedResume::Through(end) => return Some(end),
            StoppedResume::Nowhere => return None,
        }
        self.left_places = Some(Box::new(places));
        Some(PumpStep::Continue)
    }

    /// Goes on from what else is left of a stopped run, whose next place was lost before it delivered an event. `None`
    /// if nothing is left.
    pub(super) async fn resume_left_places(&mut self) -> Option<PumpStep> {
        let mut places = self.left_places.take()?;
        let disconnected = self.caller.disconnected.clone();
        let resumed = {
            let mut disconnected = pin!(disconnected.wait().fuse());
            let mut resuming = Box::pin(self.resume_stopped(None, &mut places)).fuse();
            select_biased! {
                () = disconnected => return Some(caller_disconnected()),
                resumed = resuming => resumed,
            }
        };
        self.follow_stopped(resumed, *places, "resumed")
    }

    /// Follows an order that is answered after its source was found to be cut off. A run that has stopped goes on
    /// from what that has left, unless it has gone on elsewhere meanwhile.
    pub(super) async fn follow_late_order(&mut self, answer: StopAnswer) -> PumpStep {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        let Some(places) = &mut self.left_places else { return PumpStep::Continue };
        places.follow_answer(&context, &call, answer);
        let is_same = places.source.runner == self.source.runner.runner && !self.source.is_relayed;
        if !is_same || !places.places.has_kept() {
            return PumpStep::Continue;
        }
        self.source.close();
        Box::pin(self.go_on_elsewhere("resume_refused")).await
    }

    /// Whether the runner of the source drops a run whose connection closes, as far as is known.
    fn ends_by_close(&self) -> bool {
        let runner = self.source.runner.incarnation();
        self.context.run_ends.borrow().habit(&runner).is_none()
    }

    fn begin_order(&self, task: CopyTask) -> StopOrder {
        let now = self.context.now();
        StopOrder {
            task,
            sent_at: now,
            events_before: self.scanner.total_events(),
            answer: None,
            may_have_stopped: false,
            answered_at: now,
            last_event_at: now,
            body: BodyState::Open,
            answer_due: None,
            check: None,
            is_gone: false,
            question: self.ask_ordered(ORDER_SILENCE),
        }
    }

    /// Forwards the source until it has stopped the run as ordered, or is known to go on with it. `to` is the
    /// next runner.
    async fn wait_for_stop(&mut self, order: &mut StopOrder, to: SocketAddr) -> StopEnd {
        loop {
            let facts = self.stop_facts(order);
            let decision = decide_stop(&facts, self.context.now());
            let is_early = self.context.now() < order.sent_at + ORDER_PAUSE;
            if decision == StopDecision::OrderAgain && !is_early {
                self.log_stop(&facts, decision);
                self.order_again(order, to);
            } else if let Some(end) = self.end_stop(decision) {
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
                    if answer.is_ok() {
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
                StopInput::Frame(None) if self.is_whole() && self.source.is_framed() => {
                    return StopEnd::End(PumpStep::End(RequestOutcome::Streamed, ""));
                }
                StopInput::Frame(lost) => {
                    let may_be_whole = lost.is_none() && self.is_whole();
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

    /// Finds out after a moment whether the source still has a run that it has stopped: it does not know the run any
    /// more then. The stream of the run closes meanwhile, unless its link is full.
    fn ask_stopped(&self, to: SocketAddr) -> CheckFuture {
        let (context, attempt) = (Rc::clone(&self.context), self.call.attempt.clone());
        let from = self.source.runner.address;
        Box::pin(async move {
            kernel::sleep(CHECK_PAUSE.into()).await;
            let asked = stop_at_runner(&context, &attempt, from, to, ANSWER_TIME).await;
            asked.is_err_and(|error| error.is_not_found())
        })
    }

    fn stop_facts(&self, order: &StopOrder) -> StopFacts {
        StopFacts {
            answer: order.answer(),
            may_have_stopped: order.may_have_stopped,
            answered_at: order.answered_at,
            last_event_at: order.last_event_at,
            events: self.scanner.total_events(),
            body: order.body,
            is_gone: order.is_gone,
            is_answer_late: order.answer_due.is_some_and(|due| due <= self.context.now()),
        }
    }

    /// Ends the wait for the stop as decided; `None` if it goes on.
    fn end_stop(&mut self, decision: StopDecision) -> Option<StopEnd> {
        let end = match decision {
            StopDecision::Wait | StopDecision::OrderAgain => return None,
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

    /// Sends the order once more: it is not known whether the source has followed the last one.
    fn order_again(&self, order: &mut StopOrder, to: SocketAddr) {
        let (context, attempt) = (Rc::clone(&self.context), self.call.attempt.clone());
        order.task = CopyTask::stop(context, attempt, self.source.runner.address, to);
        order.sent_at = self.context.now();
        order.may_have_stopped |= order.answer() == Some(OrderAnswer::Unknown);
        order.answer = None;
    }

    /// When the order is looked at again without an input.
    fn stop_input_due(&self, order: &StopOrder) -> Option<TimePoint> {
        if order.answer_due.is_some() {
            return order.answer_due;
        }
        let facts = self.stop_facts(order);
        if decide_stop(&facts, self.context.now()) == StopDecision::OrderAgain {
            return Some(order.sent_at + ORDER_PAUSE);
        }
        stop_due(&facts)
    }

    /// Waits for the next input. The order of the branches is their priority.
    async fn next_stop_input(
        &mut self,
        order: &mut StopOrder,
        due: Option<TimePoint>,
    ) -> StopInput {
        let now = self.context.now();
        let is_open = order.answer.is_none();
        let (task, question, check) = (&mut order.task, &mut order.question, &mut order.check);
        let checked = async {
            match check {
                Some(check) => check.await,
                None => pending().await,
            }
        };
        let answered = async { if is_open { task.await } else { pending().await } };
        let asked = async { if is_open { question.await } else { pending().await } };
        let passed = async {
            match due {
                Some(due) => kernel::sleep(due.since(now).into()).await,
                None => pending().await,
            }
        };
        let deadline = kernel::sleep(self.call.deadline.since(now).into());
        let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
        let (mut answered, mut passed) = (pin!(answered.fuse()), pin!(passed.fuse()));
        let (mut asked, mut deadline) = (pin!(asked.fuse()), pin!(deadline.fuse()));
        let mut checked = pin!(checked.fuse());
        let mut frame = pin!(self.source.next_frame().fuse());
        select_biased! {
            () = disconnected => StopInput::CallerDisconnected,
            frame = frame => StopInput::Frame(frame),
            answer = answered => StopInput::Answered(answer),
            is_gone = checked => StopInput::Checked(is_gone),
            place = asked => StopInput::Asked(place),
            () = passed => StopInput::Due,
            () = deadline => StopInput::Deadline,
        }
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
