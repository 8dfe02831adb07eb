//! Watches which runners this node reaches, by asking those at which calls fail or hang.

use std::rc::Rc;

use base::prelude::*;
use futures_util::future::join_all;
use platform::{pulse_path, read_pulse};
use rand::seq::SliceRandom;
use serving::{
    QuestionFailure, ReachMembers, ReachQuestion, RunnerEntry, RunnerIncarnation, RunnerRecord,
};
use web::WebConnection;

use super::records::{count_reaching, impairment, record_runner_answer, record_runner_connection};
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::runner_notices::record_notice;

/// How often it is looked whether runners are to be asked.
const WATCH_PERIOD: TimeSpan = TimeSpan::millis(50);

/// Runners that are asked to tell a crash from a cut.
const WITNESSES: usize = 4;

/// Timeout for a connection to a runner, and for its answer.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::millis(250);

/// Asks runners whenever that is due, until the process ends.
pub async fn watch_reach(context: Rc<NodeContext>) {
    loop {
        kernel::sleep(WATCH_PERIOD.into()).await;
        let now = context.now();
        if !context.reach.borrow().needs_check(now) {
            end_impairments(&context);
            continue;
        }
        let members = reach_members(&context);
        let questions = context.reach.borrow_mut().begin_check(now, members, &mut rand::rng());
        note_losses(&context);
        end_impairments(&context);
        for question in questions {
            kernel::spawn(answer_question(Rc::clone(&context), question)).detach();
        }
    }
}

/// The runners that may be asked, by service.
fn reach_members(context: &NodeContext) -> ReachMembers {
    let Some(plan) = context.plan() else { return ReachMembers::new() };
    let mut members = ReachMembers::new();
    let table = context.runners.borrow();
    for entry in table.entries().filter(|entry| plan.services.contains_key(&entry.record.service)) {
        let runner = entry.record.incarnation();
        let of_service = members.entry(entry.record.service.clone()).or_default();
        if is_staying(entry) && !is_waiting(context, &runner) {
            of_service.open.insert(runner);
        } else {
            of_service.closed.insert(runner);
        }
    }
    members
}

/// Whether a runner may receive new requests, as far as it has not asked for a wait.
fn is_staying(entry: &RunnerEntry) -> bool {
    entry.removed_at.is_none() && !entry.record.leaving
}

/// Whether a runner has asked this node to send it nothing for some time.
fn is_waiting(context: &NodeContext, runner: &RunnerIncarnation) -> bool {
    context.waits.borrow().end(context.now(), runner).is_some()
}

/// Asks a runner, and records what that shows.
async fn answer_question(context: Rc<NodeContext>, question: ReachQuestion) {
    let begun = context.now();
    let record = {
        let runners = context.runners.borrow();
        runners.get(&question.runner.runner).map(|entry| entry.record.clone())
    };
    let Some(record) = record else {
        context.reach.borrow_mut().end_question(&question);
        return;
    };
    match ask(&context, &record).await {
        Ok(()) => context.reach.borrow_mut().end_question(&question),
        Err(failure) => {
            let now = context.now();
            let is_news = context.reach.borrow_mut().record_silence(now, begun, &question, failure);
            if is_news {
                note_unreached_runner(&context, &record, failure);
            }
            note_losses(&context);
        }
    }
}

fn note_unreached_runner(context: &NodeContext, runner: &RunnerRecord, failure: QuestionFailure) {
    context.metrics.runners_unreached.inc();
    if !context.runners.borrow().is_leaving(&runner.runner) {
        impairment(context, &runner.service).raise();
    }
    if may_log(context) {
        let (runner, service) = (&runner.runner, &runner.service);
        tracing::info!(event = "runner_unreached", %runner, %service, ?failure);
    }
    context.signal_runner_change();
}

/// Logs the services that this node has just lost.
fn note_losses(context: &NodeContext) {
    let now = context.now();
    let lost = context.reach.borrow_mut().update_losses(now);
    for service in lost {
        context.metrics.reach_losses.inc();
        impairment(context, &service).raise();
        let reach = context.reach.borrow();
        let own = reach.service(&service);
        tracing::warn!(
            event = "runners_unreached",
            %service,
            silent_ms = own.and_then(|own| own.silent_for(now)).map(TimeSpan::as_millis),
            runners = own.map(|own| own.counts().1),
            nodes_reaching = count_reaching(context, &service),
        );
        context.signal_runner_change();
    }
}

/// Replaces the signals of services whose runners are all reached again.
fn end_impairments(context: &NodeContext) {
    let reach = context.reach.borrow();
    let is_impaired = |service: &ServiceName| {
        reach.service(service).is_some_and(|own| {
            let (reached, known) = own.counts();
            reached < known || own.is_lost()
        })
    };
    let mut impairments = context.impairments.borrow_mut();
    impairments.retain(|service, signal| !signal.is_raised() || is_impaired(service));
}

/// Whether this node reaches the service of a runner: another runner of it has answered since
/// `since`, or does when some are asked. If it has no other runner, one of another service will do:
/// several runners have to crash under an input before that is blocked.
pub async fn reaches_service(
    context: &NodeContext,
    runner: &RunnerRecord,
    since: TimePoint,
) -> bool {
    let lost = runner.incarnation();
    let has_answered = |service: &ServiceName| {
        let reach = context.reach.borrow();
        reach.service(service).is_some_and(|own| own.answered_since(since, &lost))
    };
    if has_answered(&runner.service) {
        return true;
    }
    let witnesses = choose_witnesses(context, runner);
    join_all(witnesses.iter().map(|witness| ask(context, witness))).await;
    witnesses.iter().any(|witness| has_answered(&witness.service))
}

/// Other runners of the service, or of all services if there are none.
fn choose_witnesses(context: &NodeContext, runner: &RunnerRecord) -> Vec<RunnerRecord> {
    let table = context.runners.borrow();
    let others = table
        .entries()
        .filter(|entry| entry.record.runner != runner.runner && is_staying(entry))
        .filter(|entry| !is_waiting(context, &entry.record.incarnation()));
    let mut others: Vec<RunnerRecord> = others.map(|entry| entry.record.clone()).collect();
    let is_own = |other: &RunnerRecord| other.service == runner.service;
    if others.iter().any(is_own) {
        others.retain(is_own);
    }
    others.shuffle(&mut rand::rng());
    others.truncate(WITNESSES);
    others
}

/// Asks a runner for an answer, whatever it is. One of a service without a health check has only to
/// accept the connection.
pub(super) async fn ask(
    context: &NodeContext,
    runner: &RunnerRecord,
) -> Result<(), QuestionFailure> {
    let connected = WebConnection::open(runner.address, ANSWER_TIMEOUT).await;
    let connection = connected.map_err(|_| QuestionFailure::Unconnected)?;
    let Some(path) = question_path(context, runner) else {
        record_runner_connection(context, runner);
        return Ok(());
    };
    let answered = read_pulse(connection, &path, &runner.runner, ANSWER_TIMEOUT).await;
    let notice = answered.map_err(|error| {
        if error.is_connection_end() {
            QuestionFailure::Unconnected
        } else {
            QuestionFailure::Silent
        }
    })?;
    if let Some(notice) = notice {
        record_notice(context, &runner.incarnation(), &notice);
    }
    record_runner_answer(context, runner);
    Ok(())
}

/// Whether a runner answers this node: it answers a question now, or has sent data just now if there is
/// nothing that it could be asked. A runner that accepts a connection may be silent to all.
pub(super) async fn answers_here(context: &NodeContext, runner: &RunnerRecord) -> bool {
    if question_path(context, runner).is_some() {
        return ask(context, runner).await.is_ok();
    }
    let since = context.now() - ANSWER_TIMEOUT;
    let reach = context.reach.borrow();
    let own = reach.service(&runner.service);
    let has_spoken = own.is_some_and(|own| own.spoke_since(since, &runner.incarnation()));
    if !has_spoken {
        context.metrics.unproven_answers.inc();
        if may_log(context) {
            let (runner, service) = (&runner.runner, &runner.service);
            tracing::info!(event = "runner_unproven", %runner, %service);
        }
    }
    has_spoken
}

/// What a runner is asked for; `None` if its service has no health check and no report.
fn question_path(context: &NodeContext, runner: &RunnerRecord) -> Option<String> {
    let plan = context.plan()?;
    let service = plan.services.get(&runner.service)?;
    pulse_path(service.engine.is_some(), service.health_path.as_deref()).map(str::to_owned)
}
