//! Which nodes take the calls that a node forwards, which requests they take, and how a request
//! arrives at the runner.

mod cut_fleet;
mod older_node;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{StoreEra, TimeSpan};
use cut_fleet::{CUT, CutFleet, LIMIT, OTHER, add_runner};
use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{CallerRequest, HOST, KEY, LinkState, config, wait_until};
use hyper::{Request, StatusCode};
use kernel::StopSignal;
use older_node::send_heartbeats;
use rustix::process::Signal;
use serde_json::{Value, json};
use web::{ServerLimits, WebRequest, WebResponse, WebServer, full_body, send_once, text_reply};

/// Time for a peer exchange of the test itself.
const EXCHANGE_LIMIT: TimeSpan = TimeSpan::seconds(10);

impl CutFleet {
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
