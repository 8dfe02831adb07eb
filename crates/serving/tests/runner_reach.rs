//! When a node takes itself for cut off from all runners.

use base::prelude::*;
use serving::{ReachChange, RunnerReach, spread_over_services};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn runner(number: u32) -> RunnerId {
    format!("i-{number}").parse().unwrap()
}

/// A node that had an answer at one second.
fn reaching() -> RunnerReach {
    let mut reach = RunnerReach::default();
    reach.record_answer(at(1_000));
    reach
}

#[test]
fn a_node_whose_runners_all_fail_is_cut_off_until_one_answers() {
    let mut reach = reaching();
    reach.record_failure(&runner(1));
    reach.record_failure(&runner(2));
    assert!(reach.begin_check(at(1_010)));
    assert!(!reach.is_lost());
    let change = reach.record_silence(at(1_260), at(1_010));
    assert_eq!(change, Some(ReachChange::Lost { silent: TimeSpan::millis(260) }));
    assert!(reach.is_lost());
    assert_eq!(reach.record_answer(at(2_000)), Some(ReachChange::Regained));
    assert!(!reach.is_lost());
}

#[test]
fn one_runner_that_fails_beside_answers_of_others_is_not_looked_into() {
    let mut reach = reaching();
    for number in 0..10 {
        let now = at(1_000 + 50 * number);
        reach.record_answer(now);
        reach.record_failure(&runner(1));
        assert!(!reach.begin_check(now + TimeSpan::millis(40)));
    }
}

#[test]
fn one_failure_is_looked_into_when_no_runner_has_answered_for_a_while() {
    let mut reach = reaching();
    reach.record_failure(&runner(1));
    assert!(!reach.begin_check(at(1_100)));
    assert!(reach.begin_check(at(1_250)));
}

#[test]
fn an_answer_during_a_check_shows_that_the_runners_are_reached() {
    let mut reach = reaching();
    reach.record_failure(&runner(1));
    assert!(reach.begin_check(at(1_500)));
    reach.record_answer(at(1_600));
    assert_eq!(reach.record_silence(at(1_750), at(1_500)), None);
    assert!(!reach.is_lost());
}

#[test]
fn checks_are_bounded_and_go_on_while_no_runner_is_reached() {
    let mut reach = reaching();
    let mut checks = 0;
    for millis in 1_200..2_200 {
        reach.record_failure(&runner(1));
        checks += u32::from(reach.begin_check(at(millis)));
    }
    assert_eq!(checks, 2);
    reach.record_silence(at(2_200), at(2_199));
    let later = (2_200..3_200).filter(|millis| reach.begin_check(at(*millis))).count();
    assert_eq!(later, 3);
}

#[test]
fn runners_of_all_services_are_asked_however_many_one_service_has() {
    let service = |number: usize| -> ServiceName {
        let name = if number % 50 == 49 { "desk" } else { "llm" };
        name.parse().unwrap()
    };
    let runners: Vec<(usize, ServiceName)> =
        (0..200).map(|number| (number, service(number))).collect();
    let ordered = spread_over_services(runners, |(_, service)| service);
    let first: Vec<usize> = ordered.iter().take(4).map(|(number, _)| *number).collect();
    assert_eq!(first, [0, 49, 1, 2]);
    assert_eq!(ordered.len(), 200);
}

/// Requests on connections that hang fail late, and not at all if their callers leave.
#[test]
fn a_request_without_an_answer_is_looked_into_though_nothing_has_failed() {
    let mut reach = reaching();
    reach.record_send(at(2_000));
    reach.record_send(at(2_400));
    assert!(!reach.begin_check(at(2_450)));
    assert!(reach.begin_check(at(2_500)));
    reach.record_answer(at(2_600));
    assert!(!reach.begin_check(at(3_500)), "nothing was sent since the answer");
}

/// A call must not wait long for runners that are not reached, whenever it arrived.
#[test]
fn a_call_waits_for_half_a_second_from_the_loss_or_its_arrival_on() {
    let mut reach = reaching();
    assert_eq!(reach.wait_end(at(1_000)), None);
    reach.record_failure(&runner(1));
    assert!(reach.begin_check(at(1_500)));
    assert!(reach.record_silence(at(1_750), at(1_500)).is_some());
    assert_eq!(reach.wait_end(at(1_000)), Some(at(2_250)));
    assert_eq!(reach.wait_end(at(5_000)), Some(at(5_500)));
}
