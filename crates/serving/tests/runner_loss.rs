//! Which losses of a runner count as crashes.

use serving::{ProbeOutcome, RunnerLoss, has_crashed};

#[test]
fn a_runner_that_does_not_answer_after_it_has_ended_a_connection_has_crashed() {
    use ProbeOutcome::{Answered, Ended, Refused, Replaced, Silent, Unreached};
    for outcome in [Refused, Ended, Replaced, Silent] {
        assert!(has_crashed(RunnerLoss::ConnectionEnded, outcome), "{outcome:?}");
    }
    for outcome in [Answered, Unreached] {
        assert!(!has_crashed(RunnerLoss::ConnectionEnded, outcome), "{outcome:?}");
    }
}

#[test]
fn a_runner_that_is_only_silent_has_not_crashed() {
    use ProbeOutcome::{Answered, Silent, Unreached};
    for outcome in [Answered, Silent, Unreached] {
        assert!(!has_crashed(RunnerLoss::NoAnswer, outcome), "{outcome:?}");
    }
}
