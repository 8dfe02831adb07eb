//! Which runners may get new work, as their entries change.

use base::prelude::*;
use serving::{RunnerChange, RunnerIncarnation, RunnerRecord, RunnerTable};

const DRAIN: TimeSpan = TimeSpan::seconds(2);

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn record(runner: &str, born: u64, leaving: bool) -> RunnerRecord {
    RunnerRecord {
        runner: runner.parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        place: "north".parse().unwrap(),
        slots: 8,
        leaving,
        started_unix_ms: born,
    }
}

/// The runners that get new work.
fn open(table: &RunnerTable, now: TimePoint) -> Vec<String> {
    let members = table.route_members(&"llm".parse().unwrap(), now);
    members.iter().filter(|m| !m.leaving).map(|m| m.runner.to_string()).collect()
}

#[test]
fn a_leaving_runner_stays_leaving_until_it_is_born_again() {
    let mut table = RunnerTable::new(DRAIN);
    table.apply(at(0), RunnerChange::Put(record("a", 1, false)));
    table.apply(at(0), RunnerChange::Put(record("b", 1, false)));
    assert!(table.apply(at(1), RunnerChange::Put(record("a", 1, true))));
    assert!(!table.apply(at(2), RunnerChange::Put(record("a", 1, false))), "stale entry");
    assert_eq!(open(&table, at(3)), ["b"]);
    table.apply(at(4), RunnerChange::Put(record("a", 2, false)));
    assert_eq!(open(&table, at(5)), ["a", "b"]);
    assert!(!table.apply(at(6), RunnerChange::Put(record("a", 1, true))), "older start");
    assert_eq!(open(&table, at(7)), ["a", "b"]);
}

#[test]
fn a_removed_runner_gets_no_work_while_there_is_another() {
    let mut table = RunnerTable::new(DRAIN);
    table.apply(at(0), RunnerChange::Put(record("a", 1, false)));
    table.apply(at(0), RunnerChange::Put(record("b", 1, false)));
    table.apply(at(10), RunnerChange::Remove("a".parse().unwrap()));
    assert_eq!(open(&table, at(11)), ["b"]);
}

#[test]
fn entries_that_lapse_together_are_used_for_less_than_the_drain_time() {
    let mut table = RunnerTable::new(DRAIN);
    table.apply(at(0), RunnerChange::Put(record("a", 1, false)));
    table.apply(at(0), RunnerChange::Put(record("b", 1, true)));
    for runner in ["a", "b"] {
        table.apply(at(10), RunnerChange::Remove(runner.parse().unwrap()));
    }
    assert_eq!(open(&table, at(1_400)), ["a"], "the leaving one stays out");
    assert!(open(&table, at(1_600)).is_empty());
    table.apply(at(1_700), RunnerChange::Put(record("a", 1, false)));
    assert_eq!(open(&table, at(1_701)), ["a"]);
}

#[test]
fn a_whole_list_removes_what_is_not_in_it() {
    let mut table = RunnerTable::new(DRAIN);
    table.replace(at(0), vec![record("a", 1, false), record("b", 1, false)]);
    assert!(table.replace(at(1), vec![record("b", 1, false)]));
    assert_eq!(open(&table, at(2)), ["b"]);
    assert!(!table.replace(at(3), vec![record("b", 1, false)]));
}

#[test]
fn what_a_runner_told_one_node_holds_at_another_for_that_start() {
    let mut table = RunnerTable::new(DRAIN);
    table.apply(at(0), RunnerChange::Put(record("a", 2, false)));
    table.apply(at(0), RunnerChange::Put(record("b", 2, false)));
    let start =
        |started_unix_ms| RunnerIncarnation { runner: "a".parse().unwrap(), started_unix_ms };
    assert!(!table.mark_incarnation_leaving(&start(1)), "an older start");
    assert!(table.mark_incarnation_leaving(&start(2)));
    assert!(!table.mark_incarnation_leaving(&start(2)), "no news");
    assert_eq!(open(&table, at(1)), ["b"]);
    assert!(table.announced_leaving().is_empty(), "hearsay is not passed on");
    table.mark_leaving(&"b".parse().unwrap());
    let told: Vec<String> =
        table.announced_leaving().iter().map(|s| s.runner.to_string()).collect();
    assert_eq!(told, ["b"]);
}
