//! A stream that may run more than once goes on at another runner after it has lost its own.
//!
//! Load pattern: runners are lost under many long streams at once. Each stream that another runner
//! can go on with is one that its caller does not begin anew.

use std::pin::pin;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use route::CallEnd;
use serving::{AttemptTracker, SendOutcome};

use super::stream_backup::choose_backup;
use super::stream_call::{RunnerAnswer, request_answer};
use super::stream_pump::{PumpStep, StreamPump};
use crate::call_attempt::{
    RunnerSearch, may_retry, record_send, record_send_failure, withheld_reason,
};
use crate::call_log::{RequestOutcome, log_send, log_send_failure, may_log};
use crate::runner_send::SendPlan;

/// The sends of a stream that failed.
pub struct StreamAttempts {
    /// Their outcomes.
    pub tracker: AttemptTracker,
    /// Their runners.
    pub tried: Vec<RunnerId>,
}

impl StreamPump {
    /// Goes on at another runner after the source was lost, if the route allows another run:
    /// after the last event that was forwarded, or from the start if there is none. Otherwise the
    /// stream ends with `reason`.
    pub(crate) async fn run_elsewhere(&mut self, reason: &'static str) -> PumpStep {
        if let Some(step) = self.ask_of_stopped_run().await {
            return step;
        }
        let interrupted = PumpStep::End(RequestOutcome::Interrupted, reason);
        if !self.call.route.stream_resume {
            return interrupted;
        }
        self.ticket.end(CallEnd::Failed);
        record_send(&self.call, &mut self.attempts.tracker, SendOutcome::Unknown);
        self.attempts.tried.push(self.source.runner.runner.clone());
        let disconnected = self.caller.disconnected.clone();
        while may_retry(&self.context, &self.call, &self.attempts.tracker) {
            let ended = {
                let mut sent = pin!(self.send_again().fuse());
                let mut disconnected = pin!(disconnected.wait().fuse());
                select_biased! {
                    () = disconnected => {
                        return PumpStep::End(RequestOutcome::CallerDisconnected, "");
                    }
                    sent = sent => sent,
                }
            };
            match ended {
                Ok(()) => return PumpStep::Continue,
                Err(ResumeFault::NoRunner) => return interrupted,
                Err(ResumeFault::Send(outcome)) => {
                    record_send(&self.call, &mut self.attempts.tracker, outcome);
                }
            }
        }
        interrupted
    }

    /// Waits for a runner and makes it the source of the stream once it has answered.
    async fn send_again(&mut self) -> Result<(), ResumeFault> {
        let last_event_id = self.scanner.last_id();
        let mut search = RunnerSearch::default();
        let (ticket, plan, outcome) = loop {
            let tried = &self.attempts.tried;
            let found = search.find_runner(&self.context, &self.router, &self.call, tried);
            let (ticket, runner) = found.await.map_err(|_| ResumeFault::NoRunner)?;
            let backup = choose_backup(&self.context, &self.call, &ticket);
            let plan = SendPlan { last_event_id, ..SendPlan::first(runner, backup) };
            let load = ticket.runner_summary(&plan.runner.runner);
            let backup = plan.backup.as_ref().map(|backup| &backup.runner);
            let sends = self.attempts.tracker.sends();
            log_send(&self.context, &self.call, &plan.runner.runner, backup, load.as_ref(), sends);
            let outcome = request_answer(&self.context, &self.call, &plan).await;
            if let Some(reason) = withheld_reason(&outcome) {
                let assigned = (ticket, &plan.runner.runner);
                search.unassign(&self.context, &self.router, assigned, reason).await;
                continue;
            }
            break (ticket, plan, outcome);
        };
        match outcome {
            Ok(RunnerAnswer::Stream(source, _)) => {
                if may_log(&self.context) {
                    tracing::info!(
                        event = "stream_resumed",
                        request = %self.call.attempt,
                        from = %self.source.runner.runner,
                        to = %plan.runner.runner,
                        last_event_id,
                        events = self.scanner.event_count(),
                    );
                }
                self.count_move("run_again");
                self.changes += 1;
                self.tries = 0;
                self.scanner.discard_partial_event();
                self.ticket = ticket;
                self.replace_source(*source);
                Ok(())
            }
            Ok(RunnerAnswer::Full(answer)) => {
                // The head of the response is with the caller; this one cannot follow it.
                ticket.finish(CallEnd::Failed);
                let reason = format!("no stream, but {}", answer.status());
                log_send_failure(&self.context, &self.call, &plan.runner.runner, &reason);
                self.attempts.tried.push(plan.runner.runner);
                Err(ResumeFault::Send(SendOutcome::Failed))
            }
            Err(failure) => {
                let (context, call) = (&self.context, &self.call);
                record_send_failure(context, &self.router, call, &plan.runner, &failure);
                self.attempts.tried.push(plan.runner.runner);
                ticket.finish(failure.end);
                Err(ResumeFault::Send(failure.outcome))
            }
        }
    }
}

/// Why a further send did not replace the source.
enum ResumeFault {
    /// No runner takes the call.
    NoRunner,
    /// The send failed.
    Send(SendOutcome),
}
