//! Handover of a stream to another runner when the current one leaves or is lost.
//!
//! With a backup copy at another runner, the stream resumes there; without one, its memory is
//! copied to another runner first.

use std::future::pending;
use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_util::{FutureExt, select_biased};
use hyper::body::Bytes;
use platform::ResumeSource;
use serving::{RunnerRecord, SendOutcome, StreamScanner};
use web::{WebConnection, WebExchange};

use crate::call_log::{RequestOutcome, log_send_failure};
use crate::context::NodeContext;
use crate::metrics::OutcomeLabels;
use crate::runner_send::{SendFailure, SendPlan, connect_to_runner, send_connected};
use crate::stream_call::{choose_backup, plan_backup_resume};
use crate::stream_copy::{RunCopy, copy_run};
use crate::stream_pump::{PumpStep, StreamPump};
use crate::stream_source::StreamSource;

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
/// Time that another runner has to take over a run before the old connection is closed. Two
/// runners may not work on one request for longer than 400 ms.
const MAX_OVERLAP: TimeSpan = TimeSpan::millis(250);

type CopyFuture = Pin<Box<dyn Future<Output = platform::Result<RunCopy>>>>;

/// A move whose memory copy is in progress.
pub struct PendingMove {
    target: RunnerRecord,
    /// Completes when the copy has ended.
    pub future: CopyFuture,
}

/// How a handover ended.
enum HandoverStep {
    /// The stream goes on at the next runner.
    Switched,
    /// The next runner was not reached; nothing was sent.
    Unreached,
    /// The next runner did not take over; the old source is kept, unless it is closed.
    Refused,
    /// The stream has ended meanwhile.
    End(PumpStep),
}

/// How the time ended in which the next runner was asked to go on.
enum OverlapEnd {
    /// The next runner has answered.
    Answered(WebExchange),
    /// The next runner gave no answer to go on with.
    Failed(SendFailure),
    /// The source has delivered the stream to its end.
    SourceEnded,
    /// The caller closed the connection.
    CallerDisconnected,
}

/// What a source delivered after the next runner was asked to go on. It is forwarded only if
/// that runner does not take over, since it would make the same events again.
struct HeldEvents {
    frames: Vec<Bytes>,
    /// Reads the frames ahead of their forwarding.
    scanner: StreamScanner,
    malformed: bool,
}

impl HeldEvents {
    /// Nothing held yet; `scanner` is that of the forwarded events.
    fn new(scanner: &StreamScanner) -> Self {
        Self { frames: Vec::new(), scanner: scanner.clone(), malformed: false }
    }

    fn push(&mut self, bytes: Bytes) {
        self.malformed |= self.scanner.push(&bytes).is_err();
        self.frames.push(bytes);
    }

    /// Whether the held frames end with a complete event.
    fn is_whole(&self) -> bool {
        !self.malformed && !self.scanner.has_partial_event()
    }
}

/// Waits until the source may no longer work beside the next runner; forever if it is closed.
async fn overlap_left(context: &NodeContext, source_ended: bool, end: TimePoint) {
    if source_ended {
        pending::<()>().await;
    }
    kernel::sleep(end.since(context.now()).into()).await;
}

fn caller_disconnected() -> PumpStep {
    PumpStep::End(RequestOutcome::CallerDisconnected, "")
}

/// Reason of a source's loss, for the log.
fn describe_loss(lost: Option<Result<Bytes, hyper::Error>>) -> String {
    match lost {
        Some(Err(error)) => error.to_string(),
        _ => "the connection ended".to_owned(),
    }
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
        self.source.close();
        self.log_send_failure(reason);
        if self.pending_move.is_some() {
            return PumpStep::Continue;
        }
        if self.may_resume() {
            return self.resume_from_backup().await;
        }
        PumpStep::End(RequestOutcome::Interrupted, "runner_lost")
    }

    /// Whether a stream that has lost its source can go on from the backup copy.
    fn may_resume(&self) -> bool {
        let backup = self.source.backup.as_ref();
        let runners = self.context.runners.borrow();
        self.tries < MAX_SWITCH_TRIES
            && backup.is_some_and(|backup| !runners.is_leaving(&backup.runner))
    }

    /// Handles the announcement that the runner leaves: schedules the switch to the backup,
    /// or starts a move.
    pub(crate) fn handle_leaving_runner(&mut self) -> PumpStep {
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
        is_complete
            && backup
                .is_some_and(|backup| !self.context.runners.borrow().is_leaving(&backup.runner))
    }

    /// Resumes the stream at the runner that keeps its backup copy. The connection to the old
    /// runner is closed as soon as the new one has taken over.
    async fn resume_from_backup(&mut self) -> PumpStep {
        self.tries += 1;
        let Some(backup) = self.source.backup.take() else { return PumpStep::Continue };
        let plan = plan_backup_resume(&self.context, &self.call, &mut self.ticket, backup.clone());
        match self.hand_over(plan, "resumed").await {
            HandoverStep::Switched => PumpStep::Continue,
            HandoverStep::End(step) => step,
            HandoverStep::Unreached | HandoverStep::Refused if !self.source.ended => {
                self.start_move()
            }
            HandoverStep::Unreached => {
                // Nothing was sent: the copy is still there.
                self.source.backup = Some(backup);
                self.schedule_move(true)
            }
            HandoverStep::Refused => PumpStep::End(RequestOutcome::Interrupted, "resume_refused"),
        }
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
        let copy = copy_run(context, attempt, old.address, target.address);
        self.pending_move = Some(PendingMove { target, future: Box::pin(copy) });
        PumpStep::Continue
    }

    /// The target of the last move that failed, if it is not leaving: there may be no other.
    fn last_target(&self) -> Option<RunnerId> {
        let runners = self.context.runners.borrow();
        let target = self.ticket.assigned_runner()?;
        let is_other = target != self.source.runner.runner;
        (is_other && !runners.is_leaving(&target)).then_some(target)
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
                self.schedule_move(!error.is_not_found())
            }
        }
    }

    /// Schedules the next try after one that failed, unless the run is finished. A stream that
    /// has lost its source ends if it has no copy either.
    fn schedule_move(&mut self, still_runs: bool) -> PumpStep {
        if self.source.ended && !self.may_resume() {
            return PumpStep::End(RequestOutcome::Interrupted, "move_failed");
        }
        let has_next = still_runs || self.source.ended;
        self.source.switch_at = has_next.then(|| self.context.now() + MOVE_RETRY_PAUSE);
        PumpStep::Continue
    }

    /// Resumes the stream at `target`, which holds `copy`. The connection to the old runner is
    /// closed as soon as the new one has taken over.
    async fn switch_to(&mut self, target: RunnerRecord, copy: RunCopy) -> PumpStep {
        let resume = ResumeSource {
            address: self.source.runner.address,
            handle: copy.handle.clone(),
            last_event_id: None,
        };
        let backup = choose_backup(&self.context, &self.call, &self.ticket);
        let plan = SendPlan { runner: target.clone(), resume: Some(resume), backup };
        match self.hand_over(plan, "moved").await {
            HandoverStep::Switched => {
                copy.keep();
                PumpStep::Continue
            }
            HandoverStep::End(step) => step,
            HandoverStep::Unreached if self.source.ended && self.tries < MAX_SWITCH_TRIES => {
                // Nothing was sent: the copy is still there, and nothing else is.
                self.tries += 1;
                self.pending_move = Some(PendingMove::again(target, copy));
                PumpStep::Continue
            }
            HandoverStep::Unreached | HandoverStep::Refused => self.schedule_move(true),
        }
    }

    /// Sends the request to the runner that has the run's memory, and makes that runner the
    /// source of the stream. The old source is read on until that runner has answered, or for
    /// [`MAX_OVERLAP`].
    async fn hand_over(&mut self, mut plan: SendPlan, how: &'static str) -> HandoverStep {
        let connection = match self.connect_next(&plan.runner).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(failure)) => {
                self.note_refusal(&plan, &failure.reason);
                return HandoverStep::Unreached;
            }
            Err(end) => return HandoverStep::End(end),
        };
        if let Some(resume) = &mut plan.resume {
            resume.last_event_id = self.scanner.last_id();
        }
        let mut held = HeldEvents::new(&self.scanner);
        let exchange = match self.send_with_overlap(&plan, connection, &mut held).await {
            OverlapEnd::Answered(exchange) if exchange.response.status().is_success() => exchange,
            OverlapEnd::Answered(exchange) => {
                let reason = exchange.response.status().to_string();
                return self.keep_source(&plan, held, &reason).await;
            }
            OverlapEnd::Failed(failure) => {
                return match self.keep_source(&plan, held, &failure.reason).await {
                    HandoverStep::Refused if failure.outcome == SendOutcome::NotSent => {
                        HandoverStep::Unreached
                    }
                    step => step,
                };
            }
            OverlapEnd::SourceEnded => {
                self.count_move("source_ended");
                let end = self.forward_held(held).await;
                let whole = PumpStep::End(RequestOutcome::Streamed, "");
                return HandoverStep::End(end.unwrap_or(whole));
            }
            OverlapEnd::CallerDisconnected => return HandoverStep::End(caller_disconnected()),
        };
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
        self.source = StreamSource::new(&plan, exchange);
        HandoverStep::Switched
    }

    /// Connects to the next runner; meanwhile the source is forwarded as before. Returns `Err`
    /// if the stream has ended.
    async fn connect_next(
        &mut self,
        runner: &RunnerRecord,
    ) -> Result<Result<WebConnection, SendFailure>, PumpStep> {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        let mut connect = pin!(connect_to_runner(&context, &call, runner).fuse());
        loop {
            let frame = {
                let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
                let mut frame = pin!(self.source.next_frame().fuse());
                select_biased! {
                    () = disconnected => return Err(caller_disconnected()),
                    connected = connect => return Ok(connected),
                    frame = frame => frame,
                }
            };
            match frame {
                Some(Ok(bytes)) => {
                    if let end @ PumpStep::End(..) = self.forward_events(&bytes).await {
                        return Err(end);
                    }
                }
                None if !self.scanner.has_partial_event() => {
                    return Err(PumpStep::End(RequestOutcome::Streamed, ""));
                }
                lost => {
                    self.log_send_failure(&describe_loss(lost));
                    self.source.close();
                }
            }
        }
    }

    /// Sends the request and waits for the head of the answer. What the source delivers
    /// meanwhile goes to `held`; it is closed if that takes longer than [`MAX_OVERLAP`].
    async fn send_with_overlap(
        &mut self,
        plan: &SendPlan,
        connection: WebConnection,
        held: &mut HeldEvents,
    ) -> OverlapEnd {
        let (context, call) = (Rc::clone(&self.context), Rc::clone(&self.call));
        let overlap_end = context.now() + MAX_OVERLAP;
        let left = call.deadline.since(context.now());
        let mut send = pin!(send_connected(&context, &call, plan, connection, left).fuse());
        loop {
            let frame = {
                let mut disconnected = pin!(self.caller.disconnected.wait().fuse());
                let mut overlap =
                    pin!(overlap_left(&context, self.source.ended, overlap_end).fuse());
                let mut frame = pin!(self.source.next_frame().fuse());
                select_biased! {
                    () = disconnected => return OverlapEnd::CallerDisconnected,
                    outcome = send => {
                        return outcome.map_or_else(OverlapEnd::Failed, OverlapEnd::Answered);
                    }
                    frame = frame => Some(frame),
                    () = overlap => None,
                }
            };
            match frame {
                Some(Some(Ok(bytes))) => held.push(bytes),
                Some(None) if held.is_whole() => return OverlapEnd::SourceEnded,
                Some(lost) => {
                    self.log_send_failure(&describe_loss(lost));
                    self.source.close();
                }
                None => self.close_source(plan),
            }
        }
    }

    /// Closes the connection to the runner before, since two may not work on one request.
    fn close_source(&mut self, plan: &SendPlan) {
        tracing::info!(
            event = "source_closed",
            request = %self.call.attempt,
            runner = %self.source.runner.runner,
            next = %plan.runner.runner,
            waited_ms = MAX_OVERLAP.as_millis(),
            events = self.scanner.event_count(),
        );
        self.source.close();
    }

    /// Goes on with the source after the next runner did not take over.
    async fn keep_source(
        &mut self,
        plan: &SendPlan,
        held: HeldEvents,
        reason: &str,
    ) -> HandoverStep {
        self.note_refusal(plan, reason);
        let end = self.forward_held(held).await;
        end.map_or(HandoverStep::Refused, HandoverStep::End)
    }

    /// Forwards what the source delivered while the next runner was asked to go on. Returns how
    /// the stream ends, if it has to.
    async fn forward_held(&mut self, held: HeldEvents) -> Option<PumpStep> {
        for bytes in held.frames {
            if let end @ PumpStep::End(..) = self.forward_events(&bytes).await {
                return Some(end);
            }
        }
        None
    }

    /// Logs and counts a runner that did not take over.
    fn note_refusal(&self, plan: &SendPlan, reason: &str) {
        self.count_move("refused");
        log_send_failure(&self.context, &self.call, &plan.runner.runner, reason);
    }

    /// Counts a runner change by its outcome.
    fn count_move(&self, outcome: &'static str) {
        self.context.metrics.moves.get_or_create(&OutcomeLabels { outcome, reason: "" }).inc();
    }
}
