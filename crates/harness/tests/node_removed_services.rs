//! Runners that name a wait after their service has left the configuration, or their entries the
//! store: the node goes on answering.

use std::time::{Duration, Instant};

use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{CallerRequest, HOST, KEY, NodeFleet, config};
use serde_json::{Value, json};

/// How long runners want nothing, in seconds.
const WAIT: &str = "5";
/// Time for which the node is watched.
const WATCH: Duration = Duration::from_secs(3);
/// Pause between two questions to the node.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest answer of a node that is not held up, on a busy machine.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Answers that a node gives at least while it is watched.
const MIN_ANSWERS: usize = 20;
/// Bookings: enough for each runner to have turned one away before the last of them.
const BOOKINGS: usize = 6;
const BODY: &str = "{\"job\":\"resole\"}";

/// A configuration with bookings at `desk`, and look-ups at `look`, which stays.
fn desk_config(version: u64, desk: &str) -> Value {
    let mut config = config(version);
    config["routes"][0]["service"] = json!("look");
    config["routes"][1]["service"] = json!(desk);
    config["services"][0]["name"] = json!(desk);
    let look = json!({ "name": "look", "healthPath": "/healthz", "maxConnections": 100 });
    config["services"].as_array_mut().unwrap().push(look);
    config
}

/// A node with two runners of `desk` and one of `look`.
async fn start() -> (NodeFleet, [RunnerFake; 2], RunnerFake) {
    let mut fleet = NodeFleet::start().await.unwrap();
    fleet.store.put_json("keyed.op", "config", &desk_config(1, "desk"));
    let mut add =
        async |service, id| fleet.add_runner(service, RunnerFakeSettings::new(id)).await.unwrap();
    let desks = [add("desk", "desk-1").await, add("desk", "desk-2").await];
    let look = add("look", "look-1").await;
    fleet.add_node_with(&[("drain_ms", json!(8_000))], true).unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, desks, look)
}

/// Asks the node for its readiness, and for look-ups of the service that stays, for [`WATCH`].
/// Gives the longest time of an answer.
async fn watch(fleet: &NodeFleet) -> Duration {
    let end = Instant::now() + WATCH;
    let mut longest = Duration::ZERO;
    let mut answers = 0;
    while Instant::now() < end {
        let asked = Instant::now();
        assert_eq!(fleet.readiness(0).await, 200);
        let request = CallerRequest::lookup(&format!("w{answers}"));
        assert_eq!(fleet.send(0, &request).await.status, 200);
        longest = longest.max(asked.elapsed());
        answers += 1;
        compio::time::sleep(PAUSE).await;
    }
    assert!(answers >= MIN_ANSWERS, "{answers} answers");
    longest
}

/// Sends the heads of all bookings.
async fn begin_bookings(fleet: &NodeFleet) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for number in 0..BOOKINGS {
        let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
        let head = format!(
            "POST /book/job HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
             X-Dotterelyard-Attempt-Id: late-{number}\r\nX-Dotterelyard-Deadline-Ms: 8000\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n",
            BODY.len()
        );
        stream.write_all(head.into_bytes()).await.0.unwrap();
        streams.push(stream);
    }
    streams
}

/// Sends the bodies, one after the other, while the node is watched. Checks that all bookings are
/// refused at once, the last one for the waits of the runners.
async fn end_bookings(fleet: &NodeFleet, bookings: Vec<TcpStream>) {
    let end = async {
        let mut answer = String::new();
        for mut stream in bookings {
            let begun = Instant::now();
            stream.write_all(BODY.as_bytes().to_vec()).await.0.unwrap();
            let (read, bytes) = stream.read_to_end(Vec::new()).await.into();
            read.unwrap();
            answer = String::from_utf8_lossy(&bytes).into_owned();
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(begun.elapsed() < ANSWER_LIMIT, "{:?}", begun.elapsed());
        }
        assert!(answer.contains("runners_wait"), "{answer}");
    };
    let (longest, ()) = futures_util::join!(watch(fleet), end);
    assert!(longest < ANSWER_LIMIT, "{longest:?}");
}

fn turn_away(desks: &[RunnerFake]) {
    for desk in desks {
        desk.turn_away(Some(WAIT));
    }
}

/// Guards against a node that asks for a runner again without end, since the scheduler is not told
/// of the waits of runners whose service is no longer configured.
#[test]
fn a_service_that_leaves_the_configuration_while_its_runners_wait_does_not_hold_the_node_up() {
    kernel::run(async {
        let (fleet, desks, _look) = start().await;
        let bookings = begin_bookings(&fleet).await;
        fleet.store.put_json("keyed.op", "config", &desk_config(2, "desk-new"));
        fleet.wait_event(0, "plan_in_force", "version", &json!(2)).await.unwrap();
        turn_away(&desks);
        end_bookings(&fleet, bookings).await;
        assert_eq!(desks.iter().map(RunnerFake::runs).sum::<usize>(), 0);
    })
    .unwrap();
}

/// Guards against the same for runners that the store no longer lists.
#[test]
fn waits_of_runners_that_the_store_no_longer_lists_do_not_hold_the_node_up() {
    kernel::run(async {
        let (fleet, desks, _look) = start().await;
        for desk in &desks {
            fleet.store.put("keyed.servers", desk.id(), None);
        }
        fleet.wait_event(0, "runner_changed", "state", &json!("removed")).await.unwrap();
        turn_away(&desks);
        let bookings = begin_bookings(&fleet).await;
        end_bookings(&fleet, bookings).await;
    })
    .unwrap();
}
