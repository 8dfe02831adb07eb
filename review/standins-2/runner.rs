//! Model runners: streams, reports, copies of the memory of runs, as the users' page describes them.
//! A runner learns that a connection has closed only if the cut lets it; it drops the request then.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::world::{CutMode, Request, World, answer, find_owner, json_field, read_request};

/// How the runners of a case work.
#[derive(Clone)]
pub struct Pace {
    /// Events of each run.
    pub events: u64,
    /// Time until the first event, and between events.
    pub first: Duration,
    pub step: Duration,
    /// After this event the request is preempted once and read in again.
    pub preempted_after: Option<u64>,
    /// For so long.
    pub preempted_for: Duration,
    /// Whether a stream has neither a length nor chunks.
    pub unframed: bool,
}

/// Work of one runner on one request.
#[derive(Clone, Debug)]
pub struct Work {
    pub attempt: String,
    pub runner: usize,
    pub begun: u64,
    /// When it ended; 0 while it goes on.
    pub ended: u64,
    pub resumed: bool,
    /// When it last made an event; 0 if it has made none.
    pub last_event: u64,
}

struct Run {
    events: AtomicU64,
    stop: AtomicBool,
    has_ended: AtomicBool,
}

struct Kept {
    attempt: String,
    places: Vec<usize>,
}

pub struct Runners {
    world: Arc<World>,
    pub pace: Pace,
    pub addresses: Vec<SocketAddr>,
    /// Process ids of the nodes.
    pub pids: Mutex<Vec<u32>>,
    runs: Mutex<BTreeMap<(usize, String), Arc<Run>>>,
    kept: Mutex<BTreeMap<(SocketAddr, String), Kept>>,
    next_handle: AtomicU64,
    pub works: Mutex<Vec<Work>>,
    /// Runs that were ordered to stop.
    pub orders: AtomicU64,
    /// A runner that goes on with a request whose connection has closed; all others drop it.
    pub keeps: Mutex<Option<usize>>,
    /// A runner that has announced that it leaves.
    pub leaves: Mutex<Option<usize>>,
    /// A runner that is silent until then: it answers, makes and notices nothing.
    pub silent: Mutex<Option<(usize, u64)>>,
}

impl Runners {
    pub fn start(world: &Arc<World>, count: usize, pace: Pace) -> Arc<Self> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let addresses = listeners.iter().map(|one| one.local_addr().expect("an address")).collect();
        let runners = Arc::new(Self {
            world: Arc::clone(world),
            pace,
            addresses,
            pids: Mutex::default(),
            runs: Mutex::default(),
            kept: Mutex::default(),
            next_handle: AtomicU64::new(1),
            works: Mutex::default(),
            orders: AtomicU64::new(0),
            keeps: Mutex::default(),
            leaves: Mutex::default(),
            silent: Mutex::default(),
        });
        for (number, listener) in listeners.into_iter().enumerate() {
            let runners = Arc::clone(&runners);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let runners = Arc::clone(&runners);
                    thread::spawn(move || runners.serve(number, stream));
                }
            });
        }
        runners
    }

    pub fn id(number: usize) -> String {
        format!("i-{:08x}", 0x7f3a_91c2_u32 + number as u32)
    }

    fn serve(&self, number: usize, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(client), Ok(server)) = (stream.peer_addr(), stream.local_addr()) else { return };
        let owner = find_owner(&self.pids.lock().unwrap(), client, server);
        match self.world.cut_of(owner) {
            Some(CutMode::Refuse) => return reset(stream),
            Some(CutMode::Hang) => {
                while self.world.cut_of(owner).is_some() {
                    thread::sleep(Duration::from_millis(20));
                }
                return reset(stream);
            }
            None => (),
        }
        let Some(request) = read_request(&mut stream) else { return };
        while self.is_silent(number) {
            thread::sleep(Duration::from_millis(2));
        }
        let path = request.path.as_str();
        if path == "/api/report" {
            return self.report(number, &mut stream);
        }
        if path == "/healthz" {
            let headers = format!("X-Dotterelyard-Instance-Id: {}\r\n", Self::id(number));
            return answer(&mut stream, "200 OK", &headers, b"");
        }
        if path == "/api/kv-move" {
            return self.copy(number, &mut stream, &request);
        }
        if let Some(handle) = path.strip_prefix("/api/kv-handle/") {
            self.kept.lock().unwrap().remove(&(self.addresses[number], handle.to_owned()));
            return answer(&mut stream, "200 OK", "", b"");
        }
        self.run(number, stream, &request, owner);
    }

    fn is_silent(&self, number: usize) -> bool {
        let now = self.world.ms();
        self.silent.lock().unwrap().is_some_and(|(runner, end)| runner == number && now < end)
    }

    pub fn leaves(&self, number: usize) -> bool {
        *self.leaves.lock().unwrap() == Some(number)
    }

    fn keeps(&self, number: usize) -> bool {
        *self.keeps.lock().unwrap() == Some(number)
    }

    fn report(&self, number: usize, stream: &mut TcpStream) {
        let runs = self.runs.lock().unwrap();
        let own = runs.iter().filter(|((runner, _), _)| *runner == number);
        let rows: Vec<String> = own
            .map(|((_, attempt), run)| {
                let events = run.events.load(Ordering::SeqCst);
                format!(r#"["{attempt}",{},{events},5]"#, 1_460 + 4 * events)
            })
            .collect();
        let state = if self.leaves(number) { "draining" } else { "ready" };
        let body = format!(
            r#"{{"phase":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":1,"queued":0,"active":{},"kvUsed":{},"kvTotal":34261,"kvHandles":0,"state":"{state}","nextToken":0,"runs":[{}]}}"#,
            rows.len(),
            1_500 * rows.len(),
            rows.join(",")
        );
        drop(runs);
        answer(stream, "200 OK", "Content-Type: application/json\r\n", body.as_bytes());
    }

    fn copy(&self, number: usize, stream: &mut TcpStream, request: &Request) {
        let attempt = json_field(&request.body, "id").unwrap_or_default();
        let to: Option<SocketAddr> =
            json_field(&request.body, "to").and_then(|text| text.parse().ok());
        let last = json_field(&request.body, "last").as_deref() == Some("true");
        let run = self.runs.lock().unwrap().get(&(number, attempt.clone())).cloned();
        let target = self.addresses.iter().position(|address| Some(*address) == to);
        let Some(run) = run else {
            self.world.note(&format!("{} has no run {attempt} to move", Self::id(number)));
            return answer(stream, "404 Not Found", "", b"{}");
        };
        if last {
            run.stop.store(true, Ordering::SeqCst);
            while !run.has_ended.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
            }
            self.orders.fetch_add(1, Ordering::SeqCst);
        }
        while self.is_silent(number) {
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_millis(15));
        let created = run.events.load(Ordering::SeqCst);
        let handle = format!("h{}", self.next_handle.fetch_add(1, Ordering::SeqCst));
        let mut places: Vec<usize> = target.into_iter().collect();
        if last {
            places.push(number);
        }
        let kept = Kept { attempt: attempt.clone(), places };
        self.kept.lock().unwrap().insert((self.addresses[number], handle.clone()), kept);
        let word = if last { "stops" } else { "copies" };
        let to = target.map_or_else(|| "?".to_owned(), Self::id);
        self.world.note(&format!(
            "{} {word} run {attempt} as ordered, with {created} events, for {to}",
            Self::id(number)
        ));
        let body = format!(r#"{{"kvHandle":"{handle}","created":{created}}}"#);
        answer(stream, "200 OK", "Content-Type: application/json\r\n", body.as_bytes());
    }

    /// Whether the memory that the request names is here; it is used up then.
    fn take_memory(&self, number: usize, attempt: &str, from: &str) -> bool {
        let Some((address, handle)) = from.split_once('/') else { return false };
        let Ok(address) = address.parse::<SocketAddr>() else { return false };
        let mut kept = self.kept.lock().unwrap();
        let key = (address, handle.to_owned());
        let is_here = kept
            .get(&key)
            .is_some_and(|kept| kept.attempt == attempt && kept.places.contains(&number));
        is_here && kept.remove(&key).is_some()
    }

    fn run(&self, number: usize, mut stream: TcpStream, request: &Request, owner: Option<u32>) {
        let attempt = request.header("x-dotterelyard-attempt-id").to_owned();
        let expected = request.header("x-dotterelyard-expect-instance");
        if !expected.is_empty() && expected != Self::id(number) {
            let headers = format!("X-Dotterelyard-Instance-Id: {}\r\n", Self::id(number));
            return answer(&mut stream, "421 Misdirected Request", &headers, b"");
        }
        let from = request.headers.get("kv-from").cloned();
        if from.as_ref().is_some_and(|from| !self.take_memory(number, &attempt, from)) {
            self.world.note(&format!("{} has no copy of {attempt}", Self::id(number)));
            let headers = "X-Dotterelyard-Not-Executed: 1\r\n";
            return answer(&mut stream, "503 Service Unavailable", headers, b"");
        }
        if let Ok(backup) = request.header("x-dotterelyard-kv-backup").parse::<SocketAddr>()
            && let Some(holder) = self.addresses.iter().position(|address| *address == backup)
        {
            let kept = Kept { attempt: attempt.clone(), places: vec![holder] };
            self.kept.lock().unwrap().insert((backup, attempt.clone()), kept);
        }
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let how = if from.is_some() { "goes on with" } else { "begins" };
        self.world.note(&format!("{} {how} {attempt} after event {last}", Self::id(number)));
        let run = Arc::new(Run {
            events: AtomicU64::new(last),
            stop: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
        });
        let key = (number, attempt.clone());
        self.runs.lock().unwrap().insert(key.clone(), Arc::clone(&run));
        let place = {
            let mut works = self.works.lock().unwrap();
            let (begun, resumed) = (self.world.ms(), from.is_some());
            let (attempt, runner) = (attempt.clone(), number);
            works.push(Work { attempt, runner, begun, ended: 0, resumed, last_event: 0 });
            works.len() - 1
        };
        let end = self.write_events(&mut stream, (number, place), &attempt, &run, owner);
        self.works.lock().unwrap()[place].ended = self.world.ms();
        self.runs.lock().unwrap().remove(&key);
        let events = run.events.load(Ordering::SeqCst);
        self.world.note(&format!("{} ends {attempt} at event {events}: {end}", Self::id(number)));
        if self.world.cut_of(owner) == Some(CutMode::Hang) {
            // The other side learns of the end only after the cut.
            run.has_ended.store(true, Ordering::SeqCst);
            while self.world.cut_of(owner).is_some() {
                thread::sleep(Duration::from_millis(10));
            }
        }
        drop(stream);
        run.has_ended.store(true, Ordering::SeqCst);
    }

    /// Writes the events of a run; gives the reason of its end.
    fn write_events(
        &self,
        stream: &mut TcpStream,
        (runner, place): (usize, usize),
        attempt: &str,
        run: &Run,
        owner: Option<u32>,
    ) -> &'static str {
        let pace = &self.pace;
        let resumed = self.works.lock().unwrap()[place].resumed;
        let keeps = self.keeps(runner);
        let framing =
            if pace.unframed { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" };
        let mut waiting = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Dotterelyard-Weight-Versions: 1\r\n{framing}\r\n"
        )
        .into_bytes();
        let first = run.events.load(Ordering::SeqCst) + 1;
        for number in first..=pace.events {
            let is_first = number == first;
            let mut pause = if is_first { pace.first } else { pace.step };
            if !resumed && !is_first && pace.preempted_after == Some(number - 1) {
                pause = pace.preempted_for;
            }
            let until = self.world.ms() + pause.as_millis() as u64;
            loop {
                if self.is_silent(runner) {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                }
                if run.stop.load(Ordering::SeqCst) {
                    return "ordered to stop";
                }
                let hangs = self.world.cut_of(owner) == Some(CutMode::Hang);
                if !keeps && !hangs && is_closed(stream) {
                    return "its connection has closed";
                }
                if self.world.ms() >= until {
                    break;
                }
                thread::sleep(Duration::from_millis(4));
            }
            run.events.store(number, Ordering::SeqCst);
            self.works.lock().unwrap()[place].last_event = self.world.ms();
            let event = format!("id: {number}\ndata: {attempt} token {number}\n\n");
            if pace.unframed {
                waiting.extend(event.as_bytes());
            } else {
                waiting.extend(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            }
            if self.world.cut_of(owner) != Some(CutMode::Hang) {
                if stream.write_all(&waiting).is_err() && !keeps {
                    return "its connection is broken";
                }
                waiting.clear();
            }
        }
        while self.world.cut_of(owner) == Some(CutMode::Hang) {
            thread::sleep(Duration::from_millis(10));
        }
        if !pace.unframed {
            waiting.extend(b"0\r\n\r\n");
        }
        let _ = stream.write_all(&waiting);
        "complete"
    }
}

/// Whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(
            socket: i32,
            level: i32,
            name: i32,
            value: *const Linger,
            length: u32,
        ) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER on Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}
