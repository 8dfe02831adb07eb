//! Streams whose run another node resumes, since this one does not reach the runner.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use route::CallEnd;
use serving::RunnerRecord;

use super::stream_handover::describe_loss;
use super::stream_pump::{PumpStep, StreamPump};
use super::stream_source::StreamSource;
use crate::call_log::RequestOutcome;
use crate::forward::{ResumeOffer, RunSite, TakenResume, offer_resume};

/// How an offer of a run to other nodes ended.
enum OfferStep {
    /// A node has taken it.
    Taken(TakenResume),
    /// No node has.
    NotTaken,
    /// The run goes on at its source, or the stream has ended.
    End(PumpStep),
}

impl StreamPump {
    /// Resumes the stream through another node, at the runner `backup` that keeps a copy of its run; the
    /// node `first` is asked before others. Returns `None` if no node takes it.
    pub(crate) async fn resume_copy_through_node(
        &mut self,
        backup: &RunnerRecord,
        first: Option<VmId>,
    ) -> Option<PumpStep> {
        let offer = ResumeOffer::of_backup(&self.call, backup, self.scanner.last_id())
            .instead_of(&self.source.runner);
        self.resume_through_node(&offer, first).await
    }

    /// Resumes the stream through another node. Returns `None` if no node takes it.
    pub(crate) async fn resume_through_node(
        &mut self,
        offer: &ResumeOffer,
        first: Option<VmId>,
    ) -> Option<PumpStep> {
        let taken = match self.offer_beside_source(offer, first).await {
            OfferStep::Taken(taken) => taken,
            OfferStep::NotTaken => return None,
            OfferStep::End(step) => return Some(step),
        };
        Some(self.switch_to_node(taken, &offer.runner))
    }

    /// Makes the answer of a node that has taken the run, offered at `to`, the source of the stream.
    pub(super) fn switch_to_node(&mut self, taken: TakenResume, to: &RunnerId) -> PumpStep {
        self.count_move("relayed");
        self.changes += 1;
        tracing::info!(
            event = "runner_changed_over",
            request = %self.call.attempt,
            how = "relayed",
            from = %self.source.runner.runner,
            %to,
            node = %taken.node,
            events = self.scanner.event_count(),
        );
        self.scanner.discard_partial_event();
        // The offer was made after an earlier event than the last one, if the source has gone on meanwhile.
        self.scanner.skip_repeats();
        // The other node counts the call from now on.
        self.ticket.end(CallEnd::Cancelled);
        let TakenResume { node, exchange } = taken;
        let plan = self.plan_at_site(RunSite::read(exchange.response.headers()));
        self.replace_source(StreamSource::relayed(&plan, exchange, node));
        PumpStep::Continue
    }

    /// Offers the run to other nodes, and reads the source meanwhile. If a run or a copy at another runner
    /// is offered and the source goes on, it is kept. One that is silent is read until a node has taken
    /// the offer: all may decline it, since a run that has ended has no copy any more. If the run at the
    /// source is offered, what comes from there is forwarded, and may come again from the node that takes it.
    async fn offer_beside_source(&mut self, offer: &ResumeOffer, first: Option<VmId>) -> OfferStep {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        let is_elsewhere = offer.runner != self.source.runner.runner;
        let is_back = Cell::new(false);
        let offering = Box::pin(offer_resume(&context, &call, offer, first, &is_back));
        let mut offered = offering.fuse();
        loop {
            let input = {
                let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
                let mut frame = pin!(self.source.next_frame().fuse());
                select_biased! {
                    () = disconnected => {
                        return OfferStep::End(PumpStep::End(RequestOutcome::CallerDisconnected, ""));
                    }
                    taken = offered => Err(taken),
                    frame = frame => Ok(frame),
                }
            };
            let frame = match input {
                Ok(frame) => frame,
                Err(Some(taken)) => return OfferStep::Taken(taken),
                Err(None) => {
                    return self.proven_end().map_or(OfferStep::NotTaken, OfferStep::End);
                }
            };
            match frame {
                Some(Ok(bytes)) if is_elsewhere => {
                    // The copy may be used already.
                    self.source.backup = None;
                    self.source.keep_frame(bytes);
                    return OfferStep::End(PumpStep::Continue);
                }
                Some(Ok(bytes)) => {
                    is_back.set(true);
                    self.record_activity(context.now());
                    if let end @ PumpStep::End(..) = self.forward_events(&bytes).await {
                        return OfferStep::End(end);
                    }
                }
                None if self.ends_stream(self.scanner.has_partial_event()) => {
                    return OfferStep::End(PumpStep::End(RequestOutcome::Streamed, ""));
                }
                lost => {
                    is_back.set(false);
                    self.log_send_failure(&describe_loss(lost));
                    self.close_source();
                }
            }
        }
    }
}
