//! The time in which a process ran.

use std::time::Duration;

use base::{TimePoint, TimeSpan};
use kernel::{OwnClock, OwnPoint, own_now};

const MILLIS: fn(u64) -> TimePoint = |millis| TimePoint(TimeSpan::millis(millis).0);

fn advance(clock: &mut OwnClock, times: impl IntoIterator<Item = u64>) -> TimeSpan {
    let points = times.into_iter().map(|millis| clock.advance(MILLIS(millis)));
    points.last().unwrap_or_default().since(OwnPoint::default())
}

#[test]
fn time_in_which_a_process_runs_counts_in_full() {
    let mut clock = OwnClock::new(MILLIS(0));
    assert_eq!(advance(&mut clock, (0..=1_000).step_by(20)), TimeSpan::millis(1_000));
}

#[test]
fn a_second_of_standing_still_counts_40_ms() {
    let mut clock = OwnClock::new(MILLIS(0));
    assert_eq!(advance(&mut clock, [1_000, 1_000, 1_020]), TimeSpan::millis(60));
}

#[test]
fn a_process_that_stands_still_does_not_count_that() {
    kernel::run(async {
        let begun = own_now();
        std::thread::sleep(Duration::from_millis(600));
        assert_eq!(own_now().since(begun), TimeSpan::millis(40));
    })
    .unwrap();
}

#[test]
fn time_in_which_a_process_waits_counts() {
    const WAIT: TimeSpan = TimeSpan::millis(300);
    kernel::run(async {
        let begun = own_now();
        kernel::sleep(WAIT.into()).await;
        assert!(own_now().since(begun) > TimeSpan(WAIT.0 / 2));
    })
    .unwrap();
}
