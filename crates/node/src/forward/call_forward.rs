//! Forwarding of calls to another node while this one reaches no runner of their service, or those
//! that it reaches have no room.
//!
//! Load pattern: a node is cut off from all or some runners of a service while callers and the other
//! nodes reach it.
//! Only a call that has not run is forwarded, and none is sent to a second node once it may have
//! reached the first.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use life::OrderOrigin;
use serving::{ForwardFailure, ForwardSource, ForwardState, ForwardTarget, ReachShare};
use web::{WebExchange, WebResponse};

use super::choice::{choose_among_peers, choose_target, find_target, own_source};
use super::offer::{OfferEnd, ResumeOffer, failure_reason, log_offer, offer_call};
use super::relay::fail_unknown;
use super::run_trace::RunTrace;
use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::reach::wait_node_lost;
use crate::streams::is_event_stream;

/// Pause until a run that lives is offered to the other nodes again.
const ROUND_PAUSE: TimeSpan = TimeSpan::millis(150);

/// Error of an offer whose node has fallen silent.
const NODE_SILENT: &str = "the node is silent";

/// A call that another node has answered, or a run that it has resumed.
pub struct TakenResume {
    /// The node.
    pub node: VmId,
    /// Its response; a stream of events if it has resumed a run.
    pub exchange: WebExchange,
}

/// How forwarding a call ended.
pub enum ForwardEnd {
    /// A node has answered it.
    Taken(TakenResume),
    /// It may have run at a node that gave no answer.
    Failed(WebResponse),
}

/// Forwards the call if this node reaches no runner of its service, or too few, and another one can
/// take the call. Returns `None` if the call is to be served here.
pub async fn try_forward(context: &NodeContext, call: &Call) -> Option<ForwardEnd> {
    loop {
        let target = choose_target(context, call)?;
        call.forwards.borrow_mut().record_offer(&target.vm);
        match offer_whole(context, call, &target).await {
            OfferEnd::Answered(exchange) => {
                log_offer(context, call, &target, "answered", "", "");
                return Some(ForwardEnd::Taken(TakenResume { node: target.vm, exchange }));
            }
            OfferEnd::NotRun(failure, error) => {
                let now = context.now();
                context.forwards.borrow_mut().record_failure(now, &target, &call.service, failure);
                log_offer(context, call, &target, "not_run", failure_reason(failure), &error);
            }
            // No run was offered.
            OfferEnd::NotResumed(_) => {
                return Some(ForwardEnd::Failed(fail_unknown(context, call)));
            }
            OfferEnd::Unknown(error) => {
                log_offer(context, call, &target, "unknown", "", &error);
                return Some(ForwardEnd::Failed(fail_unknown(context, call)));
            }
        }
    }
}

/// Offers a call to a node. A stream is not waited for if the node falls silent: its caller is to have its
/// events, or to learn that none come.
async fn offer_whole(context: &NodeContext, call: &Call, target: &ForwardTarget) -> OfferEnd {
    let mut offered = pin!(offer_call(context, call, target, None).fuse());
    if call.tokens_per_event.is_none() {
        return offered.await;
    }
    let mut lost = pin!(wait_node_lost(context, &target.vm).fuse());
    select_biased! {
        end = offered => end,
        () = lost => OfferEnd::Unknown(Rc::from(NODE_SILENT)),
    }
}

/// Offers nothing to a node for a moment: its connection has ended, or it is silent.
pub fn leave_out_node(context: &NodeContext, call: &Call, node: &VmId) {
    let Some(target) = find_target(context, node) else { return };
    let (now, failure) = (context.now(), ForwardFailure::Unconnected);
    context.forwards.borrow_mut().record_failure(now, &target, &call.service, failure);
}

/// How a round of offers of a run ended.
enum RoundEnd {
    /// A node has taken the run.
    Taken(TakenResume),
    /// No node has.
    NotTaken,
    /// The run may go on at a node that has not answered as it should.
    Unknown,
}

impl RoundEnd {
    /// Name of the end, for logs.
    fn as_str(&self) -> &'static str {
        match self {
            Self::Taken(_) => "taken",
            Self::NotTaken => "not_taken",
            Self::Unknown => "unknown",
        }
    }
}

/// Has another node resume a run whose runner this node has lost, `first` before all others. A run that
/// a node has found alive is offered to all of them again, until its deadline or until it `is_back` where
/// it worked. Returns `None` if none takes it.
pub async fn offer_resume(
    context: &NodeContext,
    call: &Call,
    offer: &ResumeOffer,
    mut first: Option<VmId>,
    is_back: &Cell<bool>,
) -> Option<TakenResume> {
    let (offer, state, begun) = (offer.clone(), RunState::Unknown, context.now());
    let mut run = OfferedRun { offer, state, begun, asked: 0, holder: None };
    loop {
        let end = offer_round(context, call, &mut run, first.take()).await;
        log_round(context, call, &run, &end);
        match end {
            RoundEnd::Taken(taken) => return Some(taken),
            RoundEnd::NotTaken if run.offer.once_until.is_some() => return None,
            RoundEnd::NotTaken if run.is_alive(is_back.get()) && call.deadline > context.now() => {
                kernel::sleep(ROUND_PAUSE.into()).await;
                first = run.holder.take();
            }
            RoundEnd::NotTaken | RoundEnd::Unknown => return None,
        }
    }
}

/// What nodes have said about a run in this round of offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    /// Nothing.
    Unknown,
    /// It works.
    Works,
    /// It was stopped, and its memory is kept.
    Stopped,
    /// It was ordered to stop by the node that says so.
    Ordered,
}

impl RunState {
    /// Name of the state, for logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Works => "works",
            Self::Stopped => "stopped",
            Self::Ordered => "ordered",
        }
    }
}

/// A run that is offered to other nodes.
struct OfferedRun {
    offer: ResumeOffer,
    state: RunState,
    /// When it was first offered.
    begun: TimePoint,
    /// Number of nodes asked so far.
    asked: u32,
    /// The node that has ordered it to stop.
    holder: Option<VmId>,
}

impl OfferedRun {
    /// Follows what a node that does not go on with the run has left of it.
    fn follow(&mut self, node: &VmId, trace: RunTrace) {
        match trace {
            RunTrace::Ordered => {
                self.state = RunState::Ordered;
                self.holder = Some(node.clone());
            }
            RunTrace::Works => self.state = RunState::Works,
            RunTrace::Stopped(memory) => {
                self.state = RunState::Stopped;
                self.offer = self.offer.clone().of_stopped(memory);
            }
        }
    }

    /// Whether it is worth another round, which begins with nothing known. A run that works and is read
    /// again needs none.
    fn is_alive(&mut self, is_back: bool) -> bool {
        match std::mem::replace(&mut self.state, RunState::Unknown) {
            RunState::Unknown => false,
            RunState::Works => !is_back,
            RunState::Stopped | RunState::Ordered => true,
        }
    }
}

/// Logs how a round of offers ended.
fn log_round(context: &NodeContext, call: &Call, run: &OfferedRun, end: &RoundEnd) {
    if !may_log(context) {
        return;
    }
    let now = context.now();
    let offer = &run.offer;
    tracing::info!(
        event = "run_offered",
        request = %call.attempt,
        runner = %offer.runner,
        memory = offer.copy.as_ref().map(ToString::to_string),
        after = offer.last_event_id,
        outcome = end.as_str(),
        run = run.state.as_str(),
        asked = run.asked,
        offered_ms = now.since(run.begun).as_millis(),
        left_ms = call.deadline.since(now).as_millis(),
    );
}

/// An order to stop the offered run, which the node that it is offered to may give.
struct PossibleStop {
    /// Where; `None` if it is not given.
    runner: Option<RunnerId>,
    origin: OrderOrigin,
}

impl PossibleStop {
    /// Records that the order may be given from now on.
    fn begin((context, call): (&NodeContext, &Call), offer: &ResumeOffer, node: &VmId) -> Self {
        let origin = OrderOrigin::OtherNode(Some(node.clone()));
        let runner = offer.runner_to_stop().cloned();
        if let Some(runner) = &runner {
            // The node gives up its order, or keeps it, when the time of the offer is over.
            let known_at = context.now() + offer.limit;
            call.stop_orders.borrow_mut().note_order(runner, origin.clone(), known_at);
        }
        Self { runner, origin }
    }

    /// Records what is known of the order once the node has answered. One that does not go on with the run, and
    /// does not say that it has ordered it to stop, has had nothing stopped.
    fn follow(self, (context, call): (&NodeContext, &Call), end: &OfferEnd) {
        let Some(runner) = self.runner else { return };
        let (mut orders, origin) = (call.stop_orders.borrow_mut(), &self.origin);
        match end {
            OfferEnd::Answered(exchange) if is_event_stream(&exchange.response) => {
                orders.note_followed(&runner, origin);
            }
            OfferEnd::NotResumed(RunTrace::Stopped(_)) => orders.note_followed(&runner, origin),
            OfferEnd::NotRun(..) | OfferEnd::NotResumed(RunTrace::Works) => {
                orders.note_not_followed(&runner, origin, context.now());
            }
            OfferEnd::Answered(_)
            | OfferEnd::NotResumed(RunTrace::Ordered)
            | OfferEnd::Unknown(_) => (),
        }
    }
}

/// Offers a run to each of the other nodes that can be asked, until one takes it.
async fn offer_round(
    context: &NodeContext,
    call: &Call,
    run: &mut OfferedRun,
    first: Option<VmId>,
) -> RoundEnd {
    let mut state = ForwardState::new(false);
    let mut known = first.and_then(|vm| find_target(context, &vm));
    loop {
        let now = context.now();
        let source = ForwardSource { reached: ReachShare::NONE, ..own_source(context, call) };
        let chosen = known.take().or_else(|| choose_among_peers(context, now, source, &state));
        let Some(target) = chosen else { return RoundEnd::NotTaken };
        if run.offer.once_until.is_some_and(|end| now >= end) {
            return RoundEnd::NotTaken;
        }
        state.record_offer(&target.vm);
        run.asked += 1;
        let stop = PossibleStop::begin((context, call), &run.offer, &target.vm);
        let end = offer_call(context, call, &target, Some(&run.offer)).await;
        stop.follow((context, call), &end);
        match end {
            OfferEnd::Answered(exchange) if is_event_stream(&exchange.response) => {
                log_offer(context, call, &target, "resumed", "", "");
                return RoundEnd::Taken(TakenResume { node: target.vm, exchange });
            }
            OfferEnd::Answered(exchange) => {
                let status = exchange.response.status().to_string();
                log_offer(context, call, &target, "unknown", "", &status);
                return RoundEnd::Unknown;
            }
            OfferEnd::NotRun(failure, error) => {
                log_offer(context, call, &target, "not_run", failure_reason(failure), &error);
            }
            OfferEnd::NotResumed(trace) => {
                log_offer(context, call, &target, "not_run", "run_alive", &trace.to_string());
                run.follow(&target.vm, trace);
            }
            OfferEnd::Unknown(error) => {
                log_offer(context, call, &target, "unknown", "", &error);
                return RoundEnd::Unknown;
            }
        }
    }
}
