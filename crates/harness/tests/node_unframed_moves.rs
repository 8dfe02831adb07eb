//! Streams without a length or chunks whose runner ends before the first event, while they are
//! handed over: such an end says nothing about the stream.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript};
use harness::{CallerRequest, NodeFleet, WholeAnswer, wait_until};

const LIMIT: Duration = Duration::from_secs(10);
/// Part of the time for which a leaving runner is kept beside one that does not answer.
const OVERLAP_PART: Duration = Duration::from_millis(100);
/// Time after which nobody waits for the next runner any longer.
const GIVE_UP_AFTER: Duration = Duration::from_millis(500);

/// Plays one stream whose runner ends while `hinder` keeps the next one from going on. The runner gets
/// `moves` orders to move the run.
async fn play(moves: usize, hinder: impl AsyncFnOnce(&RunnerFake)) -> WholeAnswer {
    let mut fleet = NodeFleet::start().await.unwrap();
    let leaving = fleet.add_runner("llm", RunnerFakeSettings::new("llm-1")).await.unwrap();
    let next = fleet.prepare_runner(RunnerFakeSettings::new("llm-2")).await.unwrap();
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    leaving.script(&[RunnerScript::UnframedSilent]);
    let request = CallerRequest::stream("s1").with("x-dotterelyard-length-hint", "10");
    let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
        wait_until("a runner to work", LIMIT, async || (leaving.working() == 1).then_some(()))
            .await
            .unwrap();
        fleet.tell(&next, "llm", "ready");
        fleet.wait_event(0, "runner_changed", "runner", &next.id().into()).await.unwrap();
        fleet.tell(&leaving, "llm", "draining");
        hinder(&next).await;
        compio::time::sleep(OVERLAP_PART).await;
        leaving.crash();
        compio::time::sleep(GIVE_UP_AFTER).await;
        next.crash();
    });
    assert_eq!((leaving.moves().len(), leaving.runs()), (moves, 1));
    answer
}

#[test]
fn a_stream_that_ends_before_its_first_event_while_the_next_runner_is_silent_is_not_whole() {
    kernel::run(async {
        // The copy, and the order to stop.
        let answer = play(2, async |next| {
            next.script(&[RunnerScript::Silent]);
            wait_until("the run to be sent on", LIMIT, async || {
                (!next.visits().is_empty()).then_some(())
            })
            .await
            .unwrap();
        })
        .await;
        assert!(!(answer.status == 200 && answer.complete), "{answer:?}");
    })
    .unwrap();
}

#[test]
fn a_stream_that_ends_before_its_first_event_while_the_next_runner_is_out_of_reach_is_not_whole() {
    kernel::run(async {
        let answer = play(1, async |next| next.stop_accepting().await).await;
        assert!(!(answer.status == 200 && answer.complete), "{answer:?}");
    })
    .unwrap();
}
