//! Checks where a run goes on whose next runner does not answer.

use serving::{
    AnswerPlace, NodePlace, OverlapRule, PlaceFacts, PlaceNodes, SilentPlace, SourceRun,
    SourceState, WaitDecision, WaitFacts, asks_source, choose_silent_place, decide_wait,
    list_node_places,
};

const SOURCES: [SourceState; 3] = [SourceState::Ended, SourceState::Silent, SourceState::Active];
const RULES: [OverlapRule; 2] = [OverlapRule::KeepSource, OverlapRule::LeaveSilentSource];

/// All that can be known, and what is decided.
fn all_decisions() -> Vec<(WaitFacts, WaitDecision)> {
    let other = || AnswerPlace::OtherNode("other".parse().unwrap());
    let answers = [None, Some(AnswerPlace::Here), Some(other()), Some(AnswerPlace::Nowhere)];
    let mut decisions = Vec::new();
    for source in SOURCES {
        for rule in RULES {
            for is_overlap_over in [false, true] {
                for answered in answers.clone() {
                    for source_answered in answers.clone() {
                        let answered = answered.clone();
                        let facts =
                            WaitFacts { source, rule, is_overlap_over, answered, source_answered };
                        let decision = decide_wait(&facts);
                        decisions.push((facts, decision));
                    }
                }
            }
        }
    }
    decisions
}

#[test]
fn a_source_is_to_stop_only_if_silent_and_only_for_a_runner_that_answers() {
    for (facts, decision) in all_decisions() {
        let may_leave = facts.source == SourceState::Silent
            && facts.rule == OverlapRule::LeaveSilentSource
            && facts.is_overlap_over
            && facts.answered == Some(AnswerPlace::Here);
        assert_eq!(decision == WaitDecision::LeaveSource, may_leave, "{facts:?}");
    }
}

#[test]
fn two_runners_that_may_both_work_are_kept_no_longer_than_the_overlap() {
    for (facts, decision) in all_decisions().into_iter().filter(|(facts, _)| facts.is_overlap_over)
    {
        let next_answers = facts.answered == Some(AnswerPlace::Here);
        let may_both_work = match facts.source {
            SourceState::Ended => false,
            SourceState::Silent => facts.rule == OverlapRule::KeepSource || next_answers,
            SourceState::Active => true,
        };
        assert!(!may_both_work || decision != WaitDecision::Wait, "{facts:?}");
    }
}

/// Guards against TWICE: a source is read beside the next runner; it sends again, and both work on.
#[test]
fn a_source_that_sends_again_goes_on_alone_once_the_overlap_is_over() {
    for (facts, decision) in all_decisions() {
        let is_kept = facts.source == SourceState::Silent && facts.rule == OverlapRule::KeepSource;
        let works = facts.source == SourceState::Active || is_kept;
        let leaves = decision == WaitDecision::LeaveNext;
        assert_eq!(leaves, works && facts.is_overlap_over, "{facts:?}");
    }
}

#[test]
fn a_wait_ends_where_another_node_gets_answers_and_the_source_gives_none() {
    for (facts, decision) in all_decisions() {
        let is_left = facts.source == SourceState::Ended
            || facts.source == SourceState::Silent && facts.rule == OverlapRule::LeaveSilentSource;
        let is_elsewhere = matches!(facts.answered, Some(AnswerPlace::OtherNode(_)));
        let leaves = decision == WaitDecision::LeaveThisNode;
        assert_eq!(leaves, is_left && is_elsewhere, "{facts:?}");
    }
}

/// Guards against LOST: a next runner that answers nobody is waited for, while the run works at its source.
#[test]
fn a_run_moves_from_its_silent_source_only_if_the_next_runner_answers_nobody() {
    for (facts, decision) in all_decisions() {
        let is_left = facts.source == SourceState::Silent
            && facts.rule == OverlapRule::LeaveSilentSource
            && facts.answered == Some(AnswerPlace::Nowhere);
        let is_elsewhere = matches!(facts.source_answered, Some(AnswerPlace::OtherNode(_)));
        assert_eq!(decision == WaitDecision::MoveSource, is_left && is_elsewhere, "{facts:?}");
        assert_eq!(asks_source(&facts), is_left && facts.source_answered.is_none(), "{facts:?}");
    }
}

#[test]
fn a_run_goes_on_from_its_copy_unless_only_its_source_answers() {
    let node = |name: &str| Some(name.parse().unwrap());
    let nodes = [(None, None), (None, node("b")), (node("a"), None), (node("a"), node("b"))];
    for (copy, source) in nodes {
        for may_move in [false, true] {
            let nodes = PlaceNodes { copy: copy.clone(), source: source.clone() };
            let place = match (&copy, &source) {
                (None, Some(node)) if may_move => SilentPlace::Source(node.clone()),
                _ => SilentPlace::Copy(copy.clone()),
            };
            assert_eq!(choose_silent_place(nodes, may_move), place);
        }
    }
}

#[test]
fn a_run_that_may_have_been_taken_is_stopped_before_its_memory_is_used() {
    let all = PlaceFacts { next_may_run: true, has_memory: true, source: SourceRun::MayRun };
    let places = [NodePlace::NextRun, NodePlace::NextMemory, NodePlace::SourceRun];
    assert_eq!(list_node_places(all), places);
    let none = PlaceFacts { next_may_run: false, has_memory: false, source: SourceRun::NotMoved };
    assert!(list_node_places(none).is_empty());
}

#[test]
fn a_run_that_works_at_its_source_is_stopped_before_its_memory_is_used() {
    let facts = PlaceFacts { next_may_run: false, has_memory: true, source: SourceRun::Works };
    assert_eq!(list_node_places(facts), [NodePlace::SourceRun, NodePlace::NextMemory]);
}
