//! A runner, with answers that can be spoilt byte by byte.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use kernel::{StopSignal, spawn};
use serde_json::{Value, json};

use super::endless_bytes::EndlessBytes;
use super::runner_request::{RunnerRequest, write};
use super::stream_memory::StreamMemory;
use crate::{FakeError, Result};

/// Pause between two events of a stream where none is set.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Time after which an attempt to connect counts as hanging.
const HANG_AFTER: Duration = Duration::from_millis(100);
/// Time from the head of an answer to the crash that a part of its prompt brings about.
const CRASH_AFTER: Duration = Duration::from_millis(20);
/// Events of a stream where none is set.
const EVENTS: u64 = 30;

/// How one request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RunnerScript {
    /// As it should be.
    #[default]
    Answer,
    /// With a failure of its own.
    Failure,
    /// With the promise that it was not run.
    Refuse,
    /// With the promise, before the body was read.
    RefuseEarly,
    /// Half of the body, then the connection ends.
    Truncate,
    /// Without a length; the end of the connection ends the body.
    Unframed,
    /// A stream without a length or chunks that ends inside an event.
    UnframedTruncate,
    /// A stream without a length or chunks that ends before its first event.
    UnframedEmpty,
    /// Twice.
    Extra,
    /// With bytes that are no answer.
    Garbage,
    /// Without the signature.
    Unsigned,
    /// As the answer to another attempt.
    OtherAttempt,
    /// With 503 but without the promise.
    BareUnavailable,
    /// Not at all; the connection stays open.
    Silent,
    /// Not at all; the connection ends.
    Close,
}

/// A request that came, and what the runner did.
#[derive(Debug, Clone)]
pub struct RunnerVisit {
    /// The request.
    pub request: RunnerRequest,
    /// It was run.
    pub ran: bool,
    /// When it came.
    pub at: Instant,
}

/// What a runner is.
#[derive(Debug, Clone)]
pub struct RunnerFakeSettings {
    /// Its id.
    pub id: String,
    /// Pause between two events of a stream.
    pub event_pause: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Time that a plain call takes.
    pub work: Duration,
}

impl RunnerFakeSettings {
    /// A quick runner.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let id = id.to_owned();
        Self { id, event_pause: EVENT_PAUSE, events: EVENTS, work: Duration::ZERO }
    }
}

struct RunnerState {
    settings: RunnerFakeSettings,
    memory: StreamMemory,
    scripts: RefCell<VecDeque<RunnerScript>>,
    visits: RefCell<Vec<RunnerVisit>>,
    /// Streams that are at work.
    working: Cell<usize>,
    leaving: Cell<bool>,
    /// Value of `Server-Leaving` in all its answers.
    leaving_header: RefCell<Option<String>>,
    /// Value of `Server-Limit` in all its answers.
    limit_header: RefCell<Option<String>>,
    /// Value of `Retry-After` with which it turns all requests away.
    retry_after: RefCell<Option<String>>,
    /// Moves that were asked for.
    moves: RefCell<Vec<Instant>>,
    /// Moves from here find no room.
    moves_refused: Cell<bool>,
    /// Events are made without a pause.
    rushes: Cell<bool>,
    /// Part of a prompt at which it crashes as it begins to answer.
    crash_part: RefCell<Option<String>>,
    /// Bytes without end with which it answers all requests.
    endless: Cell<Option<EndlessBytes>>,
    /// New connections are accepted.
    accepts: Cell<bool>,
    /// Connections that fill the queue of the listener.
    held: RefCell<Vec<TcpStream>>,
    crashed: StopSignal,
}

/// A running runner; it ends when it is dropped.
pub struct RunnerFake {
    state: Rc<RunnerState>,
    address: SocketAddr,
}

impl RunnerFake {
    /// Starts a runner at `address`; runners of one test share `memory`.
    ///
    /// # Errors
    /// If the address cannot be had.
    pub async fn start(
        address: SocketAddr,
        settings: RunnerFakeSettings,
        memory: &StreamMemory,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await.map_err(FakeError::Announce)?;
        let address = listener.local_addr().map_err(FakeError::Announce)?;
        let state = Rc::new(RunnerState {
            settings,
            memory: memory.clone(),
            scripts: RefCell::default(),
            visits: RefCell::default(),
            working: Cell::default(),
            leaving: Cell::default(),
            leaving_header: RefCell::default(),
            limit_header: RefCell::default(),
            retry_after: RefCell::default(),
            moves: RefCell::default(),
            moves_refused: Cell::default(),
            rushes: Cell::default(),
            crash_part: RefCell::default(),
            endless: Cell::default(),
            accepts: Cell::new(true),
            held: RefCell::default(),
            crashed: StopSignal::new(),
        });
        let shared = Rc::clone(&state);
        spawn(async move { accept(listener, shared).await }).detach();
        Ok(Self { state, address })
    }

    /// Its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.state.settings.id
    }

    /// The next requests are answered by these scripts, one each.
    pub fn script(&self, scripts: &[RunnerScript]) {
        self.state.scripts.borrow_mut().extend(scripts);
    }

    /// Further requests are answered as they should be.
    pub fn clear_scripts(&self) {
        self.state.scripts.borrow_mut().clear();
    }

    /// Requests so far.
    #[must_use]
    pub fn visits(&self) -> Vec<RunnerVisit> {
        self.state.visits.borrow().clone()
    }

    /// When moves from here were asked for.
    #[must_use]
    pub fn moves(&self) -> Vec<Instant> {
        self.state.moves.borrow().clone()
    }

    /// Requests that it ran.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.state.visits.borrow().iter().filter(|visit| visit.ran).count()
    }

    /// Streams that are at work.
    #[must_use]
    pub fn working(&self) -> usize {
        self.state.working.get()
    }

    /// Its report says from now on that it leaves.
    pub fn leave(&self) {
        self.state.leaving.set(true);
    }

    /// All its answers carry `Server-Leaving` with this value from now on.
    pub fn announce_leaving(&self, value: &str) {
        *self.state.leaving_header.borrow_mut() = Some(value.to_owned());
    }

    /// All its answers carry `Server-Limit` with this value from now on; with `None` they do not.
    pub fn name_limit(&self, value: Option<&str>) {
        *self.state.limit_header.borrow_mut() = value.map(str::to_owned);
    }

    /// It turns requests away with 503 and this `Retry-After`; with `None` it takes them again.
    pub fn turn_away(&self, retry_after: Option<&str>) {
        *self.state.retry_after.borrow_mut() = retry_after.map(str::to_owned);
    }

    /// Whether moves of its runs find no room.
    pub fn refuse_moves(&self, refused: bool) {
        self.state.moves_refused.set(refused);
    }

    /// Its streams make all their further events without a pause.
    pub fn rush(&self) {
        self.state.rushes.set(true);
    }

    /// New connections to it hang: nobody accepts them, and the queue of the listener is full.
    pub async fn stop_accepting(&self) {
        self.state.accepts.set(false);
        loop {
            let connect = TcpStream::connect(self.address);
            let Ok(Ok(stream)) = compio::time::timeout(HANG_AFTER, connect).await else { return };
            self.state.held.borrow_mut().push(stream);
        }
    }

    /// New connections are accepted again.
    pub fn resume_accepting(&self) {
        self.state.held.borrow_mut().clear();
        self.state.accepts.set(true);
    }

    /// Ends all its connections and takes no new ones.
    pub fn crash(&self) {
        self.state.crashed.raise();
    }

    /// It answers all requests with bytes that do not end.
    pub fn answer_without_end(&self, bytes: EndlessBytes) {
        self.state.endless.set(Some(bytes));
    }

    /// It crashes as it begins to answer a prompt with this part.
    pub fn crash_on(&self, part: &str) {
        *self.state.crash_part.borrow_mut() = Some(part.to_owned());
    }

    /// Whether it has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.state.crashed.is_raised()
    }

    /// Its entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        json!({
            "service": service, "address": self.address, "zone": zone, "version": "v1",
            "slots": 8, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 1_000,
        })
    }
}

impl RunnerState {
    /// Header lines of every answer.
    fn notice(&self) -> String {
        let headers =
            [("Server-Leaving", &self.leaving_header), ("Server-Limit", &self.limit_header)];
        let line = |(name, value): (&str, &RefCell<Option<String>>)| {
            value.borrow().as_ref().map(|value| format!("{name}: {value}\r\n"))
        };
        headers.into_iter().filter_map(line).collect()
    }

    /// Header lines of an answer to `attempt`.
    fn signature(&self, attempt: &str) -> String {
        format!(
            "{}X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Server-Seal: s.{attempt}\r\n",
            self.notice()
        )
    }
}

impl Drop for RunnerFake {
    fn drop(&mut self) {
        self.state.crashed.raise();
    }
}

async fn accept(listener: TcpListener, state: Rc<RunnerState>) {
    loop {
        let (accept, crashed) = (pin!(listener.accept()), pin!(state.crashed.wait()));
        let Either::Left((accepted, _)) = select(accept, crashed).await else { return };
        let Ok((stream, _)) = accepted else { continue };
        if !state.accepts.get() {
            state.held.borrow_mut().push(stream);
            while !state.accepts.get() {
                compio::time::sleep(EVENT_PAUSE).await;
            }
            continue;
        }
        let shared = Rc::clone(&state);
        spawn(async move {
            let crashed = shared.crashed.clone();
            select(pin!(serve(stream, shared)), pin!(crashed.wait())).await;
        })
        .detach();
    }
}

async fn serve(mut stream: TcpStream, state: Rc<RunnerState>) {
    while let Some(request) = RunnerRequest::read(&mut stream).await {
        if let Some(endless) = state.endless.get() {
            return answer_without_end(&mut stream, &state, request, endless).await;
        }
        let go_on = match request.path.as_str() {
            "/api/kv-move" => answer_move(&mut stream, &state, &request).await,
            "/api/report" => answer_report(&mut stream, &state).await,
            _ => answer(&mut stream, &state, request).await,
        };
        if !go_on {
            return;
        }
    }
}

async fn answer_without_end(
    stream: &mut TcpStream,
    state: &RunnerState,
    request: RunnerRequest,
    endless: EndlessBytes,
) {
    let mut signed = state.signature(request.header("x-dotterelyard-attempt-id"));
    if request.headers.contains_key("x-dotterelyard-model") {
        signed += "Content-Type: text/event-stream\r\n";
    }
    state.visits.borrow_mut().push(RunnerVisit { request, ran: true, at: Instant::now() });
    endless.write_to(stream, &signed).await;
}

async fn answer_report(stream: &mut TcpStream, state: &RunnerState) -> bool {
    let word = if state.leaving.get() { "draining" } else { "ready" };
    let report = json!({ "phase": "mixed", "active": state.working.get(), "state": word });
    write(stream, whole("200 OK", &state.notice(), &report.to_string())).await
}

async fn answer_move(stream: &mut TcpStream, state: &RunnerState, request: &RunnerRequest) -> bool {
    state.moves.borrow_mut().push(Instant::now());
    let mut notice = state.notice();
    if state.moves_refused.get() {
        if let Some(value) = state.retry_after.borrow().as_ref() {
            let _ = write!(notice, "Retry-After: {value}\r\n");
        }
        return write(stream, whole("503 Service Unavailable", &notice, "{}")).await;
    }
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    match state.memory.copy(body["id"].as_str().unwrap_or_default()) {
        Some((handle, events)) => {
            let body = json!({ "kvHandle": handle, "created": events }).to_string();
            write(stream, whole("200 OK", &notice, &body)).await
        }
        None => write(stream, whole("404 Not Found", &notice, "{}")).await,
    }
}

/// Answers a request; whether the connection goes on.
async fn answer(stream: &mut TcpStream, state: &Rc<RunnerState>, request: RunnerRequest) -> bool {
    let script = state.scripts.borrow_mut().pop_front().unwrap_or_default();
    let expected = request.header("x-dotterelyard-expect-instance").to_owned();
    let resumed = request.headers.get("kv-from").map(|from| {
        let handle = from.rsplit('/').next().unwrap_or_default();
        state.memory.take(handle, request.header("x-dotterelyard-attempt-id"))
    });
    let wrong = !expected.is_empty() && expected != state.settings.id;
    let refused = matches!(script, RunnerScript::Refuse | RunnerScript::RefuseEarly);
    let retry_after = state.retry_after.borrow().clone();
    let refused = refused || retry_after.is_some();
    let ran = !wrong && !refused && resumed != Some(false);
    state.visits.borrow_mut().push(RunnerVisit {
        request: request.clone(),
        ran,
        at: Instant::now(),
    });
    if wrong {
        let id = &state.settings.id;
        let headers = format!("{}X-Dotterelyard-Instance-Id: {id}\r\n", state.notice());
        return write(stream, whole("421 Misdirected Request", &headers, "")).await;
    }
    if !ran {
        let mut headers = format!("{}X-Dotterelyard-Not-Executed: 1\r\n", state.notice());
        if let Some(value) = retry_after {
            let _ = write!(headers, "Retry-After: {value}\r\n");
        }
        return write(stream, whole("503 Service Unavailable", &headers, "")).await;
    }
    if script == RunnerScript::Silent {
        return std::future::pending().await;
    }
    if request.headers.contains_key("x-dotterelyard-model") && script != RunnerScript::Failure {
        return answer_events(stream, state, &request, script).await;
    }
    compio::time::sleep(state.settings.work).await;
    answer_plain(stream, state, &request, script).await
}

async fn answer_plain(
    stream: &mut TcpStream,
    state: &RunnerState,
    request: &RunnerRequest,
    script: RunnerScript,
) -> bool {
    let attempt = request.header("x-dotterelyard-attempt-id");
    let signed = state.signature(attempt);
    let body = format!("answer of {} to {attempt} {}", state.settings.id, request.path);
    let good = whole("200 OK", &signed, &body);
    match script {
        RunnerScript::Answer | RunnerScript::Refuse | RunnerScript::RefuseEarly => {
            write(stream, good).await
        }
        RunnerScript::Failure => {
            write(stream, whole("500 Internal Server Error", &signed, "failed")).await
        }
        RunnerScript::Truncate => {
            write(stream, &good[..good.len() - body.len() / 2]).await;
            false
        }
        RunnerScript::Unframed => {
            write(stream, format!("HTTP/1.1 200 OK\r\n{signed}\r\n{body}")).await;
            false
        }
        RunnerScript::Extra => write(stream, format!("{good}{good}")).await,
        RunnerScript::Garbage => {
            write(stream, "bytes that are no answer\r\n\r\n").await;
            false
        }
        RunnerScript::Unsigned => {
            let echo = format!("X-Dotterelyard-Attempt-Id: {attempt}\r\n");
            write(stream, whole("200 OK", &echo, &body)).await
        }
        RunnerScript::OtherAttempt => {
            write(stream, whole("200 OK", &state.signature("another"), &body)).await
        }
        RunnerScript::BareUnavailable => {
            write(stream, whole("503 Service Unavailable", &signed, "")).await
        }
        RunnerScript::Silent => std::future::pending().await,
        RunnerScript::Close | RunnerScript::UnframedTruncate | RunnerScript::UnframedEmpty => false,
    }
}

async fn answer_events(
    stream: &mut TcpStream,
    state: &Rc<RunnerState>,
    request: &RunnerRequest,
    script: RunnerScript,
) -> bool {
    let attempt = request.header("x-dotterelyard-attempt-id");
    let backed_up = request.headers.contains_key("x-dotterelyard-kv-backup");
    state.memory.begin(attempt, backed_up);
    let _guard = WorkGuard::new(state);
    let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
    let is_unframed = matches!(
        script,
        RunnerScript::Unframed | RunnerScript::UnframedTruncate | RunnerScript::UnframedEmpty
    );
    let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
    let _ = write!(head, "{}{framing}\r\n", state.signature(attempt));
    if !write(stream, head).await {
        return false;
    }
    let crash_part = state.crash_part.borrow().clone();
    if crash_part.is_some_and(|part| request.has_part(&part)) {
        compio::time::sleep(CRASH_AFTER).await;
        state.crashed.raise();
        return std::future::pending().await;
    }
    let first = request.header("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
    for number in first..=state.settings.events {
        if script == RunnerScript::UnframedEmpty {
            return false;
        }
        if script == RunnerScript::UnframedTruncate && number == state.settings.events / 2 {
            write(stream, "id: 99").await;
            return false;
        }
        if script == RunnerScript::Truncate && number == state.settings.events / 2 {
            write(stream, "20\r\nid: 99").await;
            return false;
        }
        let event = format!("id: {number}\ndata: token {number} of {attempt}\n\n");
        let framed = format!("{:x}\r\n{event}\r\n", event.len());
        if !write(stream, if is_unframed { event } else { framed }).await {
            return false;
        }
        state.memory.note_event(attempt);
        if !state.rushes.get() {
            compio::time::sleep(state.settings.event_pause).await;
        }
    }
    state.memory.end(attempt);
    !is_unframed && write(stream, "0\r\n\r\n").await
}

struct WorkGuard(Rc<RunnerState>);

impl WorkGuard {
    fn new(state: &Rc<RunnerState>) -> Self {
        state.working.set(state.working.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.working.set(self.0.working.get() - 1);
    }
}

fn whole(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
