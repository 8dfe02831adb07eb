//! Where a run goes on that its source has stopped as ordered.
//!
//! Load pattern: the next runner is full, silent or cut off from this node. What was stopped goes on from
//! its copy, or returns to its source, which keeps its memory.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::{Either, select};
use futures_util::{FutureExt, select_biased};
use life::{LeftPlace, RunMemory};
use serving::{AnswerPlace, RunnerLoss, RunnerRecord, SendOutcome};
use web::{WebConnection, WebExchange};

use super::place_questions::{AnswerSeries, OtherQuestion};
use super::stop_order::{ORDER_SILENCE, StopAnswer};
use super::stopped_places::StoppedPlaces;
use super::stream_backup::choose_backup;
use super::stream_places::{QUESTION_PAUSE, ask_next};
use super::stream_pump::{PumpStep, StreamPump};
use crate::call::RunPlace;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::reach::{find_answering_node, is_unreached};
use crate::run_end_watch::OpenRun;
use crate::runner_gate::{SendPurpose, stopped_run_window};
use crate::runner_send::{SendFailure, SendPlan, connect_to_runner, send_connected};

/// Time after which the runner of another place is asked, if there is one. A runner that has the memory of a run
/// answers with its next step.
const HEAD_TIME: TimeSpan = TimeSpan::millis(250);
/// Time after which a runner that answers questions is taken not to answer the request. A sound one may be silent for a
/// second.
const SILENCE_TIME: TimeSpan = TimeSpan::millis(2_500);
/// Reason of a runner that has the memory and was given up for another place.
const HEAD_LATE: &str = "no head in time";
/// Number of times that each place of a stopped run's memory is asked to go on with it.
const RESUME_ROUNDS: u32 = 3;
/// Pause between these times.
const ROUND_PAUSE: TimeSpan = TimeSpan::millis(75);
/// Time to keep for another return when a run that has returned leaves again.
const RETURN_MARGIN: TimeSpan = TimeSpan::millis(500);
/// Shortest pause until the places that have not gone on with the run are asked again; it doubles with each round.
const OFFER_PAUSE: TimeSpan = TimeSpan::millis(150);
/// Longest such pause.
const MAX_OFFER_PAUSE: TimeSpan = TimeSpan::millis(1_200);

/// How a stopped run goes on.
pub(super) enum StoppedResume {
    /// At a runner that this node reads.
    Here(Box<SendPlan>, WebExchange),
    /// Through another node, or the stream has ended.
    Through(PumpStep),
    /// At no place: all of them are gone, or the deadline has passed.
    Nowhere,
}

/// Waits until a runner answers another node, and not this one.
async fn wait_answer_elsewhere(context: &Rc<NodeContext>, runner: &RunnerRecord) -> VmId {
    let mut question = ask_next(context, runner, true);
    loop {
        if let AnswerPlace::OtherNode(node) = question.await {
            return node;
        }
        question = ask_next(context, runner, false);
    }
}

/// What happens while a place is asked to go on with the run.
enum PlaceInput {
    /// The order is answered.
    Answered(StopAnswer),
    /// Where the runner of the place answers.
    Asked(AnswerPlace),
    /// Where the runner of the other place answers.
    OtherAsked(AnswerPlace),
}

impl StreamPump {
    /// Waits for the answer to the order, unless the source answers another node, and not this one.
    async fn await_order(&self, places: &mut StoppedPlaces) {
        let mut question = self.ask_source(ORDER_SILENCE);
        while places.is_order_open() {
            let place = {
                let mut answered = pin!(places.next_answer(&self.context).fuse());
                select_biased! {
                    answer = answered => Err(answer),
                    place = (&mut question).fuse() => Ok(place),
                }
            };
            match place {
                Err(answer) => {
                    places.follow_answer(&self.context, &self.call, answer);
                    return;
                }
                Ok(place) => {
                    self.log_unanswered_order(&place);
                    if matches!(place, AnswerPlace::OtherNode(_)) {
                        return;
                    }
                    question = self.ask_source(QUESTION_PAUSE);
                }
            }
        }
    }

    /// What is left of a run that its source was ordered to stop at `ordered_at`, for `handover`.
    pub(super) fn begin_places(&self, handover: &SendPlan, ordered_at: TimePoint) -> StoppedPlaces {
        let window = stopped_run_window(&self.context);
        let return_end = self.leaving_since.map(|since| since + window);
        let ends = (return_end, ordered_at + window);
        StoppedPlaces::new(self.source.runner.clone(), handover.clone(), ends)
    }

    /// Goes on with a run that its source was ordered to stop: here where one of its places takes it, or else through
    /// another node. That none has taken it so far is no reason to give it up while a place may still do so.
    pub(super) async fn resume_stopped(
        &mut self,
        connection: Option<WebConnection>,
        places: &mut StoppedPlaces,
    ) -> StoppedResume {
        let mut connection = connection;
        let mut rounds = RESUME_ROUNDS;
        let mut pause = OFFER_PAUSE;
        while self.call.deadline > self.context.now() {
            if let Some(resumed) = self.resume_here(rounds, connection.take(), places).await {
                return resumed;
            }
            if rounds == RESUME_ROUNDS {
                self.log_places(places);
            }
            if let Some(step) = self.resume_through_nodes(places).await {
                return StoppedResume::Through(step);
            }
            if !self.has_places(places) {
                break;
            }
            rounds = 1;
            self.pause_round(pause, places).await;
            pause = TimeSpan(pause.0 * 2).min(MAX_OFFER_PAUSE);
            self.ask_next_node(places).await;
        }
        StoppedResume::Nowhere
    }

    /// Whether a place of the run may still give it.
    pub(super) fn has_places(&self, places: &StoppedPlaces) -> bool {
        places.places.is_left(places.facts(&self.context))
    }

    /// Waits until the places are asked again, or the order is answered.
    async fn pause_round(&self, pause: TimeSpan, places: &mut StoppedPlaces) {
        let answer = {
            let mut answered = pin!(places.next_answer(&self.context).fuse());
            let mut passed = pin!(kernel::sleep(pause.into()).fuse());
            select_biased! {
                answer = answered => answer,
                () = passed => return,
            }
        };
        places.follow_answer(&self.context, &self.call, answer);
    }

    /// Finds out which other node gets answers of a next runner that may have taken the run.
    async fn ask_next_node(&self, places: &mut StoppedPlaces) {
        places.next_node = None;
        if places.places.next_may_run() {
            places.next_node = find_answering_node(&self.context, &places.handover.runner).await;
        }
    }

    /// Sends the request to the runners that have the memory of the stopped run, until one goes on with
    /// it: first to the one that the run was stopped for, then where the order has left it.
    async fn resume_here(
        &mut self,
        rounds: u32,
        mut connection: Option<WebConnection>,
        places: &mut StoppedPlaces,
    ) -> Option<StoppedResume> {
        for round in 0..rounds {
            if round > 0 {
                kernel::sleep(ROUND_PAUSE.into()).await;
            }
            for memory in RunMemory::ALL {
                let Some(plan) = places.plan(&self.context, memory) else { continue };
                let sent = self.resume_at(memory, plan.clone(), connection.take(), places).await;
                match sent {
                    Ok((plan, exchange)) => {
                        places.note_use(memory);
                        return Some(StoppedResume::Here(Box::new(plan), exchange));
                    }
                    Err(failure) => {
                        self.note_refusal(&plan, &failure.reason);
                        places.note_failure(memory, failure.outcome);
                    }
                }
                self.await_order(places).await;
                if places.source_node.is_some() || places.next_node.is_some() {
                    return None;
                }
            }
        }
        None
    }

    /// Offers the places of the run to other nodes, one after the other. The run at the next runner is offered only
    /// to a node that gets answers of that runner.
    async fn resume_through_nodes(&mut self, places: &mut StoppedPlaces) -> Option<PumpStep> {
        let facts = places.facts(&self.context);
        for place in places.places.list_offers(facts) {
            let last_event_id = self.scanner.last_id();
            let Some((offer, first)) = places.offer(place, last_event_id) else { continue };
            let end = places.offer_end(place, self.call.deadline);
            let step = self.resume_through_node(&offer.once_until(end), first).await;
            if step.is_some() {
                match place {
                    LeftPlace::SourceMemory => places.note_use(RunMemory::Source),
                    LeftPlace::NextMemory(memory) => places.note_use(memory),
                    LeftPlace::NextRun | LeftPlace::SourceRun => (),
                }
                return step;
            }
        }
        None
    }

    /// Sends the request as `plan` says, and waits for the head of a success.
    async fn resume_at(
        &mut self,
        memory: RunMemory,
        mut plan: SendPlan,
        connection: Option<WebConnection>,
        places: &mut StoppedPlaces,
    ) -> Result<(SendPlan, WebExchange), SendFailure> {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        self.prepare_send(&mut plan);
        if let Some(resume) = &mut plan.resume {
            resume.last_event_id = self.scanner.last_id();
        }
        let unused = connection.filter(|_| memory == RunMemory::Copy);
        let connection = if let Some(connection) = unused {
            connection
        } else {
            let connecting = connect_to_runner(&context, &call, &plan.runner, plan.purpose);
            let elsewhere = wait_answer_elsewhere(&context, &plan.runner);
            match select(Box::pin(connecting), Box::pin(elsewhere)).await {
                Either::Left((connected, _)) => connected?,
                Either::Right((node, _)) => {
                    places.note_node(memory, node);
                    return Err(SendFailure {
                        outcome: SendOutcome::NotSent,
                        ..SendFailure::unreached()
                    });
                }
            }
        };
        call.run_place.replace(RunPlace::Runner(plan.runner.runner.clone()));
        let run = OpenRun::new(&context, &call, &plan.runner);
        let sent = self.send_to_place((memory, &plan), connection, places).await;
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

    /// Assigns the call to the runner of `plan`.
    fn prepare_send(&mut self, plan: &mut SendPlan) {
        if self.ticket.assigned_runner().as_ref() != Some(&plan.runner.runner) {
            self.ticket.relocate_to(&plan.runner.runner);
        }
        if plan.purpose == SendPurpose::Return {
            plan.backup = choose_backup(&self.context, &self.call, &self.ticket);
        }
    }

    /// Sends the request to one place. It is given up for another place only if the runner of that one answers: while
    /// nobody does, the link of this node may be full, and a memory is used once.
    async fn send_to_place(
        &self,
        (memory, plan): (RunMemory, &SendPlan),
        connection: WebConnection,
        places: &mut StoppedPlaces,
    ) -> Result<WebExchange, SendFailure> {
        let (context, call) = (&self.context, &self.call);
        let begun = context.now();
        let sending = send_connected(context, call, plan, connection, call.deadline.since(begun));
        let mut sending = pin!(Box::pin(sending).fuse());
        let mut question = ask_next(context, &plan.runner, true);
        let mut other = OtherQuestion { look_at: begun + HEAD_TIME, open: None };
        let (mut own_answers, mut other_answers) =
            (AnswerSeries::default(), AnswerSeries::default());
        let head_late = || Err(SendFailure::stream_lost(HEAD_LATE, RunnerLoss::NoAnswer));
        loop {
            let input = {
                let asked_other = other.answer(context, places.other_runner(context, memory));
                let mut asked_other = pin!(asked_other.fuse());
                let mut answered = pin!(places.next_answer(context).fuse());
                select_biased! {
                    sent = sending => return sent,
                    answer = answered => PlaceInput::Answered(answer),
                    place = (&mut question).fuse() => PlaceInput::Asked(place),
                    place = asked_other => PlaceInput::OtherAsked(place),
                }
            };
            match input {
                PlaceInput::Answered(answer) => {
                    places.follow_answer(context, call, answer);
                    other.look_at = context.now() + HEAD_TIME;
                }
                PlaceInput::Asked(AnswerPlace::OtherNode(node)) => {
                    places.note_node(memory, node);
                    return Err(SendFailure::unreached());
                }
                PlaceInput::Asked(place) => {
                    let now = context.now();
                    if place == AnswerPlace::Nowhere {
                        own_answers.note_silence();
                    } else if own_answers.note_answer(now, now) && now.since(begun) >= SILENCE_TIME
                    {
                        // The request or its answer was lost.
                        return head_late();
                    }
                    question = ask_next(context, &plan.runner, false);
                }
                PlaceInput::OtherAsked(AnswerPlace::Nowhere) => {
                    other_answers.note_silence();
                    other = OtherQuestion { look_at: context.now() + QUESTION_PAUSE, open: None };
                }
                PlaceInput::OtherAsked(AnswerPlace::Here) => {
                    let now = context.now();
                    if other_answers.note_answer(other.look_at, now) {
                        return head_late();
                    }
                    other = OtherQuestion { look_at: now + QUESTION_PAUSE, open: None };
                }
                PlaceInput::OtherAsked(AnswerPlace::OtherNode(node)) => {
                    places.note_node(memory.other_runner(), node);
                    return head_late();
                }
            }
        }
    }

    /// Logs what is known of each place of a stopped run that this node goes on with at none of them.
    fn log_places(&self, places: &StoppedPlaces) {
        self.count_move("places_left");
        if !may_log(&self.context) {
            return;
        }
        let next = &places.handover.runner.runner;
        let memory = places.handle().map(AsRef::as_ref);
        let handover = places.handover.resume.as_ref().map(|resume| resume.handle.as_ref());
        tracing::info!(
            event = "places_left",
            request = %self.call.attempt,
            source = %places.source.runner,
            is_source_unreached = is_unreached(&self.context, &places.source),
            memory,
            is_ordered = places.is_order_open(),
            may_return = places.facts(&self.context).may_return,
            %next,
            handover,
            next_may_run = places.places.next_may_run(),
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
        let window = stopped_run_window(&self.context);
        let end = self.context.now() + margin;
        self.leaving_since.is_none_or(|since| end.since(since) < window)
    }
}
