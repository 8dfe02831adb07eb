//! Peers that send a byte now and then: slow but sound exchanges go on, and those that never
//! make progress end.

use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use fakes::platform::{RunnerFakeSettings, RunnerScript};
use futures_util::future::join;
use harness::{CallerRequest, HOST, KEY, NodeFleet};

/// Time in which an exchange without progress has to end, beyond the caller's deadline.
const END_WITHIN: Duration = Duration::from_secs(1);
/// Pause between two bytes.
const BYTE_PAUSE: Duration = Duration::from_millis(50);

/// Guards against a request body that never ends and keeps its memory and its connection.
#[test]
fn a_body_that_arrives_byte_by_byte_is_refused_at_the_deadline() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let head = format!(
            "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
             X-Dotterelyard-Attempt-Id: a1\r\nX-Dotterelyard-Deadline-Ms: 1000\r\n\
             Content-Length: 1000\r\n\r\n"
        );
        stream.write_all(head.into_bytes()).await.0.unwrap();
        let mut reader = stream.clone();
        let begun = Instant::now();
        let write = async {
            while stream.write_all(b"x").await.0.is_ok() && begun.elapsed() < 4 * END_WITHIN {
                compio::time::sleep(BYTE_PAUSE).await;
            }
        };
        let read = async {
            let (read, bytes) = reader.read(Vec::with_capacity(4_096)).await.into();
            let length = read.unwrap_or(0);
            (String::from_utf8_lossy(&bytes[..length]).into_owned(), begun.elapsed())
        };
        let (answer, took) = compio::time::timeout(4 * END_WITHIN, async {
            let ((answer, took), ()) = join(read, async {
                let _ = compio::time::timeout(3 * END_WITHIN, write).await;
            })
            .await;
            (answer, took)
        })
        .await
        .expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(took < Duration::from_secs(1) + END_WITHIN, "{took:?}");
        assert_eq!(desk.visits().len(), 0);
    })
    .unwrap();
}

/// Guards against a body that arrives slowly and is cut although it is in time.
#[test]
fn a_slow_body_that_arrives_in_time_is_served() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let _desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let head = format!(
            "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
             X-Dotterelyard-Attempt-Id: a1\r\nX-Dotterelyard-Deadline-Ms: 6000\r\n\
             Content-Length: 40\r\n\r\n"
        );
        stream.write_all(head.into_bytes()).await.0.unwrap();
        for _ in 0..40 {
            stream.write_all(b"x").await.0.unwrap();
            compio::time::sleep(2 * BYTE_PAUSE).await;
        }
        let (read, bytes) = stream.read(Vec::with_capacity(4_096)).await.into();
        let length = read.unwrap();
        let answer = String::from_utf8_lossy(&bytes[..length]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    })
    .unwrap();
}

/// Guards against a stream without progress that occupies its runner and its caller for good.
#[test]
fn a_stream_without_a_whole_event_ends_at_its_deadline_and_does_not_look_whole() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let engine = fleet.add_runner("llm", RunnerFakeSettings::new("llm-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        engine.script(&[RunnerScript::Trickle]);
        let begun = Instant::now();
        let request = CallerRequest::stream("a1").with("x-dotterelyard-deadline-ms", "1500");
        let answer = fleet.send(0, &request).await;
        assert!(!answer.complete && answer.text.is_empty(), "{answer:?}");
        assert!(begun.elapsed() < Duration::from_millis(1_500) + END_WITHIN);
        harness::wait_until("the runner to stop", END_WITHIN, async || {
            (engine.working() == 0).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}
