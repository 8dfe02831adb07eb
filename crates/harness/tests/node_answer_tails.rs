//! The last bytes of whole answers on their way to slow callers, around a stop, a reload and a large
//! configuration.

use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpSocket, TcpStream};
use compio::time::{sleep, timeout};
use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript};
use futures_util::future::{join, join_all};
use harness::{HOST, KEY, NodeFleet};
use rustix::process::Signal;

/// Receive buffer of a caller, in bytes: a small part of an answer.
const RECEIVE_BYTES: u32 = 8 << 10;
/// Bytes of one read, and the pause after it.
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(5);
/// Time by which a caller is late.
const CALLER_LATE: Duration = Duration::from_secs(1);
/// Time in which an answer comes.
const LIMIT: Duration = Duration::from_secs(20);
/// Time from the signal to the kill.
const STOP_TIME: Duration = Duration::from_secs(6);
/// Pause between two events of a stream whose end has a set time.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Time that a node under a quota runs, and stands, in each period.
const RUNS: Duration = Duration::from_millis(12);
const STANDS: Duration = Duration::from_millis(88);
/// Further requests on a connection, and their parts: more than a node reads ahead.
const FURTHER_REQUESTS: usize = 400;
const FURTHER_PARTS: usize = 4;

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerKind {
    Plain,
    Stream,
}

const KINDS: [AnswerKind; 2] = [AnswerKind::Plain, AnswerKind::Stream];

/// A request as its caller writes it.
fn request_text(kind: AnswerKind, attempt: &str, closes: bool) -> String {
    let (path, further) = match kind {
        AnswerKind::Plain => ("/book/job", ""),
        AnswerKind::Stream => {
            ("/digest/long", "X-Dotterelyard-Model: m\r\nX-Dotterelyard-Token-Count: 1000,400\r\n")
        }
    };
    let closing = if closes { "Connection: close\r\n" } else { "" };
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Deadline-Ms: 8000\r\n\
         {further}{closing}Content-Length: 4\r\n\r\nboot"
    )
}

/// A caller that reads slowly.
struct SlowCaller {
    stream: TcpStream,
    kind: AnswerKind,
    bytes: Vec<u8>,
}

impl SlowCaller {
    /// Sends one request to a node.
    async fn send(fleet: &NodeFleet, kind: AnswerKind, attempt: &str, closes: bool) -> Self {
        let socket = TcpSocket::new_v4().await.unwrap();
        socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
        let mut stream = socket.connect(fleet.callers(0)).await.unwrap();
        let text = request_text(kind, attempt, closes);
        stream.write_all(text.into_bytes()).await.0.unwrap();
        Self { stream, kind, bytes: Vec::new() }
    }

    /// Sends further requests in parts, before the answer to the first one is read.
    async fn send_further(&mut self) {
        let mut text = String::new();
        for number in 0..FURTHER_REQUESTS {
            text += &request_text(AnswerKind::Plain, &format!("f{number}"), false);
        }
        for part in text.as_bytes().chunks(text.len() / FURTHER_PARTS) {
            sleep(EVENT_PAUSE / 4).await;
            // A node that reads no further bytes need not take them.
            let _ = timeout(EVENT_PAUSE, self.stream.write_all(part.to_vec())).await;
        }
    }

    /// Reads on to the end of the first answer; whether it is whole.
    async fn read_whole(&mut self) -> bool {
        timeout(LIMIT, self.read_on()).await.unwrap_or_default()
    }

    async fn read_on(&mut self) -> bool {
        while !self.is_whole() {
            let (read, bytes) = self.stream.read(Vec::with_capacity(READ_BYTES)).await.into();
            if !matches!(read, Ok(length) if length > 0) {
                eprintln!("{:?} ended after {} bytes: {read:?}", self.kind, self.bytes.len());
                return false;
            }
            self.bytes.extend(bytes);
            sleep(READ_PAUSE).await;
        }
        true
    }

    /// Whether the first answer has come to its end.
    fn is_whole(&self) -> bool {
        let Some(head) = find(&self.bytes, b"\r\n\r\n") else { return false };
        let (head, body) = self.bytes.split_at(head);
        let head = String::from_utf8_lossy(head).to_ascii_lowercase();
        if !head.starts_with("http/1.1 200") {
            return false;
        }
        match self.kind {
            AnswerKind::Stream => {
                find(&body[body.len().saturating_sub(READ_BYTES)..], b"\r\n0\r\n\r\n").is_some()
            }
            AnswerKind::Plain => {
                let length = head.split("content-length: ").nth(1).unwrap();
                let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
                body.len() >= length + 4
            }
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// A node before one runner of each service.
struct TailFleet {
    fleet: NodeFleet,
    runners: Vec<RunnerFake>,
}

impl TailFleet {
    /// Starts the fleet; a plain call takes `work`, a stream `events` of [`EVENT_PAUSE`] each.
    async fn start(work: Duration, events: u64) -> Self {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for service in ["desk", "llm"] {
            let mut settings = RunnerFakeSettings::new(&format!("{service}-1"));
            (settings.work, settings.events) = (work, events);
            settings.event_pause = EVENT_PAUSE;
            runners.push(fleet.add_runner(service, settings).await.unwrap());
        }
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        Self { fleet, runners }
    }

    /// Starts a fleet whose answers are longer than what a caller's buffers hold.
    async fn start_long() -> Self {
        /// Events of a long stream.
        const EVENTS: u64 = 5_000;
        let fleet = Self::start(Duration::ZERO, EVENTS).await;
        fleet.runners[0].script(&[RunnerScript::Long]);
        fleet.runners[1].rush();
        fleet
    }

    fn signal(&self, signal: Signal) {
        self.fleet.nodes[0].signal(signal).unwrap();
    }
}

/// Sends a request whose answer is long, with further ones if `further`; whether it comes whole.
async fn read_long(kind: AnswerKind, closes: bool, further: bool) -> bool {
    let tails = TailFleet::start_long().await;
    let mut caller = SlowCaller::send(&tails.fleet, kind, "a1", closes).await;
    if further {
        caller.send_further().await;
        sleep(CALLER_LATE).await;
    }
    let whole = caller.read_whole().await;
    eprintln!("{kind:?} closes={closes} further={further}: whole={whole}");
    whole
}

/// Guards against answers whose end is lost on the way to a caller that reads slowly.
#[test]
fn a_caller_that_reads_slowly_gets_the_whole_answer() {
    kernel::run(async {
        let cases = KINDS.into_iter().flat_map(|kind| [true, false].map(|closes| (kind, closes)));
        let plays = cases.map(|(kind, closes)| read_long(kind, closes, false));
        assert!(join_all(plays).await.into_iter().all(|whole| whole));
    })
    .unwrap();
}

/// Guards against answers whose end is lost to a reset, since bytes of their caller are unread.
#[test]
fn a_caller_that_has_sent_further_requests_gets_the_whole_answer() {
    kernel::run(async {
        let cases = KINDS.into_iter().flat_map(|kind| [true, false].map(|closes| (kind, closes)));
        let plays = cases.map(|(kind, closes)| read_long(kind, closes, true));
        assert!(join_all(plays).await.into_iter().all(|whole| whole));
    })
    .unwrap();
}

/// How a stopping node is slowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeSpeed {
    Full,
    Quota,
    /// It stands still for a second, until shortly before it is killed.
    Still,
}

/// A stop around the end of a run.
#[derive(Debug, Clone, Copy)]
struct StopCase {
    kind: AnswerKind,
    /// Time from the begin of the run to its end.
    work: Duration,
    /// Time from the begin of the run to the signal.
    stop: Duration,
    speed: NodeSpeed,
    callers: usize,
}

/// Slows the node until it is killed, as the platform does at the end of the stop.
async fn play_stop(tails: &TailFleet, case: StopCase) {
    const STILL_FROM: Duration = Duration::from_millis(4_800);
    const STILL_FOR: Duration = Duration::from_secs(1);
    sleep(case.stop).await;
    tails.signal(Signal::TERM);
    let begun = Instant::now();
    let slowing = async {
        match case.speed {
            NodeSpeed::Full => (),
            NodeSpeed::Quota => loop {
                sleep(RUNS).await;
                tails.signal(Signal::STOP);
                sleep(STANDS).await;
                tails.signal(Signal::CONT);
            },
            NodeSpeed::Still => {
                sleep(STILL_FROM).await;
                tails.signal(Signal::STOP);
                sleep(STILL_FOR).await;
                tails.signal(Signal::CONT);
            }
        }
        std::future::pending::<()>().await;
    };
    let _ = timeout(STOP_TIME.saturating_sub(begun.elapsed()), slowing).await;
    tails.signal(Signal::KILL);
}

/// The number of callers, all late by a second, whose answer is cut.
async fn count_cut(case: StopCase) -> usize {
    let events = case.work.as_millis() / EVENT_PAUSE.as_millis();
    let tails = TailFleet::start(case.work, u64::try_from(events).unwrap()).await;
    let callers = (0..case.callers).map(async |number| {
        let attempt = format!("a{number}");
        let mut caller = SlowCaller::send(&tails.fleet, case.kind, &attempt, false).await;
        sleep(case.work + CALLER_LATE).await;
        caller.read_whole().await
    });
    let (answers, ()) = join(join_all(callers), play_stop(&tails, case)).await;
    let cut = answers.into_iter().filter(|whole| !whole).count();
    if cut > 0 {
        let node = &tails.fleet.nodes[0];
        eprintln!("{case:?}: {:?} {:?}", node.events("end"), node.events("stop"));
    }
    cut
}

/// Plays each kind of answer at each speed.
fn play_stops(cases: &[(Duration, Duration)], speeds: &[NodeSpeed], callers: usize) {
    let mut plays = Vec::new();
    for kind in KINDS {
        for (work, stop) in cases.iter().copied() {
            let play = |speed: &NodeSpeed| StopCase { kind, work, stop, speed: *speed, callers };
            plays.extend(speeds.iter().map(play));
        }
    }
    kernel::run(async {
        let cut = join_all(plays.iter().copied().map(count_cut)).await;
        let cut: Vec<_> = plays.iter().zip(cut).filter(|(_, cut)| *cut > 0).collect();
        assert!(cut.is_empty(), "{cut:?}");
    })
    .unwrap();
}

/// Guards against answers that are cut by a stop which comes as their run ends.
#[test]
fn a_stop_around_the_end_of_a_run_cuts_no_answer() {
    const WORK: Duration = Duration::from_secs(1);
    const BEFORE: Duration = Duration::from_millis(940);
    const AFTER: Duration = Duration::from_millis(1_060);
    let cases = [(WORK, BEFORE), (WORK, AFTER)];
    play_stops(&cases, &[NodeSpeed::Full, NodeSpeed::Quota], 2);
}

/// Guards against answers that are cut although their run has ended before the last sixth of the stop.
#[test]
fn a_run_that_ends_before_the_last_sixth_of_a_stop_is_answered_whole() {
    const LATEST: Duration = Duration::from_millis(4_850);
    let stop = Duration::from_millis(200);
    play_stops(&[(LATEST, stop)], &[NodeSpeed::Full, NodeSpeed::Quota], 2);
}

/// Guards against answers that lie at a node which has stood still until after its own limits.
#[test]
fn a_node_that_stands_still_at_the_end_of_its_stop_still_reads_what_has_arrived() {
    const LATEST: Duration = Duration::from_millis(5_050);
    let stop = Duration::from_millis(200);
    play_stops(&[(LATEST, stop)], &[NodeSpeed::Still], 24);
}
