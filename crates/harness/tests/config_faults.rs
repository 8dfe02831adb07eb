//! The published configuration under faults, by real processes.

use std::path::Path;
use std::time::{Duration, Instant};

use base::{LogOffset, PublishId, TimeSpan};
use config::{ConfigRecord, FileChange, PublishRecord};
use harness::{StackPlan, TestCaller, TestStack, wait_until};
use hyper::Method;
use serde_json::json;
use web::fetch;

const PLACES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];
const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];
const LIMIT: TimeSpan = TimeSpan::seconds(5);
/// Time in which a publish has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);
const KEY: &str = "sample-key-counter-caerdydd";

fn plan(vms: usize) -> StackPlan {
    StackPlan::default()
        .with_vms(vms, &PLACES)
        .with_runners("bookings", 1, &PLACES, &[], &[])
        .with_files(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/cobbler"))
}

/// Writes the shift's file with one drained runner, for publishing.
fn write_shift(stack: &TestStack, folder: &str, runner: &str) -> std::path::PathBuf {
    let folder = stack.folder(folder).unwrap();
    let text = json!({ "drain": [runner] }).to_string();
    std::fs::write(folder.join("night.overrides.jsonc"), text).unwrap();
    folder
}

async fn in_force(stack: &TestStack, vm: &str) -> u64 {
    stack.status(vm).await.ok().and_then(|it| it["config_offset"].as_u64()).unwrap_or(0)
}

async fn wait_in_force(stack: &TestStack, vms: &[&str], offset: u64) {
    for vm in vms {
        wait_until(&format!("{offset} is in force on {vm}"), IN_FORCE, async || {
            (in_force(stack, vm).await >= offset).then_some(())
        })
        .await
        .unwrap();
    }
}

/// The offset that `yard publish` says its record was accepted at.
fn accepted(output: &str) -> u64 {
    let line = output.lines().find_map(|line| line.strip_prefix("accepted at offset "));
    line.and_then(|offset| offset.trim().parse().ok()).unwrap_or_else(|| panic!("{output}"))
}

async fn append(stack: &TestStack, text: &str) {
    let path = "/streams/config/records";
    let body = text.to_owned().into();
    fetch("append", Method::POST, stack.log.address(), path, body, LIMIT).await.unwrap();
}

#[test]
fn a_publish_is_in_force_everywhere_within_seconds() {
    kernel::run(async {
        let stack = TestStack::start(plan(7)).await.unwrap();
        for round in 0..5 {
            let folder = write_shift(&stack, "night", &format!("bookings-{round}"));
            let start = Instant::now();
            let offset = accepted(&stack.publish(&[folder]).unwrap());
            eprintln!("yard publish, in force on 7 VMs: {} ms", start.elapsed().as_millis());
            assert!(start.elapsed() < IN_FORCE, "{:?}", start.elapsed());
            for vm in stack.plan.vms.iter().map(|plan| &plan.vm) {
                assert!(in_force(&stack, vm).await >= offset);
            }
        }
    })
    .unwrap();
}

#[test]
fn in_an_outage_of_the_log_a_replaced_vm_takes_the_state_of_its_peers() {
    kernel::run(async {
        let mut stack = TestStack::start(plan(3)).await.unwrap();
        let folder = write_shift(&stack, "night", "bookings-9");
        let offset = accepted(&stack.publish(&[folder]).unwrap());
        let log = stack.log.address();
        stack.set_fault(log, &json!({ "outage": "refuse" })).await.unwrap();
        let changed = write_shift(&stack, "night", "bookings-8");
        let refused = stack.publish(std::slice::from_ref(&changed)).unwrap_err().to_string();
        assert!(refused.contains("read of the log"), "{refused}");
        // The machine is replaced: nothing of it is left.
        stack.kill_vm("vm-2").unwrap();
        stack.start_vm("vm-2").unwrap();
        wait_in_force(&stack, &VMS, offset).await;
        let caller = TestCaller::new(KEY);
        let path = "/v1/services/bookings/tickets/7";
        let ticket = caller.send(stack.entry("vm-2"), "GET", path, &[], "").await.unwrap();
        assert_eq!(ticket.status, 200, "{ticket:?}");
        stack.set_fault(log, &json!({ "outage": "off" })).await.unwrap();
        let later = accepted(&stack.publish(&[changed]).unwrap());
        wait_in_force(&stack, &VMS, later).await;
    })
    .unwrap();
}

#[test]
fn a_steward_paused_past_the_retention_comes_back_without_going_back() {
    kernel::run(async {
        let mut plan = plan(3);
        plan.log_arguments = ["--keep-records", "8"].map(str::to_owned).to_vec();
        let mut stack = TestStack::start(plan).await.unwrap();
        stack.stewards["vm-3"].freeze().unwrap();
        let mut offset = 0;
        for round in 0..12 {
            let folder = write_shift(&stack, "night", &format!("bookings-{round}"));
            let arguments = publish_arguments(&stack, &folder, "0");
            let (_, output) = harness::run_tool("yard", &arguments).unwrap();
            offset = accepted(&output);
        }
        wait_in_force(&stack, &VMS[..2], offset).await;
        let before = in_force(&stack, "vm-3").await;
        stack.stewards["vm-3"].thaw().unwrap();
        wait_in_force(&stack, &VMS, offset).await;
        assert!(before < offset);
        // All stewards are replaced: only the log tells what is in force.
        for vm in VMS {
            stack.kill_vm(vm).unwrap();
        }
        for vm in VMS {
            stack.start_vm(vm).unwrap();
        }
        wait_in_force(&stack, &VMS, offset).await;
    })
    .unwrap();
}

#[test]
fn where_nobody_knows_what_was_in_force_an_operator_begins_anew() {
    kernel::run(async {
        let mut plan = plan(3);
        plan.log_arguments = ["--keep-records", "8"].map(str::to_owned).to_vec();
        let mut stack = TestStack::start(plan).await.unwrap();
        let folder = write_shift(&stack, "night", "bookings-9");
        let mut arguments = publish_arguments(&stack, &folder, "10");
        arguments.extend(["--platform-seconds", "2"].map(str::to_owned));
        let begin = [arguments.clone(), vec!["--start-over".to_owned()]].concat();
        let (code, output) = harness::run_tool("yard", &begin).unwrap();
        assert_eq!(code, 2, "{output}");
        for vm in VMS {
            stack.kill_vm(vm).unwrap();
        }
        for number in 0..20 {
            append(&stack, &format!("expires {number}")).await;
        }
        for vm in VMS {
            stack.start_vm(vm).unwrap();
        }
        let (code, output) = harness::run_tool("yard", &arguments).unwrap();
        assert_eq!(code, 3, "{output}");
        let (code, output) = harness::run_tool("yard", &begin).unwrap();
        assert_eq!(code, 0, "{output}");
        wait_in_force(&stack, &VMS, accepted(&output)).await;
        let (code, output) = harness::run_tool("yard", &begin).unwrap();
        assert_eq!(code, 2, "{output}");
    })
    .unwrap();
}

#[test]
fn two_operators_at_once_end_the_same_everywhere() {
    kernel::run(async {
        let stack = TestStack::start(plan(3)).await.unwrap();
        let (mut won, mut lost) = (0, 0);
        for round in 0..5 {
            // Both publish a folder of the same name, so that they change the same file.
            let folders = ["day", "late"].map(|shift| {
                write_shift(&stack, &format!("{shift}/desk"), &format!("bookings-{shift}-{round}"))
            });
            let threads = folders.map(|folder| {
                let arguments = publish_arguments(&stack, &folder, "10");
                std::thread::spawn(move || harness::run_tool("yard", &arguments).unwrap())
            });
            let runs = threads.map(|thread| thread.join().unwrap());
            for (code, output) in &runs {
                match code {
                    0 => won += 1,
                    1 => {
                        assert!(output.contains("rejected at offset"), "{output}");
                        lost += 1;
                    }
                    _ => panic!("exit {code}: {output}"),
                }
            }
            let offsets = runs.iter().filter(|run| run.0 == 0).map(|run| accepted(&run.1));
            let newest = offsets.max().expect("one of them wins");
            wait_in_force(&stack, &VMS, newest).await;
        }
        assert_eq!(won + lost, 10);
        eprintln!("two operators at once: {won} accepted, {lost} rejected");
    })
    .unwrap();
}

#[test]
fn a_file_that_a_release_cannot_use_is_not_claimed() {
    kernel::run(async {
        let stack = TestStack::start(plan(3)).await.unwrap();
        let before = in_force(&stack, "vm-1").await;
        // A newer release knows a field that this one does not.
        let change = FileChange {
            path: "night/new.overrides.jsonc".into(),
            base: LogOffset(0),
            text: Some(r#"{ "drain": [], "limits": {} }"#.into()),
        };
        let record = ConfigRecord::Publish(PublishRecord {
            id: PublishId(7),
            author: "night".into(),
            note: "".into(),
            files: vec![change],
        });
        append(&stack, &record.encode()).await;
        let unusable = wait_until("the file is named", IN_FORCE, async || {
            let status = stack.status("vm-1").await.ok()?;
            let files = status["unusable_files"].as_array()?;
            files.first().cloned()
        })
        .await
        .unwrap();
        assert_eq!(unusable["path"], "night/new.overrides.jsonc");
        let claimed = in_force(&stack, "vm-1").await;
        assert_eq!(claimed, unusable["version"].as_u64().unwrap() - 1);
        assert!(claimed >= before);
        let caller = TestCaller::new(KEY);
        let path = "/v1/services/bookings/tickets/7";
        let ticket = caller.send(stack.entry("vm-1"), "GET", path, &[], "").await.unwrap();
        assert_eq!(ticket.status, 200, "{ticket:?}");
    })
    .unwrap();
}

fn publish_arguments(stack: &TestStack, folder: &Path, wait_seconds: &str) -> Vec<String> {
    let (log, vms) = (stack.log.address().to_string(), stack.vm_list.address().to_string());
    let folder = folder.display().to_string();
    let arguments =
        ["publish", &folder, "--log", &log, "--vms", &vms, "--wait-seconds", wait_seconds];
    arguments.map(str::to_owned).to_vec()
}
