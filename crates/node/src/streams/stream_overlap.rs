//! The time in which the next runner of a stream is asked to go on, while the source is read.
//!
//! Load pattern: the next runner may be slow, silent for a moment, or cut off from this node, and so may
//! the source. Which of them is given up is decided by what the next one answers.

use std::cell::Cell;
use std::future::pending;
use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::{Fuse, FusedFuture};
use futures_util::{FutureExt, select_biased};
use hyper::body::Bytes;
use serving::{
    AnswerPlace, OverlapRule, SourceState, StreamScanner, WaitDecision, WaitFacts, asks_source,
    decide_wait,
};
use web::{ReadCharge, WebConnection, WebExchange};

use super::stream_handover::describe_loss;
use super::stream_places::{MOVE_PAUSE, RunnerQuestion, ask_next};
use super::stream_pump::{PumpStep, StreamPump};
use super::stream_source::is_event_stream;
use crate::call_log::RequestOutcome;
use crate::context::NodeContext;
use crate::forward::{ResumeOffer, TakenResume, offer_resume};
use crate::run_end_watch::OpenRun;
use crate::runner_send::{SendFailure, SendPlan, send_connected};

/// Time that another runner has to take over a run from one that is still working on it. Two
/// runners may not work on one request for longer than 400 ms.
pub(crate) const MAX_OVERLAP: TimeSpan = TimeSpan::millis(250);

/// How the time ended in which the next runner was asked to go on.
pub(super) enum OverlapEnd {
    /// The next runner has answered.
    Answered(WebExchange),
    /// The next runner gave no answer to go on with.
    Failed(SendFailure),
    /// The next runner has not answered in time, and the source still works: the connection to
    /// the next one is closed, so that only the source goes on.
    Unanswered,
    /// The next runner answers another node, and not this one: it may have taken the run.
    CutOff,
    /// Another node has moved the run away from the source.
    Moved(TakenResume),
    /// The stream has ended.
    End(PumpStep),
    /// The source has delivered the stream to its end.
    SourceEnded,
    /// The caller closed the connection.
    CallerDisconnected,
}

/// What happens while the next runner is asked to go on.
enum OverlapInput {
    /// The caller closed the connection.
    CallerDisconnected,
    /// The next runner has answered, or failed.
    Sent(Result<WebExchange, SendFailure>),
    /// Data of the source, an error, or the end of its body.
    Frame(Option<Result<Bytes, hyper::Error>>),
    /// Where the runner answers that was asked.
    Asked(AnswerPlace),
    /// The node that has moved the run away from the source; `None` if none has.
    Offered(Option<TakenResume>),
    /// [`MAX_OVERLAP`] has passed.
    OverlapOver,
}

/// An offer of the run at the source to other nodes, in progress.
type OfferFuture<'a> = Pin<Box<dyn Future<Output = Option<TakenResume>> + 'a>>;

/// The questions where the next runner and the source answer, and what is known.
struct OverlapQuestions {
    /// The question that is open.
    open: RunnerQuestion,
    /// Whether the source is asked.
    is_of_source: bool,
    next: Option<AnswerPlace>,
    /// Since the last answer of the next runner.
    source: Option<AnswerPlace>,
}

impl OverlapQuestions {
    fn of_next(open: RunnerQuestion) -> Self {
        Self { open, is_of_source: false, next: None, source: None }
    }

    fn record(&mut self, place: AnswerPlace) {
        if self.is_of_source {
            self.source = Some(place);
        } else {
            self.next = Some(place);
            self.source = None;
        }
    }

    fn facts(&self, source: SourceState, rule: OverlapRule, is_overlap_over: bool) -> WaitFacts {
        let (answered, source_answered) = (self.next.clone(), self.source.clone());
        WaitFacts { source, rule, is_overlap_over, answered, source_answered }
    }
}

/// What a source delivered after the next runner was asked to go on. It is forwarded only if
/// that runner does not take over, since it would make the same events again.
pub(super) struct HeldEvents {
    pub(super) frames: Vec<Bytes>,
    /// Reads the frames ahead of their forwarding.
    scanner: StreamScanner,
    malformed: bool,
    /// Bytes of the frames.
    bytes: usize,
    charge: ReadCharge,
}

impl HeldEvents {
    /// Nothing held yet; `scanner` is that of the forwarded events.
    pub(super) fn new(scanner: &StreamScanner, charge: ReadCharge) -> Self {
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

    /// Whether the held frames end inside an event, or cannot be read.
    fn is_in_event(&self) -> bool {
        self.malformed || self.scanner.has_partial_event()
    }
}

/// Waits until `end`, from which on the source may no longer work beside the next runner; forever without
/// one.
pub(crate) async fn overlap_left(context: &NodeContext, end: Option<TimePoint>) {
    match end {
        Some(end) => kernel::sleep(end.since(context.now()).into()).await,
        None => pending().await,
    }
}

impl StreamPump {
    /// Sends the request and waits for the head of the answer. What the source delivers
    /// meanwhile goes to `held`. While both are kept and one of them works, the wait takes [`MAX_OVERLAP`]
    /// at most.
    pub(super) async fn send_with_overlap(
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
        let mut questions = OverlapQuestions::of_next(ask_next(&context, &plan.runner, true));
        let mut is_overlap_over = false;
        let source_offer = ResumeOffer::of_run(&self.source.runner, self.scanner.last_id());
        let is_back = Cell::new(false);
        let mut offer: Option<OfferFuture<'_>> = None;
        loop {
            let due = (!is_overlap_over).then_some(overlap_end);
            let open = (&mut questions.open, &mut offer);
            let input = self.next_overlap_input(send.as_mut(), open, due).await;
            let is_news = matches!(input, OverlapInput::Asked(_));
            match input {
                OverlapInput::CallerDisconnected => return OverlapEnd::CallerDisconnected,
                OverlapInput::Sent(outcome) => {
                    run.finish();
                    return self.end_send(outcome, offer, held).await;
                }
                OverlapInput::Frame(Some(Ok(bytes))) => {
                    is_back.set(true);
                    held.push(bytes);
                }
                OverlapInput::Frame(None) if self.ends_stream(held.is_in_event()) => {
                    return OverlapEnd::SourceEnded;
                }
                OverlapInput::Frame(lost) => {
                    is_back.set(false);
                    self.log_send_failure(&describe_loss(lost));
                    self.close_source();
                }
                OverlapInput::Asked(place) => questions.record(place),
                OverlapInput::Offered(Some(taken)) => return OverlapEnd::Moved(taken),
                OverlapInput::Offered(None) => offer = None,
                OverlapInput::OverlapOver => is_overlap_over = true,
            }
            let facts = questions.facts(self.source_state(held), rule, is_overlap_over);
            let decision = decide_wait(&facts);
            if is_news {
                self.ask_on(&mut questions, &facts, plan);
            }
            if is_news || decision != WaitDecision::Wait {
                self.log_wait(plan, &facts, decision);
            }
            match decision {
                // The next runner may refuse, and what the source has sent may be late: it is read on.
                WaitDecision::Wait | WaitDecision::LeaveSource => (),
                WaitDecision::LeaveNext => {
                    // The source works again: the next runner may not work beside it any longer.
                    send.set(Fuse::terminated());
                    run.leave();
                    let Some(offer) = offer else { return OverlapEnd::Unanswered };
                    return self.await_offer(offer, held).await;
                }
                // The other node may have stopped the run at the source: what it answers comes first.
                _ if offer.is_some() => (),
                WaitDecision::LeaveThisNode => return OverlapEnd::CutOff,
                WaitDecision::MoveSource => {
                    if let Some(AnswerPlace::OtherNode(node)) = facts.source_answered
                        && self.may_move_from_source()
                    {
                        self.next_move = context.now() + MOVE_PAUSE;
                        let node = Some(node);
                        let offering = offer_resume(&context, &call, &source_offer, node, &is_back);
                        offer = Some(Box::pin(offering));
                    }
                }
            }
        }
    }

    /// Follows the outcome of a send. If the next runner does not go on with the run, an open offer is waited
    /// for: its node may have stopped the run at the source.
    async fn end_send(
        &mut self,
        outcome: Result<WebExchange, SendFailure>,
        offer: Option<OfferFuture<'_>>,
        held: &mut HeldEvents,
    ) -> OverlapEnd {
        let goes_on = outcome.as_ref().is_ok_and(|exchange| is_event_stream(&exchange.response));
        let end = outcome.map_or_else(OverlapEnd::Failed, OverlapEnd::Answered);
        let Some(offer) = offer.filter(|_| !goes_on) else { return end };
        match self.await_offer(offer, held).await {
            OverlapEnd::Unanswered => end,
            offered => offered,
        }
    }

    /// Forwards the source until it is known whether another node has moved its run.
    async fn await_offer(
        &mut self,
        mut offer: OfferFuture<'_>,
        held: &mut HeldEvents,
    ) -> OverlapEnd {
        let frames = std::mem::take(&mut held.frames);
        if let Some(end) = self.forward_frames(frames).await {
            return OverlapEnd::End(end);
        }
        loop {
            let frame = {
                let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
                let mut frame = pin!(self.source.next_frame().fuse());
                select_biased! {
                    () = disconnected => return OverlapEnd::CallerDisconnected,
                    taken = (&mut offer).fuse() => {
                        return taken.map_or(OverlapEnd::Unanswered, OverlapEnd::Moved);
                    }
                    frame = frame => frame,
                }
            };
            match frame {
                Some(Ok(bytes)) => {
                    self.record_activity(self.context.now());
                    if let end @ PumpStep::End(..) = self.forward_events(&bytes).await {
                        return OverlapEnd::End(end);
                    }
                }
                None if self.ends_stream(self.scanner.has_partial_event()) => {
                    let whole = PumpStep::End(RequestOutcome::Streamed, "");
                    return OverlapEnd::End(whole);
                }
                lost => {
                    self.log_send_failure(&describe_loss(lost));
                    self.close_source();
                }
            }
        }
    }

    /// Asks the source at once if its answer decides, or else the next runner again.
    fn ask_on(&self, questions: &mut OverlapQuestions, facts: &WaitFacts, plan: &SendPlan) {
        questions.is_of_source = asks_source(facts) && self.may_move_from_source();
        questions.open = if questions.is_of_source {
            self.ask_source(TimeSpan::default())
        } else {
            ask_next(&self.context, &plan.runner, false)
        };
    }

    /// Waits for the next input. The order of the branches is their priority.
    async fn next_overlap_input(
        &mut self,
        mut send: Pin<&mut impl FusedFuture<Output = Result<WebExchange, SendFailure>>>,
        (question, offer): (&mut RunnerQuestion, &mut Option<OfferFuture<'_>>),
        due: Option<TimePoint>,
    ) -> OverlapInput {
        let offering = async {
            match offer {
                Some(offer) => offer.await,
                None => pending().await,
            }
        };
        let overlap_end = due.filter(|_| !self.source.ended);
        let context = Rc::clone(&self.context);
        let mut overlap = pin!(overlap_left(&context, overlap_end).fuse());
        let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
        let mut asked = pin!(question.fuse());
        let mut offered = pin!(offering.fuse());
        let mut frame = pin!(self.source.next_frame().fuse());
        select_biased! {
            () = disconnected => OverlapInput::CallerDisconnected,
            outcome = send => OverlapInput::Sent(outcome),
            taken = offered => OverlapInput::Offered(taken),
            frame = frame => OverlapInput::Frame(frame),
            place = asked => OverlapInput::Asked(place),
            () = overlap => OverlapInput::OverlapOver,
        }
    }

    /// What the source has done since the next runner got the run.
    fn source_state(&self, held: &HeldEvents) -> SourceState {
        match (self.source.ended, held.frames.is_empty()) {
            (true, _) => SourceState::Ended,
            (false, true) => SourceState::Silent,
            (false, false) => SourceState::Active,
        }
    }
}
