//! What calls and streams show of which runners this node reaches, and what follows for them.

use base::prelude::*;
use kernel::StopSignal;
use route::RouteMember;
use serving::{AnswerNews, AnswerPlace, ReachShare, ReachUpdate, RunnerRecord};

use super::runner_answers::find_answer_place;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::metrics::ServiceLabels;

/// How often it is looked whether a runner is reached.
const LOOK_PERIOD: TimeSpan = TimeSpan::millis(50);
/// Time after which a connection that has not come about is a reason to ask the runner.
const SLOW_CONNECT: TimeSpan = TimeSpan::millis(100);
/// Pause until other nodes are asked again whether a runner answers them.
const ANSWERS_PAUSE: TimeSpan = TimeSpan::millis(250);

/// Records that a runner has answered a request or a question.
pub fn record_runner_answer(context: &NodeContext, runner: &RunnerRecord) {
    let (now, incarnation) = (context.now(), runner.incarnation());
    let news = context.reach.borrow_mut().record_answer(now, &runner.service, &incarnation);
    follow_news(context, runner, news);
}

/// Records that a runner of which nothing can be asked has accepted a connection.
pub(super) fn record_runner_connection(context: &NodeContext, runner: &RunnerRecord) {
    let (now, incarnation) = (context.now(), runner.incarnation());
    let news = context.reach.borrow_mut().record_connection(now, &runner.service, &incarnation);
    follow_news(context, runner, news);
}

/// Counts an answer, and follows what it has changed.
fn follow_news(context: &NodeContext, runner: &RunnerRecord, news: AnswerNews) {
    let labels = ServiceLabels { service: runner.service.to_string() };
    context.metrics.runner_answers.get_or_create(&labels).inc();
    if news.runner_regained {
        context.regained_runners.borrow_mut().push(runner.runner.clone());
        if may_log(context) {
            let (runner, service) = (&runner.runner, &runner.service);
            tracing::info!(event = "runner_reached", %runner, %service);
        }
        context.signal_runner_change();
    }
    if news.service_regained {
        let service = &runner.service;
        let nodes_reaching = count_reaching(context, service);
        tracing::info!(event = "runners_reached", %service, nodes_reaching);
        context.signal_runner_change();
    }
}

/// Records that a runner could not be connected to, or gave no answer.
pub fn record_runner_failure(context: &NodeContext, runner: &RunnerRecord) {
    let labels = ServiceLabels { service: runner.service.to_string() };
    context.metrics.runner_failures.get_or_create(&labels).inc();
    context.reach.borrow_mut().record_failure(&runner.service, &runner.incarnation());
}

/// Records that an event of a stream has come from a runner.
pub fn record_runner_event(context: &NodeContext, runner: &RunnerRecord) {
    let (now, incarnation) = (context.now(), runner.incarnation());
    context.reach.borrow_mut().record_event(now, &runner.service, &incarnation);
}

/// Has a runner asked whose stream is silent.
pub fn suspect_runner(context: &NodeContext, runner: &RunnerRecord) {
    context.reach.borrow_mut().record_failure(&runner.service, &runner.incarnation());
}

/// Records that a request was sent to a runner, or that one waits on for its answer.
pub fn record_runner_send(context: &NodeContext, runner: &RunnerRecord) {
    let (now, incarnation) = (context.now(), runner.incarnation());
    context.reach.borrow_mut().record_send(now, &runner.service, &incarnation);
}

/// Whether this start of a runner is not reached.
#[must_use]
pub fn is_unreached(context: &NodeContext, runner: &RunnerRecord) -> bool {
    context.reach.borrow().is_unreached(&runner.service, &runner.incarnation())
}

/// Waits until a runner that is being connected to is not reached, while others of its service are.
/// The runner is asked if that takes long.
pub async fn wait_while_connecting(context: &NodeContext, runner: &RunnerRecord) {
    kernel::sleep(SLOW_CONNECT.into()).await;
    suspect_runner(context, runner);
    while !is_unreached(context, runner) || context.reach.borrow().is_lost(&runner.service) {
        kernel::sleep(LOOK_PERIOD.into()).await;
    }
}

/// Waits until this node is cut off from a runner that was sent a request: it reaches no runner of the
/// service, and this one answers another node. A runner that is silent to all may only be silent for a
/// moment, and have begun to run the request. A run that `may_go_on` elsewhere does not wait for other
/// runners of the service to be lost, too.
pub async fn wait_while_unanswered(context: &NodeContext, runner: &RunnerRecord, may_go_on: bool) {
    let is_cut =
        || is_cut_off(context, &runner.service) || may_go_on && is_unreached(context, runner);
    loop {
        while !is_cut() {
            record_runner_send(context, runner);
            kernel::sleep(SLOW_CONNECT.into()).await;
        }
        if matches!(find_answer_place(context, runner).await, AnswerPlace::OtherNode(_)) {
            return;
        }
        kernel::sleep(ANSWERS_PAUSE.into()).await;
    }
}

/// Whether this node reaches no runner of a service that another node reaches.
#[must_use]
pub fn is_cut_off(context: &NodeContext, service: &ServiceName) -> bool {
    context.reach.borrow().is_lost(service) && count_reaching(context, service) > 0
}

/// Time since data last came from runners; `None` if none has yet.
#[derive(Debug, Clone, Copy)]
pub struct HeardAges {
    /// From those of one service.
    pub service: Option<TimeSpan>,
    /// From those of any service.
    pub all: Option<TimeSpan>,
}

/// For how long this node has heard nothing of its runners, those of `service` and all. A link that is full
/// holds back the data of all of them.
#[must_use]
pub fn heard_ages(context: &NodeContext, service: &ServiceName) -> HeardAges {
    let (now, reach) = (context.now(), context.reach.borrow());
    let of_service = reach.service(service).and_then(|own| own.unheard_for(now));
    HeardAges { service: of_service, all: reach.unheard_for(now) }
}

/// The signal that is raised while this node does not reach all runners of a service.
#[must_use]
pub fn impairment(context: &NodeContext, service: &ServiceName) -> StopSignal {
    let mut impairments = context.impairments.borrow_mut();
    if let Some(signal) = impairments.get(service) {
        return signal.clone();
    }
    let signal = StopSignal::new();
    impairments.insert(service.clone(), signal.clone());
    signal
}

/// The share of a service's runners that this node reaches.
#[must_use]
pub fn reached_share(context: &NodeContext, service: &ServiceName) -> ReachShare {
    let reach = context.reach.borrow();
    let counts = reach.service(service).map(serving::ServiceReach::counts);
    counts.map_or(ReachShare::ALL, |(reached, known)| ReachShare::new(reached as u64, known as u64))
}

/// Marks the runners that are not reached, so that they get no calls, unless none of the service
/// is: calls then wait for one that is reached again.
#[must_use]
pub fn exclude_unreached(
    context: &NodeContext,
    service: &ServiceName,
    mut members: Vec<RouteMember>,
) -> Vec<RouteMember> {
    let (reach, runners) = (context.reach.borrow(), context.runners.borrow());
    let Some(own) = reach.service(service).filter(|reach| !reach.is_lost()) else { return members };
    for member in &mut members {
        let entry = runners.get(&member.runner);
        member.leaving |= entry.is_some_and(|entry| own.is_unreached(&entry.record.incarnation()));
    }
    members
}

/// Records which runners another node reaches.
pub fn apply_reach_update(context: &NodeContext, vm: &VmId, update: ReachUpdate) {
    context.fleet_reach.borrow_mut().set(vm, update);
}

/// Number of other nodes that reach runners of a service.
pub(super) fn count_reaching(context: &NodeContext, service: &ServiceName) -> usize {
    let (peers, fleet) = (context.peers.borrow(), context.fleet_reach.borrow());
    let reaches = |vm: &VmId| fleet.share(vm, service) > ReachShare::NONE;
    let live = peers.live(context.now());
    live.filter(|heartbeat| heartbeat.reaches_runners && reaches(&heartbeat.vm)).count()
}
