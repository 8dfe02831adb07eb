//! What a node knows of how runners end runs.

use base::prelude::*;
use serving::{EndHabit, EndTable, RunnerIncarnation};

fn start(started_unix_ms: u64) -> RunnerIncarnation {
    RunnerIncarnation { runner: "llm-1".parse().unwrap(), started_unix_ms }
}

fn at(seconds: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::seconds(seconds)
}

#[test]
fn a_runner_that_follows_no_order_stays_one_until_it_starts_again() {
    let mut table = EndTable::default();
    assert!(table.record(&start(1), EndHabit::IgnoresOrder));
    assert!(!table.record(&start(1), EndHabit::IgnoresClose));
    assert!(!table.follows_orders(&start(1)));
    assert!(table.follows_orders(&start(2)));
}

#[test]
fn a_runner_is_asked_now_and_then_while_its_habit_is_unknown() {
    let mut table = EndTable::default();
    let asked = [0, 1, 9, 10, 11].map(|seconds| table.begin_question(at(seconds), &start(1)));
    assert_eq!(asked, [true, false, false, true, false]);
    table.record(&start(1), EndHabit::IgnoresClose);
    assert!(!table.begin_question(at(60), &start(1)));
}

#[test]
fn runners_that_are_gone_are_forgotten() {
    let mut table = EndTable::default();
    table.record(&start(1), EndHabit::IgnoresOrder);
    table.begin_question(at(0), &start(2));
    table.retain(|runner| runner.started_unix_ms > 2);
    assert_eq!(table.habit(&start(1)), None);
    assert!(table.begin_question(at(1), &start(2)));
}
