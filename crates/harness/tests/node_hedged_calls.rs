//! Second sends of slow requests: the first whole response reaches the caller, the other send is
//! ended at once, and nothing is sent twice that may not be.

mod hedge_site;

use std::pin::pin;
use std::time::{Duration, Instant};

use fakes::platform::RunnerScript;
use futures_util::future::{Either, select};
use harness::{CallerRequest, config, wait_until};
use hedge_site::{LEARNED, LIMIT, Site};
use serde_json::{Value, json};

/// Time within which the connection of a send that lost is closed.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);
/// Time after the end of a first send in which the node sees it, before the second one ends.
const SEEN_SPAN: Duration = Duration::from_millis(200);

fn plan(resume: bool, attempts: u32) -> Value {
    let mut plan = config(2);
    for route in 0..3 {
        plan["routes"][route]["maxAttempts"] = json!(attempts);
    }
    plan["routes"][2]["streamResume"] = json!(resume);
    plan
}

fn hedging() -> Vec<(&'static str, Value)> {
    vec![("hedge_share", json!(0.1))]
}

fn short(attempt: &str) -> CallerRequest {
    CallerRequest::stream(attempt).with("x-dotterelyard-length-hint", "10")
}

/// Guards against a caller who waits for a stalled runner, against two responses to one call,
/// against work that goes on for nobody, and against a runner that is held for failed since its
/// send was cancelled.
#[test]
fn the_second_send_wins_over_a_stalled_runner() {
    kernel::run(async {
        let site = Site::start("desk", &plan(false, 2), &hedging()).await;
        site.learn(CallerRequest::lookup).await;
        site.script(&[RunnerScript::Silent]);
        let begun = Instant::now();
        let answer = site.fleet.send(0, &CallerRequest::lookup("s1")).await;
        let answered = Instant::now();
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        // Without a second send, the first one is given up after twice the target latency.
        assert!(begun.elapsed() < Duration::from_millis(900), "{:?}", begun.elapsed());
        let lines = site.lines("hedge_sent", "s1").await;
        assert_eq!(lines.len(), 1, "{lines:?}");
        let to = lines[0]["to"].as_str().unwrap();
        assert_ne!(lines[0]["from"], lines[0]["to"]);
        assert_eq!(answer.text, format!("answer of {to} to s1 /look/ticket"));
        assert_eq!(site.runs("s1"), 2);
        site.wait_abandoned(1).await;
        assert!(site.abandoned()[0] < answered + CLOSE_LIMIT);
        assert!(site.counter("yard_node_hedges_total{outcome=\"won\"}").await >= 1);
        let from = lines[0]["from"].as_str().unwrap().to_owned();
        let first = site.runners.iter().find(|runner| runner.id() == from).unwrap();
        let before = first.visits().len();
        for number in 0..20 {
            site.fleet.send(0, &CallerRequest::lookup(&format!("a{number}"))).await;
        }
        assert!(first.visits().len() > before, "{from} gets no more work");
        for event in ["runner_probed", "runner_crashed", "send_failed"] {
            assert_eq!(site.fleet.nodes[0].events(event).len(), 0, "{event}");
        }
    })
    .unwrap();
}

/// Guards against a first send that is given up although it is the quicker one.
#[test]
fn the_first_send_wins_if_the_second_is_slower() {
    kernel::run(async {
        let site = Site::start("desk", &plan(false, 2), &hedging()).await;
        site.learn(CallerRequest::lookup).await;
        site.script(&[RunnerScript::AnswerLate, RunnerScript::Silent]);
        let answer = site.look_up_late("s1", site.wait_runs("s1", 2)).await;
        let answered = Instant::now();
        let lines = site.lines("hedge_sent", "s1").await;
        let from = lines[0]["from"].as_str().unwrap();
        assert_eq!(answer.text, format!("answer of {from} to s1 /look/ticket"));
        site.wait_abandoned(1).await;
        assert!(site.abandoned()[0] < answered + CLOSE_LIMIT);
        assert!(site.counter("yard_node_hedges_total{outcome=\"cancelled\"}").await >= 1);
    })
    .unwrap();
}

/// Guards against a second run of a request that may run only once.
#[test]
fn a_booking_is_never_hedged() {
    kernel::run(async {
        let site = Site::start("desk", &plan(false, 2), &hedging()).await;
        site.learn(CallerRequest::booking).await;
        site.script(&[RunnerScript::Silent]);
        let request = CallerRequest::booking("s1").with("x-dotterelyard-deadline-ms", "1000");
        let answer = site.fleet.send(0, &request).await;
        assert_eq!(answer.status, 504, "{answer:?}");
        assert_eq!(site.runs("s1"), 1);
        site.check_not_considered().await;
    })
    .unwrap();
}

/// Guards against a stream that waits for a runner without a first event although another has
/// room, and against two generations in one response.
#[test]
fn a_resumable_stream_is_hedged_until_its_first_event() {
    kernel::run(async {
        for script in [RunnerScript::Silent, RunnerScript::UnframedSilent] {
            let site = Site::start("llm", &plan(true, 2), &hedging()).await;
            site.learn(short).await;
            site.script(&[script]);
            let answer = site.fleet.send(0, &short("s1")).await;
            let answered = Instant::now();
            assert_eq!((answer.status, answer.complete), (200, true), "{script:?} {answer:?}");
            let events = answer.text.lines().filter(|line| line.starts_with("id: "));
            assert_eq!(events.collect::<Vec<_>>(), ["id: 1", "id: 2", "id: 3"], "{script:?}");
            assert_eq!(site.lines("hedge_sent", "s1").await.len(), 1);
            assert_eq!(site.runs("s1"), 2, "{script:?}");
            site.wait_abandoned(1).await;
            assert!(site.abandoned()[0] < answered + CLOSE_LIMIT, "{script:?}");
        }
    })
    .unwrap();
}

/// Guards against a second run of a stream that may run only once.
#[test]
fn a_stream_without_the_field_is_never_hedged() {
    kernel::run(async {
        let site = Site::start("llm", &plan(false, 2), &hedging()).await;
        site.learn(short).await;
        for (attempt, script) in
            [("s1", RunnerScript::Silent), ("s2", RunnerScript::UnframedSilent)]
        {
            site.script(&[script]);
            let request = short(attempt).with("x-dotterelyard-deadline-ms", "800");
            let answer = site.fleet.send(0, &request).await;
            assert!(answer.status != 200 || !answer.complete, "{answer:?}");
            assert_eq!(site.runs(attempt), 1, "{script:?}");
        }
        site.check_not_considered().await;
    })
    .unwrap();
}

/// Guards against hedges without the operator's word.
#[test]
fn nothing_is_hedged_by_default() {
    kernel::run(async {
        let site = Site::start("desk", &plan(false, 2), &[]).await;
        site.learn(CallerRequest::lookup).await;
        site.script(&[RunnerScript::Silent]);
        let begun = Instant::now();
        let answer = site.fleet.send(0, &CallerRequest::lookup("s1")).await;
        assert_eq!(answer.status, 200);
        assert!(begun.elapsed() >= Duration::from_secs(1), "{:?}", begun.elapsed());
        site.check_not_considered().await;
    })
    .unwrap();
}

/// Guards against a call that is told as not run although both sends may have run, and against a
/// third run.
#[test]
fn if_both_sends_fail_the_outcome_is_unknown() {
    kernel::run(async {
        let site = Site::start("desk", &plan(false, 2), &hedging()).await;
        site.learn(CallerRequest::lookup).await;
        site.script(&[RunnerScript::CloseLate, RunnerScript::CloseLate]);
        let answer = site.look_up_late("s1", site.wait_runs("s1", 2)).await;
        assert_eq!(answer.status, 502, "{answer:?}");
        assert_eq!(site.lines("hedge_sent", "s1").await.len(), 1);
        assert_eq!(site.runs("s1"), 2);
    })
    .unwrap();
}

/// Guards against a failure that reaches the caller although the other send still works, and
/// against a third send.
#[test]
fn a_send_that_fails_leaves_the_race_to_the_other() {
    kernel::run(async {
        for script in [RunnerScript::CloseLate, RunnerScript::FailureLate] {
            let site = Site::start("desk", &plan(false, 2), &hedging()).await;
            site.learn(CallerRequest::lookup).await;
            site.script(&[script, RunnerScript::AnswerLate]);
            let first_fails = async {
                site.wait_runs("s1", 2).await;
                let from = site.lines("hedge_sent", "s1").await[0]["from"].clone();
                let first = site.runners.iter().find(|runner| from == runner.id()).unwrap();
                first.release_late();
                compio::time::sleep(SEEN_SPAN).await;
            };
            let answer = site.look_up_late("s1", first_fails).await;
            let lines = site.lines("hedge_sent", "s1").await;
            let to = lines[0]["to"].as_str().unwrap();
            assert_eq!(answer.text, format!("answer of {to} to s1 /look/ticket"), "{script:?}");
            assert_eq!(site.runs("s1"), 2, "{script:?}");
            let ended = site.lines("hedge_ended", "s1").await;
            assert_eq!(ended[0]["outcome"], "won", "{script:?}");
        }
    })
    .unwrap();
}

/// Guards against a second send beyond `maxAttempts`.
#[test]
fn a_hedge_counts_against_the_attempts() {
    kernel::run(async {
        let site = Site::start("desk", &plan(false, 1), &hedging()).await;
        site.learn(CallerRequest::lookup).await;
        site.script(&[RunnerScript::AnswerLate]);
        assert_eq!(site.denial("s1").await, "attempts_used");
        assert_eq!(site.runs("s1"), 1);
    })
    .unwrap();
}

/// Guards against runners that go on working for a caller who has left.
#[test]
fn both_sends_end_when_the_caller_leaves() {
    kernel::run(async {
        let site = Site::start("desk", &plan(false, 2), &hedging()).await;
        site.learn(CallerRequest::lookup).await;
        site.script(&[RunnerScript::Silent, RunnerScript::Silent]);
        let request = CallerRequest::lookup("s1");
        let sent = site.wait_runs("s1", 2);
        // The caller leaves at the end of this statement.
        let is_open = matches!(
            select(pin!(site.fleet.open(0, &request)), pin!(sent)).await,
            Either::Right(_)
        );
        assert!(is_open, "answered");
        let left = Instant::now();
        site.wait_abandoned(2).await;
        assert!(site.abandoned().iter().all(|closed| *closed < left + CLOSE_LIMIT));
        assert_eq!(site.runs("s1"), 2);
    })
    .unwrap();
}

/// Guards against more second sends than the share allows.
#[test]
fn a_share_that_is_used_up_ends_the_hedges() {
    kernel::run(async {
        let site = Site::start("desk", &plan(false, 2), &[("hedge_share", json!(0.03))]).await;
        site.learn(CallerRequest::lookup).await;
        let mut requests = LEARNED;
        loop {
            let attempt = format!("s{requests}");
            requests += 1;
            site.script(&[RunnerScript::AnswerLate]);
            let denied = async || {
                site.counter("yard_node_hedges_denied_total{reason=\"share_used\"}").await > 0
            };
            let decided = Box::pin(async {
                let sees = async || (site.runs(&attempt) == 2 || denied().await).then_some(());
                wait_until("a decision", LIMIT, sees).await.unwrap();
            });
            site.look_up_late(&attempt, decided).await;
            if denied().await {
                break;
            }
            assert!(requests < LEARNED + 20, "no end of the hedges");
        }
        let sent = site.counter("yard_node_hedges_total{outcome=\"sent\"}").await;
        assert!(sent >= 1 && sent as f64 <= 0.03 * requests as f64, "{sent} of {requests}");
    })
    .unwrap();
}

/// Guards against hedges that take the retry budget from sends after failures.
#[test]
fn nothing_is_hedged_while_less_than_half_of_the_retry_budget_is_left() {
    kernel::run(async {
        let sets = [("hedge_share", json!(0.1)), ("retry_ratio", json!(0.015))];
        let sets = [&sets[..], &[("retry_slack", json!(0.0))]].concat();
        let site = Site::start("desk", &plan(false, 2), &sets).await;
        site.learn(CallerRequest::lookup).await;
        site.script(&[RunnerScript::AnswerLate]);
        assert_eq!(site.denial("s1").await, "budget_spent");
        assert_eq!(site.runs("s1"), 1);
    })
    .unwrap();
}

/// Guards against extra work while a runner of the service says that it has too much.
#[test]
fn nothing_is_hedged_while_a_runner_names_a_limit_or_a_wait() {
    kernel::run(async {
        for named in ["limit", "wait"] {
            let site = Site::start("desk", &plan(false, 2), &hedging()).await;
            site.learn(CallerRequest::lookup).await;
            let runner = &site.runners[0];
            if named == "limit" {
                runner.name_limit(Some("1000"));
            } else {
                runner.turn_away(Some("4"));
            }
            let before = runner.visits().len();
            for number in 0..50 {
                if runner.visits().len() > before {
                    break;
                }
                site.fleet.send(0, &CallerRequest::lookup(&format!("n{number}"))).await;
            }
            assert!(runner.visits().len() > before);
            site.script(&[RunnerScript::AnswerLate]);
            assert_eq!(site.denial("s1").await, "runners_restricted", "{named}");
            assert_eq!(site.runs("s1"), 1, "{named}");
        }
    })
    .unwrap();
}
