//! Calls whose answer has begun, when its runner is cut off from the node for good or for a while.

#[allow(dead_code, reason = "other tests read streams and cut a whole service off")]
mod service_fleet;

use std::time::{Duration, Instant};

use compio::time::sleep;
use fakes::platform::{RunnerScript, SharedScripts};
use futures_util::future::join;
use harness::{CallerRequest, LinkState, WholeAnswer, config, wait_until};
use serde_json::{Value, json};
use service_fleet::{CUT, LinkedRunner, NODES, RUNNERS, ServiceFleet, take_turn};

/// Time for a call to reach its runner.
const LIMIT: Duration = Duration::from_secs(10);
/// Time from the begin of the answer to the cut.
const CUT_AFTER: Duration = Duration::from_millis(300);
/// How long a link may be cut that then goes on.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long the link of a single runner may be cut before its answer is whole.
const LONGER_CUT: Duration = Duration::from_millis(2_500);
/// Longest wait: twice the pause that a route allows on the users' platform (180 ms), and a second.
const MAX_WAIT: Duration = Duration::from_millis(2_360);

/// The runner that has got the call.
async fn find_runner(services: &ServiceFleet) -> &LinkedRunner {
    wait_until("the call to run", LIMIT, async || {
        services.runners.iter().find(|linked| !linked.runner.visits().is_empty())
    })
    .await
    .unwrap()
}

/// Sends a call whose answer is late, and does `cut` after its begin. Gives the answer, and the time from
/// the cut.
async fn send_late(
    services: &ServiceFleet,
    request: &CallerRequest,
    cut: impl AsyncFnOnce(&LinkedRunner),
) -> (WholeAnswer, Duration) {
    services.runners.iter().for_each(|linked| linked.runner.script(&[RunnerScript::RestLate]));
    let cut = async {
        let linked = find_runner(services).await;
        sleep(CUT_AFTER).await;
        let begun = Instant::now();
        cut(linked).await;
        begun
    };
    let sent = async { (services.fleet.send(CUT, request).await, Instant::now()) };
    let ((answer, end), begun) = join(sent, cut).await;
    (answer, end.duration_since(begun))
}

/// Guards against LOST: a booking whose answer has begun waits for the rest until its deadline.
#[test]
fn a_booking_is_answered_soon_after_its_service_is_cut_off_in_the_answer() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(|_| ()).await;
        let cut = async |_: &LinkedRunner| {
            services.set("desk", usize::from(RUNNERS), LinkState::Lost);
        };
        let (answer, taken) = send_late(&services, &CallerRequest::booking("b1"), cut).await;
        assert_eq!((answer.status, services.most_runs()), (502, 1), "{answer:?} {taken:?}");
        assert!((SILENCE..=MAX_WAIT).contains(&taken), "{taken:?}");
    })
    .unwrap();
}

/// Guards against LOST: the same of a look-up that no other runner can take.
#[test]
fn a_look_up_is_answered_soon_after_its_service_is_cut_off_in_the_answer() {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(|_| ()).await;
        let cut = async |_: &LinkedRunner| {
            services.set("desk", usize::from(RUNNERS), LinkState::Lost);
        };
        let (answer, taken) = send_late(&services, &CallerRequest::lookup("l1"), cut).await;
        assert_ne!(answer.status, 0, "{answer:?}");
        assert!(taken <= MAX_WAIT, "{answer:?} {taken:?}");
    })
    .unwrap();
}

/// The rest of an answer may be late, and the link be cut for `silence`.
fn check_late_rest(silence: Duration) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(|_| ()).await;
        let pid = services.fleet.nodes[CUT].pid();
        let cut = async |linked: &LinkedRunner| {
            linked.link.set_for(pid, LinkState::Stalled);
            sleep(silence).await;
            linked.link.set_for(pid, LinkState::Open);
        };
        let (answer, taken) = send_late(&services, &CallerRequest::booking("b1"), cut).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?} {taken:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

#[test]
fn a_booking_gets_the_late_rest_of_its_answer_after_a_short_cut() {
    check_late_rest(SILENCE);
}

/// Guards against a booking that is given up although its answer is still to come and it goes nowhere else.
#[test]
fn a_booking_gets_the_late_rest_of_its_answer_after_a_longer_cut_of_its_runner_alone() {
    check_late_rest(LONGER_CUT);
}

/// A fleet whose streams may be hedged, with a configuration that `adjust` has changed.
async fn start_changed(adjust: impl FnOnce(&mut Value)) -> ServiceFleet {
    let services = ServiceFleet::start_with(|_| (), &[("hedge_share", json!(0.1))]).await;
    let mut plan = config(2);
    adjust(&mut plan);
    services.fleet.store.put_json("keyed.op", "config", &plan);
    for node in 0..NODES {
        services.fleet.wait_event(node, "plan_in_force", "version", &json!(2)).await.unwrap();
    }
    services
}

/// Guards against LOST: a stream that may be hedged waits for its first event until its deadline.
#[test]
fn a_stream_goes_on_soon_after_its_runner_is_cut_off_before_the_first_event() {
    let _turn = take_turn();
    kernel::run(async {
        let services = start_changed(|plan| {
            plan["routes"][2]["streamResume"] = json!(true);
            plan["routes"][2]["maxAttempts"] = json!(2);
        })
        .await;
        let scripts = SharedScripts::default();
        scripts.borrow_mut().push_back(RunnerScript::UnframedSilent);
        services.runners.iter().for_each(|linked| linked.runner.share_scripts(&scripts));
        let pid = services.fleet.nodes[CUT].pid();
        let cut = async {
            let linked = find_runner(&services).await;
            sleep(CUT_AFTER).await;
            linked.link.set_for(pid, LinkState::Lost);
            Instant::now()
        };
        let request = CallerRequest::stream("s1");
        let read = async { (services.fleet.send(CUT, &request).await, Instant::now()) };
        let ((answer, end), begun) = join(read, cut).await;
        let taken = end.duration_since(begun);
        let events = answer.text.matches("data: token").count();
        assert_eq!((answer.status, answer.complete, events), (200, true, 30), "{taken:?}");
        assert!(taken <= MAX_WAIT, "{taken:?}");
    })
    .unwrap();
}

/// Guards against LOST: a stream that goes on nowhere else is broken off although the cut heals in time.
#[test]
fn a_stream_that_cannot_move_comes_whole_after_its_runner_alone_was_cut_off() {
    /// Longer than any silence after which a stream goes on elsewhere.
    const CUT_FOR: Duration = Duration::from_secs(3);
    let _turn = take_turn();
    kernel::run(async {
        let services = start_changed(|plan| {
            plan["services"][1]["engine"]["moves"] = json!(false);
            plan["services"][1]["engine"]["backups"] = json!(false);
        })
        .await;
        let pid = services.fleet.nodes[CUT].pid();
        let cut = async {
            let linked = find_runner(&services).await;
            sleep(CUT_AFTER / 3).await;
            linked.link.set_for(pid, LinkState::Stalled);
            sleep(CUT_FOR).await;
            linked.link.set_for(pid, LinkState::Open);
        };
        let request = CallerRequest::stream("s1");
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), cut).await;
        assert!(stream.has_all(30) && stream.longest_pause >= SILENCE, "{stream:?}");
        assert_eq!(services.most_runs(), 1);
        let unreached = services.fleet.nodes[CUT].events("runner_unreached");
        assert!(!unreached.is_empty(), "the cut was not seen");
    })
    .unwrap();
}
