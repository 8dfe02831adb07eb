//! The task of one stream: it takes events from a runner and gives them to the caller, and
//! changes the runner when that one leaves.

use std::cell::Cell;
use std::future::pending;
use std::pin::{Pin, pin};
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use futures_util::{FutureExt, SinkExt, select_biased};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
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
use crate::runner_send::send_to_runner;
use crate::stream_call::is_framed;
use crate::stream_move::StreamMove;

/// Moves of one stream at most.
const MAX_MOVES: u32 = 12;
/// Time to read what a stopped run still had on its way.
const REST_TIME: TimeSpan = TimeSpan::millis(100);

/// The runner that a stream comes from.
pub struct StreamSource {
    runner: RunnerRecord,
    body: Incoming,
    connection: ConnectionTask,
    /// The end of the answer can be told from a broken connection.
    framed: bool,
}

impl StreamSource {
    /// A stream whose head has come.
    #[must_use]
    pub fn new(runner: RunnerRecord, exchange: WebExchange) -> Self {
        let framed = is_framed(&exchange);
        let WebExchange { response, connection } = exchange;
        Self { runner, body: response.into_body(), connection, framed }
    }
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
    Moved(platform::Result<MoveAnswer>),
    Frame(Option<Result<Bytes, hyper::Error>>),
}

/// How the task goes on.
enum PumpStep {
    Continue,
    End(&'static str, &'static str),
}

/// The state of the task.
pub struct StreamPump {
    context: Rc<NodeContext>,
    call: Rc<Call>,
    ticket: RouteTicket,
    source: StreamSource,
    source_ended: bool,
    scanner: StreamScanner,
    sender: mpsc::Sender<Bytes>,
    cut: ConnectionCut,
    left: StopSignal,
    moving: Option<PendingMove>,
    moves: u32,
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
        sender: mpsc::Sender<Bytes>,
        cut: ConnectionCut,
        left: StopSignal,
    ) -> Self {
        Self {
            context: Rc::clone(context),
            call,
            ticket,
            source,
            source_ended: false,
            scanner: StreamScanner::default(),
            sender,
            cut,
            left,
            moving: None,
            moves: 0,
            _active: context.count_active(),
        }
    }

    /// Runs until the stream has ended.
    pub async fn run(mut self) {
        loop {
            let input = self.next_input().await;
            let step = match input {
                PumpInput::CallerLeft => PumpStep::End("caller_left", ""),
                PumpInput::Deadline => PumpStep::End("cut", "deadline_passed"),
                PumpInput::RunnerLeaves => self.start_move(),
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
        let left_time = self.call.deadline.since(self.context.now());
        let may_move = self.moving.is_none()
            && self.call.moves
            && !self.source_ended
            && self.moves < MAX_MOVES;
        let leaving = self.ticket.leaving();
        let body = &mut self.source.body;
        let ended = self.source_ended;
        let moving = &mut self.moving;
        let mut frame =
            pin!(async { if ended { pending().await } else { next_data(body).await } }.fuse());
        let mut moved = pin!(
            async {
                match moving {
                    Some(moving) => (&mut moving.future).await,
                    None => pending().await,
                }
            }
            .fuse()
        );
        let mut leaves =
            pin!(async { if may_move { leaving.wait().await } else { pending().await } }.fuse());
        let mut deadline = pin!(kernel::sleep(left_time.into()).fuse());
        let mut left = pin!(self.left.wait().fuse());
        select_biased! {
            () = left => PumpInput::CallerLeft,
            moved = moved => PumpInput::Moved(moved),
            () = leaves => PumpInput::RunnerLeaves,
            frame = frame => PumpInput::Frame(frame),
            () = deadline => PumpInput::Deadline,
        }
    }

    async fn take_frame(&mut self, frame: Option<Result<Bytes, hyper::Error>>) -> PumpStep {
        match frame {
            Some(Ok(bytes)) => self.pass_on(&bytes).await,
            Some(Err(error)) => self.lose_source(&error.to_string()),
            None => {
                let stopped = self.moving.as_ref().is_some_and(|moving| moving.stopping.get());
                if self.scanner.has_rest() || stopped && !self.source.framed {
                    self.lose_source("the connection ended")
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
                log_setback(
                    &self.context,
                    &self.call,
                    &self.source.runner.runner,
                    &error.to_string(),
                );
                return PumpStep::End("cut", "stream_malformed");
            }
        };
        if whole.is_empty() {
            return PumpStep::Continue;
        }
        let event_tokens = u64::from(self.call.event_tokens.unwrap_or(1));
        let produced = u32::try_from(self.scanner.events() * event_tokens).unwrap_or(u32::MAX);
        self.ticket.progress(self.call.head.prompt, produced);
        let mut sent = pin!(self.sender.send(Bytes::from(whole)).fuse());
        let mut left = pin!(self.left.wait().fuse());
        select_biased! {
            sent = sent => match sent {
                Ok(()) => PumpStep::Continue,
                Err(_) => PumpStep::End("caller_left", ""),
            },
            () = left => PumpStep::End("caller_left", ""),
        }
    }

    /// The source gives nothing more and has not ended the stream.
    fn lose_source(&mut self, why: &str) -> PumpStep {
        self.source_ended = true;
        log_setback(&self.context, &self.call, &self.source.runner.runner, why);
        if self.moving.is_some() {
            return PumpStep::Continue;
        }
        PumpStep::End("cut", "runner_lost")
    }

    fn start_move(&mut self) -> PumpStep {
        self.moves += 1;
        let old = &self.source.runner;
        let Some(target) = self.ticket.relocate() else {
            tracing::info!(event = "move_impossible", request = %self.call.attempt, runner = %old.runner);
            self.moves = MAX_MOVES;
            return PumpStep::Continue;
        };
        let record = self.context.runners.borrow().get(&target).map(|entry| entry.record.clone());
        let Some(target) = record else { return PumpStep::Continue };
        tracing::info!(
            event = "move_begun",
            request = %self.call.attempt,
            from = %old.runner,
            to = %target.runner,
            events = self.scanner.events(),
        );
        let stopping = Rc::new(Cell::new(false));
        let transfer = StreamMove {
            attempt: self.call.attempt.clone(),
            source: old.address,
            target: target.address,
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
                self.note_move("failed");
                log_setback(
                    &self.context,
                    &self.call,
                    &self.source.runner.runner,
                    &error.to_string(),
                );
                if self.source_ended {
                    PumpStep::End("cut", "move_failed")
                } else {
                    PumpStep::Continue
                }
            }
        }
    }

    /// Goes on at `target`, which holds the memory under the handle of `answer`.
    async fn switch(&mut self, target: RunnerRecord, answer: MoveAnswer) -> PumpStep {
        if let Some(step) = self.read_rest().await {
            return step;
        }
        self.scanner.drop_rest();
        let resume = ResumeSource {
            address: self.source.runner.address,
            handle: answer.handle,
            last_event: self.scanner.last(),
        };
        let left = self.call.deadline.since(self.context.now());
        let sent = send_to_runner(&self.context, &self.call, &target, Some(&resume), left).await;
        match sent {
            Ok(exchange) if exchange.response.status().is_success() => {
                self.note_move("done");
                tracing::info!(
                    event = "move_done",
                    request = %self.call.attempt,
                    to = %target.runner,
                    events = self.scanner.events(),
                );
                self.source = StreamSource::new(target, exchange);
                self.source_ended = false;
                PumpStep::Continue
            }
            Ok(exchange) => {
                self.note_move("answered_otherwise");
                let status = exchange.response.status().to_string();
                log_setback(&self.context, &self.call, &target.runner, &status);
                PumpStep::End("cut", "move_failed")
            }
            Err(setback) => {
                self.note_move("refused");
                log_setback(&self.context, &self.call, &target.runner, &setback.reason);
                PumpStep::End("cut", "move_failed")
            }
        }
    }

    /// Reads what the stopped run had sent before it stopped.
    async fn read_rest(&mut self) -> Option<PumpStep> {
        let until = self.context.now() + REST_TIME;
        while !self.source_ended {
            let left = until.since(self.context.now());
            let frame = compio::time::timeout(left.into(), next_data(&mut self.source.body)).await;
            match frame {
                Ok(Some(Ok(bytes))) => match self.pass_on(&bytes).await {
                    PumpStep::Continue => (),
                    end @ PumpStep::End(..) => return Some(end),
                },
                Ok(None) if self.source.framed => return Some(PumpStep::End("streamed", "")),
                _ => self.source_ended = true,
            }
        }
        None
    }

    fn note_move(&self, outcome: &'static str) {
        self.context.metrics.moves.get_or_create(&EndLabels { outcome, reason: "" }).inc();
    }

    async fn end(self, outcome: &'static str, reason: &'static str) {
        let end = match outcome {
            "streamed" => CallEnd::Finished,
            "caller_left" => CallEnd::Left,
            _ => CallEnd::Failed,
        };
        log_end(&self.context, &self.call, CallEnding { outcome, reason, status: 200 });
        self.ticket.end(end);
        drop(self.source.connection);
        if end == CallEnd::Failed {
            // The body must not end before its connection does: it would look whole.
            self.cut.raise();
            self.left.wait().await;
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
