//! Signals in series, and while a node starts and stops: only a planned stop ends it.

use std::io::Write as _;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fakes::platform::RunnerFakeSettings;
use harness::{CallerRequest, NodeFleet, program_path, wait_until};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(10);
/// Pairs of changes of the settings, each change with a SIGHUP.
const PAIRS: u32 = 2_000;
/// Pauses between the signals of a pair, in milliseconds: 0 up to this, without it.
const PAUSES_MS: u32 = 6;
/// The share of hedges in the last settings.
const LAST_SHARE: f64 = 0.1;
/// Time that the call takes which a stop has to wait for.
const WORK: Duration = Duration::from_millis(1_500);
/// The bit of SIGHUP in a mask of signals.
const SIGHUP_BIT: u64 = 1;

/// Replaces the settings of the first node and tells it.
fn reload(fleet: &NodeFleet, hedge_share: f64) {
    let mut settings = fleet.settings(0);
    settings["hedge_share"] = json!(hedge_share);
    fleet.nodes[0].write_settings(&settings.to_string()).unwrap();
    fleet.nodes[0].signal(Signal::HUP).unwrap();
}

/// Guards against a SIGHUP that comes while another one is handled and ends the process, and
/// against settings that are not read since their SIGHUP came with another one.
#[test]
fn sighups_in_series_end_no_process_and_the_last_settings_hold() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let _desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        for pair in 0..PAIRS {
            let hedge_share = f64::from(pair % 50) / 1_000.0;
            reload(&fleet, hedge_share);
            let pause_ms = u64::from(pair % PAUSES_MS);
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
            reload(&fleet, hedge_share);
            assert_eq!(fleet.nodes[0].ended(), None, "ended after {pair} pairs");
        }
        reload(&fleet, LAST_SHARE);
        wait_until("the last settings to be in force", LIMIT, async || {
            let reloads = fleet.nodes[0].events("reload");
            (reloads.last()?["hedge_share"] == LAST_SHARE).then_some(())
        })
        .await
        .unwrap();
        assert_eq!(fleet.nodes[0].ended(), None);
        let answer = fleet.send(0, &CallerRequest::lookup("a1")).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    })
    .unwrap();
}

/// Starts node 0 of a fleet, which waits for its settings on its input. Returns once it handles
/// SIGHUP.
async fn start_without_settings() -> Child {
    let mut node = Command::new(program_path("yard-node"))
        .args(["--settings", "/dev/stdin"])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let path = format!("/proc/{}/status", node.id());
    let handles = wait_until("the node to handle SIGHUP", LIMIT, async || {
        let status = std::fs::read_to_string(&path).ok()?;
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"))?;
        let mask = u64::from_str_radix(mask.trim(), 16).ok()?;
        (mask & SIGHUP_BIT != 0).then_some(())
    })
    .await;
    if handles.is_err() {
        node.kill().unwrap();
        node.wait().unwrap();
        panic!("no handler is in place before the settings are read");
    }
    node
}

/// Gives a node its settings.
fn give_settings(node: &mut Child, fleet: &NodeFleet) {
    let mut input = node.stdin.take().unwrap();
    input.write_all(fleet.settings(0).to_string().as_bytes()).unwrap();
}

fn signal(node: &Child, signal: Signal) {
    kill_process(Pid::from_child(node), signal).unwrap();
}

async fn wait_end(node: &mut Child) -> Option<i32> {
    let ended = wait_until("the node to end", LIMIT, async || node.try_wait().unwrap()).await;
    node.kill().unwrap();
    ended.unwrap().code()
}

/// Guards against a SIGHUP that ends a node which has not read its settings yet.
#[test]
fn sighups_during_the_start_do_not_end_the_process() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let _desk = fleet.add_runner("desk", RunnerFakeSettings::new("desk-1")).await.unwrap();
        let mut node = start_without_settings().await;
        signal(&node, Signal::HUP);
        signal(&node, Signal::HUP);
        give_settings(&mut node, &fleet);
        wait_until("the node to be ready", LIMIT, async || {
            (fleet.readiness(0).await == 200).then_some(())
        })
        .await
        .unwrap();
        signal(&node, Signal::TERM);
        assert_eq!(wait_end(&mut node).await, Some(0));
    })
    .unwrap();
}

/// Guards against a SIGTERM that is lost, or ends the node at once, since it comes too early.
#[test]
fn a_sigterm_during_the_start_stops_the_node_as_planned() {
    kernel::run(async {
        let fleet = NodeFleet::start().await.unwrap();
        let mut node = start_without_settings().await;
        signal(&node, Signal::TERM);
        give_settings(&mut node, &fleet);
        assert_eq!(wait_end(&mut node).await, Some(0));
    })
    .unwrap();
}

/// Guards against a second SIGTERM, or a SIGHUP, that ends a stopping node before its calls.
#[test]
fn signals_during_a_stop_do_not_cut_the_calls_that_it_waits_for() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut settings = RunnerFakeSettings::new("desk-1");
        settings.work = WORK;
        let desk = fleet.add_runner("desk", settings).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let request = CallerRequest::booking("a1");
        let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
            wait_until("the call to run", LIMIT, async || desk.visits().first().map(drop))
                .await
                .unwrap();
            for signal in [Signal::TERM, Signal::HUP, Signal::HUP, Signal::TERM, Signal::INT] {
                fleet.nodes[0].signal(signal).unwrap();
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        assert_eq!((answer.status, answer.complete), (200, true));
        let code = wait_until("the node to end", LIMIT, async || fleet.nodes[0].ended()).await;
        assert_eq!(code.unwrap(), 0);
    })
    .unwrap();
}
