//! Stewards' views of small fleets: leaving runners, outages, restarts, shares, convergence.

use crate::test_fleet::{TestFleet, entry_status, report, runner_id, vm_id};
use base::CacheEvent;
use base::prelude::*;
use peers::{
    CUT_OFF_SILENCE, ChangeCursor, ENTRY_SILENCE, LeavingRunner, PEER_SILENCE, RETIRED_HOLD,
    ReportShare,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

#[test]
fn a_leaving_mark_from_any_source_is_sticky_for_the_incarnation() {
    let sources: [fn(&mut TestFleet); 4] = [
        |fleet| {
            fleet.list.set_state("runner-0", VmState::Leaving);
            fleet.poll_lists();
            fleet.list.set_state("runner-0", VmState::Live);
            fleet.poll_lists();
        },
        |fleet| {
            let mut leaving = report(0, 7, 2);
            leaving.leaving = true;
            fleet.desks[0].on_report(fleet.now, leaving);
            fleet.desks[0].on_report(fleet.now, report(0, 7, 3));
        },
        |fleet| fleet.desks[0].on_leaving(&runner_id(0), 0),
        |fleet| {
            fleet.exchange(1, 0);
            let mut digest = fleet.desks[1].digest_for(fleet.now, &vm_id(0));
            digest.leaving = vec![LeavingRunner { runner: runner_id(0), incarnation: 7 }];
            assert!(fleet.desks[0].on_digest(fleet.now, digest));
        },
    ];
    for mark in sources {
        let mut fleet = TestFleet::new(2, 1);
        fleet.desks[0].on_report(fleet.now, report(0, 7, 1));
        mark(&mut fleet);
        assert!(fleet.is_leaving(0, 0));
        fleet.exchange(0, 1);
        assert!(fleet.is_leaving(1, 0), "the peer gets the mark");
        // Another incarnation is in service, and a late report of the earlier one is ignored.
        fleet.desks[0].on_report(fleet.now, report(0, 8, 1));
        fleet.desks[0].on_report(fleet.now, report(0, 7, 9));
        assert!(!fleet.is_leaving(0, 0));
    }
}

#[test]
fn a_leaving_mark_before_the_first_report_belongs_to_the_first_incarnation() {
    let mut fleet = TestFleet::new(1, 1);
    fleet.desks[0].on_leaving(&runner_id(0), 0);
    assert!(fleet.is_leaving(0, 0));
    fleet.desks[0].on_report(fleet.now, report(0, 7, 1));
    assert!(fleet.is_leaving(0, 0));
    fleet.desks[0].on_report(fleet.now, report(0, 8, 1));
    assert!(!fleet.is_leaving(0, 0));
}

#[test]
fn an_empty_list_is_an_outage_and_a_shorter_one_is_not() {
    let mut fleet = TestFleet::new(1, 3);
    fleet.desks[0].on_vms(fleet.now, &[]);
    assert_eq!(fleet.view(0).runners.len(), 3);
    fleet.list.remove("runner-1");
    fleet.poll_lists();
    let view = fleet.view(0);
    let left: Vec<&str> = view.runners.iter().map(|record| record.runner.as_str()).collect();
    assert_eq!(left, ["runner-0", "runner-2"]);
}

#[test]
fn a_cut_off_machine_is_distinguished_from_a_platform_outage() {
    let mut fleet = TestFleet::new(3, 0);
    fleet.report_entries(&[0, 1, 2]);
    let silence = CUT_OFF_SILENCE + TimeSpan::seconds(1);
    let end = fleet.now + silence;
    while fleet.now < end {
        fleet.advance(TimeSpan::millis(500));
        fleet.exchange(0, 1);
        fleet.tick();
    }
    assert!(!fleet.desks[0].is_cut_off(), "a peer answers");
    assert!(fleet.desks[2].is_cut_off(), "neither peers nor the platform");
    fleet.desks[2].on_platform(fleet.now);
    fleet.tick();
    assert!(!fleet.desks[2].is_cut_off(), "the platform answers");
}

#[test]
fn the_only_machine_is_never_cut_off() {
    let mut fleet = TestFleet::new(1, 1);
    fleet.pass(CUT_OFF_SILENCE + CUT_OFF_SILENCE);
    fleet.tick();
    assert!(!fleet.desks[0].is_cut_off());
}

#[test]
fn a_restarted_peer_replaces_its_earlier_incarnation() {
    let mut fleet = TestFleet::new(2, 0);
    fleet.report_entries(&[0, 1]);
    fleet.exchange(1, 0);
    let old = fleet.desks[1].digest_for(fleet.now, &vm_id(0));
    fleet.restart(1);
    fleet.report_entries(&[1]);
    fleet.exchange(1, 0);
    assert!(!fleet.desks[0].on_digest(fleet.now, old), "a digest of the earlier incarnation");
    let entries = fleet.entries(0);
    let calls: Vec<VmIncarnation> = entries.iter().map(|entry| entry.status.incarnation).collect();
    assert_eq!(calls, [entry_status(0, 1).incarnation, entry_status(1, 2).incarnation]);
    // The new incarnation knows nothing, and gets everything.
    assert_eq!(fleet.entries(1).len(), 2);
}

#[test]
fn a_late_digest_of_an_unknown_earlier_incarnation_does_not_keep_the_present_one_out() {
    let mut fleet = TestFleet::new(2, 0);
    fleet.report_entries(&[0, 1]);
    let old = fleet.desks[1].digest_for(fleet.now, &vm_id(0));
    fleet.restart(1);
    fleet.report_entries(&[1]);
    fleet.exchange(1, 0);
    // This incarnation was not known before: it cannot be distinguished from a later one.
    fleet.desks[0].on_digest(fleet.now, old);
    fleet.advance(RETIRED_HOLD);
    fleet.report_entries(&[1]);
    // The first exchange asks for what was forgotten, the second brings it.
    fleet.exchange(1, 0);
    fleet.exchange(1, 0);
    let entries = fleet.entries(0);
    let starts: Vec<VmIncarnation> = entries.iter().map(|e| e.status.incarnation).collect();
    assert!(starts.contains(&entry_status(1, 2).incarnation), "{starts:?}");
}

#[test]
fn a_lower_sequence_is_ignored() {
    let mut fleet = TestFleet::new(2, 1);
    fleet.report_entries(&[1]);
    let late = fleet.desks[1].digest_for(fleet.now, &vm_id(0));
    let mut leaving = entry_status(1, 1);
    leaving.leaving = true;
    fleet.desks[1].on_entry(fleet.now, &leaving);
    fleet.exchange(1, 0);
    assert_eq!(fleet.entries(0).len(), 0);
    fleet.desks[0].on_digest(fleet.now, late);
    assert_eq!(fleet.entries(0).len(), 0);

    fleet.desks[0].on_report(fleet.now, report(0, 7, 5));
    fleet.desks[0].on_report(fleet.now, report(0, 7, 4));
    let record = fleet.view(0).runners[0].report.clone().unwrap();
    assert_eq!(record.sequence, 5);
}

#[test]
fn dead_entries_and_machines_leave_the_lookups() {
    let mut fleet = TestFleet::new(2, 0);
    fleet.report_entries(&[0, 1]);
    fleet.exchange(0, 1);
    assert_eq!(fleet.entries(0).len(), 2);
    for _ in 0..PEER_SILENCE.as_millis() / 1_000 {
        fleet.pass(TimeSpan::seconds(1));
        fleet.report_entries(&[0]);
    }
    fleet.tick();
    assert_eq!(fleet.entries(0).len(), 1, "the peer is silent");
    fleet.pass(ENTRY_SILENCE);
    assert_eq!(fleet.entries(0).len(), 0, "the own entry is silent");
}

#[test]
fn an_own_pause_is_no_silence_of_the_others() {
    let mut fleet = TestFleet::new(2, 0);
    fleet.report_entries(&[0, 1]);
    fleet.exchange(0, 1);
    fleet.tick();
    fleet.advance(CUT_OFF_SILENCE + CUT_OFF_SILENCE);
    fleet.tick();
    assert_eq!(fleet.entries(0).len(), 2);
    assert!(!fleet.desks[0].is_cut_off());
    fleet.pass(CUT_OFF_SILENCE + CUT_OFF_SILENCE);
    assert_eq!(fleet.entries(0).len(), 0);
    assert!(fleet.desks[0].is_cut_off(), "silence after the pause counts");
}

#[test]
fn a_machine_removed_from_the_list_stays_out_when_it_resumes() {
    let mut fleet = TestFleet::new(2, 0);
    fleet.report_entries(&[0, 1]);
    fleet.exchange(0, 1);
    fleet.list.remove("vm-1");
    fleet.desks[0].on_vms(fleet.now, &fleet.list.vms);
    assert_eq!(fleet.entries(0).len(), 1);
    fleet.pass(PEER_SILENCE + PEER_SILENCE);
    fleet.report_entries(&[0, 1]);
    fleet.exchange(1, 0);
    assert_eq!(fleet.entries(0).len(), 1);
}

#[test]
fn a_report_that_came_before_its_runner_was_listed_is_requested_again() {
    let mut fleet = TestFleet::new(2, 0);
    fleet.exchange(0, 1);
    fleet.list.add_runner(0);
    fleet.desks[0].on_vms(fleet.now, &fleet.list.vms);
    fleet.desks[0].on_report(fleet.now, report(0, 7, 1));
    fleet.exchange(0, 1);
    fleet.exchange(0, 1);
    fleet.desks[1].on_vms(fleet.now, &fleet.list.vms);
    fleet.desks[0].on_report(fleet.now, report(0, 7, 2));
    fleet.exchange(0, 1);
    fleet.exchange(0, 1);
    assert_eq!(fleet.view(1).runners[0].report, fleet.view(0).runners[0].report);
}

#[test]
fn age_grows_with_every_hop_and_wait() {
    let mut fleet = TestFleet::new(2, 1);
    let mut old = report(0, 7, 1);
    old.age = TimeSpan::millis(100);
    fleet.desks[0].on_report(fleet.now, old);
    fleet.advance(TimeSpan::millis(200));
    fleet.exchange(0, 1);
    fleet.advance(TimeSpan::millis(300));
    assert_eq!(fleet.view(1).runners[0].report.as_ref().unwrap().age, TimeSpan::millis(600));
}

#[test]
fn entries_get_only_what_changed() {
    let mut fleet = TestFleet::new(1, 2);
    fleet.desks[0].on_report(fleet.now, report(0, 7, 1));
    fleet.desks[0].on_report(fleet.now, report(1, 8, 1));
    let first = fleet.view(0);
    assert!(first.all_runners && first.runners.len() == 2);
    fleet.desks[0].on_report(fleet.now, report(1, 8, 2));
    let event = CacheEvent { sequence: 0, prefix: 1, stored: true };
    fleet.desks[0].on_cache_events(&runner_id(0), std::slice::from_ref(&event));
    let next = fleet.view_since(0, first.version);
    assert!(!next.all_runners && next.entries.is_none());
    let runners: Vec<&str> = next.runners.iter().map(|record| record.runner.as_str()).collect();
    assert_eq!((runners, next.cache_events), (vec!["runner-1"], vec![(runner_id(0), event)]));
}

#[test]
fn a_digest_holds_only_what_the_peer_has_not_acknowledged() {
    let mut fleet = TestFleet::new(2, 1);
    fleet.report_entries(&[0]);
    fleet.desks[0].on_report(fleet.now, report(0, 7, 1));
    fleet.exchange(0, 1);
    let quiet = fleet.desks[0].digest_for(fleet.now, &vm_id(1));
    assert!(quiet.nodes.is_empty() && quiet.reports.is_empty(), "{quiet:?}");
    fleet.desks[0].on_report(fleet.now, report(0, 7, 2));
    let news = fleet.desks[0].digest_for(fleet.now, &vm_id(1));
    assert_eq!(news.reports.len(), 1);
    assert_eq!(news.reports[0].detail, None, "the detail went before");
    // A peer that lost everything acknowledges nothing, and gets everything.
    let mut forgot = fleet.desks[1].digest_for(fleet.now, &vm_id(0));
    forgot.seen = ChangeCursor::default();
    fleet.desks[0].on_digest(fleet.now, forgot);
    let full = fleet.desks[0].digest_for(fleet.now, &vm_id(1));
    assert!(full.nodes.len() == 1 && full.reports[0].detail.is_some());
}

#[test]
fn two_live_stewards_own_each_runner_and_only_a_dead_ones_share_moves() {
    let vms: Vec<VmId> = (0..7).map(vm_id).collect();
    let places: Vec<PlaceName> =
        ["ikeja", "lekki", "yaba"].iter().map(|name| name.parse().unwrap()).collect();
    let owners = |dead: usize, runner: usize| -> Vec<usize> {
        let mut share = ReportShare::default();
        for (at, vm) in vms.iter().enumerate().filter(|(at, _)| *at != dead) {
            share.add(vm, &places[at % 3]);
        }
        let place = &places[runner % 3];
        (0..7).filter(|at| share.rank(&vms[*at], &runner_id(runner), place).is_some()).collect()
    };
    for runner in 0..30 {
        let before = owners(usize::MAX, runner);
        assert_eq!(before.len(), 2);
        assert!(before.iter().all(|at| at % 3 == runner % 3), "owners are near");
        for dead in 0..7 {
            let after = owners(dead, runner);
            assert_eq!(after.len(), 2);
            // Yaba and lekki have two stewards each: without one, all stewards take over.
            if !before.contains(&dead) {
                assert_eq!(after, before);
            }
        }
    }
}

#[test]
fn a_record_that_was_acknowledged_but_lost_comes_with_the_next_reconcile() {
    let mut fleet = TestFleet::new(2, 0);
    fleet.report_entries(&[0, 1]);
    fleet.exchange(0, 1);
    let mut leaving = entry_status(1, 1);
    leaving.leaving = true;
    fleet.desks[1].on_entry(fleet.now, &leaving);
    let mut digest = fleet.desks[1].digest_for(fleet.now, &vm_id(0));
    digest.nodes.clear();
    fleet.desks[0].on_digest(fleet.now, digest);
    fleet.exchange(0, 1);
    assert_eq!(fleet.entries(0).len(), 2, "it was lost");
    fleet.desks[0].reconcile(&vm_id(1));
    fleet.exchange(0, 1);
    assert_eq!(fleet.entries(0).len(), 1);
}

#[test]
fn stewards_agree_after_any_losses() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = TestFleet::new(5, 6);
        let mut sequences = [[0_u64; 6]; 2];
        for _ in 0..400 {
            fleet.advance(TimeSpan::millis(rng.random_range(0..50)));
            let (at, runner) = (rng.random_range(0..5), rng.random_range(0..6));
            match rng.random_range(0..10) {
                0..3 => {
                    let start = usize::from(rng.random_bool(0.02));
                    sequences[start][runner] += 1;
                    let incarnation = (runner * 2 + start + 1) as u64;
                    let polled = report(runner, incarnation, sequences[start][runner]);
                    fleet.desks[at].on_report(fleet.now, polled);
                }
                3 => fleet.report_entries(&[at]),
                4 if rng.random_bool(0.05) => fleet.restart(at),
                5 if rng.random_bool(0.05) => fleet.desks[at].on_leaving(&runner_id(runner), 0),
                _ => fleet.exchange_lossy(at, rng.random_range(0..5), &mut rng),
            }
        }
        fleet.report_entries(&[0, 1, 2, 3, 4]);
        // The runners' newest incarnations report to one steward, and all exchange twice.
        for runner in 0..6 {
            let newest = report(runner, 100 + runner as u64, 1);
            fleet.desks[0].on_report(fleet.now, newest);
        }
        for _ in 0..2 {
            fleet.exchange_all();
        }
        let first = fleet.view(0);
        for at in 1..5 {
            let other = fleet.view(at);
            assert_eq!(fleet.entries(0).len(), 5, "seed {seed}");
            assert_eq!(first.runners, other.runners, "seed {seed}, steward {at}");
            let sorted = |at: usize| {
                let mut vms: Vec<_> = fleet.entries(at).into_iter().map(|e| e.vm).collect();
                vms.sort();
                vms
            };
            assert_eq!(sorted(0), sorted(at), "seed {seed}, steward {at}");
        }
    }
}
