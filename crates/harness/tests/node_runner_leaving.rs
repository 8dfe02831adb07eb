//! Runners that state in their answers that they leave.

mod runner_pair;

use std::collections::BTreeSet;
use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript, StoreFault};
use harness::{CallerRequest, NodeFleet, wait_until};
use runner_pair::{LATER_REQUESTS, LIMIT, has_run, later_visits, pair, reach, short};
use serde_json::json;

/// Time that a slow copy takes: shorter than a node waits for it, and long enough for the stream to
/// end meanwhile on a busy machine.
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// The runner announces in its answer to a request of `make` that it leaves.
async fn announce_by(
    service: &str,
    value: &str,
    script: RunnerScript,
    store_fault: Option<StoreFault>,
    make: impl Fn(&str) -> CallerRequest,
) -> usize {
    let (fleet, [leaving, _staying]) = pair(service).await;
    if let Some(fault) = store_fault {
        fleet.store.set_fault(fault);
    }
    leaving.script(&[script]);
    leaving.announce_leaving(value);
    reach(&fleet, &leaving, &make).await;
    later_visits(&fleet, &leaving, &make).await
}
#[test]
fn a_runner_that_announces_in_any_answer_that_it_leaves_gets_no_further_request() {
    kernel::run(async {
        let cut = Some(StoreFault::Silent);
        let answered = RunnerScript::Answer;
        let plain = announce_by("desk", "1", answered, None, CallerRequest::lookup).await;
        assert_eq!(plain, 0, "2xx");
        let plain = announce_by("desk", "1", answered, cut, CallerRequest::lookup).await;
        assert_eq!(plain, 0, "2xx, store cut");
        let refused = RunnerScript::Refuse;
        let plain = announce_by("desk", "1", refused, cut, CallerRequest::booking).await;
        assert_eq!(plain, 0, "503");
        let failed = RunnerScript::Failure;
        let plain = announce_by("desk", "1", failed, None, CallerRequest::booking).await;
        assert_eq!(plain, 0, "500");
        let stream = announce_by("llm", "1", answered, None, CallerRequest::stream).await;
        assert_eq!(stream, 0, "head of a stream");
        let stream = announce_by("llm", "1", answered, cut, CallerRequest::stream).await;
        assert_eq!(stream, 0, "head of a stream, store cut");
    })
    .unwrap();
}
#[test]
fn another_value_of_the_header_does_not_take_a_runner_out() {
    kernel::run(async {
        let visits =
            announce_by("desk", "0", RunnerScript::Answer, None, CallerRequest::lookup).await;
        assert!(visits > 0);
    })
    .unwrap();
}
#[test]
fn a_runner_that_starts_again_is_used_again() {
    kernel::run(async {
        let (fleet, [leaving, _staying]) = pair("desk").await;
        leaving.announce_leaving("1");
        reach(&fleet, &leaving, CallerRequest::lookup).await;
        assert_eq!(later_visits(&fleet, &leaving, CallerRequest::lookup).await, 0);
        let mut entry = leaving.entry("desk", "north", "ready");
        entry["born"] = json!(2_000);
        fleet.store.put_json("keyed.servers", leaving.id(), &entry);
        let before = leaving.visits().len();
        wait_until("the new start to be used", LIMIT, async || {
            drop(fleet.open(0, &CallerRequest::lookup("again")).await);
            (leaving.visits().len() > before).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}
#[test]
fn the_streams_of_a_runner_move_once_another_answer_says_that_it_leaves() {
    kernel::run(async {
        let (fleet, runners) = pair("llm").await;
        let request = short("s1");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            let leaving = wait_until("a runner to work", LIMIT, async || {
                runners.iter().find(|runner| runner.working() == 1)
            })
            .await
            .unwrap();
            let staying = runners.iter().find(|runner| runner.id() != leaving.id()).unwrap();
            leaving.announce_leaving("1");
            let mut open = Vec::new();
            for number in 0..20 {
                if leaving.visits().len() > 1 {
                    break;
                }
                open.push(fleet.open(0, &short(&format!("n{number}"))).await);
            }
            wait_until("the stream to move", LIMIT, async || has_run(staying, "s1").then_some(()))
                .await
                .unwrap();
            compio::time::sleep(Duration::from_millis(300)).await;
            leaving.crash();
        });
        assert_eq!((answer.status, answer.complete), (200, true));
    })
    .unwrap();
}
/// Opens a stream, and waits until a runner works on it.
async fn open_stream<'a>(
    fleet: &NodeFleet,
    runners: &'a [RunnerFake; 2],
) -> (&'a RunnerFake, impl Sized) {
    let open = fleet.open(0, &short("s1")).await.unwrap();
    let working = wait_until("a runner to work", LIMIT, async || {
        runners.iter().find(|runner| runner.working() == 1)
    })
    .await
    .unwrap();
    (working, open)
}
/// Opens a stream whose runner then leaves, and waits until its copy to the other one has begun.
async fn begin_slow_move<'a>(
    fleet: &NodeFleet,
    runners: &'a [RunnerFake; 2],
) -> (&'a RunnerFake, impl Sized) {
    let (leaving, open) = open_stream(fleet, runners).await;
    leaving.slow_moves(MOVE_TIME);
    fleet.tell(leaving, "llm", "draining");
    wait_until("the copy to begin", LIMIT, async || (!leaving.moves().is_empty()).then_some(()))
        .await
        .unwrap();
    (leaving, open)
}
async fn wait_released(leaving: &RunnerFake) {
    wait_until("the copy to be freed", LIMIT, async || {
        (!leaving.releases().is_empty()).then_some(())
    })
    .await
    .unwrap();
}
#[test]
fn a_copy_that_is_not_whole_when_its_caller_leaves_is_freed() {
    kernel::run(async {
        let (fleet, runners) = pair("llm").await;
        let (leaving, open) = begin_slow_move(&fleet, &runners).await;
        drop(open);
        wait_released(leaving).await;
        assert_eq!((leaving.moves().len(), leaving.releases().len()), (1, 1));
    })
    .unwrap();
}
#[test]
fn a_copy_that_is_not_whole_when_its_stream_ends_is_freed() {
    kernel::run(async {
        let (fleet, runners) = pair("llm").await;
        let (leaving, open) = begin_slow_move(&fleet, &runners).await;
        leaving.rush();
        wait_until("the stream to end", LIMIT, async || (leaving.working() == 0).then_some(()))
            .await
            .unwrap();
        assert_eq!(leaving.releases().len(), 0);
        wait_released(leaving).await;
        assert_eq!((leaving.moves().len(), leaving.releases().len()), (1, 1));
        drop(open);
    })
    .unwrap();
}
/// The releases go to the runner that leaves: each frees a copy at both ends, and is no request of a
/// caller. There are two copies, one made while the run went on and one by the order to stop it.
#[test]
fn a_caller_that_leaves_during_a_move_costs_the_leaving_runner_one_release_for_each_copy() {
    kernel::run(async {
        let (fleet, runners) = pair("llm").await;
        let (leaving, open) = open_stream(&fleet, &runners).await;
        let staying = runners.iter().find(|runner| runner.id() != leaving.id()).unwrap();
        staying.script(&[RunnerScript::Silent]);
        fleet.tell(leaving, "llm", "draining");
        wait_until("the run to be sent on", LIMIT, async || {
            (!staying.visits().is_empty()).then_some(())
        })
        .await
        .unwrap();
        drop(open);
        wait_released(leaving).await;
        assert_eq!(later_visits(&fleet, leaving, short).await, 0);
        let releases: BTreeSet<String> = leaving.releases().into_iter().collect();
        assert_eq!((leaving.visits().len(), leaving.moves().len()), (1, 2));
        assert_eq!((leaving.releases().len(), releases.len()), (2, 2));
    })
    .unwrap();
}
#[test]
fn nodes_tell_each_other_which_runners_announced_in_an_answer_that_they_leave() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let leaving = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        let _staying = fleet.add_runner("desk", RunnerFakeSettings::new("desk-2")).await.unwrap();
        for _ in 0..2 {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        fleet.store.set_fault(StoreFault::Silent);
        leaving.announce_leaving("1");
        reach(&fleet, &leaving, CallerRequest::lookup).await;
        fleet.wait_event(1, "runner_changed", "state", &"leaving".into()).await.unwrap();
        let before = leaving.visits().len();
        for number in 0..LATER_REQUESTS {
            drop(fleet.open(1, &CallerRequest::lookup(&format!("p{number}"))).await);
        }
        assert_eq!(leaving.visits().len(), before);
    })
    .unwrap();
}
