//! A send is slow if it takes longer than nearly all recent ones of its route.

use base::prelude::*;
use serving::HedgeTimer;

fn route(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

/// A timer that has seen sends of these times, in milliseconds.
fn observed(millis: impl Iterator<Item = u64>) -> HedgeTimer {
    let mut timer = HedgeTimer::default();
    for time in millis {
        timer.record_time(at(0), &route("r"), TimeSpan::millis(time));
    }
    timer
}

/// Guards against hedges on a route of which little is known.
#[test]
fn a_route_with_few_observations_has_no_slow_sends() {
    assert_eq!(HedgeTimer::default().delay(at(0), "r", 0.1), None);
    assert_eq!(observed(1..=99).delay(at(0), "r", 0.1), None);
    assert!(observed(1..=100).delay(at(0), "r", 0.1).is_some());
}

/// Guards against hedges of usual sends, and against a share that is used up by sends that are
/// not among the slowest.
#[test]
fn the_delay_is_a_high_quantile_and_higher_for_a_smaller_share() {
    let mut quantiles = Vec::new();
    for share in [0.1, 0.05, 0.02, 0.01] {
        let delay = observed((1..=200).rev()).delay(at(0), "r", share).unwrap();
        quantiles.push(delay.as_millis());
    }
    assert_eq!(quantiles, [191, 191, 197, 199]);
}

/// Guards against a second send that takes longer to begin than the first one takes.
#[test]
fn the_delay_is_at_least_five_milliseconds() {
    let delay = observed(std::iter::repeat_n(1, 150)).delay(at(0), "r", 0.1);
    assert_eq!(delay, Some(TimeSpan::millis(5)));
}

/// Guards against a figure of an earlier load that stays.
#[test]
fn the_delay_follows_the_latest_sends() {
    let mut timer = observed(std::iter::repeat_n(10, 256));
    assert_eq!(timer.delay(at(0), "r", 0.1), Some(TimeSpan::millis(10)));
    for _ in 0..256 {
        timer.record_time(at(1), &route("r"), TimeSpan::millis(40));
    }
    assert_eq!(timer.delay(at(1), "r", 0.1), Some(TimeSpan::millis(40)));
}

/// Guards against memory that grows with the number of routes that are called.
#[test]
fn the_least_recently_used_route_is_dropped() {
    let mut timer = HedgeTimer::default();
    for number in 0..1_000_u64 {
        for _ in 0..100 {
            timer.record_time(at(number), &route(&format!("r{number}")), TimeSpan::millis(10));
        }
        // Keeps the first route in use.
        assert!(timer.delay(at(number), "r0", 0.1).is_some());
    }
    assert_eq!(timer.route_count(), 256);
    assert!(timer.delay(at(1_000), "r999", 0.1).is_some());
    assert_eq!(timer.delay(at(1_000), "r1", 0.1), None);
}

/// Guards against hedges within a place that is slow as a whole, or to a slow runner.
#[test]
fn a_runner_or_place_is_slow_if_half_of_its_latest_sends_were() {
    let mut timer = HedgeTimer::default();
    let (slow, quick): (RunnerId, RunnerId) = ("slow".parse().unwrap(), "quick".parse().unwrap());
    let place: PlaceName = "north".parse().unwrap();
    for _ in 0..3 {
        timer.record_pace(&slow, &place, true);
    }
    assert!(!timer.is_runner_slow(&slow));
    timer.record_pace(&slow, &place, true);
    assert!(timer.is_runner_slow(&slow));
    assert!(!timer.is_place_slow(&place));
    for _ in 0..4 {
        timer.record_pace(&quick, &place, false);
    }
    assert!(timer.is_place_slow(&place));
    assert!(!timer.is_runner_slow(&quick));
    for _ in 0..5 {
        timer.record_pace(&slow, &place, false);
    }
    assert!(!timer.is_runner_slow(&slow));
    assert!(!timer.is_place_slow(&place));
}
