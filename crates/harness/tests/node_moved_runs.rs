//! Streams without a copy whose node is cut off from their runners: another node moves their runs. What
//! it has stopped goes on somewhere, whatever becomes of the move.

mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::{RunnerFake, RunnerScript};
use futures_util::future::join;
use harness::{CallerRequest, LinkState};
use service_fleet::{CUT, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 150;
/// Time from the begin of the stream to the cut.
const CUT_AFTER: Duration = Duration::from_millis(500);
/// Time that a copy takes; longer than builds before waited for a node that moves a run.
const COPY_TIME: Duration = Duration::from_millis(1_200);
/// Time that a copy takes beyond the end of the stream.
const LONG_COPY_TIME: Duration = Duration::from_millis(2_300);

/// Cuts the node off from the runners of a stream, which `adjust` has changed: first the one at work, then
/// the others.
fn assert_moved(adjust: impl Fn(&RunnerFake, &[&RunnerFake])) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(|settings| {
            settings.events = EVENTS;
            settings.event_pause = Duration::from_millis(20);
        })
        .await;
        let request = CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10");
        let (answer, ()) = join(services.fleet.send(CUT, &request), async {
            sleep(CUT_AFTER).await;
            let of_service = services.runners.iter().filter(|linked| linked.service == "llm");
            let runners = of_service.map(|linked| &linked.runner);
            let (source, others): (Vec<_>, Vec<_>) =
                runners.partition(|runner| runner.working() == 1);
            adjust(source[0], &others);
            services.set("llm", usize::from(RUNNERS), LinkState::Lost);
        })
        .await;
        let ids =
            answer.text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
        assert!(answer.complete && ids.eq(1..=EVENTS), "{answer:?}");
        assert_eq!(services.most_runs(), 1);
    })
    .unwrap();
}

/// Guards against TWICE: the runner that the node has lost works on beside the one with the copy.
#[test]
fn a_run_that_resumes_through_another_node_ends_at_the_runner_that_was_lost() {
    /// Events of a stream that lasts longer than the test waits.
    const LONG: u64 = 250;
    /// Time until copies are complete, and then until a report shows what goes on.
    const SPANS: [Duration; 2] = [Duration::from_secs(1), Duration::from_millis(2_500)];
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(|settings| {
            settings.events = LONG;
            settings.event_pause = Duration::from_millis(20);
        })
        .await;
        let request = CallerRequest::stream("s1");
        let (answer, still_working) = join(services.fleet.send(CUT, &request), async {
            sleep(SPANS[0]).await;
            let is_working = |linked: &&service_fleet::LinkedRunner| linked.runner.working() == 1;
            let source = &services.runners.iter().find(is_working).unwrap().runner;
            source.ignore_closed_requests();
            services.set("llm", usize::from(RUNNERS), LinkState::Lost);
            sleep(SPANS[1]).await;
            source.working()
        })
        .await;
        assert!(answer.complete && answer.text.contains(&format!("id: {LONG}\n")), "{answer:?}");
        assert_eq!(still_working, 0);
    })
    .unwrap();
}

/// The next answers of `runners`.
fn script(runners: &[&RunnerFake], scripts: &[RunnerScript]) {
    for runner in runners {
        runner.script(scripts);
    }
}

/// Guards against LOST: a run is stopped for a next runner that refuses it.
#[test]
fn a_run_whose_next_runner_refuses_it_goes_on_at_its_source() {
    assert_moved(|_, others| script(others, &[RunnerScript::Refuse; 4]));
}

/// Guards against LOST: a run is stopped for a next runner that does not answer.
#[test]
fn a_run_whose_next_runner_is_silent_goes_on_at_its_source() {
    assert_moved(|_, others| script(others, &[RunnerScript::Silent]));
}

/// Guards against LOST: no runner takes the stopped run when another node first asks them.
#[test]
fn a_stopped_run_that_nobody_takes_at_first_goes_on_when_the_node_is_asked_again() {
    assert_moved(|source, others| {
        script(&[source], &[RunnerScript::Refuse; 2]);
        script(others, &[RunnerScript::Refuse; 4]);
    });
}

/// Guards against LOST: the node that asked for the move gives up before the copy is complete.
#[test]
fn a_run_whose_copy_takes_longer_than_a_second_is_moved() {
    assert_moved(|source, _| source.slow_moves(COPY_TIME));
}

/// Guards against LOST: the run has ended, for nobody, when its copy is complete.
#[test]
fn a_run_that_ends_while_it_is_copied_goes_on_from_its_copy() {
    assert_moved(|source, _| source.slow_moves(LONG_COPY_TIME));
}
