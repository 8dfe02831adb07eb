//! What a stream goes on from after its run was stopped, and what else is left of the run until an event has come.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use web::WebConnection;

use super::run_return::StoppedResume;
use super::stop_order::StopAnswer;
use super::stopped_places::StoppedPlaces;
use super::stream_handover::caller_disconnected;
use super::stream_pump::{PumpStep, StreamPump};
use crate::call_log::RequestOutcome;
use crate::runner_gate::SendPurpose;

/// Time for which a run stays at a source that it has returned to, before it leaves again.
const RETURN_STAY: TimeSpan = TimeSpan::millis(200);

impl StreamPump {
    /// Goes on with a stopped run as [`Self::resume_stopped`], until the caller has left or its deadline has passed.
    pub(super) async fn resume_until_end(
        &mut self,
        connection: Option<WebConnection>,
        places: &mut StoppedPlaces,
    ) -> StoppedResume {
        let disconnected = self.caller.disconnected.clone();
        let left = self.call.deadline.since(self.context.now());
        let mut disconnected = pin!(disconnected.wait().fuse());
        let mut deadline = pin!(kernel::sleep(left.into()).fuse());
        let mut resuming = Box::pin(self.resume_stopped(connection, places)).fuse();
        select_biased! {
            () = disconnected => StoppedResume::Through(caller_disconnected()),
            resumed = resuming => resumed,
            () = deadline => {
                let late = PumpStep::End(RequestOutcome::Interrupted, "deadline_passed");
                StoppedResume::Through(late)
            }
        }
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
        let mut places = self.left_places.take().filter(|places| self.has_places(places))?;
        let resumed = self.resume_until_end(None, &mut places).await;
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
}
