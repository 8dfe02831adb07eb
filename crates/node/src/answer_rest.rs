//! The rest of a runner's answer, after its head: whether the runner still reaches this node.
//!
//! Load pattern: a node is cut off from a runner that answers a call. Nothing shows on the connection, and
//! the caller would learn at its deadline only that the rest does not come.

use std::cell::Cell;

use base::prelude::*;
use futures_util::future::{Either, select};
use hyper::Response;
use hyper::body::Bytes;
use serving::{RestDecision, RestFacts, RunnerRecord, decide_rest};
use web::WebExchange;

use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::reach::{find_answer_place, is_cut_off, is_unreached, suspect_runner};
use crate::runner_send::{SendFailure, read_parts};

/// How often it is looked whether the runner is reached; silence after which it is asked.
const LOOK_PAUSE: TimeSpan = TimeSpan::millis(250);

/// Reads the whole body of a runner's answer, until the deadline of the call or until this node is cut off
/// from the runner, which answers another node, and neither this one nor the call. A call that goes to no
/// other runner waits on while others of its service are reached.
///
/// # Errors
/// Returns [`SendFailure`] if the body does not arrive as a whole.
pub async fn read_runner_answer(
    context: &NodeContext,
    call: &Call,
    runner: &RunnerRecord,
    exchange: WebExchange,
) -> Result<Response<Bytes>, SendFailure> {
    let heard_at = Cell::new(context.now());
    let left = call.deadline.since(context.now());
    let reading = Box::pin(read_parts(exchange, left, || heard_at.set(context.now())));
    let lost = Box::pin(wait_rest_lost(context, call, runner, &heard_at));
    match select(reading, lost).await {
        Either::Left((answer, _)) => answer,
        Either::Right((unheard, _)) => {
            note_lost_rest(context, call, runner, unheard);
            Err(SendFailure::unreached())
        }
    }
}

/// Waits until the rest of an answer is to be given up; `heard_at` is when a part of it last came. Gives
/// the time without a sign of the runner.
async fn wait_rest_lost(
    context: &NodeContext,
    call: &Call,
    runner: &RunnerRecord,
    heard_at: &Cell<TimePoint>,
) -> TimeSpan {
    loop {
        kernel::sleep(LOOK_PAUSE.into()).await;
        let unheard_for = || context.now().since(heard_at.get());
        if unheard_for() < LOOK_PAUSE {
            continue;
        }
        if !is_unreached(context, runner) {
            suspect_runner(context, runner);
            heard_at.set(context.now());
            continue;
        }
        let may_leave = call.route.may_repeat() || is_cut_off(context, &runner.service);
        let mut facts = RestFacts { unheard: unheard_for(), may_leave, answered: None };
        if decide_rest(&facts) != RestDecision::Ask {
            continue;
        }
        facts.answered = Some(find_answer_place(context, runner).await);
        facts.unheard = unheard_for();
        if decide_rest(&facts) == RestDecision::GiveUp {
            return facts.unheard;
        }
    }
}

/// Counts and logs an answer that has begun and whose rest is given up.
fn note_lost_rest(context: &NodeContext, call: &Call, runner: &RunnerRecord, unheard: TimeSpan) {
    context.metrics.answers_cut_off.inc();
    if may_log(context) {
        let (request, runner) = (&call.attempt, &runner.runner);
        let unheard_ms = unheard.as_millis();
        tracing::info!(event = "answer_cut_off", %request, %runner, unheard_ms);
    }
}
