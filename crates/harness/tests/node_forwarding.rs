//! Calls that a node which reaches no runner forwards to another node: what reaches the caller
//! when either of them ends, and which nodes take such calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{LogOffset, StoreEra, TimeSpan, VmIncarnation};
use compio::net::UdpSocket;
use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{CallerRequest, HOST, KEY, LinkState, NodeFleet, TestLink, config, wait_until};
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use kernel::StopSignal;
use rustix::process::Signal;
use serde_json::{Value, json};
use serving::{
    HeartbeatSections, InputUpdate, LimitUpdate, PeerHeartbeat, PeerMessage, PlanVersion,
    encode_message,
};
use web::{ServerLimits, WebRequest, WebResponse, WebServer, full_body, send_once, text_reply};

const LIMIT: Duration = Duration::from_secs(10);
/// The node that is cut off.
const CUT: usize = 0;
/// The node that takes its calls.
const OTHER: usize = 1;
/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 60;
/// Time that a plain call takes, long enough to end a node meanwhile.
const WORK: Duration = Duration::from_secs(1);
/// Time in which work has to end after its caller has left.
const CANCEL_WITHIN: Duration = Duration::from_millis(500);
/// Time for a peer exchange of the test itself.
const EXCHANGE_LIMIT: TimeSpan = TimeSpan::seconds(10);

/// Two nodes before runners whose links can be cut for one of them.
struct CutFleet {
    fleet: NodeFleet,
    desk: RunnerFake,
    llm: RunnerFake,
    links: Vec<TestLink>,
}

impl CutFleet {
    async fn start(nodes: usize) -> Self {
        Self::start_with(nodes, WORK).await
    }

    /// Starts nodes before runners whose plain calls take `work`.
    async fn start_with(nodes: usize, work: Duration) -> Self {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut links = Vec::new();
        let mut desk = RunnerFakeSettings::new("desk-1");
        desk.work = work;
        let mut llm = RunnerFakeSettings::new("llm-1");
        llm.events = EVENTS;
        llm.event_pause = Duration::from_millis(20);
        let desk = add_runner(&mut fleet, &mut links, "desk", desk).await;
        let llm = add_runner(&mut fleet, &mut links, "llm", llm).await;
        for _ in 0..nodes {
            let number = fleet.add_node().unwrap();
            let pid = fleet.nodes[number].pid();
            for link in &links {
                link.set_for(pid, LinkState::Open);
            }
        }
        fleet.wait_ready().await.unwrap();
        Self { fleet, desk, llm, links }
    }

    /// Starts the fleet, and cuts off its first node.
    async fn start_cut(nodes: usize) -> Self {
        let cut = Self::start(nodes).await;
        cut.cut_off(CUT).await;
        cut
    }

    fn set(&self, node: usize, state: LinkState) {
        let pid = self.fleet.nodes[node].pid();
        self.links.iter().for_each(|link| link.set_for(pid, state));
    }

    /// Cuts a node off from all runners, and waits until it knows.
    async fn cut_off(&self, node: usize) {
        self.set(node, LinkState::Cut);
        wait_until("the cut to be seen", LIMIT, async || {
            let _ = self.fleet.send(node, &CallerRequest::lookup("look-cut")).await;
            (!self.fleet.nodes[node].events("runners_unreached").is_empty()).then_some(())
        })
        .await
        .unwrap();
    }

    /// Runs of one attempt at the runners.
    fn runs(&self, attempt: &str) -> usize {
        let visits = [self.desk.visits(), self.llm.visits()].concat();
        let own = |visit: &&fakes::platform::RunnerVisit| {
            visit.ran && visit.request.header("x-dotterelyard-attempt-id") == attempt
        };
        visits.iter().filter(own).count()
    }

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

    /// Sends a call to the peer port of a node, as another node would.
    async fn forward(&self, node: usize, key: &str, path: &str) -> (StatusCode, Option<String>) {
        self.forward_with(node, key, path, &[]).await
    }

    /// The same with further headers.
    async fn forward_with(
        &self,
        node: usize,
        key: &str,
        path: &str,
        headers: &[(&'static str, &'static str)],
    ) -> (StatusCode, Option<String>) {
        let mut request = Request::post(path)
            .header("host", HOST)
            .header("authorization", format!("Bearer {key}"))
            .header("x-dotterelyard-attempt-id", "f1")
            .header("x-dotterelyard-deadline-ms", "3000")
            .body(full_body("{}"))
            .unwrap();
        for (name, value) in headers {
            request.headers_mut().insert(*name, value.parse().unwrap());
        }
        let peer = self.fleet.peer_address(node);
        let response = send_once(peer, request, EXCHANGE_LIMIT, EXCHANGE_LIMIT).await.unwrap();
        let result = response.headers().get("x-yard-forward-result");
        (response.status(), result.map(|result| result.to_str().unwrap().to_owned()))
    }

    /// Counts of a node's offers of calls to other nodes, as on its metrics page.
    async fn offers(&self, node: usize) -> Vec<String> {
        let page = self.fleet.metrics(node).await;
        let own = page.lines().filter(|line| line.starts_with("yard_node_forwards_total"));
        own.map(str::to_owned).collect()
    }

    fn relayed(&self, node: usize, outcome: &str) -> usize {
        let lines = self.fleet.nodes[node].events("relayed");
        lines.iter().filter(|line| line["outcome"] == outcome).count()
    }
}

async fn add_runner(
    fleet: &mut NodeFleet,
    links: &mut Vec<TestLink>,
    service: &str,
    settings: RunnerFakeSettings,
) -> RunnerFake {
    let runner = fleet.prepare_runner(settings).await.unwrap();
    let number = u8::try_from(links.len()).unwrap();
    let link = fleet.start_runner_link(number, &runner).await.unwrap();
    let mut entry = runner.entry(service, "north", "ready");
    entry["address"] = json!(link.address());
    fleet.store.put_json("keyed.servers", runner.id(), &entry);
    links.push(link);
    runner
}

/// The configuration with a route for all paths, to `desk`, and one for payments, to `till`.
fn config_with_till() -> Value {
    let mut config = config(2);
    for (name, prefix, service) in [("all", "/", "desk"), ("pay", "/pay/", "till")] {
        let mut route = config["routes"][0].clone();
        route["name"] = json!(name);
        route["pathPrefix"] = json!(prefix);
        route["service"] = json!(service);
        config["routes"].as_array_mut().unwrap().push(route);
    }
    let mut till = config["services"][0].clone();
    till["name"] = json!("till");
    config["services"].as_array_mut().unwrap().push(till);
    config
}

/// The path and the headers with which a request ran, but for those that the system sets.
fn request_seen(runners: [&RunnerFake; 2], attempt: &str) -> Vec<(String, String)> {
    const OWN: [&str; 4] = [
        "x-dotterelyard-attempt-id",
        "x-dotterelyard-deadline-ms",
        "x-dotterelyard-expect-instance",
        "x-dotterelyard-request-priority",
    ];
    let visits = runners.iter().flat_map(|runner| runner.visits());
    let ran = visits.filter(|visit| visit.request.header(OWN[0]) == attempt && visit.ran);
    let seen = ran.flat_map(|visit| {
        let headers = visit.request.headers.into_iter();
        let others = headers.filter(|(name, _)| !OWN.contains(&name.as_str()));
        others.chain([("the path".to_owned(), visit.request.path)])
    });
    seen.collect()
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

/// A stopping node still serves its callers, but takes no calls of other nodes.
#[test]
fn a_stopping_node_takes_no_forwarded_calls() {
    kernel::run(async {
        let cut = CutFleet::start(2).await;
        cut.fleet.nodes[OTHER].signal(Signal::TERM).unwrap();
        wait_until("the stop", LIMIT, async || {
            (!cut.fleet.nodes[OTHER].events("stop").is_empty()).then_some(())
        })
        .await
        .unwrap();
        let (status, result) = cut.forward(OTHER, KEY, "/forward/book/job").await;
        assert_eq!((status.as_u16(), result.as_deref()), (503, Some("declined")));
        assert_eq!(cut.runs("f1"), 0);
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

/// Calls that hang at a cut-off node must not count as load of the runners at the other nodes, which
/// would refuse calls as overloaded.
#[test]
fn calls_that_hang_at_a_cut_off_node_take_no_room_at_the_others() {
    /// Streams that would fill the runner's memory if they had arrived.
    const STREAMS: usize = 12;
    kernel::run(async {
        let cut = CutFleet::start_with(2, Duration::ZERO).await;
        // Streams that are forwarded take room at the other node until they end.
        cut.llm.rush();
        cut.set(CUT, LinkState::Lost);
        let long =
            |name: &str| CallerRequest::stream(name).with("x-dotterelyard-token-count", "4000,400");
        let hanging =
            futures_util::future::join_all((0..STREAMS).map(async |number: usize| {
                cut.fleet.send(CUT, &long(&format!("h{number}"))).await
            }));
        let others = async {
            wait_until("the cut to be seen", LIMIT, async || {
                (!cut.fleet.nodes[CUT].events("runners_unreached").is_empty()).then_some(())
            })
            .await
            .unwrap();
            compio::time::sleep(Duration::from_millis(300)).await;
            let send =
                async |number: usize| cut.fleet.send(OTHER, &long(&format!("o{number}"))).await;
            futures_util::future::join_all((0..4).map(send)).await
        };
        let (_, answers) = futures_util::future::join(hanging, others).await;
        for answer in answers {
            assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text);
        }
    })
    .unwrap();
}

/// A receiving node trusts nothing but the caller's key.
#[test]
fn a_forwarded_call_is_authorized_as_if_a_caller_had_sent_it() {
    kernel::run(async {
        let cut = CutFleet::start(2).await;
        let answered = Some("answered".to_owned());
        let wrong = cut.forward(OTHER, "wrong", "/forward/book/job").await;
        assert_eq!(wrong, (StatusCode::UNAUTHORIZED, answered.clone()));
        let unknown = cut.forward(OTHER, KEY, "/forward/nowhere/job").await;
        assert_eq!(unknown, (StatusCode::NOT_FOUND, answered.clone()));
        assert_eq!(cut.runs("f1"), 0);
        let right = cut.forward(OTHER, KEY, "/forward/book/job").await;
        assert_eq!((right, cut.runs("f1")), ((StatusCode::OK, answered), 1));
    })
    .unwrap();
}

/// A request that is no longer the one the forwarding node read must not run, and must be counted.
#[test]
fn a_forwarded_call_that_changed_on_the_way_is_declined_and_does_not_run() {
    kernel::run(async {
        let cut = CutFleet::start(2).await;
        let other = [("x-yard-forward-fingerprint", "7")];
        let (status, result) = cut.forward_with(OTHER, KEY, "/forward/book/job", &other).await;
        assert_eq!((status.as_u16(), result.as_deref()), (503, Some("declined")));
        assert_eq!(cut.runs("f1"), 0);
        let counted = "forwarded_calls_total{outcome=\"declined\",reason=\"request_changed\"} 1";
        let page = cut.fleet.metrics(OTHER).await;
        assert!(page.contains(counted), "{page}");
        cut.fleet.wait_event(OTHER, "end", "reason", &json!("request_changed")).await.unwrap();
    })
    .unwrap();
}

/// Two nodes that are both cut off must not pass a call back and forth.
#[test]
fn a_cut_off_node_declines_a_forwarded_call_and_does_not_forward_it() {
    kernel::run(async {
        let cut = CutFleet::start_cut(2).await;
        let before = cut.offers(CUT).await;
        let (status, result) = cut.forward(CUT, KEY, "/forward/book/job").await;
        assert_eq!((status.as_u16(), result.as_deref()), (503, Some("declined")));
        assert_eq!(cut.offers(CUT).await, before);
        assert_eq!(cut.runs("f1"), 0);
    })
    .unwrap();
}

/// Callers must not be sent to a node that reaches no runner, unless no node is better.
#[test]
fn a_cut_off_node_is_out_of_the_lookups_while_others_reach_runners() {
    kernel::run(async {
        let cut = CutFleet::start_cut(2).await;
        let callers = |node| cut.fleet.callers(node).to_string();
        let expect = async |expected: Vec<String>| {
            for node in [CUT, OTHER] {
                wait_until("the look-ups", LIMIT, async || {
                    let mut found = cut.fleet.lookup(node).await;
                    found.sort();
                    (found == expected).then_some(())
                })
                .await
                .unwrap();
            }
        };
        let mut both = vec![callers(CUT), callers(OTHER)];
        both.sort();
        expect(vec![callers(OTHER)]).await;
        cut.cut_off(OTHER).await;
        expect(both.clone()).await;
        cut.set(CUT, LinkState::Open);
        expect(vec![callers(CUT)]).await;
        cut.set(OTHER, LinkState::Open);
        expect(both).await;
    })
    .unwrap();
}

/// Sends heartbeats of a ready node at `address` that reaches runners.
async fn send_heartbeats(address: SocketAddr, era: StoreEra, target: SocketAddr) {
    let socket = UdpSocket::bind(SocketAddr::new(address.ip(), 0)).await.unwrap();
    for sequence in 1.. {
        let heartbeat = PeerHeartbeat {
            vm: "older".parse().unwrap(),
            incarnation: VmIncarnation(7),
            sequence,
            caller_address: address,
            peer_address: address,
            place: "north".parse().unwrap(),
            ready: true,
            store_reachable: false,
            reaches_runners: true,
            store_era: era,
            plan_version: Some(PlanVersion(1)),
            runners_offset: LogOffset(0),
            loads: Vec::new(),
            waiting_services: Vec::new(),
            leaving: Vec::new(),
            input_update: InputUpdate::default(),
            limit_update: LimitUpdate::default(),
            sections: HeartbeatSections::default(),
        };
        let bytes = encode_message(&PeerMessage::Heartbeat(Box::new(heartbeat))).unwrap();
        let _ = socket.send_to(bytes, target).await;
        compio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against calls that are sent into the cut while no other node takes them: whether they have run
/// is then unknown.
#[test]
fn a_cut_off_node_sends_nothing_while_another_one_reaches_the_runners() {
    kernel::run(async {
        let cut = CutFleet::start_with(1, Duration::ZERO).await;
        // A node that is heard, and cannot be connected to.
        let other = cut.fleet.peer_address(9);
        let era = StoreEra(cut.fleet.store.era());
        kernel::spawn(send_heartbeats(other, era, cut.fleet.peer_address(CUT))).detach();
        wait_until("the other node to be known", LIMIT, async || {
            (cut.fleet.lookup(CUT).await.len() == 2).then_some(())
        })
        .await
        .unwrap();
        cut.cut_off(CUT).await;
        let book = async |number: usize| {
            cut.fleet.send(CUT, &CallerRequest::booking(&format!("b{number}"))).await
        };
        let answers = (0..6).map(book);
        for answer in futures_util::future::join_all(answers).await {
            assert_eq!((answer.status, answer.retry_after.is_some()), (503, true), "{answer:?}");
        }
        let page = cut.fleet.metrics(CUT).await;
        assert!(page.contains("sends_withheld_total{reason=\"cut_off\"}"), "{page}");
    })
    .unwrap();
}

/// A runner must see the same request whether another node stood between or not, and a request must
/// not get to a service to which its path does not lead.
#[test]
fn a_forwarded_request_has_the_path_the_service_and_the_headers_of_a_direct_one() {
    /// More headers than [`CallerRequest`] sends, within the 100 that nodes take from callers.
    const MANY_HEADERS: usize = 96;
    kernel::run(async {
        let mut cut = CutFleet::start_with(2, Duration::ZERO).await;
        let settings = RunnerFakeSettings { work: Duration::ZERO, ..RunnerFakeSettings::new("t1") };
        let till = add_runner(&mut cut.fleet, &mut cut.links, "till", settings).await;
        cut.set(CUT, LinkState::Open);
        cut.set(OTHER, LinkState::Open);
        cut.fleet.store.put_json("keyed.op", "config", &config_with_till());
        let at = |path: &str| CallerRequest { path: path.to_owned(), ..CallerRequest::lookup("") };
        let names = (0..MANY_HEADERS).map(|number| &*format!("x-part-{number:02}").leak());
        let mut many = at("/look/many");
        many.headers = names.map(|name: &'static str| (name, "1".to_owned())).collect();
        let requests = [
            at("//pay/7"),
            at("///pay//7?a=//b&c"),
            at("/pay/7?"),
            at("//?"),
            at("http://yard.example:8080//pay/7").with("host", "other.example"),
            at("http://yard.example:8080?a=1"),
            at("/look/keyed").with("connection", "authorization, host, x-dotterelyard-attempt-id"),
            at("/look/plan").with("x-yard-forward-plan", "1"),
            many,
        ];
        let send = async |kind: &str, number: usize, request: &CallerRequest| {
            let attempt = format!("{kind}{number}");
            let request = CallerRequest { attempt: attempt.clone(), ..request.clone() };
            let answer = cut.fleet.send(CUT, &request).await;
            (attempt, answer.status)
        };
        wait_until("the routes", LIMIT, async || {
            (send("ready", 0, &at("/pay/0")).await.1 == 200).then_some(())
        })
        .await
        .unwrap();
        let mut direct = Vec::new();
        for (number, request) in requests.iter().enumerate() {
            direct.push(send("direct", number, request).await);
        }
        cut.cut_off(CUT).await;
        wait_until("the loss of both services", LIMIT, async || {
            let _ = send("lost", 0, &at("/pay/0")).await;
            let lost = cut.fleet.nodes[CUT].events("runners_unreached");
            lost.iter().any(|line| line["service"] == "till").then_some(())
        })
        .await
        .unwrap();
        let mut differences = Vec::new();
        for (number, (request, (attempt, status))) in requests.iter().zip(&direct).enumerate() {
            let forwarded = send("forwarded", number, request).await;
            let before = request_seen([&cut.desk, &till], attempt);
            let after = request_seen([&cut.desk, &till], &forwarded.0);
            if (*status, forwarded.1) != (200, 200) || before != after || before.is_empty() {
                let statuses = (*status, forwarded.1);
                differences.push(format!("{}: {statuses:?} {before:?} {after:?}", request.path));
            }
        }
        assert!(differences.is_empty(), "{}", differences.join("\n"));
        let payments = till.visits().into_iter().filter(|visit| visit.request.path != "/pay/0");
        let payments: Vec<String> = payments.map(|visit| visit.request.path).collect();
        assert!(payments.iter().all(|path| path.starts_with("/pay/")), "{payments:?}");
    })
    .unwrap();
}

/// Nodes of an older build say that they reach runners, and respond 404 to forwarded calls.
#[test]
fn a_build_that_does_not_know_the_path_is_passed_over() {
    kernel::run(async {
        let cut = CutFleet::start_with(2, Duration::ZERO).await;
        let address = SocketAddr::new(cut.fleet.peer_address(9).ip(), 0);
        let server = WebServer::bind(address, ServerLimits::default()).await.unwrap();
        let asked: Rc<RefCell<Vec<String>>> = Rc::default();
        let (older, paths) = (server.address(), Rc::clone(&asked));
        kernel::spawn(async move {
            let handler = move |request: WebRequest| {
                paths.borrow_mut().push(request.uri().path().to_owned());
                async { no_such_page() }
            };
            server.serve(StopSignal::new(), handler).await;
        })
        .detach();
        let era = StoreEra(cut.fleet.store.era());
        kernel::spawn(send_heartbeats(older, era, cut.fleet.peer_address(CUT))).detach();
        wait_until("the older node to be known", LIMIT, async || {
            (cut.fleet.lookup(CUT).await.len() == 3).then_some(())
        })
        .await
        .unwrap();
        cut.cut_off(CUT).await;
        let mut answered = 0;
        for number in 0..16 {
            let answer = cut.fleet.send(CUT, &CallerRequest::lookup(&format!("l{number}"))).await;
            answered += usize::from(answer.status == 200);
        }
        assert_eq!(answered, 16);
        let forwarded = asked.borrow().iter().filter(|path| path.starts_with("/forward/")).count();
        assert_eq!((forwarded, cut.relayed(CUT, "not_run")), (1, 1), "{:?}", asked.borrow());
    })
    .unwrap();
}

fn no_such_page() -> WebResponse {
    text_reply(StatusCode::NOT_FOUND, "no such page")
}
