//! Streams whose runner leaves or is lost: every event once, of one run.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript, StoreFault};
use harness::{CallerRequest, NodeFleet, WholeAnswer, wait_until};

const EVENTS: u64 = 350;
const LIMIT: Duration = Duration::from_secs(10);

fn slow(id: &str) -> RunnerFakeSettings {
    let mut settings = RunnerFakeSettings::new(id);
    settings.events = EVENTS;
    settings
}

async fn fleet() -> (NodeFleet, Vec<RunnerFake>) {
    fleet_of(3).await
}

async fn fleet_of(count: usize) -> (NodeFleet, Vec<RunnerFake>) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut runners = Vec::new();
    for number in 1..=count {
        runners.push(fleet.add_runner("llm", slow(&format!("llm-{number}"))).await.unwrap());
    }
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, runners)
}

/// The runner that works on the one stream.
async fn worker(runners: &[RunnerFake]) -> &RunnerFake {
    wait_until("a runner to work", LIMIT, async || {
        runners.iter().find(|runner| runner.working() == 1)
    })
    .await
    .unwrap()
}

fn assert_whole(answer: &WholeAnswer) {
    assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text.len());
    let event = |number| format!("id: {number}\ndata: token {number} of s1\n\n");
    let expected: Vec<String> = (1..=EVENTS).map(event).collect();
    assert_eq!(answer.text, expected.concat());
}

/// Plays one stream while `fault` strikes the runner that works on it.
async fn play(request: CallerRequest, fault: impl AsyncFn(&NodeFleet, &RunnerFake)) -> usize {
    let (fleet, runners) = fleet().await;
    let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
        let runner = worker(&runners).await;
        pause(300).await;
        fault(&fleet, runner).await;
    });
    assert_whole(&answer);
    runners.iter().map(RunnerFake::runs).sum()
}

/// Plays one stream, which has to go on at one other runner.
fn assert_moves(request: CallerRequest, fault: impl AsyncFn(&NodeFleet, &RunnerFake)) {
    let runs = kernel::run(play(request, fault)).unwrap();
    assert_eq!(runs, 2);
}

async fn pause(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

/// A stream that is too short for a copy from its start.
fn short() -> CallerRequest {
    CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10")
}

#[test]
fn a_stream_without_a_copy_moves_when_its_runner_says_that_it_leaves() {
    assert_moves(short(), async |fleet, runner| {
        fleet.tell(runner, "llm", "draining");
        pause(1_800).await;
        runner.crash();
    });
}

#[test]
fn a_stream_moves_within_a_short_notice() {
    assert_moves(short(), async |fleet, runner| {
        fleet.tell(runner, "llm", "draining");
        pause(700).await;
        runner.crash();
    });
}

#[test]
fn a_move_that_its_target_refuses_goes_to_another() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = short();
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let runner = worker(&runners).await;
            for other in runners.iter().filter(|other| other.id() != runner.id()) {
                other.script(&[RunnerScript::Refuse]);
            }
            fleet.tell(runner, "llm", "draining");
            pause(1_500).await;
            runner.crash();
        });
        assert_whole(&answer);
    })
    .unwrap();
}

#[test]
fn a_move_that_its_only_target_refuses_is_tried_again() {
    kernel::run(async {
        let (fleet, runners) = fleet_of(2).await;
        let request = short();
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let runner = worker(&runners).await;
            let others = runners.iter().filter(|other| other.id() != runner.id());
            others.for_each(|other| other.script(&[RunnerScript::Refuse]));
            fleet.tell(runner, "llm", "draining");
            pause(1_500).await;
            runner.crash();
        });
        assert_whole(&answer);
    })
    .unwrap();
}

#[test]
fn a_move_that_finds_no_room_is_tried_for_as_long_as_a_notice() {
    assert_moves(short(), async |fleet, runner| {
        runner.refuse_moves(true);
        fleet.tell(runner, "llm", "draining");
        pause(1_100).await;
        runner.refuse_moves(false);
        pause(500).await;
        runner.crash();
    });
}

#[test]
fn a_stream_moves_when_its_runner_disappears_from_the_list() {
    assert_moves(short(), async |fleet, runner| {
        fleet.store.put("keyed.servers", runner.id(), None);
        pause(1_800).await;
        runner.crash();
    });
}

#[test]
fn a_stream_moves_while_the_store_is_away_when_the_runner_itself_says_that_it_leaves() {
    assert_moves(short(), async |fleet, runner| {
        fleet.store.set_fault(StoreFault::Silent);
        pause(300).await;
        runner.leave();
        pause(2_300).await;
        runner.crash();
    });
}

#[test]
fn a_stream_with_a_copy_survives_the_crash_of_its_runner() {
    assert_moves(CallerRequest::stream("s1"), async |_, runner| runner.crash());
}

#[test]
fn a_stream_without_a_copy_is_cut_by_the_crash_of_its_runner() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = short();
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            worker(&runners).await.crash();
        });
        assert_eq!((answer.status, answer.complete), (200, false));
        assert_eq!(runners.iter().map(RunnerFake::runs).sum::<usize>(), 1);
    })
    .unwrap();
}

#[test]
fn a_stream_that_its_runner_ends_during_a_handover_without_an_answer_is_whole() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = short();
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let runner = worker(&runners).await;
            let others = || runners.iter().filter(|other| other.id() != runner.id());
            others().for_each(|other| other.script(&[RunnerScript::Silent]));
            fleet.tell(runner, "llm", "draining");
            wait_until("the next runner to be asked", LIMIT, async || {
                others().any(|other| !other.visits().is_empty()).then_some(())
            })
            .await
            .unwrap();
            runner.rush();
        });
        assert_whole(&answer);
    })
    .unwrap();
}

#[test]
fn a_stream_stays_at_its_runner_while_the_next_one_cannot_be_reached() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = short();
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let runner = worker(&runners).await;
            for other in runners.iter().filter(|other| other.id() != runner.id()) {
                other.stop_accepting().await;
            }
            fleet.tell(runner, "llm", "draining");
        });
        assert_whole(&answer);
    })
    .unwrap();
}

#[test]
fn a_leaving_runner_gets_no_new_work() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let leaving = &runners[0];
        fleet.tell(leaving, "llm", "draining");
        pause(800).await;
        // A stale entry of the same start does not bring it back.
        fleet.tell(leaving, "llm", "ready");
        pause(500).await;
        let before = leaving.visits().len();
        for number in 0..6 {
            let response = fleet.open(0, &CallerRequest::stream(&format!("n{number}"))).await;
            drop(response.unwrap());
        }
        assert_eq!(leaving.visits().len(), before);
    })
    .unwrap();
}

#[test]
fn nodes_tell_each_other_which_runners_leave_while_the_store_is_away() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let leaving = fleet.add_runner("llm", slow("llm-1")).await.unwrap();
        for _ in 0..2 {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        let stream = fleet.open(0, &CallerRequest::stream("s1")).await.unwrap();
        let staying = fleet.add_runner("llm", slow("llm-2")).await.unwrap();
        pause(500).await;
        fleet.store.set_fault(StoreFault::Silent);
        leaving.leave();
        // Only the first node has a stream there, and asks.
        fleet.wait_event(1, "runner_changed", "state", &"leaving".into()).await.unwrap();
        let mut open = Vec::new();
        for number in 0..4 {
            let request = CallerRequest::stream(&format!("n{number}"));
            open.push(fleet.open(1, &request).await.unwrap());
        }
        assert_eq!((leaving.visits().len(), staying.runs() >= 4), (1, true));
        drop(stream);
    })
    .unwrap();
}

#[test]
fn a_stream_stays_at_its_runner_while_the_next_one_does_not_answer() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = short();
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let runner = worker(&runners).await;
            let others = runners.iter().filter(|other| other.id() != runner.id());
            others.for_each(|other| other.script(&[RunnerScript::Silent]));
            fleet.tell(runner, "llm", "draining");
        });
        assert_whole(&answer);
    })
    .unwrap();
}

#[test]
fn a_stream_goes_on_at_its_copy_although_the_first_connection_to_it_hangs() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = CallerRequest::stream("s1");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let runner = worker(&runners).await;
            pause(900).await;
            let others = || runners.iter().filter(|other| other.id() != runner.id());
            for other in others() {
                other.stop_accepting().await;
            }
            runner.crash();
            pause(600).await;
            others().for_each(RunnerFake::resume_accepting);
        });
        assert_whole(&answer);
    })
    .unwrap();
}
