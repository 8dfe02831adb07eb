//! Every model: the sound variants hold, and every broken one is caught.

use insta::assert_snapshot;
use spec::{
    AttemptVariant, BookingVariant, ClaimVariant, ConfigVariant, EndVariant, EraVariant,
    LeftVariant, LifeVariant, ModelRun, MoveVariant, StoppedVariant, StreamKind, StreamVariant,
    check_attempts, check_bookings, check_claims, check_configs, check_ends, check_eras,
    check_lefts, check_lives, check_moves, check_stopped, check_streams,
};

/// One line for each run; a run that is not as expected fails with its trace.
fn table(runs: impl IntoIterator<Item = ModelRun>) -> String {
    let line = |run: ModelRun| {
        assert!(run.is_expected(), "{run}\n{}", run.trace.join("\n"));
        run.to_string()
    };
    runs.into_iter().map(line).collect::<Vec<_>>().join("\n")
}

#[test]
fn bookings_run_at_most_once() {
    assert_snapshot!(table(BookingVariant::ALL.map(check_bookings)));
}

#[test]
fn streams_deliver_each_token_once() {
    let sound = StreamKind::ALL.map(|kind| check_streams(kind, StreamVariant::Sound));
    let broken = StreamVariant::BROKEN.map(|(kind, variant)| check_streams(kind, variant));
    assert_snapshot!(table(sound.into_iter().chain(broken)));
}

#[test]
fn earlier_holders_give_no_orders() {
    assert_snapshot!(table(ClaimVariant::ALL.map(check_claims)));
}

#[test]
fn every_reader_has_the_configuration_of_the_log() {
    assert_snapshot!(table(ConfigVariant::ALL.map(check_configs)));
}

#[test]
fn an_attempt_says_only_what_is_known_of_its_runs() {
    assert_snapshot!(table(AttemptVariant::ALL.map(check_attempts)));
}

#[test]
fn a_stream_that_moves_keeps_every_event() {
    assert_snapshot!(table(MoveVariant::ALL.map(check_moves)));
}

/// A stopped run, its places and its memory: each rule taken out loses a stream.
#[test]
fn a_stopped_run_goes_on_where_a_place_has_it() {
    assert_snapshot!(table(StoppedVariant::ALL.map(check_stopped)));
}

/// Guards against ORDER: the end of a body without framing, after which an order may have been followed.
#[test]
fn a_part_of_an_unframed_stream_never_looks_whole() {
    assert_snapshot!(table(EndVariant::ALL.map(check_ends)));
}

/// Guards against TWICE: closes that end nothing, two runs at a runner, and one that is silent for a moment.
#[test]
fn a_run_is_ended_in_time_at_the_runner_that_it_has_left() {
    assert_snapshot!(table(LeftVariant::ALL.map(check_lefts)));
}

#[test]
fn a_store_that_comes_back_from_a_copy_hides_no_version() {
    assert_snapshot!(table(EraVariant::ALL.map(check_eras)));
}

/// The shortest way to a record that is skipped, since its offset was given out before.
#[test]
fn a_cursor_without_era_skips_a_record() {
    let run = check_eras(EraVariant::CursorWithoutEra);
    assert_snapshot!(run.trace.join("\n"), @r"
    Copy
    Write
    Ask(0)
    Answer(0)
    Return
    Write
    Receive(0)
    Ask(0)
    Answer(0)
    Receive(0)
    ");
}

/// The trace of a broken variant reads as what happened.
#[test]
fn a_violation_comes_with_its_trace() {
    let run = check_bookings(BookingVariant::SecondAdopter);
    assert_snapshot!(run.trace.join("\n"), @r"
    Freeze(0)
    HandOver { from: 0, to: 1 }
    Deliver(Table { from: 0, to: 1, asked: VmIncarnation(2) })
    AskAnother
    Deliver(Table { from: 0, to: 2, asked: VmIncarnation(3) })
    ");
}

/// A search that finds a violation, as its rule and its shortest course; steps of time are counted.
fn course(variant: LifeVariant) -> String {
    let run = check_lives(variant);
    let mut steps: Vec<(String, u32)> = Vec::new();
    for step in run.trace {
        match steps.last_mut() {
            Some((last, count)) if *last == step => *count += 1,
            _ => steps.push((step, 1)),
        }
    }
    let step = |(step, count): &(String, u32)| {
        if *count > 1 { format!("{step} x{count}") } else { step.clone() }
    };
    let steps = steps.iter().map(step).collect::<Vec<_>>().join(", ");
    format!("{variant:?}: {}: {steps}", run.violation.unwrap_or("holds"))
}

/// Guards against LOST: a stream whose rest a place could have given.
#[test]
fn a_stream_ends_without_its_rest_only_if_no_place_has_it() {
    let sound = LifeVariant::SOUND.map(check_lives);
    assert_snapshot!(table(sound));
}

/// Guards against a model that holds whatever the rules are: each earlier fault loses a stream.
#[test]
fn each_earlier_fault_loses_a_stream() {
    assert_snapshot!(LifeVariant::FAULTS.map(course).join("\n"));
}

/// Guards against LOST: time that passed at this node is taken for something that a runner did.
#[test]
fn each_verdict_from_time_loses_a_stream() {
    assert_snapshot!(LifeVariant::LATE_READS.map(course).join("\n"));
}

/// Guards against LOST: a place is given up, or a stop is given, before another place is certain to go on.
#[test]
fn each_place_given_up_early_loses_a_stream() {
    assert_snapshot!(LifeVariant::EARLY_ENDS.map(course).join("\n"));
}

/// Rules of the present loop, and what is open in the state machine, that the search shows to be broken.
#[test]
fn findings_of_the_search_are_reproduced() {
    assert_snapshot!(LifeVariant::FINDINGS.map(course).join("\n"));
}
