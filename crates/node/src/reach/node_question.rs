//! Asks another node whether it answers at all.
//!
//! Load pattern: a node that calls or streams of this one go through freezes or is cut off, without a sign on
//! its connections, while many of them wait there.

use base::prelude::*;
use hyper::Method;
use hyper::body::Bytes;
use serving::{RelayDecision, RelayFacts, decide_relay};
use web::{FetchLimit, fetch_answer};

use super::reach_question::REACH_PATH;
use crate::context::NodeContext;

/// Timeout for the answer.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::millis(250);
/// Most bytes of it.
const MAX_ANSWER_BYTES: usize = 1_024;
/// Time for which an answer holds for all that ask the same node.
const ANSWER_AGE: TimeSpan = TimeSpan::millis(100);
/// Pause until a node is asked again.
const QUESTION_PAUSE: TimeSpan = TimeSpan::millis(250);

/// Whether another node answers, or has just done so.
pub async fn node_answers(context: &NodeContext, node: &VmId) -> bool {
    let now = context.now();
    context.node_answers.borrow_mut().retain(|_, at| now.since(*at) < ANSWER_AGE);
    if context.node_answers.borrow().contains_key(node) {
        return true;
    }
    // Its heartbeats may be lost on a full link, or be unread since this node stood still.
    let address = context.peers.borrow().find(node).map(|peer| peer.peer_address);
    let Some(address) = address else { return false };
    // The path names no runner, so that any node that works answers 404 at once.
    let limit = FetchLimit::Whole(ANSWER_TIMEOUT);
    let (step, body) = ("answer of a node", Bytes::new());
    let answered =
        fetch_answer(step, Method::GET, address, REACH_PATH, body, limit, MAX_ANSWER_BYTES);
    if answered.await.is_err() {
        return false;
    }
    context.node_answers.borrow_mut().insert(node.clone(), context.now());
    true
}

/// Waits until a node has answered no question for so long that it counts as lost. Only time in which this
/// node ran counts.
pub async fn wait_node_lost(context: &NodeContext, node: &VmId) {
    let mut last_answer = kernel::own_now();
    loop {
        kernel::sleep(QUESTION_PAUSE.into()).await;
        let answers = node_answers(context, node).await;
        let now = kernel::own_now();
        if answers {
            last_answer = now;
        }
        let silence = now.since(last_answer);
        let facts = RelayFacts { is_lost: false, answers, silence, may_move: false };
        if decide_relay(facts) == RelayDecision::LeaveNode {
            return;
        }
    }
}
