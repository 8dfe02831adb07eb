//! What is left of a run that was ordered to stop: its places, and the memory that is kept there.

use std::rc::Rc;

use base::prelude::*;
use life::{LeftFacts, LeftPlace, OrderLeft, RunMemory, RunPlaces};
use platform::{PlatformError, ResumeSource};
use serving::{RunnerRecord, SendOutcome};

use super::stop_order::{ORDER_PAUSE, StopAnswer};
use super::stream_copy::{CopyTask, RunCopy};
use crate::call::Call;
use crate::context::NodeContext;
use crate::forward::{ResumeOffer, RunHandle};
use crate::runner_gate::{SendPurpose, is_closed};
use crate::runner_send::SendPlan;

/// An order to stop the run that is not answered.
struct OpenOrder {
    task: CopyTask,
    /// When it is sent; `None` if it has been.
    begins_at: Option<TimePoint>,
}

/// The places of a stopped run, and what the order has left there. It is freed when this is dropped.
pub struct StoppedPlaces {
    /// The runner that was ordered to stop the run.
    pub(super) source: RunnerRecord,
    /// The send that the run was stopped for.
    pub(super) handover: SendPlan,
    /// What is known of the places.
    pub(super) places: RunPlaces,
    order: Option<OpenOrder>,
    copy: Option<RunCopy>,
    /// The copy that the next runner had before, if this node has asked for it.
    earlier_copy: Option<RunCopy>,
    /// Another node that gets answers of the source, which this one does not.
    pub(super) source_node: Option<VmId>,
    /// The same of the next runner.
    pub(super) next_node: Option<VmId>,
    /// Until when the source may get the run back; `None` if it stays.
    return_end: Option<TimePoint>,
    /// Until when the next runner may get the run although it leaves, or its place is evacuated.
    next_end: TimePoint,
}

impl StoppedPlaces {
    /// A run that `source` was ordered to stop, for `handover`.
    #[must_use]
    pub fn new(
        source: RunnerRecord,
        handover: SendPlan,
        ends: (Option<TimePoint>, TimePoint),
    ) -> Self {
        let places = RunPlaces::new(handover.resume.is_some());
        let (return_end, next_end) = ends;
        Self {
            source,
            handover,
            places,
            order: None,
            copy: None,
            earlier_copy: None,
            source_node: None,
            next_node: None,
            return_end,
            next_end,
        }
    }

    /// The same, of an order that is not answered if there is no `answer`.
    #[must_use]
    pub(super) fn with_order(mut self, task: CopyTask, answer: Option<StopAnswer>) -> Self {
        match answer {
            Some(answer) => self.note_answer(answer),
            None => self.order = Some(OpenOrder { task, begins_at: None }),
        }
        self
    }

    /// Whether the order is not answered.
    pub(super) fn is_order_open(&self) -> bool {
        self.order.is_some()
    }

    /// The handle of what the order has left.
    pub(super) fn handle(&self) -> Option<&Arc<str>> {
        self.copy.as_ref().map(|copy| &copy.handle)
    }

    /// Waits for the answer to the order, which is sent when it is time; forever without one. Gives the answer to
    /// [`StoppedPlaces::follow_answer`].
    pub(super) async fn next_answer(&mut self, context: &NodeContext) -> StopAnswer {
        let Some(order) = &mut self.order else { return std::future::pending().await };
        if let Some(begin) = order.begins_at {
            kernel::sleep(begin.since(context.now()).into()).await;
            order.begins_at = None;
        }
        let answer = (&mut order.task).await;
        self.order = None;
        answer
    }

    /// Records what the order has left; one whose outcome is not known is sent again after a pause.
    pub(super) fn follow_answer(
        &mut self,
        context: &Rc<NodeContext>,
        call: &Call,
        answer: StopAnswer,
    ) {
        if answer.as_ref().is_err_and(PlatformError::is_outcome_unknown) {
            let begins_at = Some(context.now() + ORDER_PAUSE);
            let task = CopyTask::stop(context, call, &self.source, self.handover.runner.address);
            self.order = Some(OpenOrder { task, begins_at });
        }
        self.note_answer(answer);
    }

    fn note_answer(&mut self, answer: StopAnswer) {
        let left = match answer {
            Ok(copy) => {
                let is_copied = copy.is_copied;
                self.copy = Some(copy);
                OrderLeft::Memory { is_copied }
            }
            Err(_) if self.order.is_some() => OrderLeft::Open,
            Err(_) => OrderLeft::Nothing,
        };
        self.places.note_order(left);
    }

    /// Records that the runner of `memory` answers another node, and not this one.
    pub(super) fn note_node(&mut self, memory: RunMemory, node: VmId) {
        let known = match memory {
            RunMemory::Source => &mut self.source_node,
            RunMemory::Copy | RunMemory::Rest => &mut self.next_node,
        };
        *known = Some(node);
    }

    /// What decides which places are left.
    pub(super) fn facts(&self, context: &NodeContext) -> LeftFacts {
        let next_answers = self.next_node.is_some();
        let now = context.now();
        let may_return = self.return_end.is_none_or(|end| now < end);
        let may_ask_next = now < self.next_end || !is_closed(context, &self.handover.runner.runner);
        LeftFacts { may_return, may_ask_next, next_answers }
    }

    /// The send by which the run goes on from `memory`; `None` if this node cannot ask for that now.
    pub(super) fn plan(&self, context: &NodeContext, memory: RunMemory) -> Option<SendPlan> {
        if !self.places.is_open_at(memory, self.facts(context)) {
            return None;
        }
        let purpose = if context.now() < self.next_end {
            SendPurpose::StoppedRun
        } else {
            SendPurpose::NewWork
        };
        let resume = self.memory(memory)?;
        Some(match memory {
            RunMemory::Copy => SendPlan { purpose, ..self.handover.clone() },
            RunMemory::Rest => SendPlan { purpose, resume: Some(resume), ..self.handover.clone() },
            RunMemory::Source => SendPlan {
                purpose: SendPurpose::Return,
                ..SendPlan::resume(self.source.clone(), resume, None)
            },
        })
    }

    /// The runner of another place than that of `memory`, if the run can go on there.
    pub(super) fn other_runner(
        &self,
        context: &NodeContext,
        memory: RunMemory,
    ) -> Option<RunnerRecord> {
        let is_open = self.places.has_other(memory, self.facts(context));
        let is_source = memory == RunMemory::Source;
        let other = if is_source { &self.handover.runner } else { &self.source };
        is_open.then(|| other.clone())
    }

    /// Where a memory is found.
    pub(super) fn memory(&self, memory: RunMemory) -> Option<ResumeSource> {
        if memory == RunMemory::Copy {
            return self.handover.resume.clone();
        }
        let (address, handle) = (self.source.address, self.handle()?.clone());
        Some(ResumeSource { address, handle, last_event_id: None })
    }

    /// How `place` is offered to other nodes, and the one that is asked first.
    pub(super) fn offer(
        &self,
        place: LeftPlace,
        last_event_id: Option<u64>,
    ) -> Option<(ResumeOffer, Option<VmId>)> {
        let next = &self.handover.runner;
        let (offer, node) = match place {
            LeftPlace::NextRun => (ResumeOffer::of_run(next, last_event_id), &self.next_node),
            LeftPlace::SourceRun => {
                (ResumeOffer::of_run(&self.source, last_event_id), &self.source_node)
            }
            LeftPlace::SourceMemory => (self.offer_source(last_event_id)?, &self.source_node),
            LeftPlace::NextMemory(memory) => {
                let offer = ResumeOffer::of_memory(next, &self.memory(memory)?, last_event_id);
                (offer.instead_of(&self.source), &self.next_node)
            }
        };
        Some((offer, node.clone()))
    }

    /// The memory at the source. A run that the next runner may have taken is ended there.
    fn offer_source(&self, last_event_id: Option<u64>) -> Option<ResumeOffer> {
        let handle = RunHandle { address: self.source.address, handle: self.handle()?.clone() };
        let offer = ResumeOffer::of_run(&self.source, last_event_id).of_stopped(handle);
        let is_next_left = self.places.next_may_run();
        Some(if is_next_left { offer.instead_of(&self.handover.runner) } else { offer })
    }

    /// Until when nodes may be offered `place`.
    pub(super) fn offer_end(&self, place: LeftPlace, deadline: TimePoint) -> TimePoint {
        let return_end = self.return_end.filter(|_| place == LeftPlace::SourceMemory);
        return_end.unwrap_or(deadline).min(deadline)
    }

    /// The run goes on from `memory`, or has been asked to and may.
    pub(super) fn note_use(&mut self, memory: RunMemory) {
        self.places.note_use(memory);
        self.keep_used(memory);
    }

    /// A request to go on from `memory` was not answered with the run.
    pub(super) fn note_failure(&mut self, memory: RunMemory, outcome: SendOutcome) {
        self.places.note_failure(memory, outcome);
    }

    /// Keeps the copy of before the order like what the order has left; one that is used, or may be, is not freed.
    pub(super) fn hold_earlier(&mut self, copy: RunCopy) {
        if self.places.has_copy() {
            self.earlier_copy = Some(copy);
        } else {
            copy.keep();
        }
    }

    /// Does not free a memory that a runner has used.
    fn keep_used(&mut self, memory: RunMemory) {
        let used = self.memory(memory).map(|resume| resume.handle);
        if let Some(copy) = self.copy.take_if(|copy| Some(&copy.handle) == used.as_ref()) {
            copy.keep();
        }
    }
}
