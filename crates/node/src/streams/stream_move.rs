//! Where a stream goes when its runner leaves or is lost.
//!
//! With a backup copy at another runner, the stream resumes there; without one, its memory is
//! copied to another runner first.

use std::pin::Pin;
use std::rc::Rc;

use base::prelude::*;
use platform::ResumeSource;
use serving::{OverlapRule, RunnerLoss, RunnerRecord};

use super::stream_backup::{choose_backup, plan_backup_resume};
use super::stream_copy::{CopyTask, RunCopy};
use super::stream_handover::HandoverStep;
use super::stream_pump::{PumpStep, StreamPump};
use crate::crash_watch::find_blocked_input;
use crate::metrics::OutcomeLabels;
use crate::reach::is_unreached;
use crate::runner_gate::is_closed;
use crate::runner_probe::probe_lost_runner;
use crate::runner_send::SendPlan;

/// Maximum number of consecutive failed tries to change the runner of a stream.
pub const MAX_SWITCH_TRIES: u32 = 20;
/// Time that a run with a backup copy stays at a leaving runner. Short enough for the
/// shortest notice period (1.5 s), less the age of the announcement.
const SWITCH_DELAY: TimeSpan = TimeSpan::millis(100);
/// Time from the first events of a run until its backup copy is complete.
const BACKUP_FILL_SPAN: TimeSpan = TimeSpan::millis(600);
/// Pause before the next move, after a target had no room. All tries together take as long
/// as the notice period.
const MOVE_RETRY_PAUSE: TimeSpan = TimeSpan::millis(75);

type CopyFuture = Pin<Box<dyn Future<Output = platform::Result<RunCopy>>>>;

/// A move whose memory copy is in progress.
pub struct PendingMove {
    target: RunnerRecord,
    /// Completes when the copy has ended.
    pub future: CopyFuture,
}

impl PendingMove {
    /// A move whose copy is complete and whose target is tried once more after a pause.
    fn again(target: RunnerRecord, copy: RunCopy) -> Self {
        let future = async move {
            kernel::sleep(MOVE_RETRY_PAUSE.into()).await;
            Ok(copy)
        };
        Self { target, future: Box::pin(future) }
    }
}

impl StreamPump {
    /// Handles a source that failed before the end of the stream.
    pub(crate) async fn handle_source_loss(&mut self, reason: &str) -> PumpStep {
        self.close_source();
        self.log_send_failure(reason);
        if !self.is_prompt_proven {
            let (runner, loss) = (&self.source.runner, RunnerLoss::ConnectionEnded);
            probe_lost_runner(&self.context, &self.call, runner, loss);
        }
        if self.pending_move.is_some() {
            return PumpStep::Continue;
        }
        self.go_on_elsewhere("runner_lost").await
    }

    /// Goes on from the backup copy after the source was lost, or else runs again if the route allows
    /// that. Otherwise the stream ends with `reason`.
    pub(crate) async fn go_on_elsewhere(&mut self, reason: &'static str) -> PumpStep {
        if let Some(step) = self.resume_left_places().await {
            return step;
        }
        if self.may_resume() {
            return self.resume_from_backup().await;
        }
        self.run_elsewhere(reason).await
    }

    /// Goes on from what is left of the run of an ended source. The run itself may work on, for another node.
    pub(super) async fn replace_ended_source(&mut self) -> PumpStep {
        if let Some(whole) = self.proven_end() {
            return whole;
        }
        if let Some(step) = self.resume_left_places().await {
            return step;
        }
        if self.may_resume() {
            return self.resume_from_backup().await;
        }
        self.end_refused("runner_lost").await
    }

    /// Whether a stream that has lost its source can go on from the backup copy.
    pub(crate) fn may_resume(&self) -> bool {
        let backup = self.source.backup.as_ref();
        self.tries < MAX_SWITCH_TRIES
            && find_blocked_input(&self.context, &self.call).is_none()
            && backup.is_some_and(|backup| !is_closed(&self.context, &backup.runner))
    }

    /// Handles the announcement that the runner leaves: schedules the switch to the backup,
    /// or starts a move.
    pub(crate) fn handle_leaving_runner(&mut self) -> PumpStep {
        self.leaving_since.get_or_insert(self.context.now());
        if !self.follows_orders() {
            self.stays = true;
            return PumpStep::Continue;
        }
        if self.has_usable_backup() {
            self.source.switch_at = Some(self.context.now() + SWITCH_DELAY);
            return PumpStep::Continue;
        }
        self.start_move()
    }

    /// Leaves the current runner once the scheduled switch is due.
    pub(crate) async fn leave_source(&mut self) -> PumpStep {
        if self.source.ended || self.has_usable_backup() {
            return self.resume_from_backup().await;
        }
        self.start_move()
    }

    /// Whether a backup copy is at a runner that is not leaving and has had time to complete.
    fn has_usable_backup(&self) -> bool {
        let now = self.context.now();
        let backup = self.source.backup.as_ref();
        let is_complete =
            self.source.first_events.is_some_and(|first| now.since(first) >= BACKUP_FILL_SPAN);
        is_complete && backup.is_some_and(|backup| !is_closed(&self.context, &backup.runner))
    }

    /// Resumes the stream at the runner that keeps its backup copy.
    async fn resume_from_backup(&mut self) -> PumpStep {
        self.tries += 1;
        let Some(backup) = self.source.backup.take() else { return PumpStep::Continue };
        if self.source.ended
            && is_unreached(&self.context, &backup)
            && let Some(step) = self.resume_copy_through_node(&backup, None).await
        {
            return step;
        }
        let plan = plan_backup_resume(&self.context, &self.call, &mut self.ticket, backup.clone());
        match self.hand_over(plan, "resumed", OverlapRule::KeepSource).await {
            HandoverStep::Switched => PumpStep::Continue,
            HandoverStep::End(step) => step,
            HandoverStep::Kept => {
                self.source.backup = Some(backup);
                self.keep_run()
            }
            HandoverStep::Unreached | HandoverStep::Refused(_) if !self.source.ended => {
                self.start_move()
            }
            HandoverStep::Unreached => {
                if let Some(step) = self.resume_copy_through_node(&backup, None).await {
                    return step;
                }
                // Nothing was sent: the copy is still there.
                self.source.backup = Some(backup);
                self.schedule_move(true).await
            }
            // A copy is used once: if the runner has taken it in spite of its failure, it refuses.
            HandoverStep::Refused(_) => {
                if let Some(step) = self.resume_copy_through_node(&backup, None).await {
                    return step;
                }
                self.end_refused("resume_refused").await
            }
        }
    }

    /// Goes on at the source through another node after all other places have refused the run, or else runs
    /// again if the route allows that. Otherwise the stream ends with `reason`.
    async fn end_refused(&mut self, reason: &'static str) -> PumpStep {
        // An order that is not answered yet may leave a memory.
        if let Some(step) = self.resume_left_places().await {
            return step;
        }
        if self.may_move_from_source()
            && let Some(step) = self.move_from_source().await
        {
            return step;
        }
        self.run_elsewhere(reason).await
    }

    /// Starts copying the run's memory to another runner, if there is one.
    fn start_move(&mut self) -> PumpStep {
        self.tries += 1;
        self.source.switch_at = None;
        if self.tries > MAX_SWITCH_TRIES {
            return PumpStep::Continue;
        }
        let old = &self.source.runner;
        let (request, from) = (&self.call.attempt, &old.runner);
        let target = self.ticket.relocate().or_else(|| self.last_target());
        let runners = self.context.runners.borrow();
        let Some(entry) = target.and_then(|target| runners.get(&target)) else {
            tracing::info!(event = "move_impossible", %request, %from);
            self.tries = MAX_SWITCH_TRIES;
            return PumpStep::Continue;
        };
        let target = entry.record.clone();
        let events = self.scanner.event_count();
        tracing::info!(event = "move_begun", %request, %from, to = %target.runner, events);
        let (context, attempt) = (Rc::clone(&self.context), self.call.attempt.clone());
        let copy = CopyTask::copy(context, attempt, old.address, target.address);
        self.pending_move = Some(PendingMove { target, future: Box::pin(copy) });
        PumpStep::Continue
    }

    /// The target of the last move that failed, if it is not leaving: there may be no other.
    fn last_target(&self) -> Option<RunnerId> {
        let target = self.ticket.assigned_runner()?;
        let is_other = target != self.source.runner.runner;
        (is_other && !is_closed(&self.context, &target)).then_some(target)
    }

    /// Switches to the target of a completed move, or schedules another try.
    pub(crate) async fn finish_move(&mut self, outcome: platform::Result<RunCopy>) -> PumpStep {
        let Some(pending) = self.pending_move.take() else { return PumpStep::Continue };
        match outcome {
            Ok(copy) => self.switch_to(pending.target, copy).await,
            Err(error) => {
                self.count_move("move_failed");
                self.log_send_failure(&error.to_string());
                // A run that the source no longer has is finished; its last events are in
                // transit.
                self.schedule_move(!error.is_not_found()).await
            }
        }
    }

    /// Schedules the next try after one that failed, unless the run is finished. A stream that
    /// has lost its source ends if it has no copy either.
    async fn schedule_move(&mut self, still_runs: bool) -> PumpStep {
        if self.source.ended && !self.may_resume() {
            return self.end_refused("move_failed").await;
        }
        let has_next = still_runs || self.source.ended;
        self.source.switch_at = has_next.then(|| self.context.now() + MOVE_RETRY_PAUSE);
        PumpStep::Continue
    }

    /// Resumes the stream at `target`, which holds `copy`.
    async fn switch_to(&mut self, target: RunnerRecord, copy: RunCopy) -> PumpStep {
        let resume = ResumeSource {
            address: self.source.runner.address,
            handle: copy.handle.clone(),
            last_event_id: None,
        };
        let backup = choose_backup(&self.context, &self.call, &self.ticket);
        let plan = SendPlan::resume(target.clone(), resume, backup);
        match self.hand_over(plan, "moved", OverlapRule::KeepSource).await {
            HandoverStep::Switched | HandoverStep::End(PumpStep::Continue) => {
                self.hold_copy(copy);
                PumpStep::Continue
            }
            HandoverStep::End(step) => step,
            HandoverStep::Kept => self.keep_run(),
            HandoverStep::Unreached if self.source.ended && self.tries < MAX_SWITCH_TRIES => {
                // Nothing was sent: the copy is still there, and nothing else is.
                self.tries += 1;
                self.pending_move = Some(PendingMove::again(target, copy));
                PumpStep::Continue
            }
            HandoverStep::Unreached | HandoverStep::Refused(_) => self.schedule_move(true).await,
        }
    }

    /// Keeps the copy that a run was moved by until it goes on for certain. One that the next runner has taken without
    /// an order is used.
    fn hold_copy(&mut self, copy: RunCopy) {
        match &mut self.left_places {
            Some(places) => places.hold_earlier(copy),
            None => copy.keep(),
        }
    }

    /// Goes on with a run that its source has not stopped. It leaves later, unless it stays for good.
    fn keep_run(&mut self) -> PumpStep {
        self.ticket.relocate_to(&self.source.runner.runner);
        let may_leave = !self.stays && self.tries < MAX_SWITCH_TRIES;
        self.source.switch_at = may_leave.then(|| self.context.now() + MOVE_RETRY_PAUSE);
        PumpStep::Continue
    }

    /// Counts a runner change by its outcome.
    pub(crate) fn count_move(&self, outcome: &'static str) {
        self.context.metrics.moves.get_or_create(&OutcomeLabels { outcome, reason: "" }).inc();
    }
}
