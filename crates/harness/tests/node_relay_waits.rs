//! Streams through a node of a build that does not say where their runs are, when that node falls silent.

#[allow(dead_code, reason = "other tests start it cut off, and read its streams")]
mod cut_fleet;
mod older_node;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::StoreEra;
use compio::time::sleep;
use cut_fleet::{CUT, CutFleet, LIMIT};
use futures_util::future::join;
use futures_util::stream::unfold;
use harness::{CallerRequest, SeenStream, wait_until};
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use kernel::StopSignal;
use older_node::send_heartbeats_unless;
use rustix::process::Signal;
use serde_json::{Value, json};
use web::{ServerLimits, WebRequest, WebResponse, WebServer, stream_body, text_reply};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 150;
/// Time from the begin of the stream until the node falls silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// How long a sound node may be silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long both nodes stand still.
const STANDSTILL: Duration = Duration::from_millis(1_600);
/// How much later the other one goes on.
const LATER: Duration = Duration::from_millis(100);
/// Longest pause: twice the one that a route allows on the users' platform (180 ms), and a second.
const MAX_PAUSE: Duration = Duration::from_millis(2_360);

/// What the node and its runner do from [`SILENT_AFTER`] on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// The node does nothing.
    NodeSilent,
    /// The node does nothing for [`SILENCE`].
    NodeSilentForMoment,
    /// No events come, and the node answers.
    EventsLate,
    /// The same, and no heartbeats come.
    EventsAndHeartbeatsLate,
    /// Both nodes stand still for [`STANDSTILL`].
    Standstill,
    /// The same, before the head of the answer has come.
    StandstillBeforeHead,
    /// No events come, and the cut-off node is told to stop.
    EventsLateInStop,
}

/// The state of the node.
#[derive(Default)]
struct OlderNode {
    is_silent: Cell<bool>,
    holds_events: Cell<bool>,
    holds_head: Cell<bool>,
    /// It sends no heartbeats.
    is_mute: Rc<Cell<bool>>,
    /// Runner that it names in its answers.
    site: Option<&'static str>,
}

impl OlderNode {
    async fn answer(self: Rc<Self>, request: WebRequest) -> WebResponse {
        wait_while(&self.is_silent).await;
        let path = request.uri().path();
        if !path.starts_with("/forward/") {
            return text_reply(StatusCode::NOT_FOUND, "no such page");
        }
        let mut response = text_reply(StatusCode::OK, "");
        let set = |response: &mut WebResponse, name, value| {
            response.headers_mut().insert(name, HeaderValue::from_static(value));
        };
        if path.starts_with("/forward/digest/") {
            wait_while(&self.holds_head).await;
            response = WebResponse::new(stream_body(unfold((self.clone(), 1), next_event)));
            set(&mut response, "content-type", "text/event-stream");
        }
        if let Some(site) = self.site {
            set(&mut response, "x-yard-site-runner", site);
        }
        set(&mut response, "x-yard-forward-result", "answered");
        response
    }

    async fn play(&self, trouble: Trouble) {
        self.holds_head.set(trouble == Trouble::StandstillBeforeHead);
        sleep(SILENT_AFTER).await;
        self.holds_events.set(true);
        let stands = matches!(trouble, Trouble::Standstill | Trouble::StandstillBeforeHead);
        let is_silent = matches!(trouble, Trouble::NodeSilent | Trouble::NodeSilentForMoment);
        self.is_silent.set(is_silent || stands);
        self.is_mute.set(stands || trouble == Trouble::EventsAndHeartbeatsLate);
        if matches!(trouble, Trouble::NodeSilent | Trouble::EventsLateInStop) {
            return;
        }
        let silence = if stands { STANDSTILL + LATER } else { SILENCE };
        let is_late = matches!(trouble, Trouble::EventsLate | Trouble::EventsAndHeartbeatsLate);
        let times = if is_late { 2 } else { 1 };
        sleep(silence * times).await;
        self.holds_events.set(false);
        self.holds_head.set(false);
        self.is_silent.set(false);
        self.is_mute.set(false);
    }
}

async fn wait_while(condition: &Cell<bool>) {
    while condition.get() {
        sleep(Duration::from_millis(5)).await;
    }
}

async fn next_event((node, number): (Rc<OlderNode>, u64)) -> Option<(Bytes, (Rc<OlderNode>, u64))> {
    sleep(Duration::from_millis(20)).await;
    wait_while(&node.holds_events).await;
    let event = format!("id: {number}\ndata: token {number}\n\n");
    (number <= EVENTS).then(|| (Bytes::from(event), (node, number + 1)))
}

/// Reads a stream of a cut-off node that comes through an older one, which names `site`.
async fn read_through(site: Option<&'static str>, trouble: Trouble) -> SeenStream {
    read_with_ends(site, trouble).await.0
}

/// The same, with the `end` lines of the stream.
async fn read_with_ends(site: Option<&'static str>, trouble: Trouble) -> (SeenStream, Vec<Value>) {
    let cut = CutFleet::start_with(1, Duration::ZERO).await;
    let address = SocketAddr::new(cut.fleet.peer_address(9).ip(), 0);
    let server = WebServer::bind(address, ServerLimits::default()).await.unwrap();
    let address = server.address();
    let node = Rc::new(OlderNode { site, ..OlderNode::default() });
    let handler = {
        let node = Rc::clone(&node);
        move |request: WebRequest| Rc::clone(&node).answer(request)
    };
    kernel::spawn(async move { server.serve(StopSignal::new(), handler).await }).detach();
    let era = StoreEra(cut.fleet.store.era());
    let is_mute = Rc::clone(&node.is_mute);
    let heartbeats = send_heartbeats_unless(is_mute, address, era, cut.fleet.peer_address(CUT));
    kernel::spawn(heartbeats).detach();
    wait_until("the older node to be known", LIMIT, async || {
        (cut.fleet.lookup(CUT).await.len() == 2).then_some(())
    })
    .await
    .unwrap();
    cut.cut_off(CUT).await;
    let request = CallerRequest::stream("s1");
    let stand_still = async {
        if matches!(trouble, Trouble::Standstill | Trouble::StandstillBeforeHead) {
            sleep(SILENT_AFTER).await;
            cut.fleet.nodes[CUT].signal(Signal::STOP).unwrap();
            sleep(STANDSTILL).await;
            cut.fleet.nodes[CUT].signal(Signal::CONT).unwrap();
        }
    };
    let play = async {
        join(node.play(trouble), stand_still).await;
        if trouble == Trouble::EventsLateInStop {
            cut.fleet.nodes[CUT].signal(Signal::TERM).unwrap();
            cut.fleet.wait_event(CUT, "stop", "step", &json!("ended")).await.unwrap();
        }
    };
    let (stream, ()) = join(cut.fleet.read_stream(CUT, &request), play).await;
    assert_eq!(cut.runs("s1"), 0);
    let mut ends = cut.fleet.nodes[CUT].events("end");
    ends.retain(|end| end["request"] == "s1");
    (stream, ends)
}

/// A stream that cannot go on has to be broken off soon.
fn check_broken_off(site: Option<&'static str>) {
    kernel::run(async {
        let stream = read_through(site, Trouble::NodeSilent).await;
        assert!(!stream.is_whole && !stream.ids.is_empty(), "{stream:?}");
        assert!((SILENCE..=MAX_PAUSE).contains(&stream.longest_pause), "{stream:?}");
    })
    .unwrap();
}

/// Guards against LOST: a stream through a node that says nothing of its run is silent until its deadline.
#[test]
fn a_stream_of_an_unknown_place_is_broken_off_soon_after_its_other_node_falls_silent() {
    check_broken_off(None);
}

/// Guards against LOST: the same with a runner that is not known here.
#[test]
fn a_stream_of_an_unknown_runner_is_broken_off_soon_after_its_other_node_falls_silent() {
    check_broken_off(Some("llm-9"));
}

#[test]
fn a_stream_of_an_unknown_place_comes_whole_when_its_other_node_is_silent_for_a_moment() {
    kernel::run(async {
        let stream = read_through(None, Trouble::NodeSilentForMoment).await;
        assert!(stream.has_all(EVENTS), "{stream:?}");
    })
    .unwrap();
}

/// Guards against a relayed stream that a stop cuts and that no line tells from one that a fault cuts.
#[test]
fn a_stream_of_an_unknown_place_that_outlives_a_planned_stop_has_an_end_line() {
    kernel::run(async {
        let (stream, ends) = read_with_ends(None, Trouble::EventsLateInStop).await;
        assert!(!stream.is_whole && !stream.ids.is_empty(), "{stream:?}");
        assert_eq!(ends.len(), 1, "{ends:?}");
        assert_eq!((&ends[0]["outcome"], &ends[0]["reason"]), (&json!("cut"), &json!("stopped")));
    })
    .unwrap();
}

/// A node that answers is waited for, however long its runner takes.
#[test]
fn a_stream_of_an_unknown_place_comes_whole_when_its_events_are_late() {
    kernel::run(async {
        let stream = read_through(None, Trouble::EventsLate).await;
        assert!(stream.has_all(EVENTS) && stream.longest_pause >= 2 * SILENCE, "{stream:?}");
    })
    .unwrap();
}

/// A stream has to come whole while both nodes stand still, as on one paused machine.
fn check_standstill(trouble: Trouble) {
    kernel::run(async {
        let (stream, ends) = read_with_ends(None, trouble).await;
        assert!(stream.has_all(EVENTS), "{} {ends:?}", stream.ids.len());
    })
    .unwrap();
}

/// Guards against LOST: the other node counts as lost since this one stood still.
#[test]
fn a_stream_of_an_unknown_place_comes_whole_when_both_nodes_stand_still() {
    check_standstill(Trouble::Standstill);
}

/// Guards against LOST: the same before the head of the answer.
#[test]
fn a_stream_of_an_unknown_place_comes_whole_when_both_nodes_stand_still_before_its_head() {
    check_standstill(Trouble::StandstillBeforeHead);
}

/// Guards against LOST: a node whose heartbeats are lost on a full link is given up without being asked.
#[test]
fn a_stream_of_an_unknown_place_comes_whole_when_its_events_and_heartbeats_are_late() {
    kernel::run(async {
        let stream = read_through(None, Trouble::EventsAndHeartbeatsLate).await;
        assert!(stream.has_all(EVENTS) && stream.longest_pause >= 2 * SILENCE, "{stream:?}");
    })
    .unwrap();
}
