//! Which parts of prompts are blocked because runners crash under them, and which are not.

use base::prelude::*;
use serving::{CallInput, InputChange, InputTable, RunnerIncarnation};

fn at(seconds: f64) -> TimePoint {
    TimePoint::default() + TimeSpan::micros((seconds * 1e6) as u64)
}

fn parts(texts: &[&str]) -> Vec<CallInput> {
    texts.iter().map(|text| text.parse().unwrap()).collect()
}

fn runner(number: u64) -> RunnerIncarnation {
    RunnerIncarnation { runner: format!("i-{number}").parse().unwrap(), started_unix_ms: number }
}

/// Records a crash of a new runner at each of the times.
fn crash(table: &mut InputTable, times: &[f64], texts: &[&str]) {
    for &time in times {
        table.record_crash(at(time), &runner((time * 1e3) as u64), &parts(texts));
    }
}

fn is_blocked(table: &InputTable, time: f64, text: &str) -> bool {
    table.find_blocked(at(time), &parts(&[text])).is_some()
}

#[test]
fn the_part_that_all_crashes_share_is_blocked_and_no_other() {
    let mut table = InputTable::default();
    table.record_answer(at(1.0), &parts(&["first"]));
    for (time, other) in [(2.0, "a"), (3.0, "b"), (4.0, "c")] {
        crash(&mut table, &[time], &["first", other, "bad"]);
    }
    let blocked = |text| is_blocked(&table, 5.0, text);
    assert!(blocked("bad"));
    for sound in ["first", "a", "b", "c", "unknown"] {
        assert!(!blocked(sound), "{sound}");
    }
    let changes = table.take_changes();
    insta::assert_debug_snapshot!(changes);
}

#[test]
fn a_rare_first_part_is_not_blocked_for_the_part_behind_it() {
    let mut table = InputTable::default();
    crash(&mut table, &[2.0, 3.0, 4.0, 5.0, 6.0], &["rare", "bad"]);
    assert!(is_blocked(&table, 7.0, "bad"));
    assert!(!is_blocked(&table, 7.0, "rare"));
}

#[test]
fn a_first_part_that_crashes_runners_by_itself_is_blocked() {
    let mut table = InputTable::default();
    for (time, behind) in [(2.0, "a"), (3.0, "b"), (4.0, "c")] {
        crash(&mut table, &[time], &["bad", behind]);
    }
    assert!(is_blocked(&table, 5.0, "bad"));
    // Also if all crashes so far had another part in common.
    let mut table = InputTable::default();
    crash(&mut table, &[2.0, 3.0, 4.0], &["bad", "a"]);
    crash(&mut table, &[5.0, 6.0, 7.0], &["bad", "b"]);
    assert!(is_blocked(&table, 8.0, "a") && is_blocked(&table, 8.0, "b"));
    for (time, behind) in [(9.0, "c"), (10.0, "d"), (11.0, "e")] {
        crash(&mut table, &[time], &["bad", behind]);
    }
    assert!(is_blocked(&table, 12.0, "bad"));
}

#[test]
fn prompts_that_were_at_a_crashing_runner_by_chance_are_not_suspected() {
    let mut table = InputTable::default();
    for (time, before, after) in
        [(2.0, "a", "b"), (3.0, "a", "c"), (4.0, "d", "b"), (5.0, "c", "e")]
    {
        // One crash takes several calls.
        let runner = runner((time * 1e3) as u64);
        for part in [before, "bad", after] {
            table.record_crash(at(time), &runner, &parts(&[part]));
        }
    }
    assert!(is_blocked(&table, 6.0, "bad"));
    crash(&mut table, &[10.0, 11.0], &["a", "b", "c", "d", "e"]);
    for part in ["a", "b", "c", "d", "e"] {
        assert!(!is_blocked(&table, 12.0, part), "{part}");
    }
}

#[test]
fn two_crashes_do_not_block_a_part() {
    let mut table = InputTable::default();
    crash(&mut table, &[1.0, 2.0], &["bad"]);
    assert!(!is_blocked(&table, 5.0, "bad"));
}

#[test]
fn several_calls_lost_in_one_crash_count_as_one() {
    let mut table = InputTable::default();
    for _ in 0..5 {
        table.record_crash(at(1.0), &runner(1), &parts(&["bad"]));
    }
    assert!(!is_blocked(&table, 5.0, "bad"));
}

#[test]
fn crashes_seen_by_different_nodes_add_up_at_each_of_them() {
    let mut tables: Vec<InputTable> = (0..3).map(|_| InputTable::default()).collect();
    for (number, table) in tables.iter_mut().enumerate() {
        crash(table, &[1.0 + number as f64], &["first", "bad"]);
    }
    for _ in 0..2 {
        for from in 0..tables.len() {
            let update = tables[from].update(at(5.0));
            for to in (0..tables.len()).filter(|to| *to != from) {
                tables[to].apply_update(at(5.0), &update);
            }
        }
    }
    assert!(tables.iter().all(|table| is_blocked(table, 6.0, "bad")));
}

#[test]
fn an_answer_that_another_node_saw_excuses_a_part() {
    let (mut suspecting, mut knowing) = (InputTable::default(), InputTable::default());
    knowing.record_answer(at(1.0), &parts(&["first"]));
    crash(&mut suspecting, &[2.0], &["first", "bad"]);
    assert!(knowing.apply_update(at(2.0), &suspecting.update(at(2.0))), "it has something to tell");
    suspecting.apply_update(at(2.0), &knowing.update(at(2.0)));
    crash(&mut suspecting, &[3.0, 4.0], &["first", "bad"]);
    assert!(!is_blocked(&suspecting, 5.0, "first"));
    assert!(is_blocked(&suspecting, 5.0, "bad"));
}

#[test]
fn an_answer_seen_elsewhere_arrives_before_a_block_begins() {
    let (mut suspecting, mut knowing) = (InputTable::default(), InputTable::default());
    knowing.record_answer(at(1.0), &parts(&["rare"]));
    // Three runners crash at once for another reason.
    for number in 0..3 {
        suspecting.record_crash(at(2.0), &runner(number), &parts(&["rare"]));
    }
    assert!(!is_blocked(&suspecting, 2.0, "rare"));
    knowing.apply_update(at(2.1), &suspecting.update(at(2.0)));
    suspecting.apply_update(at(2.2), &knowing.update(at(2.1)));
    for time in [2.2, 2.3, 3.0] {
        assert!(!is_blocked(&suspecting, time, "rare"), "{time}");
        assert!(!is_blocked(&knowing, time, "rare"), "{time}");
    }
}

#[test]
fn an_answer_ends_a_block_at_all_nodes() {
    let (mut one, mut other) = (InputTable::default(), InputTable::default());
    crash(&mut one, &[1.0, 2.0, 3.0], &["rare"]);
    other.apply_update(at(4.0), &one.update(at(4.0)));
    assert!(is_blocked(&one, 4.5, "rare") && is_blocked(&other, 4.5, "rare"));
    assert!(other.record_answer(at(5.0), &parts(&["rare"])), "the others have to know");
    assert!(!is_blocked(&other, 5.0, "rare"));
    let update = other.update(at(5.0));
    one.apply_update(at(5.0), &update);
    assert!(!is_blocked(&one, 5.0, "rare"));
    // A message that was under way does not bring the block back.
    other.apply_update(at(5.1), &one.update(at(4.9)));
    assert!(!is_blocked(&other, 5.2, "rare"));
}

#[test]
fn a_part_that_was_sound_long_ago_can_be_blocked() {
    let mut table = InputTable::default();
    table.record_answer(at(1.0), &parts(&["bad"]));
    crash(&mut table, &[40.0, 41.0, 42.0], &["bad"]);
    assert!(is_blocked(&table, 43.0, "bad"));
}

#[test]
fn a_fresh_node_learns_blocked_parts_from_any_other() {
    let (mut first, mut second, mut fresh) =
        (InputTable::default(), InputTable::default(), InputTable::default());
    crash(&mut first, &[1.0, 2.0, 3.0], &["bad"]);
    second.apply_update(at(4.0), &first.update(at(4.0)));
    let update = second.update(at(60.0));
    assert!(update.crashes.is_empty());
    // The fresh node's clock has just begun.
    fresh.apply_update(at(0.1), &update);
    let (_, until) = fresh.find_blocked(at(0.1), &parts(&["bad"])).unwrap();
    assert_eq!(until, at(0.1) + TimeSpan::seconds(600 - 57));
}

#[test]
fn nodes_do_not_prolong_a_block_by_telling_each_other_of_it() {
    let (mut one, mut other) = (InputTable::default(), InputTable::default());
    crash(&mut one, &[1.0, 2.0, 3.0], &["bad"]);
    for round in 0..500 {
        // Each message takes 100 ms.
        let time = 4.0 + f64::from(round) * 0.2;
        other.apply_update(at(time + 0.1), &one.update(at(time)));
        one.apply_update(at(time + 0.2), &other.update(at(time + 0.1)));
    }
    for table in [&one, &other] {
        let bad = parts(&["bad"]);
        let (_, until) = table.find_blocked(at(110.0), &bad).unwrap();
        assert!(until <= at(604.0), "{until:?}");
    }
}

#[test]
fn a_block_ends_by_itself_and_is_forgotten() {
    let mut table = InputTable::default();
    crash(&mut table, &[1.0, 2.0, 3.0], &["bad"]);
    assert!(is_blocked(&table, 602.0, "bad"));
    assert!(!is_blocked(&table, 604.0, "bad"));
    table.prune(at(604.0));
    assert_eq!(table.update(at(604.0)), serving::InputUpdate::default());
}

#[test]
fn a_node_stores_the_blocks_that_it_began_or_ended_itself() {
    let (mut one, mut other) = (InputTable::default(), InputTable::default());
    crash(&mut one, &[1.0, 2.0], &["bad"]);
    assert!(one.take_unsaved().is_empty());
    crash(&mut one, &[3.0], &["bad"]);
    let bad: CallInput = "bad".parse().unwrap();
    let stored = one.take_unsaved();
    assert_eq!(stored.get(&bad), Some(&Some(at(603.0))));
    other.apply_update(at(4.0), &one.update(at(4.0)));
    assert!(other.take_unsaved().is_empty());
    other.record_answer(at(5.0), std::slice::from_ref(&bad));
    assert_eq!(other.take_unsaved().get(&bad), Some(&None));
    let mut fresh = InputTable::default();
    fresh.load_block(at(0.5), at(600.0), &bad);
    assert!(is_blocked(&fresh, 0.5, "bad"));
    assert!(fresh.take_unsaved().is_empty());
}

#[test]
fn a_block_that_the_store_lacks_is_saved_again_and_one_of_an_answered_part_ended() {
    let mut table = InputTable::default();
    crash(&mut table, &[1.0, 2.0, 3.0], &["bad"]);
    crash(&mut table, &[4.0, 5.0, 6.0], &["kept"]);
    let until = table.take_unsaved();
    table.record_answer(at(7.0), &parts(&["good"]));
    let stored = parts(&["kept", "good", "unknown"]).into_iter().collect();
    table.compare_stored(at(8.0), &stored);
    let bad: CallInput = "bad".parse().unwrap();
    let good = "good".parse().unwrap();
    let expected = [(bad.clone(), until[&bad]), (good, None)];
    assert_eq!(table.take_unsaved().into_iter().collect::<Vec<_>>(), expected);
    table.compare_stored(at(800.0), &stored);
    assert!(table.take_unsaved().is_empty());
}

#[test]
fn many_suspected_parts_do_not_hide_one_that_crashes_runners() {
    let mut table = InputTable::default();
    for number in 0..10_000 {
        table.record_crash(at(1.0), &runner(number), &parts(&[&format!("p{number}")]));
    }
    crash(&mut table, &[20.0, 21.0, 22.0], &["bad"]);
    assert!(is_blocked(&table, 23.0, "bad"));
}

#[test]
fn what_is_told_stays_within_a_message() {
    let mut table = InputTable::default();
    for number in 0..2_000 {
        let texts = [format!("p{number}"), format!("q{number}")];
        for crash in 0..3 {
            let texts = parts(&[&texts[0], &texts[1]]);
            table.record_crash(at(1.0), &runner(3 * number + crash), &texts);
        }
    }
    let update = table.update(at(8.0));
    let crashed: usize = update.crashes.iter().map(|crash| crash.inputs.len()).sum();
    assert!(crashed <= 256 && !update.crashes.is_empty());
    assert_eq!(update.blocked.len(), 256);
    let changes = table.take_changes();
    assert!(changes.iter().all(|change| matches!(change, InputChange::Blocked { .. })));
}

fn request(number: u64) -> CallInput {
    CallInput::Request(RequestFingerprint(number))
}

#[test]
fn a_request_that_comes_again_is_blocked_and_not_the_parts_of_its_prompt() {
    let mut table = InputTable::default();
    for time in [1.0, 2.0, 3.0] {
        let inputs = [parts(&["first", "rare"]), vec![request(1)]].concat();
        table.record_crash(at(time), &runner((time * 1e3) as u64), &inputs);
    }
    assert!(table.find_blocked(at(4.0), &[request(1)]).is_some());
    assert!(table.find_blocked(at(4.0), &[request(2)]).is_none());
    assert!(!is_blocked(&table, 4.0, "first") && !is_blocked(&table, 4.0, "rare"));
}

#[test]
fn a_request_that_is_answered_between_crashes_is_not_blocked() {
    let mut table = InputTable::default();
    for time in [1.0, 2.0, 3.0, 40.0, 41.0, 42.0] {
        table.record_crash(at(time), &runner((time * 1e3) as u64), &[request(1)]);
        table.record_answer(at(time + 0.5), &[request(1)]);
    }
    assert!(table.find_blocked(at(43.0), &[request(1)]).is_none());
}

#[test]
fn answered_requests_do_not_push_safe_parts_out_of_the_table() {
    let mut table = InputTable::default();
    table.record_answer(at(1.0), &parts(&["first"]));
    for number in 0..10_000 {
        table.record_answer(at(2.0), &[request(number)]);
    }
    crash(&mut table, &[3.0, 4.0, 5.0], &["first"]);
    assert!(!is_blocked(&table, 6.0, "first"));
}
