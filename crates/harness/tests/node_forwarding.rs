//! Calls that a node which reaches no runner forwards to another node: what reaches the caller
//! when either of them ends, or when calls wait or hang as the node is cut off.

mod cut_fleet;

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::net::UdpSocket;
use cut_fleet::{CUT, CutFleet, EVENTS, LIMIT, OTHER};
use futures_util::future::{Either, select};
use harness::{CallerRequest, LinkState, NodeFleet, wait_until};
use http_body_util::BodyExt;
use rustix::process::Signal;
use serde_json::json;
use serving::{PeerMessage, decode_message, encode_message};

/// Time in which work has to end after its caller has left.
const CANCEL_WITHIN: Duration = Duration::from_millis(500);

impl CutFleet {
    /// Waits until an attempt runs.
    async fn wait_running(&self, attempt: &str) {
        wait_until("the call to run", LIMIT, async || (self.runs(attempt) > 0).then_some(()))
            .await
            .unwrap();
    }

    /// Sends a booking to the cut-off node; while it runs at the other one, does `during`.
    async fn book_during(&self, during: impl Future<Output = ()>) -> harness::WholeAnswer {
        let request = CallerRequest::booking("b1");
        let sent = self.fleet.send(CUT, &request);
        let interfere = async {
            self.wait_running("b1").await;
            during.await;
        };
        let (answer, ()) = futures_util::future::join(sent, interfere).await;
        answer
    }

    /// The same with a stream.
    async fn stream_during(&self, during: impl Future<Output = ()>) -> harness::WholeAnswer {
        let request = CallerRequest::stream("s1");
        let sent = self.fleet.send(CUT, &request);
        let interfere = async {
            wait_until("the stream", LIMIT, async || (self.llm.working() > 0).then_some(()))
                .await
                .unwrap();
            compio::time::sleep(Duration::from_millis(300)).await;
            during.await;
        };
        let (answer, ()) = futures_util::future::join(sent, interfere).await;
        answer
    }
}

/// Events of a stream's text.
fn events(text: &str) -> usize {
    text.matches("data: token").count()
}

/// A planned stop of the node that a call was forwarded to must not cut the call off.
#[test]
fn a_forwarded_booking_outlives_a_planned_stop_of_the_other_node() {
    kernel::run(async {
        let cut = CutFleet::start_cut(2).await;
        let stop = async { cut.fleet.nodes[OTHER].signal(Signal::TERM).unwrap() };
        let answer = cut.book_during(stop).await;
        assert_eq!((answer.status, answer.complete, cut.runs("b1")), (200, true, 1));
    })
    .unwrap();
}

#[test]
fn a_forwarded_stream_outlives_a_planned_stop_of_the_other_node() {
    kernel::run(async {
        let cut = CutFleet::start_cut(2).await;
        let stop = async { cut.fleet.nodes[OTHER].signal(Signal::TERM).unwrap() };
        let answer = cut.stream_during(stop).await;
        assert_eq!(
            (answer.status, answer.complete, events(&answer.text)),
            (200, true, EVENTS as usize)
        );
    })
    .unwrap();
}

/// A booking whose node was killed may have run: it must not be sent again, nor be called not run.
#[test]
fn the_outcome_of_a_forwarded_booking_is_unknown_after_a_kill_of_the_other_node() {
    kernel::run(async {
        let cut = CutFleet::start_cut(3).await;
        let kill = async {
            // Either of the two may have it; with both gone, nobody could send it again unseen.
            for number in [1, 2] {
                cut.fleet.nodes[number].signal(Signal::KILL).unwrap();
            }
        };
        let answer = cut.book_during(kill).await;
        assert_eq!((answer.status, cut.runs("b1")), (502, 1));
    })
    .unwrap();
}

/// A stream that broke off must not look complete.
#[test]
fn a_forwarded_stream_breaks_off_after_a_kill_of_the_other_node() {
    kernel::run(async {
        let cut = CutFleet::start_cut(2).await;
        let kill = async { cut.fleet.nodes[OTHER].signal(Signal::KILL).unwrap() };
        let answer = cut.stream_during(kill).await;
        assert_eq!((answer.status, answer.complete), (200, false));
        assert!((1..EVENTS as usize).contains(&events(&answer.text)), "{}", answer.text);
        assert!(answer.text.ends_with("\n\n"), "a partial event: {}", answer.text);
    })
    .unwrap();
}

/// Events must not be held back until the stream has ended.
#[test]
fn the_events_of_a_forwarded_stream_arrive_one_by_one() {
    kernel::run(async {
        let cut = CutFleet::start_cut(2).await;
        let response = cut.fleet.open(CUT, &CallerRequest::stream("s1")).await.unwrap();
        let seal = response.headers().get("x-dotterelyard-server-seal").unwrap();
        assert_eq!(seal.as_bytes(), b"s.s1");
        assert!(!response.headers().contains_key("x-yard-forward-result"));
        let mut body = response.into_body();
        let (begun, mut text, mut chunks) = (Instant::now(), String::new(), 0);
        while let Some(frame) = body.frame().await {
            text.push_str(&String::from_utf8_lossy(&frame.unwrap().into_data().unwrap()));
            if chunks == 0 {
                assert!(events(&text) < 20, "{text}");
            }
            chunks += 1;
        }
        assert_eq!(events(&text), EVENTS as usize);
        assert!(chunks > 20, "{chunks} chunks in {:?}", begun.elapsed());
        let relayed = cut.fleet.nodes[CUT].events("relayed");
        let own: Vec<_> = relayed.iter().filter(|line| line["request"] == "s1").collect();
        assert_eq!((own.len(), own[0]["outcome"].as_str()), (1, Some("answered")));
    })
    .unwrap();
}

#[test]
fn a_caller_that_leaves_ends_the_work_of_a_forwarded_stream() {
    kernel::run(async {
        let cut = CutFleet::start_cut(2).await;
        let response = cut.fleet.open(CUT, &CallerRequest::stream("s1")).await.unwrap();
        assert_eq!(cut.llm.working(), 1);
        drop(response);
        wait_until("the run to end", CANCEL_WITHIN, async || {
            (cut.llm.working() == 0).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}

/// The connection to the other node, and its connection to the runner, have to close as well.
#[test]
fn a_caller_that_leaves_ends_a_forwarded_plain_call() {
    kernel::run(async {
        let cut = CutFleet::start_cut(2).await;
        let request = CallerRequest::booking("b1");
        let sent = cut.fleet.send(CUT, &request);
        let _ = compio::time::timeout(Duration::from_millis(400), sent).await;
        assert_eq!(cut.runs("b1"), 1);
        wait_until("the requests to end", CANCEL_WITHIN, async || {
            let other = cut.fleet.metrics(OTHER).await;
            let own = cut.fleet.metrics(CUT).await;
            let is_idle = |page: &str| page.contains("yard_node_active 0\n");
            (is_idle(&other) && is_idle(&own)).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}

/// A call that waits for room at a runner when the cut begins has not run: it must not wait on.
#[test]
fn calls_that_wait_when_the_cut_is_seen_are_forwarded() {
    /// Streams; about seven of them fit into the runner's memory.
    const STREAMS: usize = 16;
    kernel::run(async {
        let cut = CutFleet::start_with(2, Duration::ZERO).await;
        let stream = |name: &str, tokens: &str| {
            CallerRequest::stream(name).with("x-dotterelyard-token-count", tokens)
        };
        let send = async |number: usize| {
            let name = format!("w{number}");
            let answer = cut.fleet.send(CUT, &stream(&name, "4000,400")).await;
            (name, answer)
        };
        let streams = futures_util::future::join_all((0..STREAMS).map(send));
        let is_lost = || {
            let lost = cut.fleet.nodes[CUT].events("runners_unreached");
            lost.iter().any(|line| line["service"] == "llm")
        };
        let cut_off = async {
            wait_until("the streams", LIMIT, async || (cut.llm.working() >= 4).then_some(()))
                .await
                .unwrap();
            // Streams under way go on, so that the runner stays full.
            cut.set(CUT, LinkState::NewCut);
            // Calls that fit beside them show the cut.
            while !is_lost() {
                let _ = cut.fleet.send(CUT, &stream("cut", "1,1")).await;
            }
        };
        let end_streams = async {
            // One of the forwarded calls may be that which shows the cut.
            wait_until("the calls to be forwarded", LIMIT, async || {
                let page = cut.fleet.metrics(OTHER).await;
                let active = page.lines().find_map(|line| line.strip_prefix("yard_node_active "));
                let active: usize = active.and_then(|count| count.parse().ok()).unwrap_or_default();
                (active >= 2).then_some(())
            })
            .await
            .unwrap();
            let ended = cut.fleet.nodes[CUT].events("end");
            let waited = ended.iter().any(|line| line["outcome"] == "streamed");
            assert!(!waited, "the calls waited for the streams to end: {ended:?}");
            cut.llm.rush();
        };
        let (answers, (), ()) = futures_util::join!(streams, cut_off, end_streams);
        let relayed = cut.fleet.nodes[CUT].events("relayed");
        let waited: Vec<_> = relayed.iter().filter(|line| line["waited_ms"] != 0).collect();
        let of = |name: &str| waited.iter().any(|line| line["request"] == name);
        let forwarded: Vec<_> = answers.iter().filter(|(name, _)| of(name)).collect();
        assert!(!forwarded.is_empty(), "{relayed:?}");
        for (name, answer) in forwarded {
            assert_eq!((answer.status, answer.complete, cut.runs(name)), (200, true, 1), "{name}");
        }
    })
    .unwrap();
}

/// Passes the heartbeats that come at `socket` on to a node, without an address to reply to.
async fn pass_heartbeats(socket: UdpSocket, target: SocketAddr, no_address: SocketAddr) {
    let mut buffer = vec![0; 60_000];
    loop {
        let BufResult(received, back) = socket.recv_from(buffer).await;
        buffer = back;
        let message = decode_message(&buffer[..received.unwrap().0]).unwrap();
        if let PeerMessage::Heartbeat(mut heartbeat) = message {
            heartbeat.peer_address = no_address;
            let bytes = encode_message(&PeerMessage::Heartbeat(heartbeat)).unwrap();
            socket.send_to(bytes, target).await.0.unwrap();
        }
        buffer.resize(60_000, 0);
    }
}

/// Guards against calls that are refused as overloaded since calls which hang at a cut-off node
/// count as load of runners that they have not reached. That node hears no other one, so that nothing
/// ends its calls before their deadline.
#[test]
fn calls_that_hang_at_a_node_that_hears_nobody_take_no_room_at_the_others() {
    /// Streams that hang; the runner would take one more beside them.
    const STREAMS: usize = 7;
    kernel::run(async {
        let mut cut = CutFleet::prepare(Duration::ZERO).await;
        let mut others = NodeFleet::start().await.unwrap();
        others.tell(&cut.desk, "desk", "ready");
        others.tell(&cut.llm, "llm", "ready");
        others.add_node_with(&[("vm", json!("other"))], true).unwrap();
        others.wait_ready().await.unwrap();
        let (target, no_address) = (others.peer_address(0), others.peer_address(9));
        let socket = UdpSocket::bind(SocketAddr::new(target.ip(), 0)).await.unwrap();
        let listed = json!({ "vm": "other", "peer": socket.local_addr().unwrap() });
        cut.fleet.store.put_json("keyed.status", "other", &listed);
        kernel::spawn(pass_heartbeats(socket, target, no_address)).detach();
        cut.add_nodes(1).await;
        wait_until("the heartbeats to be heard", LIMIT, async || {
            (others.lookup(0).await.len() == 2).then_some(())
        })
        .await
        .unwrap();
        cut.llm.rush();
        cut.set(CUT, LinkState::Lost);
        let stream =
            |name: &str| CallerRequest::stream(name).with("x-dotterelyard-token-count", "400,400");
        let ended = Cell::new(0);
        let hanging = futures_util::future::join_all((0..STREAMS).map(async |number: usize| {
            cut.fleet.send(CUT, &stream(&format!("h{number}"))).await;
            ended.set(ended.get() + 1);
        }));
        let served = async {
            cut.fleet.wait_event(CUT, "runners_unreached", "service", &json!("llm")).await.unwrap();
            compio::time::sleep(Duration::from_millis(300)).await;
            let send = async |number: usize| others.send(0, &stream(&format!("o{number}"))).await;
            futures_util::future::join_all((0..4).map(send)).await
        };
        let Either::Right((answers, _)) = select(pin!(hanging), pin!(served)).await else {
            panic!("the calls at the cut-off node have ended");
        };
        // All of them hang at the runner to the end.
        let sent = cut.fleet.nodes[CUT].events("send").len();
        assert_eq!((sent, ended.get()), (STREAMS, 0));
        for answer in answers {
            assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text);
        }
    })
    .unwrap();
}
