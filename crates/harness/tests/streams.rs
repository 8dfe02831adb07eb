//! Token streams and whole answers, by real processes under failure.
//!
//! Each caller sees tokens 0..N once, in order, of one generation, or an honest
//! `incomplete` with the right count; never another's token.

use std::time::Duration;

use harness::{LinkState, StackPlan, TestCaller, TestStack, TokenStream, wait_until};
use serde_json::{Value, json};

const PLACES: [&str; 3] = ["ikeja", "lekki", "yaba"];
const LIMIT: Duration = Duration::from_secs(20);
const DEADLINE_MS: u64 = 30_000;
/// Tokens of the long streams; at the stand-in's pace they take some seconds.
const LENGTH: usize = 300;

fn plan(engines: usize) -> StackPlan {
    StackPlan::default()
        .with_vms(3, &PLACES)
        .with_runners("briefings", engines, &PLACES, &["briefing", "tagging"], &[])
        .with_links("briefings")
        .with_files(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/harmattan"))
}

fn caller() -> TestCaller {
    TestCaller::new("sample-key-booth-abuja")
}

fn prompt(name: &str) -> String {
    format!("[[length {LENGTH}]] dossier {name}")
}

/// The tokens are 0..N, once, in order, with one nonce and one tag.
fn assert_one_generation(parts: &[&TokenStream], count: usize) {
    let tokens: Vec<&(u64, String)> = parts.iter().flat_map(|part| &part.tokens).collect();
    let indexes: Vec<u64> = tokens.iter().map(|(index, _)| *index).collect();
    assert_eq!(indexes, (0..count as u64).collect::<Vec<u64>>());
    let first: Vec<&str> = tokens[0].1.trim().split('-').collect();
    for (index, token) in tokens {
        let expected = format!("{}-{}-{index}", first[0], first[1]);
        assert_eq!(token.trim(), expected, "a token of another generation or caller");
    }
}

/// The engine that works on a generation now.
async fn busy_engine(stack: &TestStack) -> String {
    wait_until("an engine is busy", LIMIT, async || {
        for runner in stack.runners.keys() {
            let report: Value = stack.ask(stack.runner(runner), "/load").await.ok()?;
            if report["running"].as_u64()? > 0 {
                return Some(runner.clone());
            }
        }
        None
    })
    .await
    .unwrap()
}

#[test]
fn a_killed_entry_is_resumed_at_another_one() {
    kernel::run(async {
        let mut stack = TestStack::start(plan(3)).await.unwrap();
        let caller = caller();
        let text = prompt("killed entry");
        let entry = stack.entry("vm-1");
        let mut first = caller.stream(entry, "briefing", &text, DEADLINE_MS).await.unwrap();
        first.read_tokens(20).await.unwrap();
        stack.entries.get_mut("vm-1").unwrap().kill().unwrap();
        // What was on the way may still arrive; then the connection breaks.
        let _ = first.read_all().await;
        assert!(!first.done);
        let mut rest = caller.resume(stack.entry("vm-2"), &first.cursor).await.unwrap();
        rest.read_all().await.unwrap();
        assert!(rest.done, "{:?}", rest.error);
        assert_one_generation(&[&first, &rest], LENGTH);
    })
    .unwrap();
}

#[test]
fn a_killed_engine_is_continued_from_the_prefix() {
    kernel::run(async {
        let mut stack = TestStack::start(plan(3)).await.unwrap();
        let text = prompt("killed engine");
        let entry = stack.entry("vm-1");
        let mut stream = caller().stream(entry, "briefing", &text, DEADLINE_MS).await.unwrap();
        stream.read_tokens(20).await.unwrap();
        let engine = busy_engine(&stack).await;
        stack.runners.get_mut(&engine).unwrap().kill().unwrap();
        stream.read_all().await.unwrap();
        assert!(stream.done, "{:?}", stream.error);
        assert_one_generation(&[&stream], LENGTH);
    })
    .unwrap();
}

#[test]
fn a_killed_engine_ends_a_model_that_cannot_continue_honestly() {
    kernel::run(async {
        let mut stack = TestStack::start(plan(2)).await.unwrap();
        let text = prompt("no continuation");
        let entry = stack.entry("vm-1");
        // A resumed stream has no prompt, so that nothing can be sent to another engine.
        let caller = caller();
        let mut first = caller.stream(entry, "briefing", &text, DEADLINE_MS).await.unwrap();
        first.read_tokens(10).await.unwrap();
        let engine = busy_engine(&stack).await;
        stack.entries.get_mut("vm-1").unwrap().kill().unwrap();
        let _ = first.read_all().await;
        let mut rest = caller.resume(stack.entry("vm-3"), &first.cursor).await.unwrap();
        rest.read_tokens(10).await.unwrap();
        stack.runners.get_mut(&engine).unwrap().kill().unwrap();
        rest.read_all().await.unwrap();
        let error = rest.error.clone().expect("an honest end");
        let count = first.tokens.len() + rest.tokens.len();
        assert_eq!(error["outcome"], "incomplete");
        assert_eq!(error["delivered"].as_u64(), Some(count as u64));
        assert_one_generation(&[&first, &rest], count);
    })
    .unwrap();
}

#[test]
fn a_whole_answer_survives_an_engines_death() {
    kernel::run(async {
        let mut stack = TestStack::start(plan(3)).await.unwrap();
        let (entry, text) = (stack.entry("vm-2"), prompt("whole"));
        let caller = caller();
        let answer =
            kernel::spawn(
                async move { caller.complete(entry, "briefing", &text, DEADLINE_MS).await },
            );
        let engine = busy_engine(&stack).await;
        stack.runners.get_mut(&engine).unwrap().kill().unwrap();
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body["tokens"].as_u64(), Some(LENGTH as u64));
        let text = answer.body["text"].as_str().unwrap();
        let tokens: Vec<&str> = text.split_whitespace().collect();
        let start = tokens[0].strip_suffix('0').unwrap();
        for (index, token) in tokens.iter().enumerate() {
            assert_eq!(*token, format!("{start}{index}"), "tokens of two generations");
        }
    })
    .unwrap();
}

#[test]
fn late_and_crossed_tokens_and_broken_readings_do_not_show() {
    kernel::run(async {
        let stack = TestStack::start(plan(1)).await.unwrap();
        let text = prompt("crossed");
        let engine = stack.runner("briefings-1");
        stack.set_fault(engine, &json!({ "duplicate": 40 })).await.unwrap();
        let entry = stack.entry("vm-1");
        let mut stream = caller().stream(entry, "briefing", &text, DEADLINE_MS).await.unwrap();
        stream.read_tokens(60).await.unwrap();
        stack.set_fault(engine, &json!({ "kill_streams": true })).await.unwrap();
        stream.read_tokens(120).await.unwrap();
        let link = &stack.links["briefings-1"];
        link.set(LinkState::Cut);
        // Time for the link to see it.
        compio::time::sleep(Duration::from_millis(20)).await;
        link.set(LinkState::Open);
        stream.read_all().await.unwrap();
        assert!(stream.done, "{:?}", stream.error);
        assert_one_generation(&[&stream], LENGTH);
    })
    .unwrap();
}

#[test]
fn two_callers_with_crossed_engines_get_their_own_tokens() {
    kernel::run(async {
        let stack = TestStack::start(plan(2)).await.unwrap();
        for runner in stack.runners.keys() {
            let fault = json!({ "duplicate": 200 });
            stack.set_fault(stack.runner(runner), &fault).await.unwrap();
        }
        let caller = caller();
        let mut streams = Vec::new();
        for number in 0..4 {
            let entry = stack.entry(["vm-1", "vm-2", "vm-3", "vm-1"][number]);
            let text = prompt(&format!("caller {number}"));
            streams.push(caller.stream(entry, "briefing", &text, DEADLINE_MS).await.unwrap());
        }
        let mut tags = Vec::new();
        for stream in &mut streams {
            stream.read_all().await.unwrap();
            assert_one_generation(&[stream], LENGTH);
            tags.push(stream.tokens[0].1.split('-').nth(1).unwrap().to_owned());
        }
        tags.sort();
        tags.dedup();
        assert_eq!(tags.len(), 4, "two callers got the same prompt's tokens");
    })
    .unwrap();
}

#[test]
fn cursors_are_bound_to_their_workspace() {
    kernel::run(async {
        let stack = TestStack::start(plan(1)).await.unwrap();
        let entry = stack.entry("vm-1");
        let text = prompt("cursor");
        let mut stream = caller().stream(entry, "briefing", &text, DEADLINE_MS).await.unwrap();
        stream.read_tokens(5).await.unwrap();
        let other = TestCaller::new("sample-key-tribunal-records");
        let swapped = other.resume(entry, &stream.cursor).await.unwrap();
        assert_eq!((swapped.status, swapped.tokens.len()), (400, 0));
        let forged = stream.cursor.replacen("c1", "c2", 1);
        for cursor in [forged.as_str(), "", "a.b.c", &stream.cursor[1..]] {
            let refused = caller().resume(entry, cursor).await.unwrap();
            assert_eq!((refused.status, refused.tokens.len()), (400, 0), "{cursor}");
        }
    })
    .unwrap();
}

#[test]
fn a_caller_that_leaves_cancels_its_generation() {
    kernel::run(async {
        let stack = TestStack::start(plan(1)).await.unwrap();
        let entry = stack.entry("vm-1");
        let engine = stack.runner("briefings-1");
        let text = "[[length 20000]] a long one";
        let mut stream = caller().stream(entry, "briefing", text, 600_000).await.unwrap();
        stream.read_tokens(5).await.unwrap();
        // Nothing is written while the link is stalled: the entry has to look by itself.
        stack.set_fault(engine, &json!({ "stall_ms": 600_000 })).await.unwrap();
        drop(stream);
        wait_until("the generation is cancelled", LIMIT, async || {
            let report: Value = stack.ask(engine, "/load").await.ok()?;
            (report["running"].as_u64()? == 0).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}
