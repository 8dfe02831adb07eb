//! The nodes that a call of this node may go to.

use base::prelude::*;
use serving::{ForwardFleet, ForwardSource, ForwardState, ForwardTarget, ReachShare};

use crate::call::Call;
use crate::context::NodeContext;
use crate::reach::reached_share;

/// The forwarding node as the choice depends on it; `None` if the call is to be served here.
pub(super) fn forward_source<'a>(
    context: &'a NodeContext,
    call: &'a Call,
    now: TimePoint,
) -> Option<ForwardSource<'a>> {
    let reached = reached_share(context, &call.service);
    let is_short = reached == ReachShare::NONE
        || reached < ReachShare::ALL && call.forwards.borrow().seeks_room();
    (is_short && call.deadline > now).then(|| own_source(context, call))
}

pub(super) fn own_source<'a>(context: &'a NodeContext, call: &'a Call) -> ForwardSource<'a> {
    ForwardSource {
        place: &context.settings.place,
        plan_version: call.plan_version,
        service: &call.service,
        reached: reached_share(context, &call.service),
    }
}

pub(super) fn has_choice(context: &NodeContext, call: &Call) -> bool {
    let now = context.now();
    let Some(source) = forward_source(context, call, now) else { return false };
    let (reach, loads) = (context.fleet_reach.borrow(), context.peer_loads.borrow());
    context.forwards.borrow().has_choice(
        now,
        source,
        &call.forwards.borrow(),
        ForwardFleet { reach: &reach, loads: &loads },
        context.peers.borrow().live(now),
    )
}

pub(super) fn choose_target(context: &NodeContext, call: &Call) -> Option<ForwardTarget> {
    let now = context.now();
    let source = forward_source(context, call, now)?;
    choose_among_peers(context, now, source, &call.forwards.borrow())
}

pub(super) fn find_target(context: &NodeContext, vm: &VmId) -> Option<ForwardTarget> {
    let peers = context.peers.borrow();
    let mut live = peers.live(context.now());
    live.find(|peer| peer.vm == *vm).map(ForwardTarget::from_heartbeat)
}

pub(super) fn choose_among_peers(
    context: &NodeContext,
    now: TimePoint,
    source: ForwardSource<'_>,
    state: &ForwardState,
) -> Option<ForwardTarget> {
    let (reach, loads) = (context.fleet_reach.borrow(), context.peer_loads.borrow());
    context.forwards.borrow().choose(
        now,
        source,
        state,
        ForwardFleet { reach: &reach, loads: &loads },
        context.peers.borrow().live(now),
        rand::random(),
    )
}
