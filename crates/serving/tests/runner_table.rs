//! Which runners may receive new requests, as their entries change.

use base::prelude::*;
use serving::{RunnerChange, RunnerIncarnation, RunnerRecord, RunnerTable};

const DRAIN: TimeSpan = TimeSpan::seconds(2);

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn record(runner: &str, started_unix_ms: u64, leaving: bool) -> RunnerRecord {
    RunnerRecord {
        runner: runner.parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        place: "north".parse().unwrap(),
        slots: 8,
        leaving,
        started_unix_ms,
    }
}

/// Ids of the runners that may receive new requests.
fn available(table: &RunnerTable, now: TimePoint) -> Vec<String> {
    let members = table.route_members(&"llm".parse().unwrap(), now);
    members.iter().filter(|m| !m.leaving).map(|m| m.runner.to_string()).collect()
}

#[test]
fn a_leaving_runner_stays_leaving_until_it_restarts() {
    let mut table = RunnerTable::new(DRAIN);
    table.apply(at(0), RunnerChange::Put(record("a", 1, false)));
    table.apply(at(0), RunnerChange::Put(record("b", 1, false)));
    assert!(table.apply(at(1), RunnerChange::Put(record("a", 1, true))));
    assert!(!table.apply(at(2), RunnerChange::Put(record("a", 1, false))), "stale entry");
    assert_eq!(available(&table, at(3)), ["b"]);
    table.apply(at(4), RunnerChange::Put(record("a", 2, false)));
    assert_eq!(available(&table, at(5)), ["a", "b"]);
    assert!(!table.apply(at(6), RunnerChange::Put(record("a", 1, true))), "older incarnation");
    assert_eq!(available(&table, at(7)), ["a", "b"]);
}

#[test]
fn a_removed_runner_is_unavailable_while_another_is_listed() {
    let mut table = RunnerTable::new(DRAIN);
    table.apply(at(0), RunnerChange::Put(record("a", 1, false)));
    table.apply(at(0), RunnerChange::Put(record("b", 1, false)));
    table.apply(at(10), RunnerChange::Remove("a".parse().unwrap()));
    assert_eq!(available(&table, at(11)), ["b"]);
}

#[test]
fn entries_removed_together_stay_available_for_less_than_the_drain_time() {
    let mut table = RunnerTable::new(DRAIN);
    table.apply(at(0), RunnerChange::Put(record("a", 1, false)));
    table.apply(at(0), RunnerChange::Put(record("b", 1, true)));
    for runner in ["a", "b"] {
        table.apply(at(10), RunnerChange::Remove(runner.parse().unwrap()));
    }
    assert_eq!(available(&table, at(1_400)), ["a"], "a leaving runner stays unavailable");
    assert!(available(&table, at(1_600)).is_empty());
    table.apply(at(1_700), RunnerChange::Put(record("a", 1, false)));
    assert_eq!(available(&table, at(1_701)), ["a"]);
}

#[test]
fn replacing_the_list_removes_runners_that_are_not_in_it() {
    let mut table = RunnerTable::new(DRAIN);
    table.replace(at(0), vec![record("a", 1, false), record("b", 1, false)]);
    assert_eq!(table.replace(at(1), vec![record("b", 1, false)]), ["a".parse().unwrap()]);
    assert_eq!(available(&table, at(2)), ["b"]);
    assert!(table.replace(at(3), vec![record("b", 1, false)]).is_empty());
}

#[test]
fn a_notice_from_another_node_marks_only_that_incarnation_as_leaving() {
    let mut table = RunnerTable::new(DRAIN);
    table.apply(at(0), RunnerChange::Put(record("a", 2, false)));
    table.apply(at(0), RunnerChange::Put(record("b", 2, false)));
    let incarnation =
        |started_unix_ms| RunnerIncarnation { runner: "a".parse().unwrap(), started_unix_ms };
    assert!(!table.mark_incarnation_leaving(&incarnation(1)), "an older incarnation");
    assert!(table.mark_incarnation_leaving(&incarnation(2)));
    assert!(!table.mark_incarnation_leaving(&incarnation(2)), "already known");
    assert_eq!(available(&table, at(1)), ["b"]);
    assert!(
        table.announced_leaving().is_empty(),
        "notices from other nodes are not announced again"
    );
    assert!(!table.mark_leaving(&record("b", 1, false).incarnation()), "an older incarnation");
    assert!(table.announced_leaving().is_empty());
    assert!(table.mark_leaving(&record("b", 2, false).incarnation()));
    assert!(!table.mark_leaving(&record("b", 2, false).incarnation()), "already known");
    let announced: Vec<String> =
        table.announced_leaving().iter().map(|s| s.runner.to_string()).collect();
    assert_eq!(announced, ["b"]);
}

#[test]
fn an_entry_that_a_returned_store_lacks_stays_for_two_seconds() {
    let mut table = RunnerTable::new(DRAIN);
    table.replace_listed(at(0), vec![record("a", 1, false), record("b", 1, false)]);
    table.mark_store_return(at(100));
    table.replace_listed(at(200), vec![record("b", 1, false)]);
    assert_eq!(available(&table, at(201)), ["a", "b"]);
    assert!(table.awaits_rewrites());
    assert!(table.overdue_rewrites(at(2_099)).is_empty());
    assert_eq!(table.overdue_rewrites(at(2_100)), ["a".parse().unwrap()]);
    let changed = table.replace_listed(at(2_100), vec![record("b", 1, false)]);
    assert_eq!(changed, ["a".parse().unwrap()], "the time is over");
    assert_eq!(available(&table, at(2_101)), ["b"]);
}

#[test]
fn an_entry_that_is_written_again_in_time_stays() {
    let mut table = RunnerTable::new(DRAIN);
    table.replace_listed(at(0), vec![record("a", 1, false)]);
    table.mark_store_return(at(100));
    table.replace_listed(at(200), vec![]);
    table.replace(at(300), vec![record("a", 1, false)]);
    assert!(table.awaits_rewrites(), "another node's list proves nothing");
    assert!(table.apply(at(1_900), RunnerChange::Put(record("a", 1, false))));
    assert!(table.overdue_rewrites(at(3_000)).is_empty());
    assert!(!table.take_list_request(at(9_000)));
    assert_eq!(available(&table, at(9_001)), ["a"]);
}

#[test]
fn an_older_incarnation_in_the_copy_does_not_stand_for_the_newer() {
    let mut table = RunnerTable::new(DRAIN);
    table.replace_listed(at(0), vec![record("a", 2, false)]);
    table.mark_store_return(at(100));
    table.replace_listed(at(200), vec![record("a", 1, false)]);
    assert_eq!(table.overdue_rewrites(at(2_100)), ["a".parse().unwrap()]);
}

#[test]
fn a_runner_that_had_ended_needs_a_newer_record_than_the_list() {
    let mut table = RunnerTable::new(DRAIN);
    let list = || vec![record("a", 1, false), record("b", 1, false), record("c", 1, false)];
    table.replace_listed(at(0), list());
    table.apply(at(10), RunnerChange::Put(record("b", 1, true)));
    table.apply(at(10), RunnerChange::Remove("c".parse().unwrap()));
    table.mark_store_return(at(100));
    table.replace_listed(at(200), list());
    table.replace(at(300), list());
    assert_eq!(available(&table, at(301)), ["a"], "b is leaving, c had ended");
    table.apply(at(400), RunnerChange::Put(record("b", 1, false)));
    table.apply(at(400), RunnerChange::Put(record("c", 1, false)));
    assert_eq!(available(&table, at(401)), ["a", "c"], "b stays leaving");
}

#[test]
fn a_list_that_may_be_stale_is_read_once_more() {
    let mut table = RunnerTable::new(DRAIN);
    table.replace_listed(at(0), vec![record("a", 1, false)]);
    table.apply(at(10), RunnerChange::Remove("a".parse().unwrap()));
    table.mark_store_return(at(100));
    table.replace_listed(at(200), vec![record("a", 1, false)]);
    assert!(!table.take_list_request(at(5_099)));
    assert!(table.take_list_request(at(5_100)));
    assert!(!table.take_list_request(at(5_200)), "once");
    table.replace_listed(at(5_300), vec![record("a", 1, false)]);
    assert_eq!(available(&table, at(5_301)), ["a"], "the store has had time to remove it");
}

#[test]
fn a_removal_after_the_return_is_undone_by_a_list() {
    let mut table = RunnerTable::new(DRAIN);
    table.replace_listed(at(0), vec![record("a", 1, false)]);
    table.mark_store_return(at(100));
    table.apply(at(200), RunnerChange::Remove("a".parse().unwrap()));
    table.replace_listed(at(300), vec![record("a", 1, false)]);
    assert_eq!(available(&table, at(301)), ["a"]);
}
