//! Polling runners directly for whether they are leaving, while the list of runners is stale.
//!
//! Engines are reclaimed also while the store is unavailable. Without the poll, nodes would
//! miss the notice and their streams would be lost.

use std::rc::Rc;

use base::prelude::*;
use futures_util::future::join_all;
use platform::{RunnerReply, read_report};
use serving::RunnerRecord;

use crate::context::NodeContext;
use crate::reach::record_runner_answer;
use crate::router::RouterService;
use crate::runner_gate::find_own_block;
use crate::runner_notices::record_notice;

/// Age of the list of runners from which runners are polled: longer than the pauses of all
/// nodes that stand by to read it.
const STALE_LIST_SPAN: TimeSpan = TimeSpan::millis(450);
/// Pause between two polls; well below the shortest notice period of 1.5 s.
const POLL_PAUSE: TimeSpan = TimeSpan::millis(150);
/// Average number of nodes that poll a runner each time; they notify the others.
const POLLING_NODES: f64 = 2.0;
/// Timeout of one poll.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::millis(250);

/// Polls the runners that have calls of this node until the process ends.
pub async fn poll_runners(context: Rc<NodeContext>, router: Rc<RouterService>) {
    loop {
        kernel::sleep(POLL_PAUSE.into()).await;
        if context.runners_age() < STALE_LIST_SPAN {
            continue;
        }
        let polled = runners_to_poll(&context, &router);
        let polls = polled.iter().map(|runner| poll_runner(&context, &router, runner));
        join_all(polls).await;
    }
}

/// Engines with calls of this node that are not known to be leaving and accept requests. Each is selected with
/// a probability that keeps the average at [`POLLING_NODES`] over all nodes.
fn runners_to_poll(context: &NodeContext, router: &RouterService) -> Vec<RunnerRecord> {
    let Some(plan) = context.plan() else { return Vec::new() };
    let runners = context.runners.borrow();
    let loads = router.loads.local_loads();
    let entries = loads.iter().filter_map(|load| runners.get(&load.runner));
    let peer_loads = context.peer_loads.borrow();
    let staying = entries.filter(|entry| !entry.record.leaving && entry.removed_at.is_none());
    let accepting =
        staying.filter(|entry| find_own_block(context, &entry.record.incarnation()).is_none());
    let engines = accepting.filter(|entry| {
        plan.services.get(&entry.record.service).is_some_and(|service| service.engine.is_some())
    });
    let chosen = engines.filter(|entry| {
        let nodes = 1 + peer_loads.nodes_using(&entry.record.runner);
        rand::random_bool((POLLING_NODES / nodes as f64).min(1.0))
    });
    chosen.map(|entry| entry.record.clone()).collect()
}

/// Reads a runner's report and marks the runner as leaving if the report says so.
async fn poll_runner(context: &NodeContext, router: &RouterService, record: &RunnerRecord) {
    let runner = record.incarnation();
    let RunnerReply { notice, result } = read_report(record.address, REPORT_TIMEOUT).await;
    if let Some(notice) = notice {
        record_runner_answer(context, record);
        record_notice(context, &runner, &notice);
    }
    match result {
        Ok(report) if report.leaving => router.mark_leaving(&runner, "report"),
        Ok(_) => (),
        Err(error) => {
            tracing::debug!(event = "report_not_read", runner = %record.runner, %error);
        }
    }
}
