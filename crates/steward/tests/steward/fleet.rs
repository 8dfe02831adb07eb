//! Stewards as processes: views, configuration, leaving, death, outages, planned stops.

use crate::test_fleet::{SPREAD, TestFleet, runner_name, vm_name};
use harness::wait_until;
use peers::{EntryRecord, FleetView};
use serde_json::json;

fn reported(view: &FleetView) -> usize {
    view.runners.iter().filter(|runner| runner.report.is_some()).count()
}

fn entries(view: &FleetView) -> &[EntryRecord] {
    view.entries.as_deref().expect("a whole view")
}

fn is_leaving(view: &FleetView, number: usize) -> bool {
    let name = runner_name(number);
    view.runners.iter().any(|record| record.runner.as_str() == name && record.leaving)
}

#[test]
fn every_steward_knows_all_runners_and_entries_though_each_polls_a_share() {
    kernel::run(async {
        let fleet = TestFleet::start(3, 6).await;
        let all = [0, 1, 2];
        fleet
            .wait_views("all is known", &all, |view| {
                reported(view) == 6 && entries(view).len() == 3 && !view.cut_off
            })
            .await;
        wait_until("one steward polls each of the six runners", SPREAD, async || {
            let mut polled = 0;
            for number in all {
                let dump = fleet.dump(number).await?;
                polled += dump["counters"]["runners.polled"].as_u64()?;
            }
            (polled == 6).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}

#[test]
fn a_publish_is_in_force_everywhere_and_survives_a_log_outage() {
    kernel::run(async {
        let mut fleet = TestFleet::start(3, 2).await;
        let text = json!({ "drain": [runner_name(0)] }).to_string();
        let offset = fleet.publish("drain.overrides.jsonc", 0, &text).await;
        let in_force =
            |view: &FleetView| view.config.as_ref().is_some_and(|plan| plan.offset.0 == offset);
        fleet.wait_views("in force", &[0, 1, 2], in_force).await;
        fleet.wait_views("drained", &[0, 1, 2], |view| is_leaving(view, 0)).await;

        // With the log down, a new incarnation gets the configuration from its peers.
        fleet.log.kill().unwrap();
        fleet.stewards.get_mut(&2).unwrap().kill().unwrap();
        fleet.start_steward(2);
        fleet.wait_views("in force without the log", &[0, 1, 2], in_force).await;
    })
    .unwrap();
}

#[test]
fn a_leaving_mark_reaches_all_and_outlives_the_list() {
    kernel::run(async {
        let fleet = TestFleet::start(3, 3).await;
        let all = [0, 1, 2];
        fleet.wait_views("reports", &all, |view| reported(view) == 3).await;
        fleet.set_state(&runner_name(1), "leaving").await;
        fleet.wait_views("leaving", &all, |view| is_leaving(view, 1)).await;
        fleet.set_state(&runner_name(1), "live").await;
        fleet.set_state(&runner_name(2), "gone").await;
        fleet.wait_views("gone", &all, |view| view.runners.len() == 2).await;
        fleet.wait_views("still leaving", &all, |view| is_leaving(view, 1)).await;
    })
    .unwrap();
}

#[test]
fn a_dead_steward_is_removed_and_its_share_is_reassigned() {
    kernel::run(async {
        let mut fleet = TestFleet::start(3, 6).await;
        fleet.wait_views("entries", &[0, 1, 2], |view| entries(view).len() == 3).await;
        fleet.stewards.get_mut(&1).unwrap().kill().unwrap();
        fleet.wait_views("dropped", &[0, 2], |view| entries(view).len() == 2).await;
        wait_until("the share moves", SPREAD, async || {
            let (first, second) = (fleet.dump(0).await?, fleet.dump(2).await?);
            let polled = |dump: &serde_json::Value| dump["counters"]["runners.polled"].as_u64();
            (polled(&first)? + polled(&second)? == 6).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}

#[test]
fn a_platform_outage_is_no_cut_off_but_silence_of_all_is() {
    kernel::run(async {
        let mut fleet = TestFleet::start(3, 2).await;
        fleet.wait_views("entries", &[0, 1, 2], |view| entries(view).len() == 3).await;
        fleet.log.kill().unwrap();
        fleet.vm_list.kill().unwrap();
        wait_until("the platform has been silent for long", SPREAD, async || {
            fleet.own_view(0).await?;
            fleet.own_view(1).await?;
            let dump = fleet.dump(0).await?;
            let silence = dump["fleet"]["platform_silence_ms"].as_u64()?;
            (silence > peers::CUT_OFF_SILENCE.as_millis() + 500).then_some(())
        })
        .await
        .unwrap();
        let view = fleet.own_view(0).await.unwrap();
        assert!(!view.cut_off, "the peers still answer");
        fleet.stewards.get_mut(&1).unwrap().kill().unwrap();
        fleet.stewards.get_mut(&2).unwrap().kill().unwrap();
        fleet.wait_views("cut off", &[0], |view| view.cut_off).await;
    })
    .unwrap();
}

#[test]
fn a_planned_stop_waits_for_the_entries_and_is_announced() {
    kernel::run(async {
        let mut fleet = TestFleet::start(2, 1).await;
        fleet.wait_views("entries", &[0, 1], |view| entries(view).len() == 2).await;
        fleet.stewards[&1].terminate().unwrap();
        let name = vm_name(1);
        let without = |view: &FleetView| entries(view).iter().all(|e| e.vm.as_str() != name);
        fleet.wait_views("left the lookups", &[0, 1], without).await;
        assert_eq!(fleet.stewards.get_mut(&1).unwrap().ended(), None, "its entry still works");
        // The entry falls silent: it has ended.
        let mut steward = fleet.stewards.remove(&1).unwrap();
        let code = wait_until("exit", SPREAD, || std::future::ready(steward.ended())).await;
        assert_eq!(code.unwrap(), 0);
    })
    .unwrap();
}
