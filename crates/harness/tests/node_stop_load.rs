//! A planned stop of a node that is under load: what it has accepted is answered to its end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use fakes::platform::{LONG_BODY_BYTES, RunnerFakeSettings, RunnerScript};
use futures_util::future::join_all;
use harness::{CallerRequest, HOST, KEY, NodeFleet, SeenStream, WholeAnswer, wait_until};
use rustix::process::Signal;
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(10);
/// Time that a call takes at a runner.
const WORK: Duration = Duration::from_millis(400);
/// Time after the signal for which callers still send: those that keep to the time for which
/// an address holds do not send later.
const SEND_FOR: Duration = Duration::from_millis(2_300);
/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(10);
/// Time that a slow caller takes before it reads the rest of its answer: longer than a node
/// without requests waits before it ends, shorter than a stop may take.
const READ_LATE: Duration = Duration::from_millis(3_500);

/// Sends bookings, one after each pause, until `end`; gives the answers.
async fn send_until(fleet: &NodeFleet, end: Instant) -> Vec<WholeAnswer> {
    let count = end.saturating_duration_since(Instant::now()).as_millis() / PAUSE.as_millis();
    let send = async |number: u32| {
        compio::time::sleep(PAUSE * number).await;
        fleet.send(0, &CallerRequest::booking(&format!("a{number}"))).await
    };
    join_all((0..u32::try_from(count).unwrap()).map(send)).await
}

/// Guards against requests that are cut off although the stopping node has accepted them.
#[test]
fn each_request_that_arrives_during_a_planned_stop_is_answered() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..3 {
            let mut settings = RunnerFakeSettings::new(&format!("desk-{number}"));
            settings.work = WORK;
            runners.push(fleet.add_runner("desk", settings).await.unwrap());
        }
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        fleet.nodes[0].signal(Signal::TERM).unwrap();
        let answers = send_until(&fleet, Instant::now() + SEND_FOR).await;
        let served =
            answers.iter().filter(|answer| answer.status == 200 && answer.complete).count();
        assert_eq!(served, answers.len());
        wait_until("the node to end", LIMIT, async || fleet.nodes[0].ended()).await.unwrap();
    })
    .unwrap();
}

/// Guards against an exit while the answer of the last request is still being written.
#[test]
fn a_planned_stop_does_not_cut_an_answer_that_its_caller_reads_slowly() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        desk.script(&[RunnerScript::Long]);
        let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let head = format!(
            "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
             X-Dotterelyard-Attempt-Id: a1\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(head.into_bytes()).await.0.unwrap();
        let (read, _) = stream.read(Vec::with_capacity(4_096)).await.into();
        let mut length = read.unwrap();
        assert!(length > 0, "no answer");
        fleet.nodes[0].signal(Signal::TERM).unwrap();
        compio::time::sleep(READ_LATE).await;
        loop {
            let (read, _) = stream.read(Vec::with_capacity(64 << 10)).await.into();
            match read {
                Ok(0) | Err(_) => break,
                Ok(more) => length += more,
            }
        }
        assert!(length > LONG_BODY_BYTES, "{length} bytes of the answer arrived");
    })
    .unwrap();
}

/// Guards against a refusal that its caller never sees, since the connection is reset under the rest of
/// the body that it is still sending.
#[test]
fn a_caller_that_is_still_sending_its_body_gets_the_refusal_of_a_stopping_node() {
    const PART: usize = 1_000;
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let _llm = fleet.add_runner("llm", RunnerFakeSettings::new("llm-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        fleet.nodes[0].signal(Signal::TERM).unwrap();
        let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let head = format!(
            "POST /digest/long HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
             X-Dotterelyard-Attempt-Id: s1\r\nContent-Length: {}\r\n\r\n",
            3 * PART
        );
        stream.write_all(head.into_bytes()).await.0.unwrap();
        for _ in 0..3 {
            compio::time::sleep(WORK / 4).await;
            stream.write_all(vec![b'x'; PART]).await.0.unwrap();
        }
        let (read, bytes) = stream.read(Vec::with_capacity(4_096)).await.into();
        read.unwrap();
        let answer = String::from_utf8_lossy(&bytes);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after: 0.02"), "{answer}");
    })
    .unwrap();
}

/// Checks that the stop has ended one stream, and that one line says so.
async fn check_cut(fleet: &NodeFleet, outcome: &str) {
    fleet.wait_event(0, "stop", "step", &json!("ended")).await.unwrap();
    let ends = fleet.nodes[0].events("end");
    let ends: Vec<_> = ends.iter().filter(|end| end["request"] == "s1").collect();
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!((&ends[0]["outcome"], &ends[0]["reason"]), (&json!(outcome), &json!("stopped")));
    assert_eq!(fleet.nodes[0].events("stop").last().unwrap()["cut"], 1);
}

/// Guards against a stream that a stop cuts and that no line tells from one that a fault cuts.
#[test]
fn a_stream_that_outlives_a_planned_stop_has_an_end_line_that_names_the_stop() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut settings = RunnerFakeSettings::new("llm-1");
        (settings.events, settings.event_pause) = (200, WORK / 4);
        let _llm = fleet.add_runner("llm", settings).await.unwrap();
        fleet.add_node_with(&[("stop_seconds", json!(4.0))], true).unwrap();
        fleet.wait_ready().await.unwrap();
        let opened = fleet.open(0, &CallerRequest::stream("s1")).await.unwrap();
        fleet.nodes[0].signal(Signal::TERM).unwrap();
        let seen = SeenStream::read(opened).await;
        assert!(!seen.is_whole && !seen.ids.is_empty(), "{seen:?}");
        check_cut(&fleet, "cut").await;
    })
    .unwrap();
}

/// Guards against a stream whose runner answers later than its node stops, and that no line ends.
#[test]
fn a_stream_without_a_head_at_the_end_of_a_planned_stop_has_an_end_line() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let llm = fleet.add_runner("llm", RunnerFakeSettings::new("llm-1")).await.unwrap();
        fleet.add_node_with(&[("stop_seconds", json!(4.0))], true).unwrap();
        fleet.wait_ready().await.unwrap();
        llm.script(&[RunnerScript::Silent]);
        let fleet = Rc::new(fleet);
        let caller = Rc::clone(&fleet);
        let sent = kernel::spawn(async move { caller.send(0, &CallerRequest::stream("s1")).await });
        fleet.wait_event(0, "send", "request", &json!("s1")).await.unwrap();
        fleet.nodes[0].signal(Signal::TERM).unwrap();
        assert_eq!(sent.await.unwrap().status, 0);
        check_cut(&fleet, "unknown").await;
        let mut fleet = Rc::into_inner(fleet).unwrap();
        let ended = wait_until("the node to end", LIMIT, async || fleet.nodes[0].ended()).await;
        assert_eq!(ended.unwrap(), 0);
    })
    .unwrap();
}

/// Guards against a stop that takes until the kill because a caller keeps a connection open.
#[test]
fn open_connections_without_a_request_do_not_delay_a_planned_stop() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let _unused = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let mut idle = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let head = format!(
            "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
             X-Dotterelyard-Attempt-Id: a1\r\n\r\n"
        );
        idle.write_all(head.into_bytes()).await.0.unwrap();
        let (read, _) = idle.read(Vec::with_capacity(4_096)).await.into();
        assert!(read.unwrap() > 0 && desk.runs() == 1);
        fleet.nodes[0].signal(Signal::TERM).unwrap();
        let begun = Instant::now();
        let ended = wait_until("the node to end", LIMIT, async || fleet.nodes[0].ended()).await;
        assert_eq!(ended.unwrap(), 0);
        assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
    })
    .unwrap();
}
