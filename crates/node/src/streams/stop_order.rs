//! An order to the source of a stream to stop its run: what is known since, and the inputs that follow.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use hyper::body::Bytes;
use serving::{
    AnswerPlace, BodyState, OrderAnswer, StopDecision, StopFacts, decide_stop, stop_due,
};

use super::stream_copy::{CopyTask, IN_PROGRESS, RunCopy};
use super::stream_places::{RunnerQuestion, ask_runner};
use super::stream_pump::StreamPump;
use crate::reach::{find_answer_place, is_unreached, suspect_runner};
use crate::run_copies::stop_at_runner;

/// Time for which a run that has lost its stream waits for the answer to the order.
pub(super) const ANSWER_TIME: TimeSpan = TimeSpan::millis(500);
/// Shortest time between two orders to stop a run.
pub(super) const ORDER_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Silence of a source that has not answered the order, after which it is found out where it answers.
pub(super) const ORDER_SILENCE: TimeSpan = TimeSpan::millis(100);
/// Time in which the last events of a stopped run come over a link that is not full.
const CHECK_PAUSE: TimeSpan = TimeSpan::millis(50);

/// Status of an order that found no room for the rest of the copy and has not stopped the run.
const NO_ROOM: u16 = 503;

/// Answer of a source to the order to stop a run.
pub(super) type StopAnswer = platform::Result<RunCopy>;

/// Inputs while a source is to stop a run.
pub(super) enum StopInput {
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

/// An order to the source to stop the run, and what is known since.
pub(super) struct StopOrder {
    /// The latest order. Once answered, it is not polled any more.
    pub(super) task: CopyTask,
    pub(super) sent_at: TimePoint,
    /// Events of the run that were read before the first order; `None` if its begin was read elsewhere.
    pub(super) events_before: Option<u64>,
    pub(super) answer: Option<StopAnswer>,
    /// Whether the source may have followed an earlier order.
    pub(super) may_have_stopped: bool,
    pub(super) answered_at: TimePoint,
    pub(super) last_event_at: TimePoint,
    pub(super) body: BodyState,
    /// When an order whose stream has closed is to be answered at the latest.
    pub(super) answer_due: Option<TimePoint>,
    /// Asks the source once more after it has answered that the run has stopped, while events of before that are missing.
    pub(super) check: Option<CheckFuture>,
    /// Whether the source was found not to have the run any more.
    pub(super) is_gone: bool,
    pub(super) question: RunnerQuestion,
}

/// The answer to whether a source still has a run that it has stopped.
type CheckFuture = Pin<Box<dyn Future<Output = bool>>>;

impl StopOrder {
    /// What the source has answered. Events that were read before the first order show whether its count
    /// is that of this stream.
    pub(super) fn answer(&self) -> Option<OrderAnswer> {
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

impl StreamPump {
    pub(super) fn begin_order(&self, task: CopyTask) -> StopOrder {
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

    /// Finds out after a moment whether the source still has a run that it has stopped: it does not know the run any
    /// more then. What it made before comes meanwhile, unless its link is full.
    pub(super) fn ask_stopped(&self, to: SocketAddr) -> CheckFuture {
        let (context, attempt) = (Rc::clone(&self.context), self.call.attempt.clone());
        let from = self.source.runner.address;
        Box::pin(async move {
            kernel::sleep(CHECK_PAUSE.into()).await;
            let asked = stop_at_runner(&context, &attempt, from, to, ANSWER_TIME).await;
            asked.is_err_and(|error| error.is_not_found())
        })
    }

    pub(super) fn stop_facts(&self, order: &StopOrder) -> StopFacts {
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

    /// Sends the order once more: it is not known whether the source has followed the last one.
    pub(super) fn order_again(&self, order: &mut StopOrder, to: SocketAddr) {
        order.task = CopyTask::stop(&self.context, &self.call, &self.source.runner, to);
        order.sent_at = self.context.now();
        order.may_have_stopped |= order.answer() == Some(OrderAnswer::Unknown);
        order.answer = None;
    }

    /// When the order is looked at again without an input.
    pub(super) fn stop_input_due(&self, order: &StopOrder) -> Option<TimePoint> {
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
    pub(super) async fn next_stop_input(
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

    /// Whether this node does not reach the source: it answers only another node, or it answers nobody and
    /// counts as unreached.
    pub(super) fn is_source_lost(&self, place: &AnswerPlace) -> bool {
        match place {
            AnswerPlace::Here => false,
            AnswerPlace::OtherNode(_) => true,
            AnswerPlace::Nowhere => is_unreached(&self.context, &self.source.runner),
        }
    }

    /// Finds out after a pause where a source answers that was ordered to stop a run. One that leaves is
    /// suspected as well, so that it soon counts as unreached if it answers nobody.
    pub(super) fn ask_ordered(&self, pause: TimeSpan) -> RunnerQuestion {
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
