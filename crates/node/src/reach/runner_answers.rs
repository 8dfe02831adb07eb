//! Where a runner answers that has got a request and has not answered it.
//!
//! Load pattern: a runner that was sent a run is silent. It may be slow, cut off from this node, or silent
//! to all for a moment; only what it answers now tells them apart.

use std::pin::pin;

use futures_util::future::{Either, select};
use serving::{AnswerPlace, RunnerRecord};

use super::reach_question::find_answering_node;
use super::reach_watch::ask;
use super::records::suspect_runner;
use crate::context::NodeContext;

/// Asks a runner, and other nodes whether it answers them, at the same time.
pub async fn find_answer_place(context: &NodeContext, runner: &RunnerRecord) -> AnswerPlace {
    let own = pin!(ask(context, runner));
    let others = pin!(find_answering_node(context, runner));
    let (answers_here, node) = match select(own, others).await {
        Either::Left((Ok(()), _)) => (true, None),
        Either::Left((Err(_), others)) => (false, others.await),
        Either::Right((node, own)) => (own.await.is_ok(), node),
    };
    if answers_here {
        return AnswerPlace::Here;
    }
    suspect_runner(context, runner);
    node.map_or(AnswerPlace::Nowhere, AnswerPlace::OtherNode)
}
