//! Runners: plain services, and streams of events.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::check::Record;
use crate::http::{Head, listen, read_body, read_head, reply, request_line};
use crate::store::Store;

/// What a runner did with one attempt.
#[derive(Debug, Clone)]
pub struct Run {
    pub path: String,
    pub begun: f64,
    /// When it had written its whole answer; `None` if it has not.
    pub ended: Option<f64>,
}

/// A running runner of a plain service.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    work: Arc<AtomicU64>,
    /// `Retry-After` with which it turns requests away, in milliseconds; 0 if it does not.
    turned_away_ms: Arc<AtomicU64>,
    pub runs: Arc<Mutex<HashMap<String, Run>>>,
    writes_entry: Arc<AtomicBool>,
    record: Record,
}

impl Runner {
    pub fn start(record: &Record, store: &Store, id: &str, service: &str, work: Duration) -> Self {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        Self::start_on(record, store, id, service, work, listener, address)
    }

    /// Starts a runner that listens on `listener` and is listed under `listed`.
    pub fn start_on(
        record: &Record,
        store: &Store,
        id: &str,
        service: &str,
        work: Duration,
        listener: TcpListener,
        listed: SocketAddr,
    ) -> Self {
        let runner = Self {
            id: id.into(),
            service: service.into(),
            work: Arc::new(AtomicU64::new(work.as_millis() as u64)),
            turned_away_ms: Arc::default(),
            runs: Arc::default(),
            writes_entry: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
        };
        let shared = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = shared.clone();
                std::thread::spawn(move || runner.serve(stream));
            }
        });
        beat(store, id, service, listed, Arc::clone(&runner.writes_entry));
        runner
    }

    pub fn set_writes_entry(&self, writes: bool) {
        self.writes_entry.store(writes, Ordering::SeqCst);
    }

    pub fn turn_away(&self, retry_after: Duration) {
        self.turned_away_ms.store(retry_after.as_millis() as u64, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(head)) = read_head(&mut stream) {
            let Ok(_) = read_body(&mut stream, &head) else { return };
            if self.answer(&mut stream, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> std::io::Result<()> {
        let (method, path) = request_line(head);
        let own = format!("X-Dotterelyard-Instance-Id: {}\r\n", self.id);
        if path == "/healthz" || path == "/api/report" {
            return reply(stream, "200 OK", &own, b"{\"state\":\"ready\"}");
        }
        let attempt = head.header("x-dotterelyard-attempt-id").unwrap_or_default().to_owned();
        if head.header("x-dotterelyard-expect-instance").is_some_and(|id| id != self.id) {
            return reply(stream, "421 Misdirected Request", &own, b"");
        }
        let turned_away = self.turned_away_ms.load(Ordering::SeqCst);
        if turned_away > 0 {
            self.record
                .note(format!("{} turns {attempt} away, Retry-After {turned_away} ms", self.id));
            let headers = format!(
                "{own}X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Not-Executed: 1\r\n\
                 Retry-After: {:.3}\r\n",
                turned_away as f64 / 1e3
            );
            return reply(stream, "503 Service Unavailable", &headers, b"");
        }
        let begun = self.record.now();
        self.record.note(format!("{} ({}) runs {attempt} {method} {path}", self.id, self.service));
        let run = Run { path, begun, ended: None };
        self.runs.lock().unwrap().insert(attempt.clone(), run);
        std::thread::sleep(Duration::from_millis(self.work.load(Ordering::SeqCst)));
        let body = format!("{} has done {attempt}", self.id);
        let headers = format!(
            "{own}X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Server-Seal: {}.{}\r\n",
            self.id,
            body.len()
        );
        reply(stream, "200 OK", &headers, body.as_bytes())?;
        let ended = self.record.now();
        self.record.note(format!("{} has answered {attempt}", self.id));
        if let Some(run) = self.runs.lock().unwrap().get_mut(&attempt) {
            run.ended = Some(ended);
        }
        Ok(())
    }
}

/// The entry of a runner in the store.
pub fn entry(service: &str, address: SocketAddr, sequence: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"caerdydd","version":"1","slots":24,"state":"ready","coldRemainingMs":0,"sequence":{sequence},"born":1000}}"#
    )
}

/// Writes a runner's entry each 1.2 s, as long as `writes` and the store is there.
pub fn beat(store: &Store, id: &str, service: &str, address: SocketAddr, writes: Arc<AtomicBool>) {
    let (store, id, service) = (store.clone(), id.to_owned(), service.to_owned());
    std::thread::spawn(move || {
        for sequence in 1.. {
            if writes.load(Ordering::SeqCst) && !store.is_down() {
                store.put("keyed.servers", &id, &entry(&service, address, sequence));
            }
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
}

/// A runner as a process: `PORT ID EVENTS PAUSE_MS`. It answers streams without length or chunks,
/// and writes to standard output what it made.
pub fn run_process(arguments: &[String]) {
    let number = |index: usize| arguments.get(index).and_then(|text| text.parse::<u64>().ok());
    let (Some(port), Some(id), Some(events), Some(pause)) =
        (number(0), arguments.get(1).cloned(), number(2), number(3))
    else {
        std::process::exit(2);
    };
    let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) else { std::process::exit(2) };
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        std::thread::spawn(move || {
            let mut stream = stream;
            let _ = serve_stream(&mut stream, &id, events, Duration::from_millis(pause));
        });
    }
}

fn serve_stream(
    stream: &mut TcpStream,
    id: &str,
    events: u64,
    pause: Duration,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let Some(head) = read_head(stream)? else { return Ok(()) };
    read_body(stream, &head)?;
    let (_, path) = request_line(&head);
    let own = format!("X-Dotterelyard-Instance-Id: {id}\r\n");
    if path == "/healthz" || path == "/api/report" {
        let report = br#"{"phase":"mixed","models":[],"busy":false,"sequence":1,"queued":0,"active":0,"kvUsed":0,"kvTotal":34000,"kvHandles":0,"state":"ready"}"#;
        return reply(stream, "200 OK", &own, report);
    }
    if head.header("x-dotterelyard-expect-instance").is_some_and(|expected| expected != id) {
        return reply(stream, "421 Misdirected Request", &own, b"");
    }
    let attempt = head.header("x-dotterelyard-attempt-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nConnection: close\r\n\
         X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Server-Seal: {id}.{events}\r\n\r\n"
    );
    println!("begins {attempt}, {events} events");
    stream.write_all(text.as_bytes())?;
    for number in 1..=events {
        std::thread::sleep(pause);
        stream
            .write_all(format!("id: {number}\ndata: piece {number} of {attempt}\n\n").as_bytes())?;
        println!("made {attempt} {number}");
    }
    println!("ends {attempt}");
    Ok(())
}
