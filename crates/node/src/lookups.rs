//! Address look-ups for callers, and the readiness check for the platform.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use hyper::StatusCode;
use platform::{LOOKUP_PATH, LookupResponse, READY_PATH};
use rand::seq::SliceRandom;
use web::{WebRequest, WebResponse, json_reply, text_reply};

use crate::context::NodeContext;

/// Time in seconds for which callers may cache an answer. Short, because a node that has
/// gone stays in cached answers for as long.
const ANSWER_TTL_SECONDS: u32 = 2;
/// Factor by which some callers keep an answer for longer.
const HOLD_FACTOR: u64 = 3;
/// Time for an answer given before a stop to reach its caller, and for a request to arrive here.
const TRANSIT_TIME: TimeSpan = TimeSpan::millis(200);
/// Time after the last answer with an address until callers use it no more.
pub const ADDRESS_HOLD_TIME: TimeSpan =
    TimeSpan(TimeSpan::seconds(ANSWER_TTL_SECONDS as u64 * HOLD_FACTOR).0 + TRANSIT_TIME.0);
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// A ready node, and which services it reaches runners of.
struct ListedNode {
    address: SocketAddr,
    reaches_some: bool,
    reaches_all: bool,
}

/// Answers an address look-up.
pub fn answer_lookup(context: &Rc<NodeContext>, request: &WebRequest) -> WebResponse {
    if request.uri().path() != LOOKUP_PATH {
        return text_reply(StatusCode::NOT_FOUND, "no such page");
    }
    let addresses = ready_addresses(context);
    if addresses.is_empty() {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "no node is ready");
    }
    json_reply(StatusCode::OK, &LookupResponse { addresses, ttl_seconds: ANSWER_TTL_SECONDS })
}

/// Caller addresses of the ready nodes; empty if this node is isolated and cannot know them. Nodes
/// that reach no runner are left out while some node reaches runners of every service: such a node
/// can do nothing but forward.
fn ready_addresses(context: &NodeContext) -> Vec<SocketAddr> {
    if context.is_isolated() {
        return Vec::new();
    }
    let peers = context.peers.borrow();
    let ready = peers.live(context.now()).filter(|heartbeat| heartbeat.ready);
    let (reach, fleet) = (context.reach.borrow(), context.fleet_reach.borrow());
    let own = context.is_ready().then(|| ListedNode {
        address: context.settings.callers,
        reaches_some: !reach.is_all_lost(),
        reaches_all: !reach.has_lost(),
    });
    let others = ready.map(|heartbeat| ListedNode {
        address: heartbeat.caller_address,
        reaches_some: heartbeat.reaches_runners,
        reaches_all: heartbeat.reaches_runners && !fleet.has_lost(&heartbeat.vm),
    });
    let mut found: Vec<ListedNode> = own.into_iter().chain(others).collect();
    if found.iter().any(|node| node.reaches_all) {
        found.retain(|node| node.reaches_some);
    }
    let mut all: Vec<SocketAddr> = found.into_iter().map(|node| node.address).collect();
    // Large fleets do not fit into one answer; a random selection spreads callers over all.
    all.shuffle(&mut rand::rng());
    all.truncate(MAX_ADDRESSES);
    all
}

/// Answers the readiness check.
pub fn answer_readiness(context: &Rc<NodeContext>, request: &WebRequest) -> WebResponse {
    if request.uri().path() != READY_PATH {
        return text_reply(StatusCode::NOT_FOUND, "no such page");
    }
    if context.is_ready() {
        text_reply(StatusCode::OK, "ready")
    } else {
        text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}
