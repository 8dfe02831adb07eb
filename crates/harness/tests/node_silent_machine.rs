//! A machine that is only silent or slow to report for a while: its running work goes on, once.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use futures_util::future::join;
use harness::{CallerRequest, NodeFleet, WholeAnswer, config, wait_until};
use rustix::process::Signal;

const LIMIT: Duration = Duration::from_secs(10);
/// Events of a stream, 10 ms apart.
const EVENTS: u64 = 350;
/// Silence of a node: longer than that after which the others take it for gone.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Two nodes before two engines that can neither move runs nor keep copies of them.
async fn fleet() -> (NodeFleet, Vec<RunnerFake>) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut plan = config(2);
    plan["services"][1]["engine"]["moves"] = false.into();
    plan["services"][1]["engine"]["backups"] = false.into();
    fleet.store.put_json("keyed.op", "config", &plan);
    let mut runners = Vec::new();
    for number in 1..=2 {
        let mut settings = RunnerFakeSettings::new(&format!("llm-{number}"));
        settings.events = EVENTS;
        runners.push(fleet.add_runner("llm", settings).await.unwrap());
    }
    fleet.add_node().unwrap();
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, runners)
}

async fn worker(runners: &[RunnerFake]) -> &RunnerFake {
    let found = async || runners.iter().find(|runner| runner.working() == 1);
    wait_until("a runner to work", LIMIT, found).await.unwrap()
}

fn assert_whole_and_once(answer: &WholeAnswer, runners: &[RunnerFake]) {
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text.matches("id: ").count() as u64, EVENTS);
    assert_eq!(runners.iter().map(RunnerFake::runs).sum::<usize>(), 1);
}

/// Guards against a run that is begun again or given up because its runner's entry has lapsed.
#[test]
fn a_stream_whose_runner_reports_late_goes_on_there() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = CallerRequest::stream("s1");
        let (answer, ()) = join(fleet.send(0, &request), async {
            let runner = worker(&runners).await;
            fleet.store.put("keyed.servers", runner.id(), None);
            compio::time::sleep(SILENCE).await;
            fleet.tell(runner, "llm", "ready");
        })
        .await;
        assert_whole_and_once(&answer, &runners);
    })
    .unwrap();
}

/// Guards against a stream that is begun again or given up because its node was frozen.
#[test]
fn a_stream_of_a_node_that_is_silent_for_a_while_goes_on_there() {
    kernel::run(async {
        let (fleet, runners) = fleet().await;
        let request = CallerRequest::stream("s1");
        let (answer, ()) = join(fleet.send(0, &request), async {
            worker(&runners).await;
            fleet.nodes[0].signal(Signal::STOP).unwrap();
            compio::time::sleep(SILENCE).await;
            fleet.nodes[0].signal(Signal::CONT).unwrap();
        })
        .await;
        assert_whole_and_once(&answer, &runners);
    })
    .unwrap();
}
