//! HTTP endpoints for other nodes: the active configuration, the list of runners, and calls that
//! they forward.

use std::rc::Rc;

use base::prelude::*;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serving::RunnerRecord;
use web::{WebRequest, WebResponse, text_reply};

use crate::context::NodeContext;
use crate::forward::{FORWARD_PATH, RESUME_PATH, answer_forwarded, answer_resumed};
use crate::reach::{ANSWERS_PATH, REACH_PATH, answer_answers, answer_reach};
use crate::router::RouterService;
use crate::run_owner::{RUN_PLACE_PATH, answer_run_place};
use crate::state_transfer::{PLAN_PATH, answer_plan, answer_state};

/// Path of the list of runners.
pub const RUNNERS_PATH: &str = "/runners";

/// A node's list of runners.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunnersAnswer {
    /// Store offset up to which the list has been read.
    pub read: LogOffset,
    /// All runners that have not been removed.
    pub runners: Vec<RunnerRecord>,
}

/// Answers a request of another node.
pub async fn answer_peer(
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    request: WebRequest,
) -> WebResponse {
    match request.uri().path() {
        RUN_PLACE_PATH => answer_run_place(&context, request).await,
        PLAN_PATH => answer_plan(&context, &request),
        RUNNERS_PATH => answer_state(&request, &runners_answer(&context)),
        path if path.starts_with(FORWARD_PATH) => {
            answer_forwarded(&context, &router, request).await
        }
        path if path.starts_with(REACH_PATH) => answer_reach(&context, path).await,
        path if path.starts_with(ANSWERS_PATH) => answer_answers(&context, path).await,
        path if path.starts_with(RESUME_PATH) => answer_resumed(&context, &router, request).await,
        _ => text_reply(StatusCode::NOT_FOUND, "no such page"),
    }
}

fn runners_answer(context: &NodeContext) -> RunnersAnswer {
    let table = context.runners.borrow();
    let listed = table.entries().filter(|entry| entry.removed_at.is_none());
    RunnersAnswer {
        read: context.runners_offset.get(),
        runners: listed.map(|entry| entry.record.clone()).collect(),
    }
}
