//! When a call is not served here: no runner of its service is reached, or those that are have no room,
//! and until when it waits.

use std::pin::pin;

use base::prelude::*;
use futures_util::future::{Either, select};

use super::choice::has_choice;
use crate::call::Call;
use crate::call_answer::{CallFailure, RUNNERS_UNREACHED};
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::metrics::WithheldLabels;
use crate::reach::{impairment, is_cut_off};

/// Interval at which a waiting call is checked for a node to forward it to.
const CHOICE_INTERVAL: TimeSpan = TimeSpan::millis(50);

/// Time for which a call waits for room at the runners of its service that this node reaches, before
/// it is forwarded to a node that reaches more of them.
const ROOM_WAIT: TimeSpan = TimeSpan::millis(100);

/// Reason for which a call waits while this node is cut off, in logs and metrics.
const CUT_OFF: &str = "cut_off";

/// Shortest and longest `Retry-After` if no runner of a service is reached, before its random part.
const UNREACHED_RETRY_BOUNDS: [TimeSpan; 2] = [TimeSpan::millis(500), TimeSpan::seconds(5)];

/// Random part of it, as a share: callers that were refused together do not return together.
const UNREACHED_RETRY_SPREAD: f64 = 0.5;

/// Why a call that was not sent is not served here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingStop {
    /// Another node can take it.
    Forward,
    /// No runner was reached in time, and no other node can take it.
    Unreached,
}

/// Waits for `serving`, which serves the call here and must not have sent it.
///
/// # Errors
/// Returns [`ServingStop`] if the call is not to be served here, since no runner of its service is
/// reached, or too few.
pub async fn unless_unreached<T>(
    context: &NodeContext,
    call: &Call,
    serving: impl Future<Output = T>,
) -> Result<T, ServingStop> {
    // A call is assigned to a runner also while none is reached.
    if let Some(stop) = find_stop(context, call) {
        return Err(stop);
    }
    let room_end = context.now() + ROOM_WAIT;
    let cut_off = wait_while_cut_off(context, call);
    unless_stopped(cut_off, wait_for_stop(context, call, Some(room_end))).await?;
    unless_stopped(serving, wait_for_stop(context, call, Some(room_end))).await
}

/// Waits while this node reaches no runner of the service and another node does: a call that is sent
/// now would be lost in the cut, and nobody could tell whether it has run.
async fn wait_while_cut_off(context: &NodeContext, call: &Call) {
    if is_cut_off(context, &call.service) {
        withhold_cut_off(context, call);
    }
    while is_cut_off(context, &call.service) {
        kernel::sleep(CHOICE_INTERVAL.into()).await;
    }
}

/// Counts and logs a call that waits, since this node is cut off and no other one takes it at present.
fn withhold_cut_off(context: &NodeContext, call: &Call) {
    context.metrics.sends_withheld.get_or_create(&WithheldLabels { reason: CUT_OFF }).inc();
    if may_log(context) {
        let (request, service) = (&call.attempt, &call.service);
        tracing::info!(event = "call_withheld", %request, %service, reason = CUT_OFF);
    }
}

/// Like [`unless_unreached`], but only while no runner of the service is reached.
///
/// # Errors
/// Same as [`unless_unreached`].
pub async fn unless_lost<T>(
    context: &NodeContext,
    call: &Call,
    serving: impl Future<Output = T>,
) -> Result<T, ServingStop> {
    unless_stopped(serving, wait_for_stop(context, call, None)).await
}

async fn unless_stopped<T>(
    serving: impl Future<Output = T>,
    stop: impl Future<Output = ServingStop>,
) -> Result<T, ServingStop> {
    match select(pin!(serving), pin!(stop)).await {
        Either::Left((served, _)) => Ok(served),
        Either::Right((stop, _)) => Err(stop),
    }
}

/// Waits until this node does not reach all runners of the service, and then until another one can
/// take the call or the call has waited for long enough. From `room_end` on, a node that reaches more
/// runners will do.
async fn wait_for_stop(
    context: &NodeContext,
    call: &Call,
    room_end: Option<TimePoint>,
) -> ServingStop {
    loop {
        impairment(context, &call.service).wait().await;
        let now = context.now();
        if !is_lost(context, call) && room_end.is_some_and(|end| end <= now) {
            call.forwards.borrow_mut().seek_room();
        }
        if let Some(stop) = find_stop(context, call) {
            return stop;
        }
        kernel::sleep(CHOICE_INTERVAL.into()).await;
    }
}

/// Why the call is not to be served here now; `None` if it is.
fn find_stop(context: &NodeContext, call: &Call) -> Option<ServingStop> {
    if has_choice(context, call) {
        return Some(ServingStop::Forward);
    }
    let is_unreached = is_lost(context, call) && is_wait_over(context, call, context.now());
    is_unreached.then_some(ServingStop::Unreached)
}

/// Whether a call that no other node takes has waited for long enough for a runner that is reached.
fn is_wait_over(context: &NodeContext, call: &Call, now: TimePoint) -> bool {
    if call.forwards.borrow().is_forwarded() {
        return true;
    }
    // Without other nodes, nothing tells a cut from runners that respond to nothing.
    let has_peers = context.peers.borrow().live(now).next().is_some();
    let reach = context.reach.borrow();
    let wait_end = reach.service(&call.service).and_then(|own| own.wait_end(call.arrived));
    has_peers && wait_end.is_some_and(|end| end <= now)
}

fn is_lost(context: &NodeContext, call: &Call) -> bool {
    context.reach.borrow().is_lost(&call.service)
}

/// The failure of a call that no runner and no other node takes. The caller may come back after as long
/// as the service has been lost: a loss that has lasted longer is likely to last longer.
#[must_use]
pub fn unreached_failure(context: &NodeContext, call: &Call) -> CallFailure {
    let reach = context.reach.borrow();
    let lost_for = reach.service(&call.service).and_then(|own| own.lost_for(context.now()));
    let [shortest, longest] = UNREACHED_RETRY_BOUNDS;
    let least = lost_for.unwrap_or_default().clamp(shortest, longest);
    let spread = 1.0 + UNREACHED_RETRY_SPREAD * rand::random::<f64>();
    let retry_after = TimeSpan((least.0 as f64 * spread) as u64);
    CallFailure { reason: RUNNERS_UNREACHED, retry_after }
}
