//! Bookings at most once, by real processes under failure.
//!
//! In every scenario the service's own count per key is never above 1, and every answer
//! is true against that count.

use std::time::Duration;

use futures_util::future::join_all;
use harness::{CallAnswer, LinkState, Result, StackPlan, TestCaller, TestStack, wait_until};
use serde_json::{Value, json};

const PLACES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];
const SERVICE: &str = "bookings";
const KEY: &str = "pair-7";
const LIMIT: Duration = Duration::from_secs(20);
/// How long after the caller's deadline an answer is still on its way.
const LATENESS: Duration = Duration::from_secs(1);

fn plan() -> StackPlan {
    StackPlan::default()
        .with_vms(3, &PLACES)
        .with_runners(SERVICE, 2, &PLACES, &[], &[])
        .with_links(SERVICE)
        .with_files(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/cobbler"))
}

fn caller() -> TestCaller {
    TestCaller::new("sample-key-counter-caerdydd")
}

/// How often the service ran the booking, over all its runners.
async fn count(stack: &TestStack, key: &str) -> u64 {
    let mut sum = 0;
    for runner in stack.runners.keys() {
        let counts: Value = stack.ask(stack.runner(runner), "/counts").await.unwrap();
        sum += counts[key].as_u64().unwrap_or(0);
    }
    sum
}

/// Sets a fault of all booking services.
async fn set_faults(stack: &TestStack, fault: Value) {
    for runner in stack.runners.keys() {
        stack.set_fault(stack.runner(runner), &fault).await.unwrap();
    }
}

async fn stop_log(stack: &TestStack) {
    stack.set_fault(stack.log.address(), &json!({ "outage": "refuse" })).await.unwrap();
}

/// Asks for the booking at all these entries at once.
async fn book_everywhere(stack: &TestStack, vms: &[&str], tag: &str) -> Vec<Result<CallAnswer>> {
    let caller = caller();
    let calls = vms.iter().map(|vm| caller.book(stack.entry(vm), SERVICE, KEY, tag, 3_000));
    join_all(calls).await
}

/// Whether no answer contradicts the service's count.
async fn assert_true_answers(stack: &TestStack, answers: &[Result<CallAnswer>]) -> u64 {
    let count = count(stack, KEY).await;
    assert!(count <= 1, "the booking ran {count} times");
    for answer in answers.iter().flatten() {
        match answer.outcome().as_str() {
            "done" => assert_eq!(count, 1, "done, but it never ran: {answer:?}"),
            "not_run" => assert_eq!(count, 0, "not run, but it ran: {answer:?}"),
            "unknown" => (),
            other => panic!("unexpected outcome {other}: {answer:?}"),
        }
    }
    count
}

#[test]
fn the_same_key_at_all_entries_at_once_runs_once() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        stop_log(&stack).await;
        let tag = caller().home_tag(stack.entry("vm-1")).await.unwrap();
        let vms = ["vm-1", "vm-2", "vm-3", "vm-1", "vm-2", "vm-3"];
        let answers = book_everywhere(&stack, &vms, &tag).await;
        assert_eq!(assert_true_answers(&stack, &answers).await, 1);
        assert!(answers.iter().flatten().all(|answer| answer.outcome() == "done"), "{answers:?}");
    })
    .unwrap();
}

#[test]
fn a_lost_answer_is_unknown_and_never_sent_again() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        stop_log(&stack).await;
        set_faults(&stack, json!({ "lose_answer": 1 })).await;
        let tag = caller().home_tag(stack.entry("vm-1")).await.unwrap();
        let first = book_everywhere(&stack, &["vm-1"], &tag).await;
        set_faults(&stack, json!({ "lose_answer": 0 })).await;
        let retries = book_everywhere(&stack, &["vm-1", "vm-2", "vm-3"], &tag).await;
        assert_eq!(assert_true_answers(&stack, &first).await, 1);
        assert_true_answers(&stack, &retries).await;
        let outcomes: Vec<String> =
            first.iter().chain(&retries).flatten().map(CallAnswer::outcome).collect();
        assert_eq!(outcomes, ["unknown"; 4]);
    })
    .unwrap();
}

#[test]
fn a_late_answer_is_kept_for_retries() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        let tag = caller().home_tag(stack.entry("vm-1")).await.unwrap();
        for link in stack.links.values() {
            link.set(LinkState::AnswersStalled);
        }
        let early = caller().book(stack.entry("vm-2"), SERVICE, KEY, &tag, 700).await.unwrap();
        assert_eq!(early.outcome(), "unknown");
        compio::time::sleep(LATENESS).await;
        for link in stack.links.values() {
            link.set(LinkState::Open);
        }
        wait_until("the late answer is kept", LIMIT, async || {
            let entry = stack.entry("vm-3");
            let answer = caller().book(entry, SERVICE, KEY, &tag, 2_000).await.ok()?;
            (answer.outcome() == "done").then_some(())
        })
        .await
        .unwrap();
        assert_eq!(count(&stack, KEY).await, 1);
    })
    .unwrap();
}

/// Plays a booking whose links end in `state` after it was sent.
async fn break_links_after_the_send(state: LinkState) {
    let stack = TestStack::start(plan()).await.unwrap();
    stop_log(&stack).await;
    let tag = caller().home_tag(stack.entry("vm-1")).await.unwrap();
    for link in stack.links.values() {
        link.set(LinkState::AnswersStalled);
    }
    let book = caller().book(stack.entry("vm-1"), SERVICE, KEY, &tag, 5_000).await;
    for link in stack.links.values() {
        link.set(state);
    }
    let retries = book_everywhere(&stack, &["vm-1", "vm-2", "vm-3"], &tag).await;
    assert_eq!(count(&stack, KEY).await, 1);
    assert_true_answers(&stack, &[book]).await;
    assert_true_answers(&stack, &retries).await;
}

#[test]
fn a_cut_link_after_the_send_is_unknown() {
    kernel::run(break_links_after_the_send(LinkState::Cut)).unwrap();
}

#[test]
fn a_lost_link_after_the_send_is_unknown() {
    kernel::run(break_links_after_the_send(LinkState::Lost)).unwrap();
}

#[test]
fn a_killed_home_leaves_its_bookings_unknown() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        stop_log(&stack).await;
        let tag = caller().home_tag(stack.entry("vm-1")).await.unwrap();
        let first = book_everywhere(&stack, &["vm-2"], &tag).await;
        stack.entries.get_mut("vm-1").unwrap().kill().unwrap();
        let retries = book_everywhere(&stack, &["vm-2", "vm-3"], &tag).await;
        assert_eq!(assert_true_answers(&stack, &first).await, 1);
        assert_true_answers(&stack, &retries).await;
        // The new process at the same address is another incarnation.
        stack.start_entry("vm-1").unwrap();
        stack.wait_ready().await.unwrap();
        let later = book_everywhere(&stack, &["vm-1", "vm-2", "vm-3"], &tag).await;
        assert_eq!(assert_true_answers(&stack, &later).await, 1);
        // A key that the dead home never saw is not claimed as not run either.
        let other = caller().book(stack.entry("vm-2"), SERVICE, "other", &tag, 1_000).await;
        assert_eq!(other.unwrap().outcome(), "unknown");
        assert_eq!(count(&stack, "other").await, 0);
    })
    .unwrap();
}

#[test]
fn a_frozen_home_that_wakes_runs_nothing_twice() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        stop_log(&stack).await;
        let tag = caller().home_tag(stack.entry("vm-1")).await.unwrap();
        stack.entries["vm-1"].freeze().unwrap();
        let frozen = book_everywhere(&stack, &["vm-2", "vm-3"], &tag).await;
        stack.entries["vm-1"].thaw().unwrap();
        let thawed = book_everywhere(&stack, &["vm-1", "vm-2", "vm-3"], &tag).await;
        assert_true_answers(&stack, &frozen).await;
        assert_true_answers(&stack, &thawed).await;
        let outcomes: Vec<String> = frozen.iter().flatten().map(CallAnswer::outcome).collect();
        assert_eq!(outcomes, ["unknown"; 2], "the home may have run it");
    })
    .unwrap();
}

#[test]
fn a_planned_stop_hands_the_bookings_to_one_adopter() {
    kernel::run(async {
        let mut plan = plan();
        plan.entry_settings.push("linger_ms=500".to_owned());
        let mut stack = TestStack::start(plan).await.unwrap();
        stop_log(&stack).await;
        let tag = caller().home_tag(stack.entry("vm-1")).await.unwrap();
        let first = book_everywhere(&stack, &["vm-1"], &tag).await;
        assert_eq!(first[0].as_ref().unwrap().outcome(), "done");
        stack.entries["vm-1"].terminate().unwrap();
        let mut code = None;
        wait_until("the stopping entry has ended", LIMIT, async || {
            code = stack.entries.get_mut("vm-1").unwrap().ended();
            code
        })
        .await
        .unwrap();
        assert_eq!(code, Some(0));
        let retries = book_everywhere(&stack, &["vm-2", "vm-3"], &tag).await;
        assert_eq!(assert_true_answers(&stack, &retries).await, 1);
        let outcomes: Vec<String> = retries.iter().flatten().map(CallAnswer::outcome).collect();
        assert_eq!(outcomes, ["done"; 2]);
        // The adopter may run a key that the stopped home never saw.
        let other = caller().book(stack.entry("vm-3"), SERVICE, "other", &tag, 3_000).await;
        assert_eq!(other.unwrap().outcome(), "done");
        assert_eq!(count(&stack, "other").await, 1);
    })
    .unwrap();
}

#[test]
fn a_refusal_by_the_service_and_a_missing_tag_are_not_run() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        let caller = caller();
        let entry = stack.entry("vm-2");
        set_faults(&stack, json!({ "refuse": true })).await;
        let tag = caller.home_tag(entry).await.unwrap();
        let refused = caller.book(entry, SERVICE, KEY, &tag, 3_000).await.unwrap();
        assert_eq!(refused.outcome(), "not_run", "{refused:?}");
        set_faults(&stack, json!({ "refuse": false })).await;
        let again = caller.book(entry, SERVICE, KEY, &tag, 3_000).await.unwrap();
        assert_eq!(again.outcome(), "done", "{again:?}");
        let path = "/v1/services/bookings/bookings";
        let headers = [("idempotency-key", "no-tag")];
        let bare = caller.send(entry, "POST", path, &headers, "{}").await.unwrap();
        assert_eq!((bare.status, bare.outcome().as_str()), (428, "not_run"));
        let forged = caller.book(entry, SERVICE, "forged", "h1:forged.1.00", 1_000).await.unwrap();
        assert_ne!(forged.outcome(), "done");
        assert_eq!(count(&stack, "forged").await + count(&stack, "no-tag").await, 0);
    })
    .unwrap();
}

#[test]
fn a_retry_that_is_refused_before_its_home_is_asked_is_unknown() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        let caller = caller();
        let tag = caller.home_tag(stack.entry("vm-1")).await.unwrap();
        let first = caller.book(stack.entry("vm-1"), SERVICE, KEY, &tag, 3_000).await.unwrap();
        assert_eq!(first.outcome(), "done");
        let path = "/v1/services/bookings/bookings";
        let bad = ("x-yard-deadline-ms", "soon");
        let headers = [("idempotency-key", KEY), ("x-yard-home", tag.as_str()), bad];
        let retry = caller.send(stack.entry("vm-2"), "POST", path, &headers, "{}").await.unwrap();
        assert_eq!((retry.status, retry.outcome().as_str()), (400, "unknown"));
        let headers = [("idempotency-key", KEY), bad];
        let first = caller.send(stack.entry("vm-2"), "POST", path, &headers, "{}").await.unwrap();
        assert_eq!((first.status, first.outcome().as_str()), (400, "not_run"));
        assert_eq!(count(&stack, KEY).await, 1);
    })
    .unwrap();
}
