//! Address look-ups for callers, and the readiness check for the platform.

use std::net::SocketAddr;
use std::rc::Rc;

use hyper::StatusCode;
use platform::{LOOKUP_PATH, LookupResponse, READY_PATH};
use rand::seq::SliceRandom;
use web::{WebRequest, WebResponse, json_reply, text_reply};

use crate::context::NodeContext;

/// Time in seconds for which callers may cache an answer. Short, because a node that has
/// gone stays in cached answers for as long.
const ANSWER_TTL_SECONDS: u32 = 2;
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

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

/// Caller addresses of the ready nodes that reach runners, or of all ready nodes if none does;
/// empty if this node is isolated and cannot know them.
fn ready_addresses(context: &NodeContext) -> Vec<SocketAddr> {
    if context.is_isolated() {
        return Vec::new();
    }
    let peers = context.peers.borrow();
    let ready = peers.live(context.now()).filter(|heartbeat| heartbeat.ready);
    let own =
        context.is_ready().then(|| (context.settings.callers, !context.reach.borrow().is_lost()));
    let others = ready.map(|heartbeat| (heartbeat.caller_address, heartbeat.reaches_runners));
    let mut found: Vec<(SocketAddr, bool)> = own.into_iter().chain(others).collect();
    if found.iter().any(|(_, reaches_runners)| *reaches_runners) {
        found.retain(|(_, reaches_runners)| *reaches_runners);
    }
    let mut all: Vec<SocketAddr> = found.into_iter().map(|(address, _)| address).collect();
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
