//! Configuration from several shifts, by real processes under failure.
//!
//! What was accepted is in force on every reachable VM within 6 s and never reverts.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use harness::{StackPlan, TestStack, run_tool, wait_until};
use serde_json::json;

const PLACES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];
/// The brief's bound for a configuration to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
const LIMIT: Duration = Duration::from_secs(20);
const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];

fn plan() -> StackPlan {
    StackPlan::default()
        .with_vms(3, &PLACES)
        .with_runners("bookings", 1, &PLACES, &[], &[])
        .with_files(concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/cobbler"))
}

/// A folder `shift` with an overrides file that drains `runner`.
fn overrides(stack: &TestStack, shift: &str, runner: &str) -> PathBuf {
    let folder = stack.folder(shift).unwrap().join("shift");
    std::fs::create_dir_all(&folder).unwrap();
    let text = json!({ "drain": [runner] }).to_string();
    std::fs::write(folder.join("shift.overrides.jsonc"), text).unwrap();
    folder
}

/// Publishes a folder and gives the offset at which it was accepted.
fn publish(stack: &TestStack, folder: PathBuf) -> u64 {
    accepted_at(&stack.publish(&[folder]).unwrap())
}

/// The offset that the command line names; checkpoints take offsets too.
fn accepted_at(output: &str) -> u64 {
    let rest = output.split("accepted at offset ").nth(1);
    let digits = rest.and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or_else(|| panic!("{output}"))
}

async fn offset(stack: &TestStack, vm: &str) -> Option<u64> {
    stack.status(vm).await.ok()?["config_offset"].as_u64()
}

/// Waits until all these VMs use at least `offset`, and gives how long that took.
async fn wait_in_force(stack: &TestStack, vms: &[&str], wanted: u64) -> Duration {
    let start = Instant::now();
    for vm in vms {
        wait_until(&format!("{vm} uses {wanted}"), LIMIT, async || {
            (offset(stack, vm).await? >= wanted).then_some(())
        })
        .await
        .unwrap();
    }
    start.elapsed()
}

#[test]
fn a_publish_is_in_force_on_every_vm_within_the_bound() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        let folder = overrides(&stack, "night", "bookings-9");
        let start = Instant::now();
        let accepted = publish(&stack, folder);
        wait_in_force(&stack, &VMS, accepted).await;
        assert!(start.elapsed() < IN_FORCE_LIMIT, "{:?}", start.elapsed());
    })
    .unwrap();
}

#[test]
fn of_two_shifts_that_race_one_wins_and_the_other_learns_by_whom() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        let folders = ["early", "late"].map(|shift| overrides(&stack, shift, shift));
        // Both read the same state, and their appends are delayed until both have read.
        let slow = json!({ "slow_ms": 300 });
        stack.set_fault(stack.log.address(), &slow).await.unwrap();
        let tools = folders.map(|folder| {
            let arguments = publish_arguments(&stack, &folder);
            std::thread::spawn(move || run_tool("yard", &arguments).unwrap())
        });
        let outcomes = tools.map(|tool| tool.join().unwrap());
        stack.set_fault(stack.log.address(), &json!({ "slow_ms": 0 })).await.unwrap();
        let mut codes: Vec<i32> = outcomes.iter().map(|(code, _)| *code).collect();
        codes.sort_unstable();
        assert_eq!(codes, [0, 1], "{outcomes:?}");
        let (_, winner) = outcomes.iter().find(|(code, _)| *code == 0).unwrap();
        let (_, loser) = outcomes.iter().find(|(code, _)| *code == 1).unwrap();
        let beaten_by = format!("is at version {}", accepted_at(winner));
        assert!(loser.contains("rejected") && loser.contains(&beaten_by), "{loser}");
    })
    .unwrap();
}

#[test]
fn a_lost_append_answer_is_resolved_and_never_guessed() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        stack.set_fault(stack.log.address(), &json!({ "lose_answer": 1 })).await.unwrap();
        let accepted = publish(&stack, overrides(&stack, "night", "bookings-9"));
        assert!(offset(&stack, "vm-1").await >= Some(accepted));
    })
    .unwrap();
}

#[test]
fn a_replaced_vm_gets_the_configuration_from_peers_in_an_outage() {
    kernel::run(async {
        let mut stack = TestStack::start(plan()).await.unwrap();
        let accepted = publish(&stack, overrides(&stack, "night", "bookings-9"));
        stack.set_fault(stack.log.address(), &json!({ "outage": "hang" })).await.unwrap();
        stack.kill_vm("vm-2").unwrap();
        stack.start_vm("vm-2").unwrap();
        let took = wait_in_force(&stack, &["vm-2"], accepted).await;
        assert!(took < IN_FORCE_LIMIT, "{took:?}");
    })
    .unwrap();
}

#[test]
fn nothing_reverts_when_all_vms_are_replaced_and_the_log_forgets() {
    kernel::run(async {
        let mut plan = plan();
        plan.steward_settings.push("log_retention_ms=6000".to_owned());
        let mut stack = TestStack::start(plan).await.unwrap();
        stack.set_fault(stack.log.address(), &json!({ "keep_ms": 6_000 })).await.unwrap();
        for round in 0..4 {
            let folder = overrides(&stack, &format!("round-{round}"), &format!("r-{round}"));
            let newest = publish(&stack, folder);
            let vm = VMS[round % 3];
            stack.kill_vm(vm).unwrap();
            stack.start_vm(vm).unwrap();
            wait_in_force(&stack, &VMS, newest).await;
        }
        // The first records have expired; now all VMs go at once.
        let newest = offset(&stack, "vm-1").await.unwrap();
        wait_until("the log has forgotten the first record", LIMIT, async || {
            let path = "/streams/config/records?from=1&wait_ms=0&max=1";
            let page = stack.ask(stack.log.address(), path).await.ok()?;
            (page["first"].as_u64()? > 1).then_some(())
        })
        .await
        .unwrap();
        for vm in VMS {
            stack.kill_vm(vm).unwrap();
        }
        for vm in VMS {
            stack.start_vm(vm).unwrap();
        }
        wait_in_force(&stack, &VMS, newest).await;
    })
    .unwrap();
}

#[test]
fn a_frozen_steward_that_wakes_reverts_nothing() {
    kernel::run(async {
        let stack = TestStack::start(plan()).await.unwrap();
        stack.stewards["vm-2"].freeze().unwrap();
        let folder = overrides(&stack, "night", "bookings-9");
        let arguments = publish_arguments(&stack, &folder);
        let (_, output) = run_tool("yard", &arguments).unwrap();
        assert!(output.contains("vm-2"), "the frozen one is named: {output}");
        let accepted = accepted_at(&output);
        assert!(offset(&stack, "vm-1").await >= Some(accepted));
        stack.stewards["vm-2"].thaw().unwrap();
        let took = wait_in_force(&stack, &VMS, accepted).await;
        assert!(took < IN_FORCE_LIMIT, "{took:?}");
        for vm in VMS {
            assert!(offset(&stack, vm).await >= Some(accepted), "{vm} went back");
        }
    })
    .unwrap();
}

fn publish_arguments(stack: &TestStack, folder: &std::path::Path) -> Vec<String> {
    let parts = [
        "publish",
        &folder.display().to_string(),
        "--log",
        &stack.log.address().to_string(),
        "--vms",
        &stack.vm_list.address().to_string(),
        "--wait-seconds",
        "8",
    ];
    parts.map(str::to_owned).to_vec()
}
