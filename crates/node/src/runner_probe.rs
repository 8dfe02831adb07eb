//! Finds out whether a runner that lost calls has crashed.
//!
//! A lost connection alone says little: answers are also cut by links and by faulty runners. A
//! crashed runner does not answer on a new connection, whether that is refused, reset, closed or
//! accepted, and had not announced that it leaves.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::rc::Rc;

use base::prelude::*;
use platform::{pulse_path, read_pulse};
use serving::{ProbeOutcome, RunnerIncarnation, RunnerLoss, RunnerRecord, has_crashed};
use web::{WebConnection, WebError};

use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::crash_watch::record_crash;
use crate::reach::reaches_service;
use crate::runner_gate::find_own_block;
use crate::runner_notices::record_notice;

/// Timeout for connecting to a runner that lost a call.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::millis(250);
/// Timeout for its answer; longer than a call takes that a plain runner is busy with.
const PULSE_TIMEOUT: TimeSpan = TimeSpan::millis(500);
/// Pauses before the connections to it. A process that ends may accept them for a moment after it
/// has closed others; a crashed runner is back only after seconds.
const PROBE_PAUSES: [TimeSpan; 3] =
    [TimeSpan::millis(0), TimeSpan::millis(50), TimeSpan::millis(150)];

/// The calls that were lost by runners which are being probed, by how they were lost. One crash
/// takes several calls, and one probe tells of all of them.
pub type LostCalls = BTreeMap<(RunnerIncarnation, RunnerLoss), Vec<Rc<Call>>>;

/// Finds out whether `runner`, which lost the call before it had written enough of its answer, has
/// crashed, and records that.
pub fn probe_lost_runner(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    runner: &RunnerRecord,
    loss: RunnerLoss,
) {
    if context.runners.borrow().is_leaving(&runner.runner) {
        return;
    }
    let mut lost_calls = context.lost_calls.borrow_mut();
    let calls = lost_calls.entry((runner.incarnation(), loss)).or_default();
    calls.push(Rc::clone(call));
    if calls.len() > 1 {
        return;
    }
    let (context, runner) = (Rc::clone(context), runner.clone());
    kernel::spawn(async move {
        let lost_at = context.now();
        let outcome = match loss {
            RunnerLoss::NoAnswer => connect(&runner).await.map_or_else(
                |outcome| outcome,
                // One that is busy would get more to do by being asked.
                |_| ProbeOutcome::Silent,
            ),
            RunnerLoss::ConnectionEnded => probe(&context, &runner).await,
        };
        // To a node that is cut off from all runners of a service, each of them looks crashed.
        let crashed =
            has_crashed(loss, outcome) && reaches_service(&context, &runner, lost_at).await;
        finish_probe(&context, &runner, loss, outcome, crashed);
    })
    .detach();
}

fn finish_probe(
    context: &NodeContext,
    runner: &RunnerRecord,
    loss: RunnerLoss,
    outcome: ProbeOutcome,
    crashed: bool,
) {
    let incarnation = runner.incarnation();
    let removed = context.lost_calls.borrow_mut().remove(&(incarnation.clone(), loss));
    let calls = removed.unwrap_or_default();
    // A crashed runner may be off the list by now; one that leaves has said so.
    let leaving = context.runners.borrow().is_incarnation_leaving(&incarnation);
    if may_log(context) {
        tracing::info!(
            event = "runner_probed",
            runner = %runner.runner,
            ?loss,
            ?outcome,
            crashed,
            leaving,
            calls = calls.len(),
        );
    }
    if crashed && !leaving {
        for call in &calls {
            record_crash(context, call, runner);
        }
    }
}

/// What the runner shows on new connections. The first refusal decides; the last connection is
/// used to ask.
async fn probe(context: &NodeContext, runner: &RunnerRecord) -> ProbeOutcome {
    let mut connected = Err(ProbeOutcome::Unreached);
    for pause in PROBE_PAUSES {
        kernel::sleep(pause.into()).await;
        connected = connect(runner).await;
        if matches!(connected, Err(ProbeOutcome::Refused)) {
            break;
        }
    }
    match connected {
        Ok(connection) => ask(context, runner, connection).await,
        Err(outcome) => outcome,
    }
}

/// Connects to the runner, or says why that is not possible.
async fn connect(runner: &RunnerRecord) -> Result<WebConnection, ProbeOutcome> {
    let connected = WebConnection::open(runner.address, CONNECT_TIMEOUT).await;
    connected.map_err(|error| match error {
        WebError::Connect { source, .. } if is_refusal(source.kind()) => ProbeOutcome::Refused,
        _ => ProbeOutcome::Unreached,
    })
}

fn is_refusal(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
}

/// Asks the runner whether it is up. One that accepts no requests at present, or says so nowhere,
/// is not asked and counts as up.
async fn ask(
    context: &NodeContext,
    runner: &RunnerRecord,
    connection: WebConnection,
) -> ProbeOutcome {
    let Some(path) = find_path(context, runner) else { return ProbeOutcome::Answered };
    if find_own_block(context, &runner.incarnation()).is_some() {
        return ProbeOutcome::Answered;
    }
    match read_pulse(connection, &path, &runner.runner, PULSE_TIMEOUT).await {
        Ok(None) => ProbeOutcome::Replaced,
        Ok(Some(notice)) => {
            record_notice(context, &runner.incarnation(), &notice);
            ProbeOutcome::Answered
        }
        Err(WebError::Deadline { .. }) => ProbeOutcome::Silent,
        Err(error) if error.is_connection_end() => ProbeOutcome::Ended,
        // Bytes that are no answer come from a process that is up, too.
        Err(_) => ProbeOutcome::Answered,
    }
}

fn find_path(context: &NodeContext, runner: &RunnerRecord) -> Option<Arc<str>> {
    let plan = context.plan()?;
    let service = plan.services.get(&runner.service)?;
    pulse_path(service.engine.is_some(), service.health_path.as_deref()).map(Arc::from)
}
