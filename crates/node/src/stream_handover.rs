//! How a stream changes its runner: when that one leaves, and when it is lost.
//!
//! With a copy elsewhere it goes on there; without one its memory is moved first.

use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use platform::ResumeSource;
use serving::RunnerRecord;
use web::WebExchange;

use crate::call_log::{RequestOutcome, log_send_failure};
use crate::metrics::OutcomeLabels;
use crate::runner_send::{SendFailure, SendPlan, send_to_runner};
use crate::stream_call::{choose_backup, plan_backup_resume};
use crate::stream_copy::{RunCopy, copy_run};
use crate::stream_pump::{PumpStep, StreamPump};
use crate::stream_source::StreamSource;

/// Tries to change the runner of a stream at most, until one succeeds.
pub const MAX_SWITCH_TRIES: u32 = 20;
/// Time that a run with a copy elsewhere stays at a runner that leaves: short enough for
/// the shortest notice (1.5 s), less the age of the news.
const SWITCH_DELAY: TimeSpan = TimeSpan::millis(100);
/// Time after the first events of a run until its copy at another runner is there.
const BACKUP_FILL_SPAN: TimeSpan = TimeSpan::millis(600);
/// Pause before a move to another target, after one had no room; with all tries, as long
/// as a notice.
const MOVE_RETRY_PAUSE: TimeSpan = TimeSpan::millis(75);
/// Time for another runner to take a run over before the old one is cut off. Two runners
/// may not work on one request for longer than 400 ms.
const MAX_OVERLAP: TimeSpan = TimeSpan::millis(250);

type CopyFuture = Pin<Box<dyn Future<Output = platform::Result<RunCopy>>>>;

/// A move that was begun.
pub struct PendingMove {
    target: RunnerRecord,
    /// Ends with the copy.
    pub future: CopyFuture,
}

impl StreamPump {
    /// The source gives nothing more and has not ended the stream.
    pub(crate) async fn handle_source_loss(&mut self, reason: &str) -> PumpStep {
        self.source.close();
        self.log_send_failure(reason);
        if self.pending_move.is_some() {
            return PumpStep::Continue;
        }
        if self.source.backup.is_some() && self.tries < MAX_SWITCH_TRIES {
            return self.resume_from_backup().await;
        }
        PumpStep::End(RequestOutcome::Interrupted, "runner_lost")
    }

    /// The runner has announced that it leaves.
    pub(crate) fn handle_leaving_runner(&mut self) -> PumpStep {
        if self.has_usable_backup() {
            self.source.switch_at = Some(self.context.now() + SWITCH_DELAY);
            return PumpStep::Continue;
        }
        self.start_move()
    }

    /// The time at the leaving runner is over.
    pub(crate) async fn leave_source(&mut self) -> PumpStep {
        if self.has_usable_backup() {
            return self.resume_from_backup().await;
        }
        self.start_move()
    }

    /// Whether a copy is at a runner that stays, and has had the time to get there.
    fn has_usable_backup(&self) -> bool {
        let now = self.context.now();
        let backup = self.source.backup.as_ref();
        let is_there =
            self.source.first_events.is_some_and(|first| now.since(first) >= BACKUP_FILL_SPAN);
        is_there
            && backup
                .is_some_and(|backup| !self.context.runners.borrow().is_leaving(&backup.runner))
    }

    /// Goes on at the runner that keeps a copy. The old one is cut off as soon as the
    /// other has taken over.
    async fn resume_from_backup(&mut self) -> PumpStep {
        self.tries += 1;
        let Some(backup) = self.source.backup.take() else { return PumpStep::Continue };
        let last = self.scanner.last_id();
        let plan = plan_backup_resume(&self.context, &self.call, &mut self.ticket, backup, last);
        match self.hand_over(&plan, "resumed").await {
            Ok(step) => step,
            Err(_) if !self.source.ended => self.start_move(),
            Err(_) => PumpStep::End(RequestOutcome::Interrupted, "resume_refused"),
        }
    }

    fn start_move(&mut self) -> PumpStep {
        self.tries += 1;
        self.source.switch_at = None;
        if self.tries > MAX_SWITCH_TRIES {
            return PumpStep::Continue;
        }
        let old = &self.source.runner;
        let (request, from) = (&self.call.attempt, &old.runner);
        let target = self.ticket.relocate();
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
        let copy = copy_run(context, attempt, old.address, target.address);
        self.pending_move = Some(PendingMove { target, future: Box::pin(copy) });
        PumpStep::Continue
    }

    pub(crate) async fn finish_move(&mut self, outcome: platform::Result<RunCopy>) -> PumpStep {
        let Some(moving) = self.pending_move.take() else { return PumpStep::Continue };
        match outcome {
            Ok(copy) => self.switch_to(moving.target, copy).await,
            Err(error) => {
                self.count_move("move_failed");
                self.log_send_failure(&error.to_string());
                // A run that is not there has ended; the rest of its events is on its way.
                self.schedule_move(!error.is_not_found())
            }
        }
    }

    /// Tries another target a little later, unless the run is over or lost.
    fn schedule_move(&mut self, still_runs: bool) -> PumpStep {
        if self.source.ended {
            return PumpStep::End(RequestOutcome::Interrupted, "move_failed");
        }
        self.source.switch_at = still_runs.then(|| self.context.now() + MOVE_RETRY_PAUSE);
        PumpStep::Continue
    }

    /// Goes on at `target`, which holds `copy`. The old runner is cut off as soon as the
    /// other has taken over.
    async fn switch_to(&mut self, target: RunnerRecord, copy: RunCopy) -> PumpStep {
        let resume = ResumeSource {
            address: self.source.runner.address,
            handle: copy.handle.clone(),
            last_event_id: self.scanner.last_id(),
        };
        let backup = choose_backup(&self.context, &self.call, &self.ticket);
        let plan = SendPlan { runner: target, resume: Some(resume), backup };
        match self.hand_over(&plan, "moved").await {
            Ok(step) => {
                copy.keep();
                step
            }
            Err(_) => self.schedule_move(true),
        }
    }

    /// Sends the request on to the runner that has the run's memory, and takes its events
    /// in place of the old one's.
    async fn hand_over(
        &mut self,
        plan: &SendPlan,
        how: &'static str,
    ) -> Result<PumpStep, SendFailure> {
        let exchange = match self.send_with_overlap(plan).await {
            Ok(exchange) => exchange,
            Err(failure) => {
                self.count_move("refused");
                log_send_failure(&self.context, &self.call, &plan.runner.runner, &failure.reason);
                return Err(failure);
            }
        };
        if !exchange.response.status().is_success() {
            self.count_move("answered_otherwise");
            let status = exchange.response.status().to_string();
            log_send_failure(&self.context, &self.call, &plan.runner.runner, &status);
            return Ok(PumpStep::End(RequestOutcome::Interrupted, "resume_failed"));
        }
        self.count_move(how);
        self.changes += 1;
        self.tries = 0;
        tracing::info!(
            event = "runner_changed_over",
            request = %self.call.attempt,
            how,
            from = %self.source.runner.runner,
            to = %plan.runner.runner,
            backup = plan.backup.as_ref().map(|backup| backup.runner.as_str()),
            events = self.scanner.event_count(),
        );
        self.scanner.discard_partial_event();
        self.source = StreamSource::new(plan, exchange);
        Ok(PumpStep::Continue)
    }

    /// Waits for the head of the answer; cuts the old runner off if that takes long.
    async fn send_with_overlap(&mut self, plan: &SendPlan) -> Result<WebExchange, SendFailure> {
        let left = self.call.deadline.since(self.context.now());
        let mut sent = pin!(send_to_runner(&self.context, &self.call, plan, left));
        if !self.source.ended {
            let early = compio::time::timeout(MAX_OVERLAP.into(), sent.as_mut()).await;
            if let Ok(outcome) = early {
                return outcome;
            }
            self.source.close();
        }
        let mut left = pin!(self.caller.disconnected.wait().fuse());
        let mut sent = pin!(sent.fuse());
        select_biased! {
            outcome = sent => outcome,
            () = left => Err(SendFailure::caller_disconnected()),
        }
    }

    fn count_move(&self, outcome: &'static str) {
        self.context.metrics.moves.get_or_create(&OutcomeLabels { outcome, reason: "" }).inc();
    }
}
