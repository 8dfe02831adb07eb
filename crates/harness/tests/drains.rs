//! Leaving runners and planned stops, by real processes.
//!
//! A leaving runner gets no new work after a few seconds, whoever says that it leaves; a
//! planned stop cuts no request.

use std::time::Duration;

use harness::{StackPlan, TestCaller, TestStack, wait_until};
use serde_json::{Value, json};

const PLACES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];
const LIMIT: Duration = Duration::from_secs(20);
/// Time after which a leaving runner must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(5);
const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];
const LEAVING: &str = "bookings-1";

fn plan() -> StackPlan {
    let models = ["repair-summary", "repair-tag"];
    let mut plan = StackPlan::default()
        .with_vms(3, &PLACES)
        .with_runners("bookings", 2, &PLACES, &[], &[])
        .with_runners("summaries", 2, &PLACES, &models, &[])
        .with_files(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/cobbler"));
    plan.entry_settings.push("linger_ms=1000".to_owned());
    plan
}

fn caller() -> TestCaller {
    TestCaller::new("sample-key-counter-caerdydd")
}

/// Looks tickets up at every entry.
async fn look_up(stack: &TestStack, calls: usize) {
    for number in 0..calls {
        let entry = stack.entry(VMS[number % 3]);
        let path = format!("/v1/services/bookings/tickets/{number}");
        let answer = caller().send(entry, "GET", &path, &[], "").await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Calls that a plain service has run.
async fn calls(stack: &TestStack, runner: &str) -> u64 {
    let calls: Value = stack.ask(stack.runner(runner), "/calls").await.unwrap();
    calls.as_object().unwrap().values().filter_map(Value::as_u64).sum()
}

/// Waits for the limit, then looks up: the leaving runner must not see any of it.
async fn assert_left(stack: &TestStack) {
    compio::time::sleep(LEAVING_LIMIT).await;
    let before = calls(stack, LEAVING).await;
    look_up(stack, 30).await;
    assert_eq!(calls(stack, LEAVING).await, before, "new work on a leaving runner");
}

#[test]
fn a_runner_that_the_list_shows_as_leaving_gets_no_new_work() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        look_up(&stack, 30).await;
        assert!(calls(&stack, LEAVING).await > 0, "it served before");
        stack.set_vm_state(LEAVING, "leaving").await.unwrap();
        assert_left(&stack).await;
    })
    .unwrap();
}

#[test]
fn a_runner_that_says_itself_that_it_leaves_gets_no_new_work_in_a_list_outage() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        look_up(&stack, 6).await;
        stack.set_fault(stack.vm_list.address(), &json!({ "outage": true })).await.unwrap();
        stack.set_fault(stack.runner(LEAVING), &json!({ "leaving": true })).await.unwrap();
        assert_left(&stack).await;
    })
    .unwrap();
}

#[test]
fn the_word_reaches_all_entries_while_a_steward_is_down() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        look_up(&stack, 6).await;
        stack.stewards.get_mut("vm-2").unwrap().kill().unwrap();
        stack.set_vm_state(LEAVING, "leaving").await.unwrap();
        compio::time::sleep(LEAVING_LIMIT).await;
        let before = calls(&stack, LEAVING).await;
        for number in 0..20 {
            let entry = stack.entry(["vm-1", "vm-3"][number % 2]);
            let path = format!("/v1/services/bookings/tickets/{number}");
            caller().send(entry, "GET", &path, &[], "").await.unwrap();
        }
        assert_eq!(calls(&stack, LEAVING).await, before);
        // The entry without a steward learns it from the runner's own refusal at most.
        stack.set_fault(stack.runner(LEAVING), &json!({ "refuse": true })).await.unwrap();
        look_up(&stack, 9).await;
    })
    .unwrap();
}

#[test]
fn an_operators_drain_is_a_published_file() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        let folder = stack.folder("drain").unwrap().join("cobbler");
        std::fs::create_dir_all(&folder).unwrap();
        let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/cobbler");
        for file in std::fs::read_dir(samples).unwrap().flatten() {
            std::fs::copy(file.path(), folder.join(file.file_name())).unwrap();
        }
        let text = json!({ "drain": [LEAVING] }).to_string();
        std::fs::write(folder.join("shift.overrides.jsonc"), text).unwrap();
        stack.publish(&[folder]).unwrap();
        assert_left(&stack).await;
    })
    .unwrap();
}

#[test]
fn a_stopping_entry_and_steward_cut_no_request() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let entry = stack.entry("vm-1");
        let prompt = "[[length 250]] history";
        let mut stream = caller().stream(entry, "repair-summary", prompt, 60_000).await.unwrap();
        stream.read_tokens(10).await.unwrap();
        let whole = kernel::spawn(async move {
            caller().complete(entry, "repair-summary", "[[length 200]] whole", 60_000).await
        });
        let fault = json!({ "delay": { "before_ms": 2_500 } });
        stack.set_fault(stack.runner("bookings-1"), &fault).await.unwrap();
        stack.set_fault(stack.runner("bookings-2"), &fault).await.unwrap();
        let tag = caller().home_tag(entry).await.unwrap();
        let booking =
            kernel::spawn(
                async move { caller().book(entry, "bookings", "pair-9", &tag, 20_000).await },
            );
        wait_until("all calls are at the entry", LIMIT, async || {
            (stack.status("vm-1").await.ok()?["calls"].as_u64()? >= 3).then_some(())
        })
        .await
        .unwrap();
        stack.stewards["vm-1"].terminate().unwrap();
        stack.entries["vm-1"].terminate().unwrap();
        stream.read_all().await.unwrap();
        assert!(stream.done, "{:?}", stream.error);
        assert_eq!(stream.tokens.len(), 250);
        assert_eq!(whole.await.unwrap().unwrap().body["tokens"].as_u64(), Some(200));
        assert_eq!(booking.await.unwrap().unwrap().outcome(), "done");
        for vm in ["vm-2", "vm-3"] {
            let answer = caller().lookup(stack.entry(vm)).await.unwrap();
            let addresses = answer.body["addresses"].to_string();
            assert!(!addresses.contains(&entry.to_string()), "{addresses}");
        }
        let mut codes = (None, None);
        wait_until("both processes have ended", LIMIT, async || {
            codes.0 = codes.0.or_else(|| stack.entries.get_mut("vm-1").unwrap().ended());
            codes.1 = codes.1.or_else(|| stack.stewards.get_mut("vm-1").unwrap().ended());
            codes.0.zip(codes.1)
        })
        .await
        .unwrap();
        assert_eq!(codes, (Some(0), Some(0)));
    })
    .unwrap();
}

#[test]
fn a_reclaimed_engine_loses_no_movable_generation() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let mut streams = Vec::new();
        for number in 0..6 {
            let entry = stack.entry(VMS[number % 3]);
            let prompt = format!("[[length 200]] history {number}");
            let stream = caller().stream(entry, "repair-summary", &prompt, 60_000).await.unwrap();
            streams.push(stream);
        }
        for stream in &mut streams {
            stream.read_tokens(5).await.unwrap();
        }
        let engine = stack.runner("summaries-1");
        stack.set_fault(engine, &json!({ "leaving": true })).await.unwrap();
        compio::time::sleep(Duration::from_secs(1)).await;
        stack.runners.get_mut("summaries-1").unwrap().kill().unwrap();
        for stream in &mut streams {
            stream.read_all().await.unwrap();
            assert!(stream.done, "{:?}", stream.error);
            assert_eq!(stream.tokens.len(), 200);
        }
    })
    .unwrap();
}
