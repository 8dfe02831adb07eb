//! Replays of runners that differ in speed and are slowed down for short times, at several entries
//! that each see a part of the answers; against the choice without speeds, with the same calls and
//! the same disturbances.

mod common;
#[path = "common/replay_input.rs"]
mod replay_input;
#[path = "common/speed_replay.rs"]
mod speed_replay;

use base::prelude::*;
use common::{SchedulerHarness, call, id, report, runner, service};
use config::{CallPriority, PolicyWeights, ServiceKind};
use route::{RouteAction, RouteEvent, RunnerSpeed};
use speed_replay::{ReplayPlan, replay};

const UNEVEN: [f64; 3] = [0.6, 1.0, 1.6];

/// Seeds of each comparison below the capacity.
const SEEDS: u64 = 16;
/// Seeds above the capacity, where the number of refusals varies by a tenth over 16 seeds.
const OVERLOAD_SEEDS: u64 = 48;

/// Fails if the use of speeds makes anything worse, or does not shorten first tokens and pauses.
fn assert_better(load: f64, states_figures: bool, seeds: u64) {
    let plan =
        ReplayPlan { speeds: UNEVEN, disturbed: true, load, states_figures, seeds: 1..=seeds };
    let (without, with) = (replay(&plan, false), replay(&plan, true));
    println!("load {load} figures {states_figures}\n  without {without:?}\n  with    {with:?}");
    assert!(with.first_p99 < without.first_p99, "time to first token");
    assert!(with.pause_p99 < without.pause_p99, "pauses");
    assert!(with.finished >= without.finished, "finished calls");
    assert!(with.refused <= without.refused, "refused calls");
    assert!(with.late_streams <= without.late_streams, "streams with a pause above the bound");
    assert!(with.late_firsts <= without.late_firsts, "streams that began too late");
}

#[test]
fn uneven_runners_at_half_of_the_capacity() {
    assert_better(0.5, false, SEEDS);
}

#[test]
fn uneven_runners_at_moderate_load() {
    assert_better(0.7, false, SEEDS);
}

#[test]
fn uneven_runners_near_the_capacity() {
    assert_better(0.9, false, SEEDS);
}

#[test]
fn uneven_runners_above_the_capacity() {
    assert_better(1.1, false, OVERLOAD_SEEDS);
}

#[test]
fn stated_figures_at_moderate_load() {
    assert_better(0.7, true, SEEDS);
}

#[test]
fn equal_runners_are_scheduled_as_without_speeds() {
    for load in [0.5, 0.9] {
        let plan = ReplayPlan {
            speeds: [1.0; 3],
            disturbed: false,
            load,
            states_figures: false,
            seeds: 1..=4,
        };
        let (without, with) = (replay(&plan, false), replay(&plan, true));
        assert_eq!(with, without, "load {load}");
    }
}

fn settled(observations: &[(f64, usize)], center: f64) -> RunnerSpeed {
    let mut speed = RunnerSpeed::default();
    for (log_factor, count) in observations {
        (0..*count).for_each(|_| speed.observe(*log_factor, 0.25));
    }
    speed.settle(center);
    speed
}

fn is_usual(speed: &RunnerSpeed) -> bool {
    (speed.settled_factor() - 1.0).abs() < f64::EPSILON
}

#[test]
fn little_evidence_or_a_small_difference_leaves_the_factor_at_one() {
    assert!(is_usual(&settled(&[(0.47, 4)], 0.0)), "little evidence");
    assert!(is_usual(&settled(&[(0.1, 400)], 0.0)), "a small difference");
    assert!(is_usual(&settled(&[(0.47, 400)], 0.47)), "the median runner");
    let slow = settled(&[(0.47, 400)], 0.0).settled_factor();
    assert!((1.5..1.65).contains(&slow), "{slow}");
}

#[test]
fn short_disturbances_hardly_change_the_average() {
    let mut speed = RunnerSpeed::default();
    for _ in 0..20 {
        (0..17).for_each(|_| speed.observe(0.0, 0.1));
        (0..3).for_each(|_| speed.observe(0.92, 0.1));
    }
    speed.settle(0.0);
    assert!(is_usual(&speed));
}

#[test]
fn a_stated_figure_is_trusted_less_as_it_gets_old() {
    let mut speed = settled(&[(0.0, 400)], 0.0);
    let now = TimePoint::default() + TimeSpan::seconds(10);
    speed.state_present(now, 2.5_f64.ln());
    let later = |millis| speed.factor(now + TimeSpan::millis(millis));
    assert!((2.4..2.6).contains(&later(0)), "{}", later(0));
    assert!(later(250) < later(0) && later(250) > 1.0, "{}", later(250));
    assert!((later(500) - 1.0).abs() < f64::EPSILON, "{}", later(500));
}

#[test]
fn statement_of_an_entry_with_more_evidence_weighs_more() {
    let mut speed = RunnerSpeed::default();
    speed.learn(0.4, 30.0);
    speed.learn(0.2, 3.0);
    let average = speed.average().unwrap();
    assert!(average > 0.35, "{average}");
}

#[test]
fn plain_calls_go_to_the_runner_with_the_least_expected_time() {
    let mut harness = SchedulerHarness::new(3);
    harness.tell(RouteEvent::Service {
        service: service(),
        kind: ServiceKind::Plain,
        weights: PolicyWeights::default(),
        shares: Vec::new(),
    });
    for _ in 0..40 {
        for (number, factor) in [(0, 1.0), (1, 4.0), (2, 1.0)] {
            harness.tell(RouteEvent::SpeedFigure { runner: runner(number), factor });
        }
        harness.advance(TimeSpan::millis(100));
    }
    for (number, calls) in [(0, 1), (1, 0), (2, 9)] {
        harness.report(report(number, 0, calls));
    }
    // Two calls of usual length take less time than one that takes four times as long.
    let actions = harness.arrive(call(1, CallPriority::Normal));
    assert!(
        matches!(&actions[..], [RouteAction::Send { runner: to, .. }] if *to == runner(0)),
        "{actions:?}"
    );
}

#[test]
fn a_held_pause_is_no_evidence() {
    let mut harness = SchedulerHarness::new(1);
    harness.report(report(0, 0, 0));
    harness.arrive(call(1, CallPriority::Normal));
    for index in 0..200 {
        harness.advance(TimeSpan::millis(10));
        harness.tell(RouteEvent::Progress { call: id(1), index: TokenIndex(index) });
    }
    harness.scheduler.take_speed_statements(10);
    for index in 200..300 {
        harness.tell(RouteEvent::ProgressHeld { call: id(1) });
        harness.advance(TimeSpan::millis(100));
        harness.tell(RouteEvent::Progress { call: id(1), index: TokenIndex(index) });
    }
    assert!(harness.scheduler.take_speed_statements(10).is_empty());
}

/// Guards against a runner that counts as slow for good, since it gets no calls that would show that
/// it has become faster.
#[test]
fn evidence_that_a_runner_is_slow_loses_its_weight_with_time() {
    let mut speed = settled(&[(0.7, 20)], 0.0);
    assert!(!is_usual(&speed));
    let mut now = TimePoint::default();
    for _ in 0..600 {
        now = now + TimeSpan::millis(500);
        speed.age(now);
        speed.settle(0.0);
    }
    assert!(is_usual(&speed));
}
