//! Nodes that stop one after the other under callers with kept and new connections, and with bodies of
//! known length, in chunks, and in slow parts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use fakes::platform::{RunnerFake, RunnerFakeSettings};
use futures_util::future::{join, join_all};
use harness::{HOST, KEY, NodeFleet, wait_until};
use rustix::process::Signal;
use serde_json::json;

const NODES: usize = 2;
/// Time from the signal to the kill.
const STOP_SECONDS: f64 = 8.0;
const LIMIT: Duration = Duration::from_secs(15);
const CALLERS: usize = 24;
/// Time that a booking takes at a runner.
const WORK: Duration = Duration::from_millis(30);
/// Pause between two bookings of a caller, and between the parts of a slow body.
const PAUSE: Duration = Duration::from_millis(20);
/// Time in which an answer comes.
const ANSWER_LIMIT: Duration = Duration::from_secs(9);
/// Time after the last byte of a request from which its connection may not close without an answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);
const LEAST_BOOKINGS: usize = 2_000;

/// A request that ended without a whole answer.
#[derive(Debug)]
struct CutRequest {
    attempt: String,
    /// From its last byte to the end of the connection.
    waited: Duration,
}

/// How a body is sent.
#[derive(Debug, Clone, Copy)]
enum BodyForm {
    Length,
    Chunks,
    SlowParts,
}

const FORMS: [BodyForm; 3] = [BodyForm::Length, BodyForm::Chunks, BodyForm::SlowParts];

/// The parts in which a booking is written.
fn request_parts(attempt: &str, form: BodyForm) -> Vec<String> {
    let head = format!(
        "POST /book/job HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Deadline-Ms: 8000\r\n"
    );
    match form {
        BodyForm::Length => vec![format!("{head}Content-Length: 4\r\n\r\nboot")],
        BodyForm::Chunks => {
            vec![format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nboot\r\n0\r\n\r\n")]
        }
        BodyForm::SlowParts => {
            vec![format!("{head}Content-Length: 4\r\n\r\n"), "bo".into(), "ot".into()]
        }
    }
}

/// Reads one answer of known length; whether it came whole, and whether the connection may be kept.
async fn read_answer(stream: &mut TcpStream) -> Option<bool> {
    let mut text = String::new();
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let length = head.split("content-length: ").nth(1)?.split("\r\n").next()?;
            if body.len() >= length.parse().ok()? {
                return Some(!head.contains("connection: close"));
            }
        }
        let (read, bytes) = stream.read(Vec::with_capacity(4_096)).await.into();
        match read {
            Ok(0) | Err(_) => return None,
            Ok(_) => text += &String::from_utf8_lossy(&bytes),
        }
    }
}

/// A caller that keeps to one node and one form, and leaves the node when it is not reached.
struct RawCaller {
    fleet: Rc<NodeFleet>,
    number: usize,
    keeps_connections: bool,
    sent: usize,
    cuts: Vec<CutRequest>,
}

impl RawCaller {
    /// Books until a node accepts no connection.
    async fn run(mut self, node: usize) -> (usize, Vec<CutRequest>) {
        let form = FORMS[self.number % FORMS.len()];
        let mut kept: Option<TcpStream> = None;
        loop {
            let mut stream = match kept.take() {
                Some(stream) => stream,
                None => match TcpStream::connect(self.fleet.callers(node)).await {
                    Ok(stream) => stream,
                    Err(_) => return (self.sent, self.cuts),
                },
            };
            self.sent += 1;
            let attempt = format!("n{node}c{}-{}", self.number, self.sent);
            if self.book(&mut stream, attempt, form).await == Some(true) && self.keeps_connections {
                kept = Some(stream);
            }
            sleep(PAUSE).await;
        }
    }

    /// Sends one booking; whether the connection may be kept, if its answer came.
    async fn book(
        &mut self,
        stream: &mut TcpStream,
        attempt: String,
        form: BodyForm,
    ) -> Option<bool> {
        for part in request_parts(&attempt, form) {
            if matches!(form, BodyForm::SlowParts) {
                sleep(PAUSE).await;
            }
            // A request that was not written whole was not read whole.
            stream.write_all(part.into_bytes()).await.0.ok()?;
        }
        let sent_at = Instant::now();
        let answer = timeout(ANSWER_LIMIT, read_answer(stream)).await.unwrap_or(None);
        if answer.is_none() {
            self.cuts.push(CutRequest { attempt, waited: sent_at.elapsed() });
        }
        answer
    }
}

/// Guards against bookings that a stopping node has passed on and whose connection it then closes without
/// an answer, as at nodes that took them up to their end.
#[test]
fn no_connection_closes_without_an_answer_while_nodes_stop_one_after_the_other() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..4 {
            let mut settings = RunnerFakeSettings::new(&format!("desk-{number}"));
            settings.work = WORK;
            runners.push(fleet.add_runner("desk", settings).await.unwrap());
        }
        for _ in 0..NODES {
            fleet.add_node_with(&[("stop_seconds", json!(STOP_SECONDS))], true).unwrap();
        }
        fleet.wait_ready().await.unwrap();
        let nodes = RefCell::new(std::mem::take(&mut fleet.nodes));
        let fleet = Rc::new(fleet);
        let mut ends = Vec::new();
        for node in 0..NODES {
            let callers = (0..CALLERS).map(|number| {
                let fleet = Rc::clone(&fleet);
                let keeps_connections = number % 2 == 0;
                RawCaller { fleet, number, keeps_connections, sent: 0, cuts: Vec::new() }.run(node)
            });
            let stop = async {
                sleep(Duration::from_millis(500)).await;
                nodes.borrow()[node].signal(Signal::TERM).unwrap();
                let ended = async || nodes.borrow_mut()[node].ended();
                assert_eq!(wait_until("the end", LIMIT, ended).await.unwrap(), 0);
            };
            ends.extend(join(join_all(callers), stop).await.0);
        }
        let sent: usize = ends.iter().map(|(sent, _)| sent).sum();
        let has_run = |attempt: &str| {
            let visits = runners.iter().flat_map(RunnerFake::visits);
            visits.into_iter().any(|visit| {
                visit.ran && visit.request.header("x-dotterelyard-attempt-id") == attempt
            })
        };
        let cuts = ends.iter().flat_map(|(_, cuts)| cuts);
        let lost: Vec<&CutRequest> =
            cuts.filter(|cut| cut.waited > LOSS_SLACK || has_run(&cut.attempt)).collect();
        eprintln!("{sent} bookings, {} lost", lost.len());
        assert!(sent >= LEAST_BOOKINGS, "{sent} bookings");
        assert!(lost.is_empty(), "{} lost of {sent}: {:?}", lost.len(), lost.first());
    })
    .unwrap();
}
