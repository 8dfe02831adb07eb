//! Forwarding of calls to another node while this one reaches no runner of their service, or those
//! that it reaches have no room.
//!
//! Load pattern: a node is cut off from all or some runners of a service while callers and the other
//! nodes reach it.
//! Only a call that has not run is forwarded, and none is sent to a second node once it may have
//! reached the first.

use std::rc::Rc;

use base::prelude::*;
use serving::{ForwardSource, ForwardState, ReachShare};
use web::{ConnectionCloser, WebExchange, WebResponse};

use super::choice::{choose_among_peers, choose_target, find_target, own_source};
use super::offer::{OfferEnd, ResumeOffer, failure_reason, log_offer, offer_call};
use super::relay::{fail_unknown, relay_response};
use crate::call::Call;
use crate::context::NodeContext;
use crate::streams::is_event_stream;

/// A run that another node has resumed.
pub struct TakenResume {
    /// The node.
    pub node: VmId,
    /// Its response, a stream of events.
    pub exchange: WebExchange,
}

/// Forwards the call if this node reaches no runner of its service, or too few, and another one can
/// take the call. Returns `None` if the call is to be served here.
pub async fn try_forward(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    closer: &ConnectionCloser,
) -> Option<WebResponse> {
    loop {
        let target = choose_target(context, call)?;
        call.forwards.borrow_mut().record_offer(&target.vm);
        match offer_call(context, call, &target, None).await {
            OfferEnd::Answered(exchange) => {
                log_offer(context, call, &target, "answered", "", "");
                return Some(relay_response(context, call, closer, exchange).await);
            }
            OfferEnd::NotRun(failure, error) => {
                let now = context.now();
                context.forwards.borrow_mut().record_failure(now, &target, &call.service, failure);
                log_offer(context, call, &target, "not_run", failure_reason(failure), &error);
            }
            OfferEnd::Unknown(error) => {
                log_offer(context, call, &target, "unknown", "", &error);
                return Some(fail_unknown(context, call));
            }
        }
    }
}

/// Has another node resume a run whose runner this node has lost, `first` before all others. Returns
/// `None` if none takes it.
pub async fn offer_resume(
    context: &NodeContext,
    call: &Call,
    offer: &ResumeOffer,
    first: Option<VmId>,
) -> Option<TakenResume> {
    let mut state = ForwardState::new(false);
    let mut known = first.and_then(|vm| find_target(context, &vm));
    loop {
        let now = context.now();
        let source = ForwardSource { reached: ReachShare::NONE, ..own_source(context, call) };
        let target = match known.take() {
            Some(target) => target,
            None => choose_among_peers(context, now, source, &state)?,
        };
        state.record_offer(&target.vm);
        match offer_call(context, call, &target, Some(offer)).await {
            OfferEnd::Answered(exchange) if is_event_stream(&exchange.response) => {
                log_offer(context, call, &target, "resumed", "", "");
                return Some(TakenResume { node: target.vm, exchange });
            }
            OfferEnd::Answered(exchange) => {
                let status = exchange.response.status().to_string();
                log_offer(context, call, &target, "unknown", "", &status);
                return None;
            }
            OfferEnd::NotRun(failure, error) => {
                log_offer(context, call, &target, "not_run", failure_reason(failure), &error);
            }
            OfferEnd::Unknown(error) => {
                log_offer(context, call, &target, "unknown", "", &error);
                return None;
            }
        }
    }
}
