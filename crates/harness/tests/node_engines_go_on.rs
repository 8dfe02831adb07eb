//! Runners that go on with a request whose connection has closed: a run that goes on elsewhere has
//! to be ended there.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript};
use harness::{CallerRequest, NodeFleet, WholeAnswer, wait_until};

const EVENTS: u64 = 350;
const LIMIT: Duration = Duration::from_secs(10);
/// Time from the begin of a stream until its copy is complete.
const COPY_TIME: Duration = Duration::from_millis(900);
/// Time in which a run ends whose caller has left: a report is some hundred milliseconds old.
const CLOSED_RUN_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the runner before may still work on a request that goes on at another one.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

fn slow(id: &str) -> RunnerFakeSettings {
    let mut settings = RunnerFakeSettings::new(id);
    settings.events = EVENTS;
    settings
}

/// Runners of which each goes on with closed requests.
async fn fleet() -> (NodeFleet, Vec<RunnerFake>) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut runners = Vec::new();
    for number in 1..=3 {
        let runner = fleet.add_runner("llm", slow(&format!("llm-{number}"))).await.unwrap();
        runner.ignore_closed_requests();
        runners.push(runner);
    }
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, runners)
}

fn assert_whole(answer: &WholeAnswer) {
    assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text.len());
    let event = |number| format!("id: {number}\ndata: token {number} of s1\n\n");
    let expected: Vec<String> = (1..=EVENTS).map(event).collect();
    assert_eq!(answer.text, expected.concat());
}

/// Waits until one of `runners` works and `is_wanted`.
async fn find_worker(
    runners: &[RunnerFake],
    is_wanted: impl Fn(&RunnerFake) -> bool,
) -> &RunnerFake {
    let is_at_work = |runner: &&RunnerFake| runner.working() == 1 && is_wanted(runner);
    wait_until("a runner to work", LIMIT, async || runners.iter().find(is_at_work)).await.unwrap()
}

/// Plays one stream whose runner announces that it leaves; the runner may not be at work when the
/// time has passed for which two may be.
fn assert_ends_at_leaving_runner(request: &CallerRequest) {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let (answer, still_working) = futures_util::join!(fleet.send(0, request), async {
            let leaving = find_worker(&runners, |_| true).await;
            compio::time::sleep(COPY_TIME).await;
            fleet.tell(leaving, "llm", "draining");
            find_worker(&runners, |runner| runner.id() != leaving.id()).await;
            compio::time::sleep(MAX_OVERLAP).await;
            leaving.working()
        });
        assert_whole(&answer);
        assert_eq!(still_working, 0);
    })
    .unwrap();
}

/// Guards against TWICE: a run goes on elsewhere from its copy while its first engine works on.
#[test]
fn a_run_that_resumes_from_its_copy_ends_at_a_runner_that_goes_on_with_closed_requests() {
    assert_ends_at_leaving_runner(&CallerRequest::stream("s1"));
}

/// Guards against TWICE: a run without a copy from its start is moved while its first engine works on.
#[test]
fn a_run_that_is_moved_ends_at_a_runner_that_goes_on_with_closed_requests() {
    // A stream that is too short for a copy from its start.
    let request = CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10");
    assert_ends_at_leaving_runner(&request);
}

/// Guards against LOST: the order that ends a run leaves nothing that it could go on from.
#[test]
fn a_run_that_was_stopped_is_not_lost_when_its_copy_is_refused_at_first() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = CallerRequest::stream("s1");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let leaving = find_worker(&runners, |_| true).await;
            compio::time::sleep(COPY_TIME).await;
            for other in runners.iter().filter(|other| other.id() != leaving.id()) {
                other.script(&[RunnerScript::Refuse, RunnerScript::Refuse]);
            }
            fleet.tell(leaving, "llm", "draining");
        });
        assert_whole(&answer);
    })
    .unwrap();
}

/// Guards against LOST: a run is stopped for a copy that finds no room, and its other copy is refused.
#[test]
fn a_run_that_was_stopped_without_room_for_its_copy_goes_on_at_its_source() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = CallerRequest::stream("s1");
        let (answer, source_runs) = futures_util::join!(fleet.send(0, &request), async {
            let leaving = find_worker(&runners, |_| true).await;
            compio::time::sleep(COPY_TIME).await;
            leaving.refuse_moves(true);
            for other in runners.iter().filter(|other| other.id() != leaving.id()) {
                other.script(&[RunnerScript::Refuse]);
            }
            fleet.tell(leaving, "llm", "draining");
            let returned = async || (leaving.runs() == 2).then_some(());
            wait_until("the run to return", LIMIT, returned).await.unwrap();
            leaving.refuse_moves(false);
            leaving.runs()
        });
        assert_whole(&answer);
        assert_eq!(source_runs, 2);
    })
    .unwrap();
}

/// Guards against LOST: an order finds no room and stops nothing, so that its run stays at a runner that ends.
#[test]
fn a_run_whose_order_to_stop_finds_no_room_goes_on_from_its_copy() {
    /// Time from the announcement until the runner ends.
    const NOTICE: Duration = Duration::from_millis(1_500);
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 1..=3 {
            let runner = fleet.add_runner("llm", slow(&format!("llm-{number}"))).await.unwrap();
            runner.refuse_stop_orders();
            runners.push(runner);
        }
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let request = CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let leaving = find_worker(&runners, |_| true).await;
            fleet.tell(leaving, "llm", "draining");
            compio::time::sleep(NOTICE).await;
            leaving.crash();
        });
        assert_whole(&answer);
    })
    .unwrap();
}

/// Guards against GONE: an engine works on for a caller who has left.
#[test]
fn a_run_whose_caller_has_left_ends_at_a_runner_that_goes_on_with_closed_requests() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let response = fleet.open(0, &CallerRequest::stream("s1")).await.unwrap();
        let runner = find_worker(&runners, |_| true).await;
        drop(response);
        let ended = async || (runner.working() == 0).then_some(());
        wait_until("the run to end", CLOSED_RUN_TIME, ended).await.unwrap();
        assert_eq!(runners.iter().map(RunnerFake::runs).sum::<usize>(), 1);
        let stop_orders = fleet.metrics(0).await;
        assert!(stop_orders.contains("stop_orders_total{reason=\"stopped\"} 1"), "{stop_orders}");
    })
    .unwrap();
}

/// Guards against GONE: the engine is silent when it is asked whether it works on for a caller who has left.
#[test]
fn a_run_whose_caller_has_left_ends_at_a_runner_that_was_silent_meanwhile() {
    /// Longer than until the report is read, and until that is given up.
    const SILENCE: Duration = Duration::from_millis(1_600);
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let response = fleet.open(0, &CallerRequest::stream("s1")).await.unwrap();
        let runner = find_worker(&runners, |_| true).await;
        drop(response);
        runner.fall_silent();
        compio::time::sleep(SILENCE).await;
        runner.go_on();
        let ended = async || (runner.working() == 0).then_some(());
        wait_until("the run to end", CLOSED_RUN_TIME, ended).await.unwrap();
    })
    .unwrap();
}

/// Guards against TWICE: a run goes on elsewhere although its engine has confirmed a stop and works on.
#[test]
fn a_run_stays_at_a_runner_that_follows_no_order_to_stop() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        runners.iter().for_each(RunnerFake::ignore_stop_orders);
        let request = CallerRequest::stream("s1");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let leaving = find_worker(&runners, |_| true).await;
            compio::time::sleep(COPY_TIME).await;
            fleet.tell(leaving, "llm", "draining");
        });
        assert_whole(&answer);
        assert_eq!(runners.iter().map(RunnerFake::runs).sum::<usize>(), 1);
        assert_eq!(fleet.nodes[0].events("run_not_ended")[0]["request"], "s1");
        fleet.wait_event(0, "stop_decided", "decision", &"goes_on".into()).await.unwrap();
    })
    .unwrap();
}
