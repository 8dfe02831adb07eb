//! Checks whether the rest of an answer that has begun is waited for.

use base::TimeSpan;
use serving::{AnswerPlace, RestDecision, RestFacts, decide_rest};

#[test]
fn only_a_runner_that_answers_other_nodes_for_a_second_is_given_up() {
    let other = AnswerPlace::OtherNode("node-2".parse().unwrap());
    let mut decisions = Vec::new();
    for unheard in [TimeSpan::millis(900), TimeSpan::millis(1_000)] {
        for answered in
            [None, Some(AnswerPlace::Here), Some(AnswerPlace::Nowhere), Some(other.clone())]
        {
            let facts = RestFacts { unheard, may_leave: true, answered };
            decisions.push(decide_rest(&facts));
            let alone = RestFacts { may_leave: false, ..facts };
            assert_eq!(decide_rest(&alone), RestDecision::Wait);
        }
    }
    let [wait, ask, give_up] = [RestDecision::Wait, RestDecision::Ask, RestDecision::GiveUp];
    assert_eq!(decisions, [wait, wait, wait, wait, ask, wait, wait, give_up]);
}
