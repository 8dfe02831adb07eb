//! Checks what becomes of a run that is read through another node.

use base::TimeSpan;
use serving::{RelayDecision, RelayFacts, decide_relay};

const MOMENT: TimeSpan = TimeSpan::millis(1_200);
const LONG: TimeSpan = TimeSpan::seconds(2);

#[test]
fn a_node_that_is_silent_for_a_moment_is_not_given_up() {
    let facts = RelayFacts { is_lost: false, answers: false, silence: MOMENT, may_move: false };
    assert_eq!(decide_relay(facts), RelayDecision::Wait);
    assert_eq!(decide_relay(RelayFacts { may_move: true, ..facts }), RelayDecision::MoveRun);
    let long = RelayFacts { silence: LONG, ..facts };
    assert_eq!(decide_relay(long), RelayDecision::LeaveNode);
}

#[test]
fn a_node_that_answers_looks_after_its_runner() {
    let facts = RelayFacts { is_lost: false, answers: true, silence: LONG, may_move: true };
    assert_eq!(decide_relay(facts), RelayDecision::Wait);
    assert_eq!(decide_relay(RelayFacts { is_lost: true, ..facts }), RelayDecision::LeaveNode);
}
