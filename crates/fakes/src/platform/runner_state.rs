//! State that the connections of a runner share, and what follows from it for a request.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use kernel::StopSignal;

use super::endless_bytes::EndlessBytes;
use super::runner_crash::{CrashLook, CrashTrigger};
use super::runner_records::RunnerVisit;
use super::runner_script::RunnerScript;
use super::runner_settings::{BrittleRoom, RunnerFakeSettings, SharedScripts};
use super::stream_memory::{RunnerPlace, StreamMemory};

/// Time in which the requests that a brittle runner turns away, or that a cold one gets, count
/// together.
const COUNTED_SPAN: Duration = Duration::from_secs(1);

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
    /// Its number at this runner: a request may come back while its earlier run still ends.
    pub(super) number: u64,
    /// Number of the newest event.
    pub(super) events: u64,
    /// Raised when a move stops it.
    pub(super) stopped: StopSignal,
}

/// State that the connections of a runner share.
pub(super) struct RunnerState {
    pub(super) settings: RunnerFakeSettings,
    /// Its own address.
    pub(super) place: RunnerPlace,
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
    /// Number of the next run.
    pub(super) next_run: Cell<u64>,
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
    /// Moves of a run that is being moved are refused.
    pub(super) is_one_move_at_a_time: Cell<bool>,
    /// Attempts whose runs are being moved.
    pub(super) open_moves: RefCell<BTreeSet<String>>,
    /// Events that it leaves out of the count in its answers to moves.
    pub(super) uncounted_events: Cell<u64>,
    /// Time without a request after which it closes a connection.
    pub(super) idle_time: Cell<Option<Duration>>,
    /// Moves from here find no room.
    pub(super) moves_refused: Cell<bool>,
    /// Raised when late answers, and late ends of connections, may go.
    pub(super) late: RefCell<StopSignal>,
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
    /// Its runs are preempted: they make no events, and it answers all else.
    pub(super) preempted: Cell<bool>,
    /// Connections that fill the queue of the listener.
    pub(super) held: RefCell<Vec<TcpStream>>,
    pub(super) crashed: StopSignal,
    /// Raised when the runner is dropped.
    pub(super) ended: StopSignal,
}

impl RunnerState {
    /// The state of a runner that has got no requests yet.
    pub(super) fn new(
        settings: RunnerFakeSettings,
        place: RunnerPlace,
        memory: &StreamMemory,
    ) -> Self {
        Self {
            work: Cell::new(settings.work),
            settings,
            place,
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
            next_run: Cell::default(),
            ignores_close: Cell::default(),
            ignores_stops: Cell::default(),
            stops_refused: Cell::default(),
            abandoned: RefCell::default(),
            turned_away: RefCell::default(),
            retry_after: RefCell::default(),
            moves: RefCell::default(),
            releases: RefCell::default(),
            move_time: Cell::default(),
            is_one_move_at_a_time: Cell::default(),
            open_moves: RefCell::default(),
            uncounted_events: Cell::default(),
            idle_time: Cell::default(),
            moves_refused: Cell::default(),
            late: RefCell::default(),
            rushes: Cell::default(),
            crash_trigger: RefCell::default(),
            crash_look: Cell::default(),
            linger: Cell::default(),
            endless: Cell::default(),
            accepts: Cell::new(true),
            silent: Cell::default(),
            preempted: Cell::default(),
            held: RefCell::default(),
            crashed: StopSignal::new(),
            ended: StopSignal::new(),
        }
    }

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
