//! Where a run goes on that its source has stopped as ordered.
//!
//! Load pattern: the next runner is full, silent or cut off from this node. What was stopped goes on from
//! its copy, or returns to its source, which keeps its memory.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use platform::ResumeSource;
use serving::{AnswerPlace, RunnerLoss, RunnerRecord, SendOutcome};
use web::{WebConnection, WebExchange};

use super::run_stop::{ORDER_PAUSE, ORDER_SILENCE, StopAnswer};
use super::stream_backup::choose_backup;
use super::stream_copy::{CopyTask, RunCopy};
use super::stream_places::QUESTION_PAUSE;
use super::stream_pump::StreamPump;
use crate::call::RunPlace;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::reach::is_unreached;
use crate::run_end_watch::OpenRun;
use crate::runner_gate::SendPurpose;
use crate::runner_send::{SendFailure, SendPlan, connect_to_runner, send_connected};

/// Time for which a stopped run that can go on elsewhere waits for a runner to go on with it. A runner that
/// has its memory answers with its next step.
const HEAD_TIME: TimeSpan = TimeSpan::millis(250);
/// The same for one that cannot, as far as is known: a sound runner may be silent for a second.
const SILENCE_TIME: TimeSpan = TimeSpan::millis(2_500);
/// Reason of a runner that has the memory and was given up for another place.
const HEAD_LATE: &str = "no head in time";
/// Number of times that each place of a stopped run's memory is asked to go on with it.
const RESUME_ROUNDS: u32 = 3;
/// Pause between these times.
const ROUND_PAUSE: TimeSpan = TimeSpan::millis(75);
/// Time to keep for another return when a run that has returned leaves again.
const RETURN_MARGIN: TimeSpan = TimeSpan::millis(500);
/// Reason of a run that may not go on at its source any more.
const RETURN_LATE: &str = "source_left";

/// An order to stop the run that is not answered.
struct OpenOrder {
    task: CopyTask,
    /// When it is sent; `None` if it has been.
    begins_at: Option<TimePoint>,
}

impl OpenOrder {
    /// Sends the order when it is time, and waits for its answer.
    async fn answer(&mut self, context: &NodeContext) -> StopAnswer {
        if let Some(begin) = self.begins_at {
            kernel::sleep(begin.since(context.now()).into()).await;
            self.begins_at = None;
        }
        (&mut self.task).await
    }
}

/// Where the memory of a stopped run is.
pub(super) struct StoppedPlaces {
    source: RunnerRecord,
    /// The handover that the run was stopped for.
    handover: SendPlan,
    /// The sends by which the run can go on.
    plans: Vec<SendPlan>,
    /// Runners that may have taken the run and gave no answer.
    lost: Vec<RunnerId>,
    /// The order, while it is not answered.
    order: Option<OpenOrder>,
    /// What the order has left.
    copy: Option<RunCopy>,
}

impl StoppedPlaces {
    fn new(
        source: RunnerRecord,
        plan: &SendPlan,
        order: CopyTask,
        answer: Option<StopAnswer>,
    ) -> Self {
        let order = answer.is_none().then_some(OpenOrder { task: order, begins_at: None });
        let (handover, plans, lost) = (plan.clone(), vec![plan.clone()], Vec::new());
        let mut places = Self { source, handover, plans, lost, order, copy: None };
        if let Some(answer) = answer {
            places.add_stopped(answer);
        }
        places
    }

    /// Adds the places where an order has left the memory of the run: the next runner, if it has a copy, and
    /// the source.
    fn add_stopped(&mut self, answer: StopAnswer) {
        let Ok(copy) = answer else { return };
        let address = self.source.address;
        let resume = ResumeSource { address, handle: copy.handle.clone(), last_event_id: None };
        if copy.is_copied {
            self.plans.push(SendPlan { resume: Some(resume.clone()), ..self.handover.clone() });
        }
        let back = SendPlan::resume(self.source.clone(), resume, None);
        self.plans.push(SendPlan { purpose: SendPurpose::Return, ..back });
        self.copy = Some(copy);
    }

    /// Whether the next runner may have taken the run, and gave no answer.
    pub(super) fn next_may_run(&self) -> bool {
        self.lost.contains(&self.handover.runner.runner)
    }

    /// Keeps the copy that `plan` has used.
    fn keep_used(&mut self, plan: &SendPlan) {
        let used = plan.resume.as_ref().map(|resume| &resume.handle);
        if let Some(copy) = self.copy.take_if(|copy| used == Some(&copy.handle)) {
            copy.keep();
        }
    }
}

impl StreamPump {
    /// Waits for the answer to an order. `None` if the source answers another node, and not this one.
    async fn await_order(&self, mut order: OpenOrder) -> Option<StopAnswer> {
        let mut question = self.ask_source(ORDER_SILENCE);
        loop {
            let place = {
                let mut answered = pin!(order.answer(&self.context).fuse());
                select_biased! {
                    answer = answered => return Some(answer),
                    place = (&mut question).fuse() => place,
                }
            };
            self.log_unanswered_order(&place);
            if matches!(place, AnswerPlace::OtherNode(_)) {
                return None;
            }
            question = self.ask_source(QUESTION_PAUSE);
        }
    }

    /// Sends the request to the runners that have the memory of the stopped run, until one goes on with
    /// it: first as `plan` says, then where the order has left it. Returns the send and its answer, or what is
    /// left of the run.
    pub(super) async fn resume_stopped(
        &mut self,
        plan: &SendPlan,
        connection: WebConnection,
        order: CopyTask,
        answer: Option<StopAnswer>,
    ) -> Result<(SendPlan, WebExchange), StoppedPlaces> {
        let mut connection = Some(connection);
        let mut places = StoppedPlaces::new(self.source.runner.clone(), plan, order, answer);
        for round in 0..RESUME_ROUNDS {
            if round > 0 {
                kernel::sleep(ROUND_PAUSE.into()).await;
            }
            let mut number = 0;
            while let Some(next) = places.plans.get(number).cloned() {
                number += 1;
                if places.lost.contains(&next.runner.runner) {
                    continue;
                }
                match self.resume_at(next.clone(), connection.take(), &mut places).await {
                    Ok(resumed) => {
                        places.keep_used(&resumed.0);
                        return Ok(resumed);
                    }
                    Err(failure) => {
                        self.note_refusal(&next, &failure.reason);
                        if failure.outcome == SendOutcome::Unknown {
                            places.lost.push(next.runner.runner);
                        }
                    }
                }
                if let Some(order) = places.order.take()
                    && let Some(answer) = self.await_order(order).await
                {
                    self.follow_order(&mut places, answer);
                }
            }
        }
        self.log_places(&places);
        Err(places)
    }

    /// Sends the request as `plan` says, and waits for the head of a success: for [`HEAD_TIME`] if the run can
    /// go on elsewhere, and for [`SILENCE_TIME`] as long as no other place is known.
    async fn resume_at(
        &mut self,
        mut plan: SendPlan,
        connection: Option<WebConnection>,
        places: &mut StoppedPlaces,
    ) -> Result<(SendPlan, WebExchange), SendFailure> {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        self.prepare_return(&mut plan)?;
        if let Some(resume) = &mut plan.resume {
            resume.last_event_id = self.scanner.last_id();
        }
        let connection = if let Some(connection) = connection {
            connection
        } else {
            let connecting = connect_to_runner(&context, &call, &plan.runner, plan.purpose);
            Box::pin(connecting).await?
        };
        call.run_place.replace(RunPlace::Runner(plan.runner.runner.clone()));
        let run = OpenRun::new(&context, &call, &plan.runner);
        let sent = self.send_to_place(&plan, connection, places).await;
        if sent.as_ref().is_err_and(|failure| failure.outcome == SendOutcome::Unknown) {
            // It may work on the run, which goes on elsewhere.
            drop(run);
        } else {
            run.finish();
        }
        let exchange = sent?;
        let status = exchange.response.status();
        if status.is_success() {
            return Ok((plan, exchange));
        }
        Err(SendFailure::withheld(&status.to_string()))
    }

    /// Assigns the call to the runner of `plan`, and checks whether the run may still return to its source.
    fn prepare_return(&mut self, plan: &mut SendPlan) -> Result<(), SendFailure> {
        let is_return = plan.purpose == SendPurpose::Return;
        if is_return && !self.may_return(TimeSpan::default()) {
            return Err(SendFailure::withheld(RETURN_LATE));
        }
        if self.ticket.assigned_runner().as_ref() != Some(&plan.runner.runner) {
            self.ticket.relocate_to(&plan.runner.runner);
        }
        if is_return {
            plan.backup = choose_backup(&self.context, &self.call, &self.ticket);
        }
        Ok(())
    }

    /// Sends the request to one place. What the source answers meanwhile may show another one.
    async fn send_to_place(
        &self,
        plan: &SendPlan,
        connection: WebConnection,
        places: &mut StoppedPlaces,
    ) -> Result<WebExchange, SendFailure> {
        let (context, call) = (&self.context, &self.call);
        let begun = context.now();
        let limit = SILENCE_TIME.min(call.deadline.since(begun));
        let sending = Box::pin(send_connected(context, call, plan, connection, limit));
        let mut sending = pin!(sending.fuse());
        // When the places were last added to.
        let mut known_at = begun;
        loop {
            let has_other =
                places.plans.iter().any(|other| self.is_other_place(other, plan, places));
            let left = (known_at + HEAD_TIME).since(context.now());
            let answer = {
                let late = async {
                    if has_other { kernel::sleep(left.into()).await } else { pending().await }
                };
                let answered = async {
                    match &mut places.order {
                        Some(order) => order.answer(context).await,
                        None => pending().await,
                    }
                };
                let (mut late, mut answered) = (pin!(late.fuse()), pin!(answered.fuse()));
                select_biased! {
                    sent = sending => return sent,
                    answer = answered => answer,
                    () = late => {
                        return Err(SendFailure::stream_lost(HEAD_LATE, RunnerLoss::NoAnswer));
                    }
                }
            };
            places.order = None;
            self.follow_order(places, answer);
            known_at = context.now();
        }
    }

    /// Adds what an order has left; one whose outcome is not known is sent again after a pause.
    fn follow_order(&self, places: &mut StoppedPlaces, answer: StopAnswer) {
        if answer.as_ref().is_err_and(platform::PlatformError::is_outcome_unknown) {
            let (context, attempt) = (Rc::clone(&self.context), self.call.attempt.clone());
            let (from, to) = (places.source.address, places.handover.runner.address);
            let begins_at = Some(context.now() + ORDER_PAUSE);
            let task = CopyTask::stop(context, attempt, from, to);
            places.order = Some(OpenOrder { task, begins_at });
        }
        places.add_stopped(answer);
    }

    /// Whether the run can go on as `other` says instead of as `plan` says.
    fn is_other_place(&self, other: &SendPlan, plan: &SendPlan, places: &StoppedPlaces) -> bool {
        let is_open = other.purpose != SendPurpose::Return || self.may_return(TimeSpan::default());
        let runner = &other.runner.runner;
        is_open && *runner != plan.runner.runner && !places.lost.contains(runner)
    }

    /// Logs what is known of each place of a stopped run that this node goes on with at none of them.
    fn log_places(&self, places: &StoppedPlaces) {
        self.count_move("places_left");
        if !may_log(&self.context) {
            return;
        }
        let next = &places.handover.runner.runner;
        let memory = places.copy.as_ref().map(|copy| copy.handle.as_ref());
        let handover = places.handover.resume.as_ref().map(|resume| resume.handle.as_ref());
        tracing::info!(
            event = "places_left",
            request = %self.call.attempt,
            source = %places.source.runner,
            is_source_unreached = is_unreached(&self.context, &places.source),
            memory,
            is_ordered = places.order.is_some(),
            may_return = self.may_return(TimeSpan::default()),
            %next,
            handover,
            next_may_run = places.next_may_run(),
            events = self.scanner.event_count(),
            left_ms = self.call.deadline.since(self.context.now()).as_millis(),
        );
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
