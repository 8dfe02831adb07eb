//! The end of a source's body, as all that read a source take it.
//!
//! Load pattern: a runner stops a run as ordered, by this node or another one, and closes a body without framing.
//! [`judge_end`] decides what that says; what became of the orders may tell later.

use life::{BodyEnd, EndMeaning, OrderOrigin, judge_end};

use super::stream_pump::{PumpStep, StreamPump};
use super::stream_source::SourceRest;
use crate::call_log::{RequestOutcome, may_log};
use crate::forward::ResumeOffer;

impl StreamPump {
    /// Whether the source, whose body has ended `is_in_event` or between two events, has ended the stream.
    pub(super) fn ends_stream(&mut self, is_in_event: bool) -> bool {
        let end = self.source.body_end(is_in_event, self.stopped_by());
        let meaning = judge_end(&end);
        if meaning == EndMeaning::Unproven {
            self.source.rest = SourceRest::MaybeMemory;
        }
        self.log_source_end(&end, meaning);
        meaning == EndMeaning::Whole
    }

    /// How a stream ends whose source may have ended it: it has, once no order can have stopped its run. `None` if
    /// that is not known, or the source has not ended so.
    pub(super) fn proven_end(&self) -> Option<PumpStep> {
        let is_proven = self.may_be_whole() && self.stopped_by().is_none();
        is_proven.then_some(PumpStep::End(RequestOutcome::Streamed, ""))
    }

    /// Asks the other nodes once more about the run at a source that may have ended the stream, if one of them may
    /// have had it stopped. `None` if none goes on with it, and that it has ended is not certain.
    pub(super) async fn ask_of_stopped_run(&mut self) -> Option<PumpStep> {
        let stopped_by = self.stopped_by().filter(|_| self.may_be_whole());
        let Some(OrderOrigin::OtherNode(node)) = stopped_by else { return self.proven_end() };
        let offer = ResumeOffer::of_run(&self.source.runner, self.scanner.last_id());
        let offer = offer.once_until(self.call.deadline);
        Box::pin(self.resume_through_node(&offer, node)).await
    }

    /// Whether the source may have ended the stream.
    fn may_be_whole(&self) -> bool {
        self.source.rest == SourceRest::MaybeMemory
    }

    /// Who may have had the run at the source stopped.
    pub(super) fn stopped_by(&self) -> Option<OrderOrigin> {
        self.call.stop_orders.borrow().stopped_by(&self.source.runner.runner)
    }

    /// Logs and counts an end that its framing does not show, or that an order may have brought about.
    fn log_source_end(&self, end: &BodyEnd, meaning: EndMeaning) {
        if meaning == EndMeaning::Whole && end.stopped_by.is_none() {
            return;
        }
        self.count_move(match meaning {
            EndMeaning::Whole => "source_whole",
            EndMeaning::Unproven => "source_unproven",
            EndMeaning::BrokenOff => "source_broken_off",
        });
        if !may_log(&self.context) {
            return;
        }
        tracing::info!(
            event = "source_ended",
            request = %self.call.attempt,
            runner = %self.source.runner.runner,
            framing = end.framing.as_str(),
            is_in_event = end.is_in_event,
            stopped_by = end.stopped_by.as_ref().map(OrderOrigin::as_str),
            meaning = meaning.as_str(),
            events = self.scanner.event_count(),
        );
    }
}
