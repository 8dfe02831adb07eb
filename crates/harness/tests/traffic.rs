//! Load over the whole system, with every promise to callers checked, while faults strike.

use std::net::SocketAddr;
use std::thread;

use base::TimeSpan;
use harness::{StackPlan, TestStack, run_tool};
use serde_json::{Value, json};

const PLACES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];
const WORKSPACES: [&str; 9] = [
    "counter-caerdydd",
    "counter-abertawe",
    "counter-wrecsam",
    "counter-casnewydd",
    "workshop-caerdydd",
    "workshop-abertawe",
    "workshop-wrecsam",
    "head-office",
    "stock-room",
];
/// Steps of the engines, relative to real time, to fit a load into a test.
const SPEED: &str = "4";
/// Classes of the mix.
const CLASSES: usize = 5;
/// Place of a class in the mix.
const HISTORY: usize = 0;
const MIX: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/mixes/streams.jsonc");

fn plan() -> StackPlan {
    let models = ["repair-summary", "repair-tag"];
    let engine = ["--speed", SPEED, "--blocks", "500", "--report-lag-ms", "100"];
    StackPlan::default()
        .with_vms(3, &PLACES)
        .with_runners("summaries", 3, &PLACES, &models, &engine)
        .with_runners("bookings", 2, &PLACES, &[], &[])
        .with_files(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/cobbler"))
}

fn join(addresses: impl IntoIterator<Item = SocketAddr>) -> String {
    addresses.into_iter().map(|address| address.to_string()).collect::<Vec<_>>().join(",")
}

fn runners(stack: &TestStack, service: &str, count: usize) -> String {
    join((1..=count).map(|number| stack.runner(&format!("{service}-{number}"))))
}

fn arguments(stack: &TestStack, seconds: u32) -> Vec<String> {
    let mut arguments: Vec<String> =
        ["traffic", "--mix", MIX, "--format", "json"].map(str::to_owned).into();
    let seconds = seconds.to_string();
    let entries = join(["vm-1", "vm-2", "vm-3"].map(|vm| stack.entry(vm)));
    let (services, engines) = (runners(stack, "bookings", 2), runners(stack, "summaries", 3));
    for (name, value) in [
        ("--seconds", &seconds),
        ("--entries", &entries),
        ("--services", &services),
        ("--engines", &engines),
    ] {
        arguments.extend([name.to_owned(), value.clone()]);
    }
    for workspace in WORKSPACES {
        arguments.extend(["--caller".to_owned(), format!("{workspace}=sample-key-{workspace}")]);
    }
    arguments
}

/// Runs the load beside `faults`; gives the exit code and the report.
async fn load(
    stack: &mut TestStack,
    seconds: u32,
    faults: impl AsyncFnOnce(&mut TestStack),
) -> (i32, Value) {
    let arguments = arguments(stack, seconds);
    let load = thread::spawn(move || run_tool("yard-load", &arguments).unwrap());
    faults(stack).await;
    let (code, text) = load.join().unwrap();
    println!("{text}");
    (code, serde_json::from_str(&text).unwrap_or(Value::Null))
}

fn outcome(report: &Value, class: usize, outcome: &str) -> u64 {
    report["classes"][class]["outcomes"][outcome].as_u64().unwrap_or(0)
}

fn assert_all_done(report: &Value) {
    for class in 0..CLASSES {
        let started = report["classes"][class]["started"].as_u64().unwrap();
        assert_eq!(outcome(report, class, "done"), started, "{report:#}");
    }
}

#[test]
fn without_faults_every_call_is_done() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let (code, report) = load(&mut stack, 4, async |_| ()).await;
        assert_eq!(code, 0, "{report:#}");
        assert_all_done(&report);
    })
    .unwrap();
}

#[test]
fn promises_hold_while_streams_break_and_answers_get_lost() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let (code, report) = load(&mut stack, 6, async |stack| {
            for number in [1, 2, 3, 1] {
                let engine = stack.runner(&format!("summaries-{number}"));
                let service = stack.runner(&format!("bookings-{}", 1 + number % 2));
                stack.set_fault(engine, &json!({ "duplicate": 20 })).await.unwrap();
                kernel::sleep(TimeSpan::millis(700).into()).await;
                stack.set_fault(engine, &json!({ "kill_streams": true })).await.unwrap();
                stack.set_fault(service, &json!({ "lose_answer": 3 })).await.unwrap();
                kernel::sleep(TimeSpan::millis(700).into()).await;
                stack.set_fault(engine, &json!({ "stall_ms": 400 })).await.unwrap();
            }
        })
        .await;
        assert_eq!(code, 0, "{report:#}");
        assert!(outcome(&report, HISTORY, "done") > 0, "{report:#}");
    })
    .unwrap();
}

#[test]
fn promises_hold_while_an_entry_and_an_engine_die() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let (code, report) = load(&mut stack, 6, async |stack| {
            kernel::sleep(TimeSpan::seconds(2).into()).await;
            stack.entries.get_mut("vm-2").unwrap().kill().unwrap();
            kernel::sleep(TimeSpan::seconds(2).into()).await;
            stack.runners.get_mut("summaries-3").unwrap().kill().unwrap();
            stack.start_entry("vm-2").unwrap();
        })
        .await;
        assert_eq!(code, 0, "{report:#}");
    })
    .unwrap();
}

#[test]
fn a_planned_stop_cuts_no_request() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let (code, report) = load(&mut stack, 6, async |stack| {
            kernel::sleep(TimeSpan::seconds(2).into()).await;
            stack.entries["vm-2"].terminate().unwrap();
        })
        .await;
        assert_eq!(code, 0, "{report:#}");
        assert_all_done(&report);
    })
    .unwrap();
}

#[test]
fn a_leaving_engine_costs_no_answer() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let (code, report) = load(&mut stack, 6, async |stack| {
            kernel::sleep(TimeSpan::seconds(2).into()).await;
            let engine = stack.runner("summaries-1");
            stack.set_fault(engine, &json!({ "leaving": true })).await.unwrap();
            stack.set_vm_state("summaries-1", "leaving").await.unwrap();
        })
        .await;
        assert_eq!(code, 0, "{report:#}");
        assert_all_done(&report);
    })
    .unwrap();
}

#[test]
fn an_outage_of_the_platform_costs_no_answer() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let (code, report) = load(&mut stack, 6, async |stack| {
            kernel::sleep(TimeSpan::seconds(1).into()).await;
            let (log, vms) = (stack.log.address(), stack.vm_list.address());
            stack.set_fault(log, &json!({ "outage": "hang" })).await.unwrap();
            stack.set_fault(vms, &json!({ "outage": true })).await.unwrap();
        })
        .await;
        assert_eq!(code, 0, "{report:#}");
        assert_all_done(&report);
    })
    .unwrap();
}

#[test]
fn promises_hold_while_an_entry_and_a_steward_pause() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let (code, report) = load(&mut stack, 6, async |stack| {
            kernel::sleep(TimeSpan::seconds(1).into()).await;
            stack.entries["vm-1"].freeze().unwrap();
            stack.stewards["vm-3"].freeze().unwrap();
            kernel::sleep(TimeSpan::seconds(3).into()).await;
            stack.entries["vm-1"].thaw().unwrap();
            stack.stewards["vm-3"].thaw().unwrap();
        })
        .await;
        assert_eq!(code, 0, "{report:#}");
    })
    .unwrap();
}

#[test]
fn a_dead_engine_still_listed_costs_no_answer() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let (code, report) = load(&mut stack, 6, async |stack| {
            kernel::sleep(TimeSpan::seconds(1).into()).await;
            stack.runners.get_mut("summaries-3").unwrap().kill().unwrap();
        })
        .await;
        assert_eq!(code, 0, "{report:#}");
        assert_all_done(&report);
    })
    .unwrap();
}
