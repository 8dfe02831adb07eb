//! Asks other nodes whether they reach a runner that this node does not seem to reach.
//!
//! Load pattern: a node is cut off from the runners of its streams. The pause in a stream is short only
//! if the way on is known as soon as the loss is.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::select_ok;
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use rand::seq::SliceRandom;
use serving::{ReachShare, RunnerRecord};
use web::{WebConnection, WebResponse, fetch, text_reply};

use super::reach_watch::answers_here;
use crate::context::NodeContext;

/// Path of the question; the id of the runner follows it. Builds that do not know it answer 404.
pub const REACH_PATH: &str = "/reach/";
/// Path of the question whether a runner answers this node; the id of the runner follows it. Builds that
/// do not know it answer 404.
pub const ANSWERS_PATH: &str = "/answers/";
/// Time in which a connection comes about over a network that passes everything on.
const QUICK_CONNECT: TimeSpan = TimeSpan::millis(50);
/// Time until the second of two connections is opened, which makes up for a lost packet.
const SECOND_CONNECT: TimeSpan = TimeSpan::millis(20);
/// Timeout for a node's answer.
const NODE_TIMEOUT: TimeSpan = TimeSpan::millis(100);
/// Timeout for the answer of a node that waits for one of a runner itself.
const ANSWERS_TIMEOUT: TimeSpan = TimeSpan::millis(250);
/// Nodes that are asked at once who reaches a runner.
const ASKED_NODES: usize = 8;
/// Nodes that are asked at once whether a runner answers them; each asks the runner.
const ANSWERING_NODES: usize = 3;

/// Whether a connection to `address` comes about at once.
pub async fn connects_quickly(address: SocketAddr) -> bool {
    let open = async |delay: TimeSpan| {
        kernel::sleep(delay.into()).await;
        let left = TimeSpan(QUICK_CONNECT.0 - delay.0);
        WebConnection::open(address, left).await.map(drop)
    };
    let first = Box::pin(open(TimeSpan::default()));
    let second = Box::pin(open(SECOND_CONNECT));
    select_ok([first, second]).await.is_ok()
}

/// Answers whether this node reaches a runner.
pub async fn answer_reach(context: &Rc<NodeContext>, path: &str) -> WebResponse {
    match find_runner(context, path, REACH_PATH) {
        None => text_reply(StatusCode::NOT_FOUND, "no such runner"),
        Some(runner) if connects_quickly(runner.address).await => {
            text_reply(StatusCode::OK, "reached")
        }
        Some(_) => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not reached"),
    }
}

/// Answers whether a runner answers this node now.
pub async fn answer_answers(context: &Rc<NodeContext>, path: &str) -> WebResponse {
    match find_runner(context, path, ANSWERS_PATH) {
        None => text_reply(StatusCode::NOT_FOUND, "no such runner"),
        Some(runner) if answers_here(context, &runner).await => {
            text_reply(StatusCode::OK, "answers")
        }
        Some(_) => text_reply(StatusCode::SERVICE_UNAVAILABLE, "does not answer"),
    }
}

fn find_runner(context: &NodeContext, path: &str, prefix: &str) -> Option<RunnerRecord> {
    let runner = path.strip_prefix(prefix)?.parse::<RunnerId>().ok()?;
    context.runners.borrow().get(&runner).map(|entry| entry.record.clone())
}

/// Another node that reaches a runner: the first one to say so. `None` if none does in time.
pub async fn find_reaching_node(context: &NodeContext, runner: &RunnerRecord) -> Option<VmId> {
    ask_nodes(context, runner, REACH_PATH, ASKED_NODES, NODE_TIMEOUT).await
}

/// Another node that a runner answers now: the first one to say so. `None` if none does in time.
pub async fn find_answering_node(context: &NodeContext, runner: &RunnerRecord) -> Option<VmId> {
    ask_nodes(context, runner, ANSWERS_PATH, ANSWERING_NODES, ANSWERS_TIMEOUT).await
}

/// Asks `count` other nodes about a runner. Returns the first one that says yes; `None` if none does in time.
async fn ask_nodes(
    context: &NodeContext,
    runner: &RunnerRecord,
    path: &str,
    count: usize,
    limit: TimeSpan,
) -> Option<VmId> {
    let asked = choose_nodes(context, &runner.service, count);
    if asked.is_empty() {
        return None;
    }
    let path = format!("{path}{}", runner.runner);
    let questions = asked.into_iter().map(|(node, address)| {
        let path = &path;
        Box::pin(async move {
            let step = "reach of a runner";
            let answered = fetch(step, Method::GET, address, path, Bytes::new(), limit);
            answered.await.map(|_| node)
        })
    });
    select_ok(questions).await.ok().map(|(node, _)| node)
}

/// Up to `count` live nodes that may reach runners of a service.
fn choose_nodes(
    context: &NodeContext,
    service: &ServiceName,
    count: usize,
) -> Vec<(VmId, SocketAddr)> {
    let (peers, fleet) = (context.peers.borrow(), context.fleet_reach.borrow());
    let usable = peers.live(context.now()).filter(|peer| {
        let reaches = peer.reaches_runners && fleet.share(&peer.vm, service) > ReachShare::NONE;
        reaches && peer.ready
    });
    let mut nodes: Vec<(VmId, SocketAddr)> =
        usable.map(|peer| (peer.vm.clone(), peer.peer_address)).collect();
    nodes.shuffle(&mut rand::rng());
    nodes.truncate(count);
    nodes
}
