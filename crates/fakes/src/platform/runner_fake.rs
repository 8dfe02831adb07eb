//! A runner, with answers that can be spoilt byte by byte.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use kernel::{StopSignal, spawn};
use serde_json::{Value, json};

use super::endless_bytes::EndlessBytes;
use super::runner_answers::{
    answer, answer_health, answer_move, answer_release, answer_report, answer_without_end,
};
use super::runner_crash::{CrashLook, CrashTrigger, look_crashed};
use super::runner_request::RunnerRequest;
use super::runner_script::RunnerScript;
use super::stream_memory::StreamMemory;
use crate::{FakeError, Result};

/// Pause between two events of a stream where none is set.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Time after which an attempt to connect counts as hanging.
const HANG_AFTER: Duration = Duration::from_millis(100);
/// Time in which the requests that a brittle runner turns away, or that a cold one gets, count
/// together.
const COUNTED_SPAN: Duration = Duration::from_secs(1);
/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";
/// Path of the handles of copies.
pub(super) const COPY_PATH: &str = "/api/kv-handle/";
/// Events of a stream where none is set.
const EVENTS: u64 = 30;

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
    /// Time until a run that goes on from its memory is answered.
    pub resume_time: Duration,
}

impl RunnerFakeSettings {
    /// A quick runner.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let id = id.to_owned();
        let (work, resume_time) = (Duration::ZERO, Duration::ZERO);
        Self { id, event_pause: EVENT_PAUSE, events: EVENTS, work, resume_time }
    }
}

/// Scripts that several runners take in turn.
pub type SharedScripts = Rc<RefCell<VecDeque<RunnerScript>>>;

/// What a brittle runner can bear.
#[derive(Debug, Clone, Copy)]
pub struct BrittleRoom {
    /// Plain calls that it works on at once; it turns further ones away.
    pub calls: usize,
    /// Requests that it can turn away in a second: the value of `Server-Brittle`.
    pub turned_away: usize,
}

/// A cold time of a runner.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdTime {
    pub(super) until: Instant,
    /// Requests that it bears in a second.
    pub(super) bears: usize,
}

/// A stream that a runner works on.
#[derive(Clone, Default)]
pub(super) struct RunAtWork {
    /// Number of the newest event.
    pub(super) events: u64,
    /// Raised when a move stops it.
    pub(super) stopped: StopSignal,
}

/// State that the connections of a runner share.
pub(super) struct RunnerState {
    pub(super) settings: RunnerFakeSettings,
    pub(super) memory: StreamMemory,
    pub(super) scripts: RefCell<VecDeque<RunnerScript>>,
    /// Scripts that it shares with other runners; used after its own.
    pub(super) shared_scripts: RefCell<SharedScripts>,
    pub(super) visits: RefCell<Vec<RunnerVisit>>,
    /// Streams that are at work.
    pub(super) working: Cell<usize>,
    pub(super) leaving: Cell<bool>,
    /// Value of `Server-Leaving` in all its answers.
    pub(super) leaving_header: RefCell<Option<String>>,
    /// Value of `Server-Limit` in all its answers.
    pub(super) limit_header: RefCell<Option<String>>,
    /// What it can bear while it says that it is brittle.
    pub(super) brittle: Cell<Option<BrittleRoom>>,
    /// Its cold time, also one that is over.
    pub(super) cold: Cell<Option<ColdTime>>,
    /// When it got requests while cold.
    pub(super) cold_requests: RefCell<Vec<Instant>>,
    /// The most requests that it got in a second while cold.
    pub(super) most_cold: Cell<usize>,
    /// Number of its last entry in the store.
    pub(super) sequence: Cell<u64>,
    /// Time that further plain calls take.
    pub(super) work: Cell<Duration>,
    /// Plain calls that are at work.
    pub(super) plain_working: Cell<usize>,
    /// Streams that it works on, by their attempt.
    pub(super) runs_at_work: RefCell<BTreeMap<String, RunAtWork>>,
    /// It goes on with a request whose connection has closed.
    pub(super) ignores_close: Cell<bool>,
    /// It goes on with a run that a move is to stop.
    pub(super) ignores_stops: Cell<bool>,
    /// Orders to stop a run find no room for its copy and stop nothing.
    pub(super) stops_refused: Cell<bool>,
    /// When connections were closed from outside before they were answered.
    pub(super) abandoned: RefCell<Vec<Instant>>,
    /// When it turned requests away for want of room.
    pub(super) turned_away: RefCell<Vec<Instant>>,
    /// Value of `Retry-After` with which it turns all requests away.
    pub(super) retry_after: RefCell<Option<String>>,
    /// Moves that were asked for.
    pub(super) moves: RefCell<Vec<Instant>>,
    /// Handles that were to be freed here.
    pub(super) releases: RefCell<Vec<String>>,
    /// Time that a move from here takes.
    pub(super) move_time: Cell<Duration>,
    /// Moves from here find no room.
    pub(super) moves_refused: Cell<bool>,
    /// Events are made without a pause.
    pub(super) rushes: Cell<bool>,
    /// What it crashes on.
    pub(super) crash_trigger: RefCell<Option<CrashTrigger>>,
    /// How it looks once it has crashed.
    pub(super) crash_look: Cell<CrashLook>,
    /// Time after a crash for which its address still accepts connections, and closes them.
    pub(super) linger: Cell<Duration>,
    /// Bytes without end with which it answers all requests.
    pub(super) endless: Cell<Option<EndlessBytes>>,
    /// New connections are accepted.
    pub(super) accepts: Cell<bool>,
    /// It neither answers nor makes events.
    pub(super) silent: Cell<bool>,
    /// Connections that fill the queue of the listener.
    pub(super) held: RefCell<Vec<TcpStream>>,
    pub(super) crashed: StopSignal,
    /// Raised when the runner is dropped.
    pub(super) ended: StopSignal,
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
            work: Cell::new(settings.work),
            settings,
            memory: memory.clone(),
            scripts: RefCell::default(),
            shared_scripts: RefCell::default(),
            visits: RefCell::default(),
            working: Cell::default(),
            leaving: Cell::default(),
            leaving_header: RefCell::default(),
            limit_header: RefCell::default(),
            brittle: Cell::default(),
            cold: Cell::default(),
            cold_requests: RefCell::default(),
            most_cold: Cell::default(),
            sequence: Cell::default(),
            plain_working: Cell::default(),
            runs_at_work: RefCell::default(),
            ignores_close: Cell::default(),
            ignores_stops: Cell::default(),
            stops_refused: Cell::default(),
            abandoned: RefCell::default(),
            turned_away: RefCell::default(),
            retry_after: RefCell::default(),
            moves: RefCell::default(),
            releases: RefCell::default(),
            move_time: Cell::default(),
            moves_refused: Cell::default(),
            rushes: Cell::default(),
            crash_trigger: RefCell::default(),
            crash_look: Cell::default(),
            linger: Cell::default(),
            endless: Cell::default(),
            accepts: Cell::new(true),
            silent: Cell::default(),
            held: RefCell::default(),
            crashed: StopSignal::new(),
            ended: StopSignal::new(),
        });
        let shared = Rc::clone(&state);
        spawn(async move { accept(listener, shared).await }).detach();
        Ok(Self { state, address })
    }

    /// What its connections share.
    pub(super) fn state(&self) -> &RunnerState {
        &self.state
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

    /// Requests are answered by these scripts, one each, whichever of the runners that share them
    /// gets the request.
    pub fn share_scripts(&self, scripts: &SharedScripts) {
        *self.state.shared_scripts.borrow_mut() = Rc::clone(scripts);
    }

    /// Further requests are answered as they should be.
    pub fn clear_scripts(&self) {
        self.state.scripts.borrow_mut().clear();
    }

    /// Requests of callers so far.
    #[must_use]
    pub fn visits(&self) -> Vec<RunnerVisit> {
        self.state.visits.borrow().clone()
    }

    /// When moves from here were asked for.
    #[must_use]
    pub fn moves(&self) -> Vec<Instant> {
        self.state.moves.borrow().clone()
    }

    /// Handles of copies that were to be freed here.
    #[must_use]
    pub fn releases(&self) -> Vec<String> {
        self.state.releases.borrow().clone()
    }

    /// When connections were closed from outside while it worked on a plain call, or was silent.
    #[must_use]
    pub fn abandoned(&self) -> Vec<Instant> {
        self.state.abandoned.borrow().clone()
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

    /// All its answers carry `Server-Brittle` from now on, and it falls over when it has to turn
    /// more requests away in a second.
    pub fn become_brittle(&self, room: BrittleRoom) {
        self.state.brittle.set(Some(room));
    }

    /// It is cold for `span` from now on, and crashes if it gets more requests than it `bears` in a
    /// second. Its entry in the store and its health answers state the time left.
    pub fn become_cold(&self, span: Duration, bears: usize) {
        self.state.cold_requests.borrow_mut().clear();
        self.state.cold.set(Some(ColdTime { until: Instant::now() + span, bears }));
    }

    /// The most requests that it got in a second while cold.
    #[must_use]
    pub fn most_cold_requests(&self) -> usize {
        self.state.most_cold.get()
    }

    /// It turns requests away with 503 and this `Retry-After`; with `None` it takes them again.
    pub fn turn_away(&self, retry_after: Option<&str>) {
        *self.state.retry_after.borrow_mut() = retry_after.map(str::to_owned);
    }

    /// Further plain calls take this long.
    pub fn take_time(&self, work: Duration) {
        self.state.work.set(work);
    }

    /// Moves of its runs take this long.
    pub fn slow_moves(&self, time: Duration) {
        self.state.move_time.set(time);
    }

    /// Whether moves of its runs find no room.
    pub fn refuse_moves(&self, refused: bool) {
        self.state.moves_refused.set(refused);
    }

    /// It goes on with requests whose connection closes, as some runners do; others drop them.
    pub fn ignore_closed_requests(&self) {
        self.state.ignores_close.set(true);
    }

    /// It goes on with runs that a move is to stop, against its interface.
    pub fn ignore_stop_orders(&self) {
        self.state.ignores_stops.set(true);
    }

    /// Moves that are to stop a run find no room, and the run goes on; other moves find some.
    pub fn refuse_stop_orders(&self) {
        self.state.stops_refused.set(true);
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
        self.crash_at(CrashTrigger::Part(part.to_owned()));
    }

    /// It crashes on such requests.
    pub fn crash_at(&self, trigger: CrashTrigger) {
        *self.state.crash_trigger.borrow_mut() = Some(trigger);
    }

    /// How it looks from outside once it has crashed.
    pub fn look_after_crash(&self, look: CrashLook) {
        self.state.crash_look.set(look);
    }

    /// Its address accepts connections for a while after it has crashed, and closes them.
    pub fn linger(&self, time: Duration) {
        self.state.linger.set(time);
    }

    /// Whether it has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.state.crashed.is_raised()
    }

    /// Raised when it crashes.
    #[must_use]
    pub fn crash_signal(&self) -> StopSignal {
        self.state.crashed.clone()
    }

    /// Its entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        let sequence = self.state.sequence.get() + 1;
        self.state.sequence.set(sequence);
        json!({
            "service": service, "address": self.address, "zone": zone, "version": "v1",
            "slots": 8, "state": state, "coldRemainingMs": self.state.cold_left_ms(),
            "sequence": sequence, "born": 1_000,
        })
    }
}

impl RunnerState {
    /// The script of the next request.
    pub(super) fn next_script(&self) -> RunnerScript {
        let own = self.scripts.borrow_mut().pop_front();
        let shared = || self.shared_scripts.borrow().borrow_mut().pop_front();
        own.or_else(shared).unwrap_or_default()
    }

    /// Header lines of every answer.
    pub(super) fn notice(&self) -> String {
        let headers =
            [("Server-Leaving", &self.leaving_header), ("Server-Limit", &self.limit_header)];
        let line = |(name, value): (&str, &RefCell<Option<String>>)| {
            value.borrow().as_ref().map(|value| format!("{name}: {value}\r\n"))
        };
        let brittle = self.brittle.get().map(|room| room.turned_away);
        let brittle = brittle.map(|count| format!("Server-Brittle: {count}\r\n"));
        headers.into_iter().filter_map(line).chain(brittle).collect()
    }

    /// Time for which it is still cold, in milliseconds.
    pub(super) fn cold_left_ms(&self) -> u128 {
        let left = self.cold.get().map(|cold| cold.until.saturating_duration_since(Instant::now()));
        left.unwrap_or_default().as_millis()
    }

    /// Counts a request; a cold runner crashes if it gets too many.
    pub(super) fn note_cold_request(&self) {
        let Some(cold) = self.cold.get().filter(|cold| Instant::now() < cold.until) else { return };
        let mut requests = self.cold_requests.borrow_mut();
        requests.retain(|at| at.elapsed() < COUNTED_SPAN);
        requests.push(Instant::now());
        self.most_cold.set(self.most_cold.get().max(requests.len()));
        if requests.len() > cold.bears {
            self.crashed.raise();
        }
    }

    /// Whether a brittle runner has no room for one more call; it falls over if it has turned too
    /// many away.
    pub(super) fn lacks_room(&self) -> bool {
        let Some(room) = self.brittle.get() else { return false };
        if self.plain_working.get() < room.calls {
            return false;
        }
        let mut turned_away = self.turned_away.borrow_mut();
        turned_away.retain(|at| at.elapsed() < COUNTED_SPAN);
        turned_away.push(Instant::now());
        if turned_away.len() > room.turned_away {
            self.crashed.raise();
        }
        true
    }

    /// Header lines of a refusal, which names no attempt.
    pub(super) fn refusal_headers(&self) -> String {
        format!("{}X-Dotterelyard-Not-Executed: 1\r\n", self.notice())
    }

    /// Header lines of an answer to `attempt`.
    pub(super) fn signature(&self, attempt: &str) -> String {
        format!(
            "{}X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Server-Seal: s.{attempt}\r\n",
            self.notice()
        )
    }
}

impl Drop for RunnerFake {
    fn drop(&mut self) {
        self.state.ended.raise();
        self.state.crashed.raise();
    }
}

async fn accept(listener: TcpListener, state: Rc<RunnerState>) {
    loop {
        let (accept, crashed) = (pin!(listener.accept()), pin!(state.crashed.wait()));
        let Either::Left((accepted, _)) = select(accept, crashed).await else { break };
        let Ok((stream, _)) = accepted else { continue };
        if !state.accepts.get() {
            state.held.borrow_mut().push(stream);
            while !state.accepts.get() && !state.crashed.is_raised() {
                compio::time::sleep(EVENT_PAUSE).await;
            }
            continue;
        }
        if state.crash_look.get() == CrashLook::Resets {
            let _ = stream.set_zero_linger();
        }
        let shared = Rc::clone(&state);
        spawn(async move {
            let crashed = shared.crashed.clone();
            select(pin!(serve(stream, shared)), pin!(crashed.wait())).await;
        })
        .detach();
    }
    let linger = state.linger.get();
    if !linger.is_zero() {
        let accept_all = async { while listener.accept().await.is_ok() {} };
        let _ = compio::time::timeout(linger, accept_all).await;
    }
    look_crashed(listener, state).await;
}

async fn serve(mut stream: TcpStream, state: Rc<RunnerState>) {
    while let Some(request) = RunnerRequest::read(&mut stream).await {
        state.wait_while_silent().await;
        if let Some(endless) = state.endless.get() {
            return answer_without_end(&mut stream, &state, request, endless).await;
        }
        let go_on = match request.path.as_str() {
            "/api/kv-move" => answer_move(&mut stream, &state, &request).await,
            "/api/report" => answer_report(&mut stream, &state).await,
            HEALTH_PATH => answer_health(&mut stream, &state).await,
            path if path.starts_with(COPY_PATH) => {
                answer_release(&mut stream, &state, &request).await
            }
            _ => answer(&mut stream, &state, request).await,
        };
        if !go_on {
            return;
        }
    }
}
