//! Properties of the fold, over random logs with fixed seeds.

use std::sync::Arc;

use base::{LogOffset, PublishId};
use config::{
    CheckpointRecord, ConfigFold, ConfigRecord, ConfigState, FileChange, FoldOutcome,
    IgnoredReason, PublishRecord, ResetFile, ResetRecord,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const PATHS: [&str; 3] = ["a.service.jsonc", "b.service.jsonc", "c.overrides.jsonc"];

/// How a record of a random log is made.
#[derive(Debug, Clone)]
enum Step {
    /// Changes of paths, with a base that is right or as old as so many records.
    Publish(Vec<(usize, u64, bool)>),
    /// The true state as of so many records ago.
    Checkpoint(u64),
    /// A reset whose operator saw the record so many records ago as the newest.
    Reset(u64),
    Junk(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let change = (0..PATHS.len(), prop_oneof![3 => Just(0u64), 1 => 1..6u64], any::<bool>());
    prop_oneof![
        6 => prop::collection::vec(change, 0..3).prop_map(Step::Publish),
        2 => (0..8u64).prop_map(Step::Checkpoint),
        1 => prop_oneof![2 => Just(0u64), 1 => 1..3u64].prop_map(Step::Reset),
        1 => any::<u8>().prop_map(Step::Junk),
    ]
}

/// The texts of a log, and the true state after each offset from 0.
fn build(steps: &[Step]) -> (Vec<Arc<str>>, Vec<Arc<ConfigState>>) {
    let mut fold = ConfigFold::new();
    let (mut texts, mut states) = (Vec::new(), vec![Arc::clone(fold.state())]);
    for (at, step) in steps.iter().enumerate() {
        let back =
            |records: u64| Arc::clone(&states[(states.len() - 1).saturating_sub(records as usize)]);
        let text = match step {
            Step::Publish(changes) => {
                let files = changes.iter().map(|(path, age, live)| FileChange {
                    path: Arc::from(PATHS[*path]),
                    base: back(*age).version(PATHS[*path]),
                    text: live.then(|| Arc::from(format!("text {at}"))),
                });
                let record = PublishRecord {
                    id: PublishId(at as u64),
                    author: Arc::from(format!("shift {}", at % 3)),
                    note: Arc::from(""),
                    files: files.collect(),
                };
                ConfigRecord::Publish(record).encode()
            }
            Step::Checkpoint(age) => {
                let state = (*back(*age)).clone();
                ConfigRecord::Checkpoint(CheckpointRecord { state }).encode()
            }
            Step::Reset(age) => {
                let file = ResetFile {
                    path: Arc::from(PATHS[at % 3]),
                    text: Arc::from(format!("reset {at}")),
                };
                ConfigRecord::Reset(ResetRecord {
                    id: PublishId(at as u64),
                    author: Arc::from("shift"),
                    note: Arc::from(""),
                    after: LogOffset((at as u64).saturating_sub(*age)),
                    files: vec![file],
                })
                .encode()
            }
            Step::Junk(0) => Arc::from(r#"{"version":2,"record":{"publish":{}}}"#),
            Step::Junk(byte) => Arc::from(format!("{{\"junk\": {byte}")),
        };
        fold.apply(LogOffset(at as u64 + 1), &text);
        texts.push(text);
        states.push(Arc::clone(fold.state()));
    }
    (texts, states)
}

/// Folds everything from the fold's position on.
fn read_on(fold: &mut ConfigFold, texts: &[Arc<str>]) {
    while let Some(text) = texts.get(fold.offset().0 as usize) {
        fold.apply(fold.next(), text);
    }
}

fn settings() -> Config {
    Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn readers_from_any_usable_checkpoint_agree(
        steps in prop::collection::vec(step(), 1..40),
        kept in 0..40usize,
    ) {
        let (texts, states) = build(&steps);
        let first = LogOffset(kept.min(texts.len()) as u64 + 1);
        for (at, text) in texts.iter().enumerate().skip(first.0 as usize - 1) {
            let Ok(ConfigRecord::Checkpoint(checkpoint)) = ConfigRecord::decode(text) else { continue };
            let mut fold = ConfigFold::new();
            let started = fold.start_from(&checkpoint, LogOffset(at as u64 + 1), first);
            let as_of = checkpoint.state.offset;
            prop_assert_eq!(started, as_of.next() >= first && as_of.0 > 0);
            if started {
                prop_assert_eq!(fold.state(), &states[as_of.0 as usize]);
                read_on(&mut fold, &texts);
                prop_assert_eq!(fold.state(), states.last().unwrap());
            }
        }
    }

    #[test]
    fn readers_from_any_accepted_reset_agree(steps in prop::collection::vec(step(), 1..40)) {
        let (texts, states) = build(&steps);
        for (at, text) in texts.iter().enumerate() {
            let Ok(ConfigRecord::Reset(reset)) = ConfigRecord::decode(text) else { continue };
            let offset = LogOffset(at as u64 + 1);
            let mut fold = ConfigFold::new();
            let started = fold.start_from_reset(&reset, offset);
            prop_assert_eq!(started, reset.after.next() == offset);
            if started {
                prop_assert_eq!(fold.state(), &states[at + 1]);
                read_on(&mut fold, &texts);
                prop_assert_eq!(fold.state(), states.last().unwrap());
            }
        }
    }

    #[test]
    fn a_reader_never_goes_back(steps in prop::collection::vec(step(), 1..30), order in any::<u64>()) {
        let (texts, states) = build(&steps);
        let mut fold = ConfigFold::new();
        let mut random = order;
        for _ in 0..120 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let pick = (random >> 33) as usize % texts.len();
            let before = fold.clone();
            match random >> 61 {
                // A stale checkpoint of a paused writer, at any offset.
                0 | 1 => {
                    let state = (*states[pick]).clone();
                    let checkpoint = CheckpointRecord { state };
                    fold.start_from(&checkpoint, LogOffset(texts.len() as u64 + 1), LogOffset(1));
                }
                2 | 3 => {
                    let above = LogOffset((random >> 20) % (pick as u64 + 1));
                    fold.adopt(&states[pick].delta(above));
                }
                _ => {
                    fold.apply(LogOffset(pick as u64 + 1), &texts[pick]);
                }
            }
            prop_assert!(fold.offset() >= before.offset());
            prop_assert_eq!(fold.state(), &states[fold.offset().0 as usize]);
        }
    }

    #[test]
    fn a_delta_equals_folding(steps in prop::collection::vec(step(), 1..40), above in 0..40usize) {
        let (_, states) = build(&steps);
        let above = above.min(states.len() - 1);
        let mut fold = ConfigFold::new();
        fold.adopt(&states[above].delta(LogOffset(0)));
        for later in &states[above..] {
            let mut ahead = fold.clone();
            ahead.adopt(&later.delta(LogOffset(above as u64)));
            prop_assert_eq!(ahead.state(), later);
        }
    }

    #[test]
    fn one_publisher_wins_each_base(racers in prop::collection::vec(0..PATHS.len(), 2..8)) {
        // All racers saw the same empty state.
        let steps: Vec<Step> = Vec::new();
        let (_, states) = build(&steps);
        let mut fold = ConfigFold::new();
        let mut winners = [0; PATHS.len()];
        for (at, path) in racers.iter().enumerate() {
            let change = FileChange {
                path: Arc::from(PATHS[*path]),
                base: states[0].version(PATHS[*path]),
                text: Some(Arc::from(format!("racer {at}"))),
            };
            let record = PublishRecord {
                id: PublishId(at as u64),
                author: Arc::from("racer"),
                note: Arc::from(""),
                files: vec![change],
            };
            let offset = fold.next();
            match fold.apply_record(offset, &ConfigRecord::Publish(record)) {
                FoldOutcome::Accepted => winners[*path] += 1,
                FoldOutcome::Rejected { current_version, .. } => prop_assert!(current_version < offset),
                other => prop_assert!(false, "{other:?}"),
            }
        }
        for (path, won) in winners.iter().enumerate() {
            prop_assert_eq!(*won, usize::from(racers.contains(&path)));
        }
    }
}

#[test]
fn a_late_duplicate_cannot_restore_a_removed_file() {
    let steps = [Step::Publish(vec![(0, 0, true)]), Step::Publish(vec![(0, 0, false)])];
    let (mut texts, _) = build(&steps);
    texts.push(Arc::clone(&texts[0]));
    let mut fold = ConfigFold::new();
    read_on(&mut fold, &texts[..2]);
    let outcome = fold.apply(LogOffset(3), &texts[2]);
    assert!(
        matches!(outcome, FoldOutcome::Rejected { current_version: LogOffset(2), .. }),
        "{outcome:?}"
    );
    assert!(fold.state().files.is_empty());
}

#[test]
fn a_gap_stops_the_fold() {
    let steps = vec![Step::Publish(vec![(0, 0, true)]); 4];
    let (texts, _) = build(&steps);
    let mut fold = ConfigFold::new();
    assert_eq!(fold.apply(LogOffset(1), &texts[0]), FoldOutcome::Accepted);
    let before = fold.clone();
    assert_eq!(fold.apply(LogOffset(3), &texts[2]), FoldOutcome::Stopped { wanted: LogOffset(2) });
    assert_eq!(fold, before);
}

#[test]
fn records_that_are_not_understood_only_move_the_offset() {
    let mut fold = ConfigFold::new();
    for (at, text) in
        ["", "null", r#"{"version":7}"#, r#"{"version":1,"record":{}}"#].iter().enumerate()
    {
        let outcome = fold.apply(LogOffset(at as u64 + 1), text);
        assert!(
            matches!(outcome, FoldOutcome::Ignored(IgnoredReason::Unreadable(_))),
            "{outcome:?}"
        );
    }
    let expected = ConfigState { offset: LogOffset(4), ..ConfigState::default() };
    assert_eq!(**fold.state(), expected);
}
