//! Callers that send what is no request: a clear status in bounded time, and nothing of it
//! reaches a runner.

use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{CallerRequest, HOST, KEY, NodeFleet, wait_until};

const LIMIT: Duration = Duration::from_secs(3);

async fn fleet() -> (NodeFleet, RunnerFake) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, desk)
}

/// Sends bytes as they are; gives the first line of the answer, empty if there is none.
async fn send_raw(fleet: &NodeFleet, bytes: Vec<u8>) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let _ = stream.write_all(bytes).await;
        let (read, answer) = stream.read(Vec::with_capacity(4_096)).await.into();
        let length = read.unwrap_or(0);
        let text = String::from_utf8_lossy(&answer[..length]).into_owned();
        text.lines().next().unwrap_or_default().to_owned()
    };
    compio::time::timeout(LIMIT, exchange).await.unwrap_or_else(|_| "no answer in time".into())
}

fn head(line: &str, headers: &str) -> String {
    format!("{line}\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{headers}\r\n")
}

#[test]
fn what_is_no_request_gets_a_clear_status_and_reaches_nobody() {
    kernel::run(async {
        let (fleet, desk) = fleet().await;
        let id = "X-Dotterelyard-Attempt-Id: a1\r\n";
        let long = format!("X-Long: {}\r\n", "x".repeat(70_000));
        let cases = [
            ("no HTTP", "hello there\r\n\r\n".to_owned()),
            ("unknown version", head("GET /look/x HTTP/9.9", id)),
            ("long head", head("GET /look/x HTTP/1.1", &long)),
            ("no attempt id", head("GET /look/x HTTP/1.1", "")),
            ("bad length", head("POST /book/x HTTP/1.1", &format!("{id}Content-Length: -1\r\n"))),
            (
                "two lengths",
                head(
                    "POST /book/x HTTP/1.1",
                    &format!("{id}Content-Length: 1\r\nContent-Length: 2\r\n"),
                ),
            ),
            (
                "bad chunk",
                head("POST /book/x HTTP/1.1", &format!("{id}Transfer-Encoding: chunked\r\n"))
                    + "zz\r\n\r\n",
            ),
        ];
        let mut answers = Vec::new();
        for (case, text) in cases {
            answers.push((case, send_raw(&fleet, text.into_bytes()).await));
        }
        insta::assert_json_snapshot!(answers);
        assert_eq!(desk.visits().len(), 0);
    })
    .unwrap();
}

#[test]
fn a_request_hidden_in_a_body_stays_a_body() {
    kernel::run(async {
        let (fleet, desk) = fleet().await;
        let hidden = "GET /look/hidden HTTP/1.1\r\nHost: yard.example\r\n\r\n";
        let headers = concat!(
            "X-Dotterelyard-Attempt-Id: a1\r\n",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
        );
        let body = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
        send_raw(&fleet, (head("POST /book/x HTTP/1.1", headers) + &body).into_bytes()).await;
        let visits = desk.visits();
        assert!(visits.len() <= 1, "{visits:?}");
        assert!(visits.iter().all(|visit| visit.request.path == "/book/x"));
        assert!(visits.iter().all(|visit| visit.request.body == hidden.as_bytes()));
        let after = fleet.send(0, &CallerRequest::booking("a2")).await;
        assert_eq!(after.status, 200);
    })
    .unwrap();
}

#[test]
fn many_long_bodies_at_once_are_refused_before_memory_is_short() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut slow = RunnerFakeSettings::new("desk-1");
        slow.work = Duration::from_secs(3);
        let _desk = fleet.add_runner("desk", slow).await.unwrap();
        // A quarter of 1 MiB takes 65 bodies of 4,000 bytes.
        let small = [("memory_mb", serde_json::json!(1))];
        let node = fleet.add_node_with(&small, true).unwrap();
        fleet.wait_ready().await.unwrap();
        let mut request = CallerRequest::booking("b");
        request.body = vec![b'x'; 4_000];
        let answers = (0..200).map(|number| {
            let mut request = request.clone();
            request.attempt = format!("b{number}");
            let fleet = &fleet;
            async move { fleet.send(node, &request).await }
        });
        let answers = futures_util::future::join_all(answers).await;
        let refused = answers.iter().filter(|answer| answer.status == 503);
        assert!(refused.clone().all(|answer| answer.retry_after.is_some()));
        assert!(answers.iter().all(|answer| matches!(answer.status, 200 | 503)));
        assert_eq!(refused.count(), 200 - 65);
    })
    .unwrap();
}

/// Value of a counter on a node's metrics page; 0 if it is not there.
async fn counter(fleet: &NodeFleet, name: &str) -> u64 {
    let page = fleet.metrics(0).await;
    let line = page.lines().find(|line| line.contains(name) && !line.starts_with('#'));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

#[test]
fn datagrams_that_are_no_message_are_counted_and_change_nothing() {
    kernel::run(async {
        let (fleet, _desk) = fleet().await;
        let settings = fleet.settings(0);
        let ip = settings["ip"].as_str().unwrap().to_owned();
        let port = u16::try_from(settings["peer_port"].as_u64().unwrap()).unwrap();
        let socket = std::net::UdpSocket::bind((ip.as_str(), 0)).unwrap();
        let datagrams =
            [Vec::new(), vec![1, 0, 0], vec![2, 9, 9, 9], vec![2; 1_000], vec![0xff; 3]];
        for datagram in &datagrams {
            socket.send_to(datagram, (ip.as_str(), port)).unwrap();
        }
        wait_until("all datagrams to be counted", LIMIT, async || {
            let counted = counter(&fleet, "messages_skipped").await;
            (counted >= datagrams.len() as u64).then_some(())
        })
        .await
        .unwrap();
        assert_eq!(counter(&fleet, "beats").await, 0);
        assert_eq!(fleet.readiness(0).await, 200);
        let answer = fleet.send(0, &CallerRequest::booking("after")).await;
        assert_eq!(answer.status, 200);
    })
    .unwrap();
}
