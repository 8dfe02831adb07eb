//! Look-ups whose runner answers later than usual: the send is not given up before another one is begun.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{CallerRequest, NodeFleet, WholeAnswer};

/// How long a sound runner may be silent: longer than twice the target latency of look-ups (0.5 s).
const SILENCE: Duration = Duration::from_millis(1_600);
/// Look-ups after which the budget has room for some repeats.
const EARLIER: usize = 40;

/// One node and `count` runners.
async fn fleet(count: usize) -> (NodeFleet, Vec<RunnerFake>) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut runners = Vec::new();
    for number in 0..count {
        let settings = RunnerFakeSettings::new(&format!("runner-{number}"));
        runners.push(fleet.add_runner("desk", settings).await.unwrap());
    }
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    for number in 0..EARLIER {
        let answer = fleet.send(0, &CallerRequest::lookup(&format!("e{number}"))).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    (fleet, runners)
}

/// Sends a look-up while `silent` is silent for a moment.
async fn send_beside_silence(fleet: &NodeFleet, silent: &[&RunnerFake]) -> WholeAnswer {
    for runner in silent {
        runner.fall_silent();
    }
    let lookup = CallerRequest::lookup("s1");
    let (answer, ()) = futures_util::future::join(fleet.send(0, &lookup), async {
        compio::time::sleep(SILENCE).await;
        for runner in silent {
            runner.go_on();
        }
    })
    .await;
    answer
}

/// Requests of the look-up that runners have run.
fn runs(runners: &[RunnerFake]) -> usize {
    let visits = runners.iter().flat_map(RunnerFake::visits);
    let own = |visit: &fakes::platform::RunnerVisit| {
        visit.ran && visit.request.header("x-dotterelyard-attempt-id") == "s1"
    };
    visits.filter(own).count()
}

/// Guards against a send that is closed although no other runner can take the request.
#[test]
fn a_look_up_at_the_only_runner_is_sent_once_while_that_is_silent() {
    kernel::run(async {
        let (fleet, runners) = fleet(1).await;
        let answer = send_beside_silence(&fleet, &[&runners[0]]).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(runs(&runners), 1);
    })
    .unwrap();
}

/// Guards against an error although the first runner answers in time: the budget allows no second send.
#[test]
fn a_look_up_without_budget_for_another_send_waits_for_its_first_one() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..2 {
            let settings = RunnerFakeSettings::new(&format!("runner-{number}"));
            runners.push(fleet.add_runner("desk", settings).await.unwrap());
        }
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let answer = send_beside_silence(&fleet, &[&runners[0], &runners[1]]).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(runs(&runners), 1);
    })
    .unwrap();
}

/// Guards against an error although the first runner answers in time: the other one takes nothing.
#[test]
fn a_look_up_whose_other_runner_is_full_waits_for_its_first_one() {
    kernel::run(async {
        let (fleet, runners) = fleet(2).await;
        runners[1].turn_away(Some("5"));
        for number in 0..EARLIER {
            fleet.send(0, &CallerRequest::lookup(&format!("w{number}"))).await;
        }
        let answer = send_beside_silence(&fleet, &[&runners[0]]).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(runs(&runners), 1);
    })
    .unwrap();
}

/// The silent runner is not waited for if another one can take the request.
#[test]
fn a_look_up_at_a_silent_runner_is_answered_by_another_one() {
    kernel::run(async {
        let (fleet, runners) = fleet(2).await;
        let lookups = (0..2).map(|number| CallerRequest::lookup(&format!("s{number}")));
        runners[0].fall_silent();
        let sent: Vec<_> = lookups.collect();
        let begun = std::time::Instant::now();
        let answers = futures_util::join!(fleet.send(0, &sent[0]), fleet.send(0, &sent[1]));
        assert!(begun.elapsed() < SILENCE, "{:?}", begun.elapsed());
        for answer in [answers.0, answers.1] {
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        }
    })
    .unwrap();
}
