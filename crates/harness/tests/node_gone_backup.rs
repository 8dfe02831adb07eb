//! Streams whose copy is at a runner that has left the list of runners since.

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript};
use futures_util::future::join;
use harness::{CallerRequest, NodeFleet, wait_until};
use serde_json::json;

/// Runners of the service.
const RUNNERS: usize = 3;
/// Time for a step of the nodes.
const LIMIT: Duration = Duration::from_secs(10);
/// Time after which a runner that has left may get no request: the drain time of the nodes, and a second.
const LEFT_FOR: Duration = Duration::from_secs(3);

fn is_visited(runner: &RunnerFake) -> bool {
    runner.visits().iter().any(|visit| visit.request.header("x-dotterelyard-attempt-id") == "s1")
}

/// Guards against DRAIN: a stream without a head goes on from its copy at a runner that is not listed any more.
#[test]
fn a_stream_without_a_head_does_not_go_on_at_a_backup_that_has_left() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..RUNNERS {
            let settings = RunnerFakeSettings::new(&format!("llm-{number}"));
            let runner = fleet.add_runner("llm", settings).await.unwrap();
            runner.script(&[RunnerScript::CloseLate]);
            runners.push(runner);
        }
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let lose = async {
            let source = wait_until("a runner to be asked", LIMIT, async || {
                runners.iter().find(|runner| is_visited(runner))
            });
            let source = source.await.unwrap();
            let copy_at = source.visits()[0].request.header("x-dotterelyard-kv-backup").to_owned();
            let backup = runners.iter().find(|runner| runner.address().to_string() == copy_at);
            let backup = backup.unwrap();
            fleet.store.put("keyed.servers", backup.id(), None);
            fleet.wait_event(0, "runner_changed", "state", &json!("removed")).await.unwrap();
            sleep(LEFT_FOR).await;
            let visits = backup.visits().len();
            source.release_late();
            (backup, visits)
        };
        let request = CallerRequest::stream("s1");
        let (answer, (backup, visits)) = join(fleet.send(0, &request), lose).await;
        assert_eq!(backup.visits().len(), visits, "{answer:?} {:?}", fleet.nodes[0].events("send"));
    })
    .unwrap();
}
