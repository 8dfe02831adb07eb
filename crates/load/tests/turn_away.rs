//! A fleet of which a third turns calls away for 3 s, then the next third, and one of which two
//! runners leave and only their answers say so; with and without the entries being told what an
//! answer says. Runs are deterministic; bounds come
//! from the targets, and from the same arrivals with entries that are not told.

use base::prelude::*;
use load::policy::{
    BenchPolicy, BenchSettings, FaultName, PolicyFigures, TurnAwayPlan, Workload, WorkloadName,
    simulate_all,
};
use route::PolicyName;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
const THREADS: usize = 2;
const LOADS: [f64; 2] = [0.6, 0.9];
const FIRST_TOKEN_MILLIS: f64 = 750.0;
/// The same slack as in the bounds of the policy.
const SLACK: f64 = 1.02;

/// A run for each seed, measured from the begin of the pattern to 10 s after it went.
fn runs(name: WorkloadName, fault: FaultName, load: f64, notices_told: bool) -> Vec<PolicyFigures> {
    let settings = SEEDS.map(|seed| {
        let policy = BenchPolicy::Desk(PolicyName::Product);
        let mut settings = BenchSettings::new(Workload::new(name), policy, seed, load);
        settings.fault = fault;
        settings.notices_told = notices_told;
        settings.measure_seconds(60, 100);
        settings
    });
    simulate_all(&settings.collect::<Vec<_>>(), THREADS)
}

fn median(figures: &[PolicyFigures], read: impl Fn(&PolicyFigures) -> f64) -> f64 {
    let mut values: Vec<f64> = figures.iter().map(read).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

#[test]
fn each_third_of_the_runners_turns_calls_away_in_its_turn() {
    let plan = TurnAwayPlan { window: (at(60_000), at(70_000)) };
    let ends = |millis| (0..6).map(|runner| plan.end(at(millis), runner)).collect::<Vec<_>>();
    let only = |group: usize, end| {
        (0..6).map(|runner| (runner % 3 == group).then_some(end)).collect::<Vec<_>>()
    };
    assert_eq!(ends(59_999), vec![None; 6]);
    assert_eq!(ends(60_000), only(0, at(63_000)));
    assert_eq!(ends(62_999), only(0, at(63_000)));
    assert_eq!(ends(63_000), only(1, at(66_000)));
    assert_eq!(ends(66_000), only(2, at(69_000)));
    assert_eq!(ends(69_500), only(0, at(70_000)));
    assert_eq!(ends(70_000), vec![None; 6]);
}

#[test]
fn no_request_reaches_a_runner_in_its_wait_and_first_tokens_are_in_time() {
    for name in [WorkloadName::Cobbler, WorkloadName::Harmattan] {
        for load in LOADS {
            let told = runs(name, FaultName::RunnersTurnAway, load, true);
            for (seed, figures) in SEEDS.zip(&told) {
                let late = figures.turn_aways.late;
                assert!(figures.turn_aways.requests > 0.0, "{name}, {load}, seed {seed}");
                assert!(late == 0.0, "{name}, {load}, seed {seed}: {late} /1000");
            }
            let first = median(&told, |f| f.turn_aways.first_token_p95);
            assert!(first <= FIRST_TOKEN_MILLIS, "{name}, {load}: first token {first} ms");
        }
    }
}

#[test]
fn entries_that_know_the_waits_lose_no_worth_and_are_turned_away_less_often() {
    for name in [WorkloadName::Cobbler, WorkloadName::Harmattan] {
        for load in LOADS {
            let told = runs(name, FaultName::RunnersTurnAway, load, true);
            let untold = runs(name, FaultName::RunnersTurnAway, load, false);
            let late = median(&untold, |f| f.turn_aways.late);
            assert!(late > 0.0, "{name}, {load}: the pattern shows no request in a wait");
            let again = |f: &PolicyFigures| f.turn_aways.again;
            let (after, before) = (median(&told, again), median(&untold, again));
            assert!(after < before, "{name}, {load}: refused again {after} / {before}");
            let requests = |f: &PolicyFigures| f.turn_aways.requests;
            let (after, before) = (median(&told, requests), median(&untold, requests));
            assert!(after < before, "{name}, {load}: turned away {after} / {before}");
            let (after, before) = (median(&told, |f| f.worth), median(&untold, |f| f.worth));
            assert!(after >= before / SLACK, "{name}, {load}: worth {after} / {before}");
        }
    }
}

#[test]
fn runners_that_only_their_answers_say_to_leave_get_no_calls_after_it() {
    for name in [WorkloadName::Cobbler, WorkloadName::Harmattan] {
        let told = runs(name, FaultName::EnginesLeaveByAnswer, LOADS[0], true);
        let untold = runs(name, FaultName::EnginesLeaveByAnswer, LOADS[0], false);
        for (seed, figures) in SEEDS.zip(&told) {
            let late = figures.turn_aways.late;
            assert!(late == 0.0, "{name}, seed {seed}: {late} /1000");
        }
        let late = median(&untold, |f| f.turn_aways.late);
        assert!(late > 0.0, "{name}: the pattern shows no call that is sent to a leaving runner");
        let (after, before) = (median(&told, |f| f.worth), median(&untold, |f| f.worth));
        assert!(after >= before / SLACK, "{name}: worth {after} / {before}");
    }
}
