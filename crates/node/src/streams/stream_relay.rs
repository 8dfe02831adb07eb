//! Streams that come through another node: whether that one still looks after the runner, and where the
//! stream goes on if not.
//!
//! Load pattern: a node that has taken runs of another one is killed, or falls silent without a sign on its
//! connections, while the runners are sound. The run then goes on through a further node, from its runner
//! or from the copy that the lost node had made. A silent node is read until that has come about.

use std::pin::Pin;
use std::rc::Rc;

use base::prelude::*;
use hyper::Response;
use platform::ResumeSource;
use route::CallEnd;
use serving::{AttemptTracker, RelayDecision, RelayFacts, decide_relay};
use web::{ConnectionCloser, WebResponse};

use super::stream_call::start_stream;
use super::stream_pump::{PumpStep, StreamParts, StreamPump};
use super::stream_resume::StreamAttempts;
use super::stream_source::{StreamSource, is_event_stream};
use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::forward::{
    ForwardEnd, RunSite, TakenResume, answer_headers, leave_out_node, relay_response, try_forward,
};
use crate::reach::{is_unreached, node_answers};
use crate::router::RouterService;
use crate::runner_send::SendPlan;

/// Silence after which the node is asked, and pause until it is asked again.
const QUESTION_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Pause after a question without an answer.
const UNANSWERED_PAUSE: TimeSpan = TimeSpan::millis(25);
/// Reason of a stream that ends since the node that it came through is lost.
const NODE_LOST: &str = "node_lost";

/// A question to a node, in progress: whether it answers.
pub type NodeQuestion = Pin<Box<dyn Future<Output = bool>>>;

/// Forwards a stream call if another node is to take it, and relays its stream. Returns `None` if the call is
/// to be served here.
pub(super) async fn forward_stream(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: &Rc<Call>,
    closer: &ConnectionCloser,
) -> Option<WebResponse> {
    match try_forward(context, call).await? {
        ForwardEnd::Taken(taken) => {
            let (call, closer) = (Rc::clone(call), closer.clone());
            Some(relay_taken(context, router, call, closer, taken).await)
        }
        ForwardEnd::Failed(response) => Some(response),
    }
}

/// Relays what another node has answered: a stream as one whose source comes through that node, if it says
/// where the run is.
pub(super) async fn relay_taken(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: Rc<Call>,
    closer: ConnectionCloser,
    taken: TakenResume,
) -> WebResponse {
    let TakenResume { node, exchange } = taken;
    let site = RunSite::read(exchange.response.headers());
    let plan = site.and_then(|site| plan_at(context, &site));
    let Some(plan) = plan.filter(|_| is_event_stream(&exchange.response)) else {
        return relay_response(context, &call, &closer, TakenResume { node, exchange }).await;
    };
    let mut head = Response::new(());
    *head.status_mut() = exchange.response.status();
    *head.headers_mut() = answer_headers(&exchange);
    // The other node counts the call.
    let mut ticket = router.open(call.route_call(&[]));
    ticket.end(CallEnd::Cancelled);
    let source = StreamSource::relayed(&plan, exchange, node);
    let tracker = AttemptTracker::for_route(&call.route);
    let attempts = StreamAttempts { tracker, tried: Vec::new() };
    let resumed_after = call.head.last_event_id.filter(|_| call.route.stream_resume);
    let parts = StreamParts { call, ticket, source, attempts, resumed_after };
    start_stream(context, router, parts, closer, head)
}

/// The send of the run at `site`; `None` if its runner is not known.
fn plan_at(context: &NodeContext, site: &RunSite) -> Option<SendPlan> {
    let runners = context.runners.borrow();
    let find = |runner: &RunnerId| runners.get(runner).map(|entry| entry.record.clone());
    let copy = site.copy.as_ref().and_then(find);
    Some(SendPlan::first(find(&site.runner)?, copy))
}

impl StreamPump {
    /// When the node that the stream comes through is to be asked; `None` if there is none.
    pub(super) fn relay_due(&self) -> Option<TimePoint> {
        if self.source.ended || self.source.relay.is_none() || self.pending_question.is_some() {
            return None;
        }
        Some((self.activity.last_data_at + QUESTION_PAUSE).max(self.activity.next_look))
    }

    /// Asks the node that a silent stream comes through.
    pub(super) fn ask_relay(&mut self) -> PumpStep {
        let Some(node) = self.source.relay.clone() else { return PumpStep::Continue };
        let context = Rc::clone(&self.context);
        let question = async move { node_answers(&context, &node).await };
        self.pending_question = Some(Box::pin(question));
        PumpStep::Continue
    }

    /// Follows what the node of a silent stream has answered.
    pub(super) async fn follow_relay(&mut self, answers: bool) -> PumpStep {
        self.pending_question = None;
        let pause = if answers { QUESTION_PAUSE } else { UNANSWERED_PAUSE };
        self.activity.next_look = self.context.now() + pause;
        let silence = self.activity.own_silence();
        if silence < QUESTION_PAUSE {
            return PumpStep::Continue;
        }
        let may_move = self.may_move_from_source();
        let facts = RelayFacts { is_lost: false, answers, silence, may_move };
        self.follow_decision(facts).await
    }

    /// Handles a source that failed before the end of the stream.
    pub(super) async fn lose_source(&mut self, reason: &str) -> PumpStep {
        if !self.source.is_relayed {
            return self.handle_source_loss(reason).await;
        }
        self.log_send_failure(reason);
        let silence = self.activity.own_silence();
        let facts = RelayFacts { is_lost: true, answers: false, silence, may_move: false };
        self.follow_decision(facts).await
    }

    async fn follow_decision(&mut self, facts: RelayFacts) -> PumpStep {
        let decision = decide_relay(facts);
        if decision == RelayDecision::Wait {
            return PumpStep::Continue;
        }
        self.log_relay(facts, decision);
        if let Some(node) = &self.source.relay {
            leave_out_node(&self.context, &self.call, node);
        }
        if decision == RelayDecision::MoveRun {
            let plan = SendPlan::first(self.source.runner.clone(), None);
            let step = self.go_on_through_node(&plan, false).await;
            if step.is_some() || !self.source.ended {
                return step.unwrap_or(PumpStep::Continue);
            }
        }
        self.leave_relay().await
    }

    /// Goes on without the node: through another one, or else here. The stream ends if it goes on nowhere.
    async fn leave_relay(&mut self) -> PumpStep {
        self.close_source();
        let plan = self.plan_from_copy();
        if let Some(step) = self.go_on_through_node(&plan, false).await {
            return step;
        }
        let copy = self.source.backup.as_ref();
        if copy.is_some_and(|copy| !is_unreached(&self.context, copy)) {
            return self.go_on_elsewhere(NODE_LOST).await;
        }
        self.run_elsewhere(NODE_LOST).await
    }

    /// The send that resumes the run from its copy, if there is one.
    fn plan_from_copy(&self) -> SendPlan {
        let Some(copy) = self.source.backup.clone() else {
            return SendPlan::first(self.source.runner.clone(), None);
        };
        let handle = Arc::from(self.call.attempt.as_str());
        let resume = ResumeSource { address: copy.address, handle, last_event_id: None };
        SendPlan::resume(copy, resume, None)
    }

    /// The run as the node that has taken it says. Builds that do not say where it is may have left it where
    /// it was.
    pub(super) fn plan_at_site(&self, site: Option<RunSite>) -> SendPlan {
        let plan = site.and_then(|site| plan_at(&self.context, &site));
        plan.unwrap_or_else(|| SendPlan::first(self.source.runner.clone(), None))
    }

    /// Logs and counts what becomes of a stream whose node is lost or silent.
    fn log_relay(&self, facts: RelayFacts, decision: RelayDecision) {
        self.count_move(if facts.is_lost { "node_lost" } else { "node_silent" });
        if !may_log(&self.context) {
            return;
        }
        tracing::info!(
            event = "relay_lost",
            request = %self.call.attempt,
            node = self.source.relay.as_ref().map(VmId::as_str),
            runner = %self.source.runner.runner,
            copy = self.source.backup.as_ref().map(|copy| copy.runner.as_str()),
            is_lost = facts.is_lost,
            silent_ms = facts.silence.as_millis(),
            ?decision,
            events = self.scanner.event_count(),
        );
    }
}
