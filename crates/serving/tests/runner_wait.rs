//! Waits that runners ask for: the latest end holds, for one start of a runner.

use base::prelude::*;
use proptest::prelude::*;
use serving::{MAX_RUNNER_WAIT, RunnerIncarnation, WaitTable};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn start(started_unix_ms: u64) -> RunnerIncarnation {
    RunnerIncarnation { runner: "a".parse().unwrap(), started_unix_ms }
}

#[test]
fn of_several_waits_the_latest_end_holds() {
    let mut table = WaitTable::default();
    assert!(table.record(at(0), &start(1), TimeSpan::millis(3_000)));
    assert!(!table.record(at(100), &start(1), TimeSpan::millis(500)));
    assert_eq!(table.end(at(200), &start(1)), Some(at(3_000)));
    assert!(!table.record(at(200), &start(1), TimeSpan::millis(4_000)));
    assert_eq!(table.end(at(4_199), &start(1)), Some(at(4_200)));
    assert_eq!(table.end(at(4_200), &start(1)), None);
}

#[test]
fn a_new_start_does_not_wait_and_a_late_answer_of_the_old_one_does_not_replace_its_wait() {
    let mut table = WaitTable::default();
    table.record(at(0), &start(1), TimeSpan::millis(3_000));
    assert_eq!(table.end(at(1), &start(2)), None);
    assert!(table.record(at(10), &start(2), TimeSpan::millis(1_000)));
    assert!(!table.record(at(20), &start(1), TimeSpan::millis(9_000)));
    assert_eq!(table.end(at(30), &start(2)), Some(at(1_010)));
}

#[test]
fn an_absurd_wait_is_bounded_and_an_empty_one_has_no_effect() {
    let mut table = WaitTable::default();
    assert!(!table.record(at(0), &start(1), TimeSpan::default()));
    assert_eq!(table.end(at(0), &start(1)), None);
    table.record(at(0), &start(1), TimeSpan(u64::MAX));
    assert_eq!(table.end(at(0), &start(1)), Some(at(0) + MAX_RUNNER_WAIT));
}

#[test]
fn an_ended_wait_is_reported_once_with_what_was_withheld() {
    let mut table = WaitTable::default();
    table.record(at(0), &start(1), TimeSpan::millis(1_000));
    table.count_withheld(&start(1));
    table.count_withheld(&start(2));
    assert!(table.take_ended(at(999)).is_empty());
    let ended = table.take_ended(at(1_000));
    assert_eq!((ended.len(), ended[0].withheld), (1, 1));
    assert!(table.take_ended(at(1_001)).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(26), ..ProptestConfig::default() })]

    /// Nothing may be sent before the end of any wait that was asked for.
    #[test]
    fn no_named_wait_is_cut_short(waits in prop::collection::vec((0_u64..5_000, 1_u64..8_000), 1..12)) {
        let mut table = WaitTable::default();
        let mut sorted = waits;
        sorted.sort_unstable();
        let mut latest = at(0);
        for (time, span) in sorted {
            table.record(at(time), &start(1), TimeSpan::millis(span));
            latest = latest.max(at(time + span));
            prop_assert_eq!(table.end(at(time), &start(1)), Some(latest));
        }
    }
}
