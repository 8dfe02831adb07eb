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

use crate::call_log::{EndOutcome, log_setback};
use crate::metrics::EndLabels;
use crate::runner_send::{SendPlan, SendSetback, send_to_runner};
use crate::stream_call::{choose_backup, plan_at_backup};
use crate::stream_move::{RunCopy, copy_run};
use crate::stream_pump::{PumpStep, StreamPump};
use crate::stream_source::StreamSource;

/// Tries to change the runner of a stream at most, until one succeeds.
pub const MAX_TRIES: u32 = 20;
/// Time that a run with a copy elsewhere stays at a runner that leaves: short enough for
/// the shortest notice (1.5 s), less the age of the news.
const STAY_SPAN: TimeSpan = TimeSpan::millis(100);
/// Time after the first events of a run until its copy at another runner is there.
const FILL_SPAN: TimeSpan = TimeSpan::millis(600);
/// Pause before a move to another target, after one had no room; with all tries, as long
/// as a notice.
const NEXT_TARGET_PAUSE: TimeSpan = TimeSpan::millis(75);
/// Time for another runner to take a run over before the old one is cut off. Two runners
/// may not work on one request for longer than 400 ms.
const OVERLAP_LIMIT: TimeSpan = TimeSpan::millis(250);

type CopyFuture = Pin<Box<dyn Future<Output = platform::Result<RunCopy>>>>;

/// A move that was begun.
pub struct PendingMove {
    target: RunnerRecord,
    /// Ends with the copy.
    pub future: CopyFuture,
}

impl StreamPump {
    /// The source gives nothing more and has not ended the stream.
    pub(crate) async fn lose_source(&mut self, why: &str) -> PumpStep {
        self.source.cut_off();
        self.log_setback(why);
        if self.moving.is_some() {
            return PumpStep::Continue;
        }
        if self.source.backup.is_some() && self.tries < MAX_TRIES {
            return self.resume_from_backup().await;
        }
        PumpStep::End(EndOutcome::Cut, "runner_lost")
    }

    /// The runner has announced that it leaves.
    pub(crate) fn prepare_leave(&mut self) -> PumpStep {
        if self.has_live_backup() {
            self.source.leave_at = Some(self.context.now() + STAY_SPAN);
            return PumpStep::Continue;
        }
        self.start_move()
    }

    /// The time at the leaving runner is over.
    pub(crate) async fn leave_runner(&mut self) -> PumpStep {
        if self.has_live_backup() {
            return self.resume_from_backup().await;
        }
        self.start_move()
    }

    /// Whether a copy is at a runner that stays, and has had the time to get there.
    fn has_live_backup(&self) -> bool {
        let now = self.context.now();
        let backup = self.source.backup.as_ref();
        let is_there = self.source.first_events.is_some_and(|first| now.since(first) >= FILL_SPAN);
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
        let plan = plan_at_backup(&self.context, &self.call, &mut self.ticket, backup, last);
        match self.take_over(&plan, "resumed").await {
            Ok(step) => step,
            Err(_) if !self.source.ended => self.start_move(),
            Err(_) => PumpStep::End(EndOutcome::Cut, "resume_refused"),
        }
    }

    fn start_move(&mut self) -> PumpStep {
        self.tries += 1;
        self.source.leave_at = None;
        if self.tries > MAX_TRIES {
            return PumpStep::Continue;
        }
        let old = &self.source.runner;
        let (request, from) = (&self.call.attempt, &old.runner);
        let target = self.ticket.relocate();
        let runners = self.context.runners.borrow();
        let Some(entry) = target.and_then(|target| runners.get(&target)) else {
            tracing::info!(event = "move_impossible", %request, %from);
            self.tries = MAX_TRIES;
            return PumpStep::Continue;
        };
        let target = entry.record.clone();
        let events = self.scanner.event_count();
        tracing::info!(event = "move_begun", %request, %from, to = %target.runner, events);
        let (context, attempt) = (Rc::clone(&self.context), self.call.attempt.clone());
        let copy = copy_run(context, attempt, old.address, target.address);
        self.moving = Some(PendingMove { target, future: Box::pin(copy) });
        PumpStep::Continue
    }

    pub(crate) async fn finish_move(&mut self, outcome: platform::Result<RunCopy>) -> PumpStep {
        let Some(moving) = self.moving.take() else { return PumpStep::Continue };
        match outcome {
            Ok(copy) => self.switch(moving.target, copy).await,
            Err(error) => {
                self.note_change("move_failed");
                self.log_setback(&error.to_string());
                // A run that is not there has ended; the rest of its events is on its way.
                self.move_again(!error.is_not_found())
            }
        }
    }

    /// Tries another target a little later, unless the run is over or lost.
    fn move_again(&mut self, still_runs: bool) -> PumpStep {
        if self.source.ended {
            return PumpStep::End(EndOutcome::Cut, "move_failed");
        }
        self.source.leave_at = still_runs.then(|| self.context.now() + NEXT_TARGET_PAUSE);
        PumpStep::Continue
    }

    /// Goes on at `target`, which holds `copy`. The old runner is cut off as soon as the
    /// other has taken over.
    async fn switch(&mut self, target: RunnerRecord, copy: RunCopy) -> PumpStep {
        let resume = ResumeSource {
            address: self.source.runner.address,
            handle: copy.handle.clone(),
            last_event_id: self.scanner.last_id(),
        };
        let backup = choose_backup(&self.context, &self.call, &self.ticket);
        let plan = SendPlan { runner: target, resume: Some(resume), backup };
        match self.take_over(&plan, "moved").await {
            Ok(step) => {
                copy.keep();
                step
            }
            Err(_) => self.move_again(true),
        }
    }

    /// Sends the request on to the runner that has the run's memory, and takes its events
    /// in place of the old one's.
    async fn take_over(
        &mut self,
        plan: &SendPlan,
        word: &'static str,
    ) -> Result<PumpStep, SendSetback> {
        let exchange = match self.send_over(plan).await {
            Ok(exchange) => exchange,
            Err(setback) => {
                self.note_change("refused");
                log_setback(&self.context, &self.call, &plan.runner.runner, &setback.reason);
                return Err(setback);
            }
        };
        if !exchange.response.status().is_success() {
            self.note_change("answered_otherwise");
            let status = exchange.response.status().to_string();
            log_setback(&self.context, &self.call, &plan.runner.runner, &status);
            return Ok(PumpStep::End(EndOutcome::Cut, "resume_failed"));
        }
        self.note_change(word);
        self.changes += 1;
        self.tries = 0;
        tracing::info!(
            event = "runner_changed_over",
            request = %self.call.attempt,
            how = word,
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
    async fn send_over(&mut self, plan: &SendPlan) -> Result<WebExchange, SendSetback> {
        let left = self.call.deadline.since(self.context.now());
        let mut sent = pin!(send_to_runner(&self.context, &self.call, plan, left));
        if !self.source.ended {
            let early = compio::time::timeout(OVERLAP_LIMIT.into(), sent.as_mut()).await;
            if let Ok(outcome) = early {
                return outcome;
            }
            self.source.cut_off();
        }
        let mut left = pin!(self.caller.left.wait().fuse());
        let mut sent = pin!(sent.fuse());
        select_biased! {
            outcome = sent => outcome,
            () = left => Err(SendSetback::caller_left()),
        }
    }

    fn note_change(&self, outcome: &'static str) {
        self.context.metrics.moves.get_or_create(&EndLabels { outcome, reason: "" }).inc();
    }
}
