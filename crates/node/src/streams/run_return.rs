//! Where a run goes on that its source has stopped as ordered.
//!
//! Load pattern: the next runner is full, silent or cut off from this node. What was stopped goes on from
//! its copy, or returns to its source, which keeps its memory.

use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use platform::ResumeSource;
use serving::{AnswerPlace, SendOutcome};
use web::{WebConnection, WebExchange};

use super::run_stop::{ORDER_SILENCE, StopAnswer};
use super::stream_backup::choose_backup;
use super::stream_copy::{CopyTask, RunCopy};
use super::stream_places::QUESTION_PAUSE;
use super::stream_pump::StreamPump;
use crate::call::RunPlace;
use crate::run_end_watch::OpenRun;
use crate::runner_gate::SendPurpose;
use crate::runner_send::{SendFailure, SendPlan, connect_to_runner, send_connected};

/// Time for which a stopped run waits for a runner to go on with it. A runner that has its memory
/// answers with its next step.
const HEAD_TIME: TimeSpan = TimeSpan::millis(250);
/// Number of times that each place of a stopped run's memory is asked to go on with it.
const RESUME_ROUNDS: u32 = 3;
/// Pause between these times.
const ROUND_PAUSE: TimeSpan = TimeSpan::millis(75);
/// Time to keep for another return when a run that has returned leaves again.
const RETURN_MARGIN: TimeSpan = TimeSpan::millis(500);
/// Reason of a run that may not go on at its source any more.
const RETURN_LATE: &str = "source_left";

impl StreamPump {
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
    pub(super) async fn resume_stopped(
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
