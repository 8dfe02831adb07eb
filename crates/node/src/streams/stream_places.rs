//! Streams whose next runner does not answer, or has refused the run: where it answers, and the places where
//! the run goes on through another node.

use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::{Either, select};
use futures_util::{FutureExt, select_biased};
use serving::{
    AnswerPlace, NodePlace, PlaceFacts, PlaceNodes, RunnerRecord, SilentPlace, SourceRun,
    WaitDecision, WaitFacts, choose_silent_place, list_node_places,
};

use super::stream_handover::caller_disconnected;
use super::stream_pump::{PumpStep, StreamPump};
use super::stream_silence::SourceCheck;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::forward::ResumeOffer;
use crate::reach::{find_answer_place, find_answering_node, is_unreached};
use crate::runner_send::SendPlan;

/// Time in which a runner that has the memory of a run answers.
const USUAL_ANSWER: TimeSpan = TimeSpan::millis(50);
/// Pause until a runner that does not answer is asked again.
pub(super) const QUESTION_PAUSE: TimeSpan = TimeSpan::millis(250);

/// Shortest time between two rounds in which other nodes are asked to move a run.
pub(super) const MOVE_PAUSE: TimeSpan = TimeSpan::seconds(1);

/// A question to a runner, in progress.
pub(super) type RunnerQuestion = Pin<Box<dyn Future<Output = AnswerPlace>>>;

/// Asks the next runner where it answers: first after the usual time of an answer, then again and again.
pub(super) fn ask_next(
    context: &Rc<NodeContext>,
    runner: &RunnerRecord,
    is_first: bool,
) -> RunnerQuestion {
    ask_runner(context, runner, if is_first { USUAL_ANSWER } else { QUESTION_PAUSE })
}

/// Asks a runner after a pause where it answers.
pub(super) fn ask_runner(
    context: &Rc<NodeContext>,
    runner: &RunnerRecord,
    pause: TimeSpan,
) -> RunnerQuestion {
    let (context, runner) = (Rc::clone(context), runner.clone());
    Box::pin(async move {
        kernel::sleep(pause.into()).await;
        find_answer_place(&context, &runner).await
    })
}

/// Asks for the runner with the copy of a run, and for its source, which other node gets their answers.
/// Nobody waits for the source's once there is one for the copy.
async fn find_place_nodes(
    context: Rc<NodeContext>,
    source: RunnerRecord,
    backup: RunnerRecord,
) -> PlaceNodes {
    let of_copy = pin!(find_answering_node(&context, &backup));
    let of_source = pin!(find_answering_node(&context, &source));
    match select(of_copy, of_source).await {
        Either::Left((None, of_source)) => PlaceNodes { copy: None, source: of_source.await },
        Either::Left((copy, _)) => PlaceNodes { copy, source: None },
        Either::Right((source, of_copy)) => PlaceNodes { copy: of_copy.await, source },
    }
}

impl StreamPump {
    /// Finds out where a run goes on whose copy this node does not reach either. Returns `false` if it
    /// does.
    pub(super) fn begin_place_question(&mut self) -> bool {
        let backup = self.source.backup.clone();
        let Some(backup) = backup.filter(|backup| is_unreached(&self.context, backup)) else {
            return false;
        };
        if self.pending_check.is_none() {
            let (context, source) = (Rc::clone(&self.context), self.source.runner.clone());
            let question = find_place_nodes(context, source, backup);
            self.pending_check = Some(Box::pin(question.map(SourceCheck::Places)));
        }
        true
    }

    /// Goes on through a node that gets answers of the runner with the copy, or else of the source.
    pub(super) async fn go_to_answering_place(&mut self, nodes: PlaceNodes) -> PumpStep {
        let mut copy_node = None;
        match choose_silent_place(nodes, self.may_move_from_source()) {
            SilentPlace::Copy(node) => copy_node = node,
            SilentPlace::Source(node) => {
                self.ticket.hold_progress();
                self.log_silent_source(Some(&node));
                if let Some(step) = self.move_through_node(node).await {
                    return step;
                }
            }
        }
        if self.may_resume() { self.go_on_from_copy(copy_node).await } else { PumpStep::Continue }
    }

    /// Logs and counts what was found out about a next runner that does not answer, and what follows.
    pub(super) fn log_wait(&self, plan: &SendPlan, facts: &WaitFacts, decision: WaitDecision) {
        self.count_move("next_silent");
        if !may_log(&self.context) {
            return;
        }
        tracing::info!(
            event = "next_silent",
            request = %self.call.attempt,
            runner = %plan.runner.runner,
            source = ?facts.source,
            answered = facts.answered.as_ref().map(AnswerPlace::as_str),
            source_answered = facts.source_answered.as_ref().map(AnswerPlace::as_str),
            is_overlap_over = facts.is_overlap_over,
            ?decision,
            left_ms = self.call.deadline.since(self.context.now()).as_millis(),
        );
    }

    /// Logs and counts what was found out about a source that does not answer the order to stop a run.
    pub(super) fn log_unanswered_order(&self, place: &AnswerPlace) {
        self.count_move("order_silent");
        if !may_log(&self.context) {
            return;
        }
        tracing::info!(
            event = "order_silent",
            request = %self.call.attempt,
            runner = %self.source.runner.runner,
            answered = place.as_str(),
            left_ms = self.call.deadline.since(self.context.now()).as_millis(),
        );
    }

    /// Goes on through another node that reaches the runner of `plan`, or the source. That runner may
    /// have taken the run if `next_may_run`. Returns `None` if the run goes on at no place.
    pub(super) async fn go_on_through_node(
        &mut self,
        plan: &SendPlan,
        next_may_run: bool,
    ) -> Option<PumpStep> {
        let facts = PlaceFacts {
            next_may_run: next_may_run && self.call.supports_moves,
            has_memory: plan.resume.is_some(),
            source: self.source_run(),
        };
        for place in list_node_places(facts) {
            let last_event_id = self.scanner.last_id();
            let step = match (place, &plan.resume) {
                (NodePlace::NextRun, _) => {
                    let offer = ResumeOffer::of_run(&plan.runner, last_event_id);
                    self.resume_through_node(&offer, None).await
                }
                (NodePlace::NextMemory, Some(memory)) => {
                    let offer = ResumeOffer::of_memory(&plan.runner, memory, last_event_id)
                        .instead_of(&self.source.runner);
                    self.resume_through_node(&offer, None).await
                }
                (NodePlace::NextMemory, None) => None,
                (NodePlace::SourceRun, _) => self.move_from_source().await,
            };
            if step.is_some() {
                return step;
            }
        }
        None
    }

    fn source_run(&self) -> SourceRun {
        match (self.may_move_from_source(), self.source.is_relayed) {
            (false, _) => SourceRun::NotMoved,
            (true, false) => SourceRun::MayRun,
            (true, true) => SourceRun::Works,
        }
    }

    /// Whether another node may be asked to move the run away from its source.
    pub(super) fn may_move_from_source(&self) -> bool {
        self.call.supports_moves && self.context.now() >= self.next_move
    }

    /// Has another node move the run away from a source, if that answers one.
    pub(super) async fn move_from_source(&mut self) -> Option<PumpStep> {
        let source = self.source.runner.clone();
        let (context, disconnected) = (Rc::clone(&self.context), self.caller.disconnected.clone());
        let node = {
            let mut found = pin!(find_answering_node(&context, &source).fuse());
            let mut disconnected = pin!(disconnected.wait().fuse());
            select_biased! {
                () = disconnected => return Some(caller_disconnected()),
                node = found => node,
            }
        };
        self.move_through_node(node?).await
    }

    /// Has another node, `node` before others, move the run away from its source.
    pub(super) async fn move_through_node(&mut self, node: VmId) -> Option<PumpStep> {
        self.next_move = self.context.now() + MOVE_PAUSE;
        let offer = ResumeOffer::of_run(&self.source.runner, self.scanner.last_id());
        self.resume_through_node(&offer, Some(node)).await
    }
}
