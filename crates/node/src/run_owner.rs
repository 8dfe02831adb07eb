//! Asks the node that has the caller of a request whether its run may go on at a runner.
//!
//! Load pattern: a node that reads a run for another one is silent for a moment. The other one goes on through a
//! third node, and the run may return to its runner, whose report names the request only. The node that was
//! silent then finds its connections closed, and may not take that run for one that nobody wants.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use life::OrderOrigin;
use serde::{Deserialize, Serialize};
use serving::RunnerRecord;
use web::{FetchLimit, WebRequest, WebResponse, fetch_answer, read_bounded, text_reply};

use crate::call::{Call, RunPlace};
use crate::context::NodeContext;
use crate::left_run::ORDER_TIME;

/// Path of the question. Builds that do not know it answer 404, as for a run that is not there.
pub const RUN_PLACE_PATH: &str = "/run-place";
/// Timeout for the answer.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::millis(250);
/// The same for a node for which this one reads the run elsewhere: two runners are at work.
const READER_TIMEOUT: TimeSpan = TimeSpan::millis(100);
/// Pause until a node that has not answered is asked again.
const QUESTION_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Questions without an answer after which the node counts as lost: as many as it takes to leave a silent one
/// that streams come through (1.5 s).
const MAX_QUESTIONS: u32 = 6;
/// Most bytes of a question, which holds the id of a request.
const MAX_QUESTION_BYTES: usize = 64 << 10;
/// Most bytes of an answer.
const MAX_ANSWER_BYTES: usize = 1_024;

/// Where a run may be.
#[derive(Debug, Serialize, Deserialize)]
struct PlaceQuestion {
    request: Arc<str>,
    runner: Arc<str>,
    /// The node that asks; missing in questions of builds that do not say so.
    #[serde(default)]
    node: Option<Arc<str>>,
    /// That node reads the run at another runner, for the node that is asked.
    #[serde(default)]
    is_read: bool,
}

/// Answers another node whether the run of a request of this node may go on at a runner.
pub async fn answer_run_place(context: &NodeContext, request: WebRequest) -> WebResponse {
    let body = read_bounded("run place", request.into_body(), MAX_QUESTION_BYTES).await;
    let question = body.ok().and_then(|body| serde_json::from_slice(&body).ok());
    let Some(PlaceQuestion { request, runner, node, is_read }) = question else {
        return text_reply(StatusCode::BAD_REQUEST, "not a question for the place of a run");
    };
    let Ok(runner) = runner.parse::<RunnerId>() else {
        return text_reply(StatusCode::BAD_REQUEST, "not the id of a runner");
    };
    let node = node.and_then(|node| node.parse::<VmId>().ok());
    let is_of_run = |call: &Call| *call.attempt.as_str() == *request;
    let is_there =
        |call: &Call| is_of_run(call) && may_be_there(call, &runner, node.as_ref(), is_read);
    // A stream without a head may have been sent anywhere.
    if context.open_streams.any(is_there) || context.headless_streams.any(is_of_run) {
        return text_reply(StatusCode::OK, "may be there");
    }
    // The run may come back to the runner before the other node has it stopped there.
    let known_at = context.now() + ORDER_TIME;
    context.open_streams.each(is_of_run, |call| {
        call.stop_orders.borrow_mut().note_order(
            &runner,
            OrderOrigin::OtherNode(node.clone()),
            known_at,
        );
    });
    text_reply(StatusCode::NOT_FOUND, "not there")
}

/// Whether a run of this node may go on at `runner`. The node that it comes through knows better.
fn may_be_there(call: &Call, runner: &RunnerId, node: Option<&VmId>, is_read: bool) -> bool {
    match &*call.run_place.borrow() {
        RunPlace::OtherNode(Some(relay)) if is_read => Some(relay) != node,
        place => place.may_be_at(runner),
    }
}

/// Whether another node, which has the caller of `call`, may go on with its run at `runner`. This one knows better
/// while it reads the run itself.
pub async fn may_be_of_owner(
    context: &Rc<NodeContext>,
    call: &Call,
    runner: &RunnerRecord,
) -> bool {
    let is_over = matches!(*call.run_place.borrow(), RunPlace::Nowhere);
    let Some(owner) = call.owner.as_ref().filter(|_| is_over) else { return false };
    for _ in 0..MAX_QUESTIONS {
        let address = context.peers.borrow().find(owner).map(|peer| peer.peer_address);
        let Some(address) = address else { return false };
        let question = PlaceAsk { address, is_read: false, limit: ANSWER_TIMEOUT };
        if let Some(status) = ask(context, call, runner, question).await {
            return status == StatusCode::OK;
        }
        kernel::sleep(QUESTION_PAUSE.into()).await;
    }
    false
}

/// Whether the node that has the caller of `call`, whose run this one reads at another runner, is known to have given
/// up the run at `runner`.
pub async fn is_left_by_owner(
    context: &Rc<NodeContext>,
    call: &Call,
    runner: &RunnerRecord,
) -> bool {
    let owner = call.owner.as_ref();
    let address =
        owner.and_then(|owner| context.peers.borrow().find(owner).map(|peer| peer.peer_address));
    let Some(address) = address else { return false };
    let question = PlaceAsk { address, is_read: true, limit: READER_TIMEOUT };
    ask(context, call, runner, question).await == Some(StatusCode::NOT_FOUND)
}

/// How a node is asked.
struct PlaceAsk {
    address: SocketAddr,
    /// This node reads the run elsewhere for it.
    is_read: bool,
    limit: TimeSpan,
}

/// Asks a node; `None` if it does not answer.
async fn ask(
    context: &NodeContext,
    call: &Call,
    runner: &RunnerRecord,
    PlaceAsk { address, is_read, limit }: PlaceAsk,
) -> Option<StatusCode> {
    let request = Arc::from(call.attempt.as_str());
    let node = Some(Arc::from(context.settings.vm.as_str()));
    let question =
        PlaceQuestion { request, runner: Arc::from(runner.runner.as_str()), node, is_read };
    let body = Bytes::from(serde_json::to_vec(&question).ok()?);
    let (step, path) = ("place of a run", RUN_PLACE_PATH);
    let limit = FetchLimit::Whole(limit);
    let answer = fetch_answer(step, Method::POST, address, path, body, limit, MAX_ANSWER_BYTES);
    answer.await.ok().map(|answer| answer.status)
}
