//! How a stream changes its runner: when that one leaves, and when it is lost.
//!
//! With a copy elsewhere it goes on there; without one its memory is moved first.

use std::cell::Cell;
use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use platform::{MoveAnswer, ResumeSource};
use serving::RunnerRecord;
use web::WebExchange;

use crate::call_log::{EndOutcome, log_setback};
use crate::metrics::EndLabels;
use crate::runner_send::{SendPlan, SendSetback, send_to_runner};
use crate::stream_call::choose_backup;
use crate::stream_move::StreamMove;
use crate::stream_pump::{PumpStep, StreamPump};
use crate::stream_source::StreamSource;

/// Changes of the runner of one stream at most.
pub const MAX_CHANGES: u32 = 16;
/// Time to read what a stopped run still had on its way.
const REST_TIME: TimeSpan = TimeSpan::millis(100);
/// Time that a run with a copy elsewhere stays at a runner that leaves: short enough for
/// the shortest notice (1.5 s), less the age of the news.
const STAY_SPAN: TimeSpan = TimeSpan::millis(500);
/// Time from the news that a runner leaves in which the runs there are copied while they go
/// on. A run that stops for the rest of its copy earlier would wait behind whole copies.
const COPY_SPAN: TimeSpan = TimeSpan::millis(900);
/// Pause before a move to another target, after one had no room.
const NEXT_TARGET_PAUSE: TimeSpan = TimeSpan::millis(20);
/// Time for another runner to take a run over before the old one is cut off. Two runners
/// may not work on one request for longer than 400 ms.
const OVERLAP_LIMIT: TimeSpan = TimeSpan::millis(250);

type MoveFuture = Pin<Box<dyn Future<Output = platform::Result<MoveAnswer>>>>;

/// A move that was begun.
pub struct PendingMove {
    target: RunnerRecord,
    /// Set before the run is told to stop.
    pub stopping: Rc<Cell<bool>>,
    /// Ends with the copy.
    pub future: MoveFuture,
}

impl StreamPump {
    /// The source gives nothing more and has not ended the stream.
    pub(crate) async fn lose_source(&mut self, why: &str) -> PumpStep {
        self.source.cut_off();
        self.log_setback(why);
        if self.moving.is_some() {
            return PumpStep::Continue;
        }
        if self.source.backup.is_some() && self.changes < MAX_CHANGES {
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

    fn has_live_backup(&self) -> bool {
        let backup = self.source.backup.as_ref();
        backup.is_some_and(|backup| !self.context.runners.borrow().is_leaving(&backup.runner))
    }

    /// Goes on at the runner that keeps a copy. The old one is cut off as soon as the
    /// other has taken over.
    async fn resume_from_backup(&mut self) -> PumpStep {
        self.changes += 1;
        let Some(backup) = self.source.backup.take() else { return PumpStep::Continue };
        let resume = ResumeSource {
            address: backup.address,
            handle: Arc::from(self.call.attempt.as_str()),
            last_event: self.scanner.last(),
        };
        self.ticket.relocate_to(&backup.runner);
        let next = choose_backup(&self.context, &self.call, &self.ticket);
        let plan = SendPlan { runner: backup, resume: Some(resume), backup: next };
        match self.take_over(&plan, "resumed").await {
            Ok(step) => step,
            Err(_) if !self.source.ended => self.start_move(),
            Err(_) => PumpStep::End(EndOutcome::Cut, "resume_refused"),
        }
    }

    fn start_move(&mut self) -> PumpStep {
        self.changes += 1;
        self.source.leave_at = None;
        if self.changes > MAX_CHANGES {
            return PumpStep::Continue;
        }
        let old = &self.source.runner;
        let (request, from) = (&self.call.attempt, &old.runner);
        let target = self.ticket.relocate();
        let runners = self.context.runners.borrow();
        let Some(entry) = target.and_then(|target| runners.get(&target)) else {
            tracing::info!(event = "move_impossible", %request, %from);
            self.changes = MAX_CHANGES;
            return PumpStep::Continue;
        };
        let target = entry.record.clone();
        let events = self.scanner.events();
        tracing::info!(event = "move_begun", %request, %from, to = %target.runner, events);
        let stopping = Rc::new(Cell::new(false));
        let transfer = StreamMove {
            attempt: self.call.attempt.clone(),
            source: old.address,
            target: target.address,
            stop_at: runners
                .get(from)
                .and_then(serving::RunnerEntry::gone_since)
                .unwrap_or_default()
                + COPY_SPAN,
            context: Rc::clone(&self.context),
            stopping: Rc::clone(&stopping),
        };
        self.moving = Some(PendingMove { target, stopping, future: Box::pin(transfer.run()) });
        PumpStep::Continue
    }

    pub(crate) async fn finish_move(&mut self, outcome: platform::Result<MoveAnswer>) -> PumpStep {
        let Some(moving) = self.moving.take() else { return PumpStep::Continue };
        match outcome {
            Ok(answer) => self.switch(moving.target, answer).await,
            Err(error) => {
                self.note_change("move_failed");
                self.log_setback(&error.to_string());
                if self.source.ended {
                    return PumpStep::End(EndOutcome::Cut, "move_failed");
                }
                // A run that is not there has ended; the rest of its events is on its way.
                let is_over = error.is_missing();
                self.source.leave_at = (!is_over).then(|| self.context.now() + NEXT_TARGET_PAUSE);
                PumpStep::Continue
            }
        }
    }

    /// Goes on at `target`, which holds the memory under the handle of `answer`.
    async fn switch(&mut self, target: RunnerRecord, answer: MoveAnswer) -> PumpStep {
        if let Some(step) = self.read_rest().await {
            return step;
        }
        let resume = ResumeSource {
            address: self.source.runner.address,
            handle: answer.handle,
            last_event: self.scanner.last(),
        };
        let backup = choose_backup(&self.context, &self.call, &self.ticket);
        let plan = SendPlan { runner: target, resume: Some(resume), backup };
        match self.take_over(&plan, "moved").await {
            Ok(step) => step,
            Err(_) => PumpStep::End(EndOutcome::Cut, "move_failed"),
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
        tracing::info!(
            event = "runner_changed_over",
            request = %self.call.attempt,
            how = word,
            from = %self.source.runner.runner,
            to = %plan.runner.runner,
            backup = plan.backup.as_ref().map(|backup| backup.runner.as_str()),
            events = self.scanner.events(),
        );
        self.scanner.drop_rest();
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

    /// Reads what the stopped run had sent before it stopped.
    async fn read_rest(&mut self) -> Option<PumpStep> {
        let until = self.context.now() + REST_TIME;
        while !self.source.ended {
            let left = until.since(self.context.now());
            let frame = compio::time::timeout(left.into(), self.source.next_data()).await;
            match frame {
                Ok(Some(Ok(bytes))) => match self.pass_on(&bytes).await {
                    PumpStep::Continue => (),
                    end @ PumpStep::End(..) => return Some(end),
                },
                Ok(None) if self.source.framed => {
                    return Some(PumpStep::End(EndOutcome::Streamed, ""));
                }
                _ => self.source.cut_off(),
            }
        }
        None
    }

    fn note_change(&self, outcome: &'static str) {
        self.context.metrics.moves.get_or_create(&EndLabels { outcome, reason: "" }).inc();
    }
}
