//! Streams whose runner has fallen silent: whether it is still reached, and where the stream goes on
//! if not.
//!
//! Load pattern: a node is cut off from the runners of its streams without a sign on their connections.
//! A silent runner alone is no reason to leave it; one that is not reached is. The stream then goes on
//! from the copy of its run, through another node if this one does not reach that either. The silent
//! source is kept until something has taken over: what it has sent may be late, also the rest of a run that
//! has ended, which no other node finds any more.

use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::join;
use futures_util::{FutureExt, select_biased};
use kernel::OwnPoint;
use life::leaves_silent_source;
use serving::{AnswerPlace, OverlapRule, PlaceNodes, RunnerRecord, SendOutcome};

use super::stream_backup::{choose_backup, plan_backup_resume};
use super::stream_handover::HandoverStep;
use super::stream_move::MAX_SWITCH_TRIES;
use super::stream_overlap::MAX_OVERLAP;
use super::stream_pump::{PumpStep, StreamPump};
use crate::call_attempt::{may_retry, record_send};
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::reach::{
    connects_quickly, find_answer_place, find_reaching_node, heard_ages, is_cut_off, is_unreached,
    record_runner_event, suspect_runner,
};
use crate::runner_send::SendPlan;

/// Longest silence that is not looked into.
const MAX_SILENCE: TimeSpan = TimeSpan::millis(250);
/// Share of the longest pause that a route allows after which silence is looked into.
const SILENCE_DIVISOR: u64 = 2;
/// Silence that is not looked into before the first event, which takes as long as the prompt.
const FIRST_SILENCE: TimeSpan = TimeSpan::millis(500);
/// Pause until a silent source is looked at again.
const LOOK_PAUSE: TimeSpan = TimeSpan::millis(25);
/// Pause until a silent source is checked again after it could be connected to.
const CHECK_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Age up to which it counts that a source has answered another node: the time of two questions.
const MAX_ANSWER_AGE: TimeSpan = TimeSpan::millis(500);
/// Age of such an answer from which on the source is asked again: the next answer comes while the last one
/// still counts. A question may take a millisecond only.
const RENEWAL_AGE: TimeSpan = TimeSpan::millis(200);
/// Time in which a runner that is reached accepts a connection.
const USUAL_CONNECT: TimeSpan = TimeSpan::millis(8);
/// Shortest time between two events that are recorded.
const EVENT_RECORD_PAUSE: TimeSpan = TimeSpan::millis(50);

/// What a check of a silent source has shown.
#[derive(Debug, Clone)]
pub enum SourceCheck {
    /// Who reaches the runners of the stream.
    Reach(ReachCheck),
    /// Another node that the source answers.
    Answers(Option<VmId>),
    /// Other nodes that get answers, if this node reaches neither the source nor the runner with the copy.
    Places(PlaceNodes),
}

/// Who reaches the runners of a silent stream.
#[derive(Debug, Clone)]
pub struct ReachCheck {
    /// This node reaches the source.
    reaches_source: bool,
    /// This node reaches the runner with the copy.
    reaches_backup: bool,
    /// Another node that does.
    node: Option<VmId>,
}

/// A check in progress.
pub type CheckFuture = Pin<Box<dyn Future<Output = SourceCheck>>>;

/// Finds out who reaches `source`, and `backup` with the copy of its run. Nothing but `source` is
/// connected to if that accepts a connection at once, as a runner does that is only busy.
async fn check_source(
    context: Rc<NodeContext>,
    source: RunnerRecord,
    backup: RunnerRecord,
) -> SourceCheck {
    let mut connecting = pin!(connects_quickly(source.address).fuse());
    let early = select_biased! {
        reached = connecting => Some(reached),
        () = kernel::sleep(USUAL_CONNECT.into()).fuse() => None,
    };
    if early == Some(true) {
        let reach = ReachCheck { reaches_source: true, reaches_backup: false, node: None };
        return SourceCheck::Reach(reach);
    }
    let others = join(connects_quickly(backup.address), find_reaching_node(&context, &backup));
    let source_end = async { if early.is_none() { connecting.await } else { false } };
    let (reaches_source, (reaches_backup, node)) = join(source_end, others).await;
    SourceCheck::Reach(ReachCheck { reaches_source, reaches_backup, node })
}

/// When data last came from the source of a stream.
#[derive(Debug, Clone)]
pub struct SourceActivity {
    /// When data came last.
    pub(super) last_data_at: TimePoint,
    /// The same in the time of this process.
    heard_at: OwnPoint,
    /// When its silence is looked into at the earliest.
    pub(super) next_look: TimePoint,
    /// When it is looked at the earliest again where the stream can go on.
    next_check: TimePoint,
    /// When an event is recorded again.
    next_record: TimePoint,
    /// When the source last answered another node since then, and which one.
    others_answered: Option<(TimePoint, VmId)>,
}

impl SourceActivity {
    /// A source whose head arrived at `now`.
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            last_data_at: now,
            heard_at: kernel::own_now(),
            next_look: now,
            next_check: now,
            next_record: now,
            others_answered: None,
        }
    }

    /// Time without data in which this process ran.
    pub(super) fn own_silence(&self) -> TimeSpan {
        kernel::own_now().since(self.heard_at)
    }
}

impl StreamPump {
    /// Records that data has come from the source.
    pub(crate) fn record_activity(&mut self, now: TimePoint) {
        self.activity.last_data_at = now;
        self.activity.heard_at = kernel::own_now();
        self.activity.others_answered = None;
        self.pending_check = None;
        if now >= self.activity.next_record && !self.source.is_relayed {
            self.activity.next_record = now + EVENT_RECORD_PAUSE;
            record_runner_event(&self.context, &self.source.runner);
        }
    }

    /// When the silence of the source is to be looked into; `None` if it is read no more, or if
    /// another node looks after it.
    pub(crate) fn silence_due(&self) -> Option<TimePoint> {
        if self.source.ended || self.source.is_relayed {
            return None;
        }
        let span = match (self.source.first_events, self.call.route.gap_target) {
            (None, _) => FIRST_SILENCE,
            (Some(_), Some(gap)) => TimeSpan(gap.0 / SILENCE_DIVISOR).min(MAX_SILENCE),
            (Some(_), None) => MAX_SILENCE,
        };
        Some((self.activity.last_data_at + span).max(self.activity.next_look))
    }

    /// Has a silent runner asked. If it is not reached, the stream goes on elsewhere where it can.
    pub(crate) async fn handle_silence(&mut self) -> PumpStep {
        let now = self.context.now();
        self.activity.next_look = now + LOOK_PAUSE;
        if !is_unreached(&self.context, &self.source.runner) {
            suspect_runner(&self.context, &self.source.runner);
            if let Some(backup) = &self.source.backup {
                suspect_runner(&self.context, backup);
            }
            self.begin_check();
            return PumpStep::Continue;
        }
        if self.may_be_sound() {
            self.begin_question();
            return PumpStep::Continue;
        }
        if self.may_resume() {
            if self.begin_place_question() {
                return PumpStep::Continue;
            }
            return self.go_on_from_copy(None).await;
        }
        if self.may_run_again()
            && let Some(plan) = self.plan_another_run()
        {
            return self.run_beside_source(plan).await;
        }
        let answered = self.activity.others_answered.as_ref();
        let answered = answered.filter(|(at, _)| now.since(*at) < MAX_ANSWER_AGE);
        let Some((answered_at, node)) = answered.cloned() else {
            self.begin_question();
            return PumpStep::Continue;
        };
        if self.may_move_from_source() {
            return self.move_through_node(node).await.unwrap_or(PumpStep::Continue);
        }
        // What is known is to be recent when another node may be asked again.
        if now.since(answered_at) >= RENEWAL_AGE {
            self.begin_question();
        }
        PumpStep::Continue
    }

    /// Whether the source may be a sound runner that is silent for a moment, and goes on too late for two to work on
    /// the run.
    fn may_be_sound(&self) -> bool {
        let answers_others = self.activity.others_answered.is_some()
            || is_cut_off(&self.context, &self.call.service);
        !leaves_silent_source(self.activity.own_silence(), answers_others, MAX_OVERLAP)
    }

    /// Whether the route allows another run, and a runner for it is reached.
    fn may_run_again(&self) -> bool {
        self.call.route.stream_resume && !self.context.reach.borrow().is_lost(&self.call.service)
    }

    /// Finds out where the stream can go on, while it is known whether its runner is reached.
    fn begin_check(&mut self) {
        let is_due = self.context.now() >= self.activity.next_check;
        if !is_due || self.pending_check.is_some() || !self.may_resume() {
            return;
        }
        let Some(backup) = self.source.backup.clone() else { return };
        let source = self.source.runner.clone();
        let check = check_source(Rc::clone(&self.context), source, backup);
        self.pending_check = Some(Box::pin(check));
    }

    /// Finds out whether the source answers another node, and not this one.
    fn begin_question(&mut self) {
        if self.pending_check.is_some() {
            return;
        }
        let (context, source) = (Rc::clone(&self.context), self.source.runner.clone());
        let question = async move {
            let node = match find_answer_place(&context, &source).await {
                AnswerPlace::OtherNode(node) => Some(node),
                AnswerPlace::Here | AnswerPlace::Nowhere => None,
            };
            SourceCheck::Answers(node)
        };
        self.pending_check = Some(Box::pin(question));
    }

    /// Follows what a check of a silent source has shown. A stream goes on from its copy sooner than
    /// its runner is taken out of the choice; if the copy is refused, it stays at its source.
    pub(crate) async fn finish_check(&mut self, check: SourceCheck) -> PumpStep {
        self.pending_check = None;
        let reach = match check {
            SourceCheck::Answers(node) => {
                let now = self.context.now();
                let is_soon = node.is_some() || self.may_be_sound();
                let pause = if is_soon { TimeSpan::default() } else { CHECK_PAUSE };
                self.activity.others_answered = node.map(|node| (now, node));
                self.activity.next_look = now + pause;
                return PumpStep::Continue;
            }
            SourceCheck::Places(nodes) => return self.go_to_answering_place(nodes).await,
            SourceCheck::Reach(reach) => reach,
        };
        self.activity.next_check = self.context.now() + CHECK_PAUSE;
        let has_way = reach.reaches_backup || reach.node.is_some();
        if reach.reaches_source || !has_way || !self.may_resume() {
            return PumpStep::Continue;
        }
        let node = if reach.reaches_backup { None } else { reach.node };
        self.go_on_from_copy(node).await
    }

    /// Goes on from the copy of the run, through `node` if there is one. The silent source is kept until
    /// the copy has taken over: it may only be silent for a moment.
    pub(super) async fn go_on_from_copy(&mut self, node: Option<VmId>) -> PumpStep {
        let Some(backup) = self.source.backup.clone() else { return PumpStep::Continue };
        self.tries += 1;
        self.pending_check = None;
        self.ticket.hold_progress();
        // Another copy would come from the runner that is silent.
        self.pending_move = None;
        self.log_silent_source(node.as_ref());
        if (node.is_some() || is_unreached(&self.context, &backup))
            && let Some(step) = self.resume_copy_through_node(&backup, node).await
        {
            return step;
        }
        let plan = plan_backup_resume(&self.context, &self.call, &mut self.ticket, backup);
        let backup = plan.runner.clone();
        match self.hand_over(plan, "resumed", OverlapRule::LeaveSilentSource).await {
            HandoverStep::Switched => PumpStep::Continue,
            HandoverStep::End(step) => step,
            HandoverStep::Unreached | HandoverStep::Kept => {
                // Nothing was sent: the copy is still there, and the try does not count.
                self.tries -= 1;
                self.source.backup = Some(backup);
                self.stay_at_source().await
            }
            HandoverStep::Refused(_) => {
                // A copy is used once.
                self.source.backup = None;
                self.stay_at_source().await
            }
        }
    }

    /// Goes on with the source after the copy has not taken over, unless the source has been lost
    /// meanwhile.
    async fn stay_at_source(&mut self) -> PumpStep {
        if self.source.ended {
            return self.go_on_elsewhere("runner_lost").await;
        }
        self.ticket.relocate_to(&self.source.runner.runner);
        self.activity.next_look = self.context.now() + CHECK_PAUSE;
        PumpStep::Continue
    }

    /// Runs again at another runner beside the silent source, which is kept until that one has answered.
    async fn run_beside_source(&mut self, plan: SendPlan) -> PumpStep {
        self.tries += 1;
        self.ticket.hold_progress();
        self.log_silent_source(None);
        let source = self.source.runner.runner.clone();
        match self.hand_over(plan, "run_again", OverlapRule::LeaveSilentSource).await {
            HandoverStep::Switched => {
                record_send(&self.call, &mut self.attempts.tracker, SendOutcome::Unknown);
                self.attempts.tried.push(source);
                PumpStep::Continue
            }
            HandoverStep::End(step) => step,
            HandoverStep::Unreached | HandoverStep::Kept => self.stay_at_source().await,
            HandoverStep::Refused(outcome) => {
                record_send(&self.call, &mut self.attempts.tracker, outcome);
                self.stay_at_source().await
            }
        }
    }

    /// Another run at another runner, which the call is assigned to; `None` if none is left, or if that was
    /// tried a moment ago.
    fn plan_another_run(&mut self) -> Option<SendPlan> {
        let now = self.context.now();
        if now < self.activity.next_check || self.tries >= MAX_SWITCH_TRIES {
            return None;
        }
        self.activity.next_check = now + CHECK_PAUSE;
        let target = self.ticket.relocate()?;
        let record = self.context.runners.borrow().get(&target).map(|entry| entry.record.clone());
        // The run at the source counts if the stream leaves it.
        let mut tracker = self.attempts.tracker.clone();
        tracker.record_send(SendOutcome::Unknown);
        // The budget is charged once a runner is found.
        let record = record.filter(|_| may_retry(&self.context, &self.call, &tracker));
        let Some(record) = record else {
            self.ticket.relocate_to(&self.source.runner.runner);
            return None;
        };
        let backup = choose_backup(&self.context, &self.call, &self.ticket);
        Some(SendPlan::first(record, backup))
    }

    /// Logs and counts that a stream is to go on without its silent source, through `node` if there is one.
    pub(super) fn log_silent_source(&self, node: Option<&VmId>) {
        self.count_move("source_silent");
        if !may_log(&self.context) {
            return;
        }
        let now = self.context.now();
        let heard = heard_ages(&self.context, &self.call.service);
        tracing::info!(
            event = "source_silent",
            request = %self.call.attempt,
            runner = %self.source.runner.runner,
            silent_ms = now.since(self.activity.last_data_at).as_millis(),
            service_silent_ms = heard.service.map(TimeSpan::as_millis),
            all_silent_ms = heard.all.map(TimeSpan::as_millis),
            is_unreached = is_unreached(&self.context, &self.source.runner),
            is_cut_off = is_cut_off(&self.context, &self.call.service),
            copy = self.source.backup.as_ref().map(|backup| backup.runner.as_str()),
            node = node.map(VmId::as_str),
            events = self.scanner.event_count(),
        );
    }
}
