//! The task of one stream: it takes events from a runner and gives them to the caller, and
//! changes the runner when that one leaves or is lost.

use std::cell::Cell;
use std::future::pending;
use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use futures_util::{FutureExt, SinkExt, select_biased};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::TRANSFER_ENCODING;
use kernel::StopSignal;
use platform::{MoveAnswer, ResumeSource};
use route::CallEnd;
use serving::{RunnerRecord, StreamScanner};
use web::{ConnectionCut, ConnectionTask, WebExchange};

use crate::call::Call;
use crate::call_log::{CallEnding, log_end, log_setback};
use crate::context::{ActiveGuard, NodeContext};
use crate::metrics::EndLabels;
use crate::router::RouteTicket;
use crate::runner_send::{SendPlan, SendSetback, send_to_runner};
use crate::stream_call::choose_backup;
use crate::stream_move::StreamMove;

/// Changes of the runner of one stream at most.
const MAX_CHANGES: u32 = 16;
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
/// Status of a move of a run that is not at the runner.
const RUN_NOT_FOUND: u16 = 404;
/// Time for another runner to take a run over before the old one is cut off. Two runners
/// may not work on one request for longer than 400 ms.
const OVERLAP_LIMIT: TimeSpan = TimeSpan::millis(250);

/// The runner that a stream comes from.
pub struct StreamSource {
    runner: RunnerRecord,
    /// The runner that keeps a copy of the run.
    backup: Option<RunnerRecord>,
    body: Incoming,
    /// None once it was cut off.
    connection: Option<ConnectionTask>,
    /// The end of the answer can be told from a broken connection.
    framed: bool,
    /// It gives nothing more.
    ended: bool,
    /// When the run goes on elsewhere.
    leave_at: Option<TimePoint>,
}

impl StreamSource {
    /// A stream whose head has come.
    #[must_use]
    pub fn new(plan: &SendPlan, exchange: WebExchange) -> Self {
        let framed = exchange.response.headers().contains_key(TRANSFER_ENCODING);
        let WebExchange { response, connection } = exchange;
        Self {
            runner: plan.runner.clone(),
            backup: plan.backup.clone(),
            body: response.into_body(),
            connection: Some(connection),
            framed,
            ended: false,
            leave_at: None,
        }
    }

    fn cut_off(&mut self) {
        self.connection = None;
        self.ended = true;
    }
}

/// The caller's side of a stream.
pub struct CallerSide {
    /// Takes whole events.
    pub sender: mpsc::Sender<Bytes>,
    /// Cuts the caller's connection.
    pub cut: ConnectionCut,
    /// Raised when the caller has left.
    pub left: StopSignal,
}

type MoveFuture = Pin<Box<dyn Future<Output = platform::Result<MoveAnswer>>>>;

/// A move that was begun.
struct PendingMove {
    target: RunnerRecord,
    stopping: Rc<Cell<bool>>,
    future: MoveFuture,
}

/// What the task has to act on.
enum PumpInput {
    CallerLeft,
    Deadline,
    RunnerLeaves,
    LeaveRunner,
    Moved(platform::Result<MoveAnswer>),
    Frame(Option<Result<Bytes, hyper::Error>>),
}

/// How the task goes on.
enum PumpStep {
    Continue,
    End(&'static str, &'static str),
}

/// When events came; for the log.
#[derive(Debug, Default)]
struct StreamPace {
    first: Option<TimePoint>,
    last: TimePoint,
    longest_gap: TimeSpan,
}

impl StreamPace {
    fn note(&mut self, now: TimePoint) {
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.last));
        }
        self.first.get_or_insert(now);
        self.last = now;
    }
}

/// The state of the task.
pub struct StreamPump {
    context: Rc<NodeContext>,
    call: Rc<Call>,
    ticket: RouteTicket,
    source: StreamSource,
    scanner: StreamScanner,
    caller: CallerSide,
    moving: Option<PendingMove>,
    changes: u32,
    pace: StreamPace,
    _active: ActiveGuard,
}

impl StreamPump {
    /// A task for a stream whose head has come from `source`.
    #[must_use]
    pub fn new(
        context: &Rc<NodeContext>,
        call: Rc<Call>,
        ticket: RouteTicket,
        source: StreamSource,
        caller: CallerSide,
    ) -> Self {
        Self {
            context: Rc::clone(context),
            call,
            ticket,
            source,
            scanner: StreamScanner::default(),
            caller,
            moving: None,
            changes: 0,
            pace: StreamPace::default(),
            _active: context.count_active(),
        }
    }

    /// Runs until the stream has ended.
    pub async fn run(mut self) {
        loop {
            let step = match self.next_input().await {
                PumpInput::CallerLeft => PumpStep::End("caller_left", ""),
                PumpInput::Deadline => PumpStep::End("cut", "deadline_passed"),
                PumpInput::RunnerLeaves => self.prepare_leave(),
                PumpInput::LeaveRunner => self.leave_runner().await,
                PumpInput::Moved(outcome) => self.finish_move(outcome).await,
                PumpInput::Frame(frame) => self.take_frame(frame).await,
            };
            if let PumpStep::End(outcome, reason) = step {
                self.end(outcome, reason).await;
                return;
            }
        }
    }

    async fn next_input(&mut self) -> PumpInput {
        let now = self.context.now();
        let may_leave = self.moving.is_none()
            && self.source.leave_at.is_none()
            && self.changes < MAX_CHANGES
            && (self.call.moves || self.source.backup.is_some());
        let leave_at = self.source.leave_at.filter(|_| self.moving.is_none());
        let leaving = self.ticket.leaving();
        let StreamSource { body, ended, .. } = &mut self.source;
        let ended = *ended;
        let moving = &mut self.moving;
        let frame = async { if ended { pending().await } else { next_data(body).await } };
        let moved = async {
            match moving {
                Some(moving) => (&mut moving.future).await,
                None => pending().await,
            }
        };
        let leaves = async { if may_leave { leaving.wait().await } else { pending().await } };
        let leave = async {
            match leave_at {
                Some(at) => kernel::sleep(at.since(now).into()).await,
                None => pending().await,
            }
        };
        let deadline = kernel::sleep(self.call.deadline.since(now).into());
        let (mut frame, mut moved) = (pin!(frame.fuse()), pin!(moved.fuse()));
        let (mut leaves, mut leave) = (pin!(leaves.fuse()), pin!(leave.fuse()));
        let mut deadline = pin!(deadline.fuse());
        let mut left = pin!(self.caller.left.wait().fuse());
        select_biased! {
            () = left => PumpInput::CallerLeft,
            moved = moved => PumpInput::Moved(moved),
            () = leave => PumpInput::LeaveRunner,
            () = leaves => PumpInput::RunnerLeaves,
            frame = frame => PumpInput::Frame(frame),
            () = deadline => PumpInput::Deadline,
        }
    }

    async fn take_frame(&mut self, frame: Option<Result<Bytes, hyper::Error>>) -> PumpStep {
        match frame {
            Some(Ok(bytes)) => self.pass_on(&bytes).await,
            Some(Err(error)) => self.lose_source(&error.to_string()).await,
            None => {
                let stopped = self.moving.as_ref().is_some_and(|moving| moving.stopping.get());
                if self.scanner.has_rest() || stopped && !self.source.framed {
                    self.lose_source("the connection ended").await
                } else {
                    PumpStep::End("streamed", "")
                }
            }
        }
    }

    async fn pass_on(&mut self, bytes: &[u8]) -> PumpStep {
        let whole = match self.scanner.push(bytes) {
            Ok(whole) => whole,
            Err(error) => {
                self.log_setback(&error.to_string());
                return PumpStep::End("cut", "stream_malformed");
            }
        };
        if whole.is_empty() {
            return PumpStep::Continue;
        }
        self.pace.note(self.context.now());
        let event_tokens = u64::from(self.call.event_tokens.unwrap_or(1));
        let produced = u32::try_from(self.scanner.events() * event_tokens).unwrap_or(u32::MAX);
        self.ticket.progress(self.call.head.prompt, produced);
        let mut sent = pin!(self.caller.sender.send(Bytes::from(whole)).fuse());
        let mut left = pin!(self.caller.left.wait().fuse());
        select_biased! {
            sent = sent => match sent {
                Ok(()) => PumpStep::Continue,
                Err(_) => PumpStep::End("caller_left", ""),
            },
            () = left => PumpStep::End("caller_left", ""),
        }
    }

    /// The source gives nothing more and has not ended the stream.
    async fn lose_source(&mut self, why: &str) -> PumpStep {
        self.source.cut_off();
        self.log_setback(why);
        if self.moving.is_some() {
            return PumpStep::Continue;
        }
        if self.source.backup.is_some() && self.changes < MAX_CHANGES {
            return self.resume_from_backup().await;
        }
        PumpStep::End("cut", "runner_lost")
    }

    /// The runner has announced that it leaves.
    fn prepare_leave(&mut self) -> PumpStep {
        if self.has_live_backup() {
            self.source.leave_at = Some(self.context.now() + STAY_SPAN);
            return PumpStep::Continue;
        }
        self.start_move()
    }

    /// The time at the leaving runner is over.
    async fn leave_runner(&mut self) -> PumpStep {
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
            Err(_) => PumpStep::End("cut", "resume_refused"),
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

    async fn finish_move(&mut self, outcome: platform::Result<MoveAnswer>) -> PumpStep {
        let Some(moving) = self.moving.take() else { return PumpStep::Continue };
        match outcome {
            Ok(answer) => self.switch(moving.target, answer).await,
            Err(error) => {
                self.note_change("move_failed");
                self.log_setback(&error.to_string());
                if self.source.ended {
                    return PumpStep::End("cut", "move_failed");
                }
                // A run that is not there has ended; the rest of its events is on its way.
                let is_over = error.status() == Some(RUN_NOT_FOUND);
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
            Err(_) => PumpStep::End("cut", "move_failed"),
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
            return Ok(PumpStep::End("cut", "resume_failed"));
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
            let frame = compio::time::timeout(left.into(), next_data(&mut self.source.body)).await;
            match frame {
                Ok(Some(Ok(bytes))) => match self.pass_on(&bytes).await {
                    PumpStep::Continue => (),
                    end @ PumpStep::End(..) => return Some(end),
                },
                Ok(None) if self.source.framed => return Some(PumpStep::End("streamed", "")),
                _ => self.source.cut_off(),
            }
        }
        None
    }

    fn note_change(&self, outcome: &'static str) {
        self.context.metrics.moves.get_or_create(&EndLabels { outcome, reason: "" }).inc();
    }

    fn log_setback(&self, what: &str) {
        log_setback(&self.context, &self.call, &self.source.runner.runner, what);
    }

    async fn end(self, outcome: &'static str, reason: &'static str) {
        let end = match outcome {
            "streamed" => CallEnd::Finished,
            "caller_left" => CallEnd::Left,
            _ => CallEnd::Failed,
        };
        let first = self.pace.first.unwrap_or(self.context.now());
        tracing::info!(
            event = "stream_pace",
            request = %self.call.attempt,
            events = self.scanner.events(),
            first_ms = first.since(self.call.arrived).as_millis(),
            longest_gap_ms = self.pace.longest_gap.as_millis(),
            changes = self.changes,
        );
        log_end(&self.context, &self.call, CallEnding { outcome, reason, status: 200 });
        self.ticket.end(end);
        drop(self.source.connection);
        if end == CallEnd::Failed {
            // The body must not end before its connection does: it would look whole.
            self.caller.cut.raise();
            self.caller.left.wait().await;
        }
    }
}

async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(bytes) = frame.into_data() {
                    return Some(Ok(bytes));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}
