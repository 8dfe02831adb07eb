//! A plain service: bookings that count how often each key ran, and lookups.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::{IdempotencyKey, RunnerId, RunnerReport, TimeSpan};
use futures_channel::oneshot;
use hyper::{Method, StatusCode};
use kernel::{sleep, spawn};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use web::{ConnectionCloser, WebRequest, WebResponse};

use crate::reply::{error_reply, no_route, ok_reply, read_body, take_fault};

/// Header that carries the key of a booking.
const KEY_HEADER: &str = "idempotency-key";

/// Body of `POST /fault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// The next calls run, and their connection closes without an answer; 0 ends it.
    LoseAnswer(u32),
    /// Delays of every call.
    Delay(ServiceDelay),
    /// Every call is answered by 503 and does not run.
    Refuse(bool),
    /// Calls run and are never answered; their connections close when it ends.
    Hang(bool),
    /// The report says that the runner leaves; calls still run.
    Leaving(bool),
}

/// Delays of a call, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceDelay {
    /// Before it runs.
    pub before_ms: u64,
    /// Between its run and its answer.
    pub after_ms: u64,
}

/// What a service starts with.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Its name in reports.
    pub runner: RunnerId,
    /// Random number of this start.
    pub incarnation: u64,
}

/// The service; clones share it.
#[derive(Clone)]
pub struct ServiceFake {
    settings: Rc<ServiceSettings>,
    state: Rc<ServiceState>,
    bell: crate::ChangeBell,
}

#[derive(Default)]
struct ServiceState {
    counts: RefCell<BTreeMap<String, u64>>,
    calls: RefCell<BTreeMap<String, u64>>,
    running: Cell<u32>,
    sequence: Cell<u64>,
    lose_answers: Cell<u32>,
    delay: Cell<ServiceDelay>,
    refuse: Cell<bool>,
    hang: Cell<bool>,
    leaving: Cell<bool>,
}

/// A call that was checked and may run.
enum ServiceCall {
    Booking(IdempotencyKey),
    Ticket(String),
}

impl ServiceFake {
    /// A service that has run nothing.
    #[must_use]
    pub fn new(settings: ServiceSettings) -> Self {
        Self {
            settings: Rc::new(settings),
            state: Rc::default(),
            bell: crate::ChangeBell::default(),
        }
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: ServiceFault) {
        let state = &self.state;
        match fault {
            ServiceFault::LoseAnswer(count) => state.lose_answers.set(count),
            ServiceFault::Delay(delay) => state.delay.set(delay),
            ServiceFault::Refuse(on) => state.refuse.set(on),
            ServiceFault::Hang(on) => state.hang.set(on),
            ServiceFault::Leaving(on) => state.leaving.set(on),
        }
        self.bell.ring();
    }

    /// Answers one request.
    pub async fn handle(self, request: WebRequest) -> WebResponse {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (&method, path.as_str()) {
            (&Method::POST, "/fault") => take_fault(request, |fault| self.set_fault(fault)).await,
            (&Method::GET, "/counts") => ok_reply(&*self.state.counts.borrow()),
            (&Method::GET, "/calls") => ok_reply(&*self.state.calls.borrow()),
            (&Method::GET, "/load") => ok_reply(&self.report()),
            (&Method::POST, "/bookings") => self.serve_booking(request).await,
            (&Method::GET, _) => match path.strip_prefix("/tickets/") {
                Some(ticket) => {
                    let closer = ConnectionCloser::from_request(&request);
                    self.serve(ServiceCall::Ticket(ticket.to_owned()), &closer).await
                }
                None => no_route(&method, &path),
            },
            _ => no_route(&method, &path),
        }
    }

    /// Counts per booking key.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.state.counts.borrow().clone()
    }

    async fn serve_booking(&self, request: WebRequest) -> WebResponse {
        let closer = ConnectionCloser::from_request(&request);
        let header = request.headers().get(KEY_HEADER).and_then(|value| value.to_str().ok());
        let Some(key) = header.and_then(|text| text.parse().ok()) else {
            return error_reply(StatusCode::BAD_REQUEST, "no valid Idempotency-Key header");
        };
        if let Err(refusal) = read_body(request).await {
            return refusal;
        }
        self.serve(ServiceCall::Booking(key), &closer).await
    }

    async fn serve(&self, call: ServiceCall, closer: &ConnectionCloser) -> WebResponse {
        if self.state.refuse.get() {
            return error_reply(StatusCode::SERVICE_UNAVAILABLE, "refused, not run");
        }
        // The call runs to its end even when its caller leaves.
        let (sender, answer) = oneshot::channel();
        let service = self.clone();
        spawn(async move {
            let value = service.run(&call).await;
            let _ = sender.send(value);
        })
        .detach();
        let value = answer.await.unwrap_or_default();
        let hung = self.state.hang.get();
        while self.state.hang.get() {
            self.bell.wait_past(self.bell.rung()).await;
        }
        if hung || self.take_lost_answer() {
            return closer.close_unanswered().await;
        }
        ok_reply(&value)
    }

    fn take_lost_answer(&self) -> bool {
        let count = self.state.lose_answers.get();
        self.state.lose_answers.set(count.saturating_sub(1));
        count > 0
    }

    async fn run(&self, call: &ServiceCall) -> Value {
        let delay = self.state.delay.get();
        self.state.running.set(self.state.running.get() + 1);
        sleep(TimeSpan::millis(delay.before_ms).into()).await;
        let value = self.take_effect(call);
        sleep(TimeSpan::millis(delay.after_ms).into()).await;
        self.state.running.set(self.state.running.get() - 1);
        value
    }

    fn take_effect(&self, call: &ServiceCall) -> Value {
        let (path, value) = match call {
            ServiceCall::Booking(key) => {
                let mut counts = self.state.counts.borrow_mut();
                let count = counts.entry(key.to_string()).or_default();
                *count += 1;
                ("/bookings", json!({ "booking": key, "count": *count }))
            }
            ServiceCall::Ticket(ticket) => {
                ("/tickets", json!({ "ticket": ticket, "state": "open" }))
            }
        };
        *self.state.calls.borrow_mut().entry(path.to_owned()).or_default() += 1;
        value
    }

    fn report(&self) -> RunnerReport {
        let sequence = self.state.sequence.get() + 1;
        self.state.sequence.set(sequence);
        let delay = self.state.delay.get();
        RunnerReport {
            runner: self.settings.runner.clone(),
            incarnation: self.settings.incarnation,
            sequence,
            age: TimeSpan::default(),
            used_blocks: base::BlockCount(0),
            total_blocks: base::BlockCount(0),
            block_tokens: 0,
            running: self.state.running.get(),
            waiting: 0,
            preemptions: 0,
            step: TimeSpan::millis(delay.before_ms + delay.after_ms),
            leaving: self.state.leaving.get(),
            models: Vec::new(),
            fence: 0,
        }
    }
}
