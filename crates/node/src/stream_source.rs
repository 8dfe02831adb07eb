//! The two sides of a stream: the runner that it comes from, and its caller.

use base::prelude::*;
use futures_channel::mpsc;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use kernel::StopSignal;
use serving::RunnerRecord;
use web::{ConnectionCut, ConnectionTask, WebExchange};

use crate::runner_send::SendPlan;

/// The runner that a stream comes from.
pub struct StreamSource {
    /// The runner.
    pub runner: RunnerRecord,
    /// The runner that keeps a copy of the run.
    pub backup: Option<RunnerRecord>,
    /// The answer's body.
    pub body: Incoming,
    /// None once it was cut off.
    pub connection: Option<ConnectionTask>,
    /// It gives nothing more.
    pub ended: bool,
    /// When it gave the first events.
    pub first_events: Option<TimePoint>,
    /// When the run goes on elsewhere.
    pub switch_at: Option<TimePoint>,
}

impl StreamSource {
    /// A stream whose head has come.
    #[must_use]
    pub fn new(plan: &SendPlan, exchange: WebExchange) -> Self {
        let WebExchange { response, connection } = exchange;
        Self {
            runner: plan.runner.clone(),
            backup: plan.backup.clone(),
            body: response.into_body(),
            connection: Some(connection),
            ended: false,
            first_events: None,
            switch_at: None,
        }
    }

    /// Closes the connection; nothing more is read from it.
    pub fn close(&mut self) {
        self.connection = None;
        self.ended = true;
    }

    /// The next bytes; none at the end of the body.
    pub async fn next_data(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Err(error) => return Some(Err(error)),
            }
        }
    }
}

/// The caller's side of a stream.
pub struct CallerSide {
    /// Takes whole events.
    pub sender: mpsc::Sender<Bytes>,
    /// Cuts the caller's connection.
    pub cut: ConnectionCut,
    /// Raised when the caller has left.
    pub disconnected: StopSignal,
}

/// When events came; for the log.
#[derive(Debug, Default)]
pub struct StreamPace {
    /// When the first one came.
    pub first: Option<TimePoint>,
    /// Longest time between two.
    pub longest_gap: TimeSpan,
    last: TimePoint,
}

impl StreamPace {
    /// Events came now.
    pub fn record(&mut self, now: TimePoint) {
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.last));
        }
        self.first.get_or_insert(now);
        self.last = now;
    }
}
