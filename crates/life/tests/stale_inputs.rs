//! Inputs that come too late, or that belong to nothing, change nothing.

use base::prelude::*;
use life::{LifeAction, LifeInput, LifeStart, SeenPlace, StepNumber, StepOutcome, StreamLife};

fn runner(name: &str) -> RunnerId {
    name.parse().expect("a valid name")
}

/// A stream at `first`, whose copy is at `second`.
fn new_life() -> StreamLife {
    let deadline = TimePoint::default() + TimeSpan::seconds(8);
    let (source, next) = (runner("first"), runner("second"));
    StreamLife::new(LifeStart { source, next, has_memory: true, deadline }, TimePoint::default())
}

#[test]
fn results_of_steps_that_are_not_under_way_change_nothing() {
    let mut life = new_life();
    let before = life.clone();
    let now = TimePoint::default() + TimeSpan::millis(10);
    for outcome in [StepOutcome::Done, StepOutcome::Returned, StepOutcome::Refused] {
        let input = LifeInput::StepEnded(StepNumber(7), outcome);
        assert_eq!(life.step(&input, now), Vec::new());
    }
    let answer = LifeInput::Asked(runner("third"), SeenPlace::Here);
    assert_eq!(life.step(&answer, now), Vec::new());
    assert_eq!(life, before);
}

#[test]
fn inputs_after_the_end_change_nothing() {
    let mut life = new_life();
    let now = TimePoint::default() + TimeSpan::millis(10);
    let actions = life.step(&LifeInput::CallerLeft, now);
    assert!(matches!(actions.as_slice(), [LifeAction::End(_)]), "{actions:?}");
    let ended = life.clone();
    let leave = LifeInput::RunnerLeaves(runner("first"));
    for input in [LifeInput::Events(Some(1)), LifeInput::SourceEnded, LifeInput::SourceLost, leave]
    {
        assert_eq!(life.step(&input, now), Vec::new());
    }
    assert_eq!(life, ended);
}
