//! How tests change what a running runner does.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;

use super::endless_bytes::EndlessBytes;
use super::runner_crash::{CrashLook, CrashTrigger};
use super::runner_fake::RunnerFake;
use super::runner_queue::is_queue_full;
use super::runner_script::RunnerScript;
use super::runner_settings::{BrittleRoom, SharedScripts};
use super::runner_state::ColdTime;

/// Time after which it is looked whether an attempt to connect finds the queue full.
const HANG_AFTER: Duration = Duration::from_millis(100);

impl RunnerFake {
    /// The next requests are answered by these scripts, one each.
    pub fn script(&self, scripts: &[RunnerScript]) {
        self.state().scripts.borrow_mut().extend(scripts);
    }

    /// Requests are answered by these scripts, one each, whichever of the runners that share them
    /// gets the request.
    pub fn share_scripts(&self, scripts: &SharedScripts) {
        *self.state().shared_scripts.borrow_mut() = Rc::clone(scripts);
    }

    /// Further requests are answered as they should be.
    pub fn clear_scripts(&self) {
        self.state().scripts.borrow_mut().clear();
    }

    /// Its report says from now on that it leaves.
    pub fn leave(&self) {
        self.state().leaving.set(true);
    }

    /// All its answers carry `Server-Leaving` with this value from now on.
    pub fn announce_leaving(&self, value: &str) {
        *self.state().leaving_header.borrow_mut() = Some(value.to_owned());
    }

    /// All its answers carry `Server-Limit` with this value from now on; with `None` they do not.
    pub fn name_limit(&self, value: Option<&str>) {
        *self.state().limit_header.borrow_mut() = value.map(str::to_owned);
    }

    /// All its answers carry `Server-Brittle` from now on, and it falls over when it has to turn
    /// more requests away in a second.
    pub fn become_brittle(&self, room: BrittleRoom) {
        self.state().brittle.set(Some(room));
    }

    /// It is cold for `span` from now on, and crashes if it gets more requests than it `bears` in a
    /// second. Its entry in the store and its health answers state the time left.
    pub fn become_cold(&self, span: Duration, bears: usize) {
        self.state().cold_requests.borrow_mut().clear();
        self.state().cold.set(Some(ColdTime { until: Instant::now() + span, bears }));
    }

    /// It turns requests away with 503 and this `Retry-After`; with `None` it takes them again.
    pub fn turn_away(&self, retry_after: Option<&str>) {
        *self.state().retry_after.borrow_mut() = retry_after.map(str::to_owned);
    }

    /// Further plain calls take this long.
    pub fn take_time(&self, work: Duration) {
        self.state().work.set(work);
    }

    /// Moves of its runs take this long.
    pub fn slow_moves(&self, time: Duration) {
        self.state().move_time.set(time);
    }

    /// It refuses moves of a run that it is moving, as its interface says.
    pub fn move_one_at_a_time(&self) {
        self.state().is_one_move_at_a_time.set(true);
    }

    /// Its answers to moves count so many events less than it has made.
    pub fn count_less(&self, events: u64) {
        self.state().uncounted_events.set(events);
    }

    /// It closes connections on which no request comes for this long.
    pub fn close_idle(&self, time: Duration) {
        self.state().idle_time.set(Some(time));
    }

    /// Whether moves of its runs find no room.
    pub fn refuse_moves(&self, refused: bool) {
        self.state().moves_refused.set(refused);
    }

    /// Its late answers, and late ends of connections, go now; those of further requests wait again.
    pub fn release_late(&self) {
        self.state().late.take().raise();
    }

    /// It goes on with requests whose connection closes, as some runners do; others drop them.
    pub fn ignore_closed_requests(&self) {
        self.state().ignores_close.set(true);
    }

    /// It goes on with runs that a move is to stop, against its interface.
    pub fn ignore_stop_orders(&self) {
        self.state().ignores_stops.set(true);
    }

    /// Moves that are to stop a run find no room, and the run goes on; other moves find some.
    pub fn refuse_stop_orders(&self) {
        self.state().stops_refused.set(true);
    }

    /// Its streams make all their further events without a pause.
    pub fn rush(&self) {
        self.state().rushes.set(true);
    }

    /// New connections to it hang: nobody accepts them, and the queue of the listener is full.
    pub async fn stop_accepting(&self) {
        self.state().accepts.set(false);
        loop {
            let connect = TcpStream::connect(self.address());
            if let Ok(Ok(stream)) = compio::time::timeout(HANG_AFTER, connect).await {
                self.state().held.borrow_mut().push(stream);
            } else if is_queue_full(self.address()) {
                return;
            }
        }
    }

    /// New connections are accepted again.
    pub fn resume_accepting(&self) {
        self.state().held.borrow_mut().clear();
        self.state().accepts.set(true);
    }

    /// Ends all its connections and takes no new ones.
    pub fn crash(&self) {
        self.state().crashed.raise();
    }

    /// It answers all requests with bytes that do not end.
    pub fn answer_without_end(&self, bytes: EndlessBytes) {
        self.state().endless.set(Some(bytes));
    }

    /// It crashes as it begins to answer a prompt with this part.
    pub fn crash_on(&self, part: &str) {
        self.crash_at(CrashTrigger::Part(part.to_owned()));
    }

    /// It crashes on such requests.
    pub fn crash_at(&self, trigger: CrashTrigger) {
        *self.state().crash_trigger.borrow_mut() = Some(trigger);
    }

    /// How it looks from outside once it has crashed.
    pub fn look_after_crash(&self, look: CrashLook) {
        self.state().crash_look.set(look);
    }

    /// Its address accepts connections for a while after it has crashed, and closes them.
    pub fn linger(&self, time: Duration) {
        self.state().linger.set(time);
    }
}
