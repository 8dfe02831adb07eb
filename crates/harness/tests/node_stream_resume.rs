//! Streams of a route with `streamResume`: a lost runner is replaced within one response, and
//! every event reaches the caller once and in order.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript, SharedScripts};
use harness::{CallerRequest, NodeFleet, WholeAnswer, config, wait_until};
use serde_json::{Value, json};

/// Events of a stream of the stand-in runners.
const EVENTS: u64 = 30;

/// Window of the retry budget.
const RETRY_WINDOW: Duration = Duration::from_secs(1);

/// How long a sound runner may be silent.
const SILENCE: Duration = Duration::from_millis(1_200);

/// The configuration with another route for generations.
fn plan(resume: bool, attempts: u32) -> Value {
    let mut plan = config(2);
    plan["routes"][2]["maxAttempts"] = json!(attempts);
    if resume {
        plan["routes"][2]["streamResume"] = json!(true);
    }
    plan
}

/// A fleet of one node with this configuration, and `count` runners.
async fn fleet(plan: &Value, count: usize, sets: &[(&str, Value)]) -> (NodeFleet, Vec<RunnerFake>) {
    let mut fleet = NodeFleet::start().await.unwrap();
    fleet.store.put_json("keyed.op", "config", plan);
    let mut runners = Vec::new();
    for number in 1..=count {
        let settings = RunnerFakeSettings::new(&format!("llm-{number}"));
        runners.push(fleet.add_runner("llm", settings).await.unwrap());
    }
    let sets: Vec<_> = [("retry_window_seconds", json!(RETRY_WINDOW.as_secs_f64()))]
        .into_iter()
        .chain(sets.iter().cloned())
        .collect();
    fleet.add_node_with(&sets, true).unwrap();
    fleet.wait_ready().await.unwrap();
    // A node withholds the slack of the retry budget for its first window.
    compio::time::sleep(RETRY_WINDOW).await;
    (fleet, runners)
}

/// A stream without a backup copy from its start.
fn short(attempt: &str) -> CallerRequest {
    CallerRequest::stream(attempt).with("x-dotterelyard-length-hint", "10")
}

/// The ids of the events of a response, in order.
fn ids(answer: &WholeAnswer) -> Vec<u64> {
    let lines = answer.text.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().unwrap()).collect()
}

/// `Last-Event-Id` of each run of an attempt, in the order of their arrival; empty without one.
fn runs(runners: &[RunnerFake]) -> Vec<String> {
    let mut visits: Vec<_> = runners.iter().flat_map(RunnerFake::visits).collect();
    visits.retain(|visit| visit.ran);
    visits.sort_by_key(|visit| visit.at);
    visits.iter().map(|visit| visit.request.header("last-event-id").to_owned()).collect()
}

/// Plays a stream at two runners; the first run is answered by `script`, whichever gets it, and
/// later ones as they should be.
async fn play(
    plan: &Value,
    script: RunnerScript,
    request: &CallerRequest,
) -> (NodeFleet, Vec<RunnerFake>, WholeAnswer) {
    let (fleet, runners) = fleet(plan, 2, &[]).await;
    script_first(&runners, script);
    let answer = fleet.send(0, request).await;
    (fleet, runners, answer)
}

fn script_first(runners: &[RunnerFake], script: RunnerScript) {
    let scripts = SharedScripts::default();
    scripts.borrow_mut().push_back(script);
    for runner in runners {
        runner.share_scripts(&scripts);
    }
}

/// Guards against a stream that is given up although another runner could go on with it, and
/// against events that are missing or come twice at the seam.
#[test]
fn a_stream_that_loses_its_runner_goes_on_at_another() {
    kernel::run(async {
        let (fleet, runners, answer) =
            play(&plan(true, 2), RunnerScript::Truncate, &short("s1")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text);
        assert_eq!(ids(&answer), (1..=EVENTS).collect::<Vec<_>>());
        assert_eq!(runs(&runners), ["", "14"]);
        let second = runners.iter().flat_map(RunnerFake::visits).max_by_key(|visit| visit.at);
        assert!(!second.unwrap().request.headers.contains_key("kv-from"));
        let lines = fleet.nodes[0].events("stream_resumed");
        assert_eq!(lines.len(), 1, "{lines:?}");
    })
    .unwrap();
}

/// Guards against a second run of a stream that may run only once.
#[test]
fn a_stream_without_the_field_is_not_sent_again() {
    kernel::run(async {
        for script in [RunnerScript::Truncate, RunnerScript::UnframedEmpty] {
            let (_fleet, runners, answer) = play(&plan(false, 2), script, &short("s1")).await;
            assert!(!answer.complete, "{script:?} {}", answer.text);
            assert_eq!(runs(&runners), [""], "{script:?}");
        }
    })
    .unwrap();
}

/// Guards against a `Last-Event-Id` in a run from the start, and against a broken stream although
/// nothing had been passed on.
#[test]
fn a_stream_that_ends_before_its_first_event_is_sent_again_as_it_is() {
    kernel::run(async {
        let (_fleet, runners, answer) =
            play(&plan(true, 2), RunnerScript::UnframedEmpty, &short("s1")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text);
        assert_eq!(ids(&answer), (1..=EVENTS).collect::<Vec<_>>());
        assert_eq!(runs(&runners), ["", ""]);
    })
    .unwrap();
}

/// Guards against a 502 for a runner that is lost before the head of its response.
#[test]
fn a_stream_whose_runner_is_lost_before_the_head_is_sent_again() {
    kernel::run(async {
        let (_fleet, runners, answer) =
            play(&plan(true, 2), RunnerScript::Close, &short("s1")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text);
        assert_eq!(ids(&answer), (1..=EVENTS).collect::<Vec<_>>());
        assert_eq!(runs(&runners), ["", ""]);
    })
    .unwrap();
}

/// Guards against a 500 for a stream that another runner can serve.
#[test]
fn a_stream_whose_runner_answers_with_an_error_is_sent_again() {
    kernel::run(async {
        let (_fleet, runners, answer) =
            play(&plan(true, 2), RunnerScript::Failure, &short("s1")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text);
        assert_eq!(runs(&runners), ["", ""]);
    })
    .unwrap();
}

/// Guards against a resume by the client that starts anew after a loss: its first event follows
/// the one that the client has.
#[test]
fn a_resume_by_the_client_keeps_its_place() {
    kernel::run(async {
        for (script, second) in [(RunnerScript::Truncate, "14"), (RunnerScript::UnframedEmpty, "5")]
        {
            let request = short("s1").with("last-event-id", "5");
            let (_fleet, runners, answer) = play(&plan(true, 2), script, &request).await;
            assert!(answer.complete, "{script:?} {}", answer.text);
            assert_eq!(ids(&answer), (6..=EVENTS).collect::<Vec<_>>(), "{script:?}");
            assert_eq!(runs(&runners), ["5", second], "{script:?}");
        }
    })
    .unwrap();
}

/// Guards against events that the client already has: a runner that ignores `Last-Event-Id`
/// begins with the first event again.
#[test]
fn events_that_do_not_follow_those_of_the_client_are_not_passed_on() {
    kernel::run(async {
        let (fleet, runners) = fleet(&plan(true, 1), 1, &[]).await;
        runners[0].script(&[RunnerScript::FromStart]);
        let answer = fleet.send(0, &short("s1").with("last-event-id", "5")).await;
        assert!(!answer.complete);
        assert_eq!(ids(&answer), [0_u64; 0]);
    })
    .unwrap();
}

/// Guards against more runs than `maxAttempts` allows, and against a broken stream that looks
/// whole.
#[test]
fn a_stream_runs_at_most_as_often_as_the_route_allows() {
    kernel::run(async {
        for attempts in 1..=3 {
            let (fleet, runners) = fleet(&plan(true, attempts), 4, &[]).await;
            for runner in &runners {
                runner.script(&[RunnerScript::Truncate; 4]);
            }
            let answer = fleet.send(0, &short("s1")).await;
            assert_eq!((answer.status, answer.complete), (200, false));
            assert_eq!(ids(&answer), (1..EVENTS / 2).collect::<Vec<_>>());
            assert_eq!(runs(&runners).len(), attempts as usize);
        }
    })
    .unwrap();
}

/// Guards against resumes beyond the shared retry budget.
#[test]
fn a_stream_is_not_resumed_without_a_budget() {
    kernel::run(async {
        let sets = [("retry_ratio", json!(0.0)), ("retry_slack", json!(0.0))];
        let (fleet, runners) = fleet(&plan(true, 3), 2, &sets).await;
        script_first(&runners, RunnerScript::Truncate);
        let answer = fleet.send(0, &short("s1")).await;
        assert_eq!((answer.status, answer.complete), (200, false));
        assert_eq!(runs(&runners), [""]);
        assert!(fleet.metrics(0).await.contains("yard_node_repeats_denied_total 1"));
    })
    .unwrap();
}

/// Guards against LOST: a source that is silent for a moment is closed before another runner takes the run.
#[test]
fn a_stream_stays_at_its_silent_runner_while_no_other_one_takes_it() {
    kernel::run(async {
        let (fleet, runners) = fleet(&plan(true, 2), 2, &[]).await;
        let silence = async {
            let at_work = async || runners.iter().position(|runner| runner.working() == 1);
            let number = wait_until("the run", SILENCE, at_work).await.unwrap();
            compio::time::sleep(Duration::from_millis(100)).await;
            runners[1 - number].script(&[RunnerScript::Refuse; 20]);
            runners[number].fall_silent();
            compio::time::sleep(SILENCE).await;
            runners[number].go_on();
        };
        let request = short("silent");
        let (answer, ()) = futures_util::future::join(fleet.send(0, &request), silence).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text);
        assert_eq!(ids(&answer), (1..=EVENTS).collect::<Vec<_>>());
        assert_eq!(runs(&runners), [""]);
    })
    .unwrap();
}
