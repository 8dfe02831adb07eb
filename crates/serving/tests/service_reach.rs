//! Which runners a node takes for out of reach, and when it takes a service for lost.

use std::collections::BTreeSet;

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serving::{
    AnswerNews, QuestionFailure, ReachMembers, ReachQuestion, ReachTable, RunnerIncarnation,
    ServiceMembers, ServiceShare,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn runner(name: &str, number: usize) -> RunnerIncarnation {
    RunnerIncarnation { runner: format!("{name}-{number}").parse().unwrap(), started_unix_ms: 1 }
}

/// A table, and the runners that it is checked with.
struct Checked {
    reach: ReachTable,
    members: ReachMembers,
    rng: StdRng,
}

impl Checked {
    /// Services with numbers of runners, all of which answered at one second.
    fn new(services: &[(&str, usize)]) -> Self {
        let mut reach = ReachTable::default();
        let mut members = ReachMembers::new();
        for (name, count) in services {
            for number in 0..*count {
                reach.record_answer(at(1_000), &service(name), &runner(name, number));
                members.entry(service(name)).or_default().open.insert(runner(name, number));
            }
        }
        Self { reach, members, rng: StdRng::seed_from_u64(1) }
    }

    /// `open` is the only runner of a service from now on.
    fn set_open(&mut self, name: &str, open: &RunnerIncarnation) {
        let open = BTreeSet::from([open.clone()]);
        self.members.insert(service(name), ServiceMembers { open, ..ServiceMembers::default() });
    }

    /// A runner leaves.
    fn leave(&mut self, name: &str, number: usize) {
        let members = self.members.get_mut(&service(name)).unwrap();
        members.open.remove(&runner(name, number));
        members.closed.insert(runner(name, number));
    }

    fn fail(&mut self, name: &str, number: usize) {
        self.reach.record_failure(&service(name), &runner(name, number));
    }

    /// The runners that are asked at `millis`.
    fn ask(&mut self, millis: u64) -> Vec<ReachQuestion> {
        if !self.reach.needs_check(at(millis)) {
            return Vec::new();
        }
        let questions = self.reach.begin_check(at(millis), self.members.clone(), &mut self.rng);
        let _ = self.reach.update_losses(at(millis));
        questions
    }

    /// Questions that were asked at `begun` end without an answer; gives the services lost by that.
    fn end_silent(
        &mut self,
        millis: u64,
        begun: u64,
        questions: &[ReachQuestion],
        failure: QuestionFailure,
    ) -> Vec<ServiceName> {
        for question in questions {
            self.reach.record_silence(at(millis), at(begun), question, failure);
        }
        self.reach.update_losses(at(millis))
    }

    fn end_unconnected(
        &mut self,
        millis: u64,
        begun: u64,
        questions: &[ReachQuestion],
    ) -> Vec<ServiceName> {
        self.end_silent(millis, begun, questions, QuestionFailure::Unconnected)
    }

    fn answer(&mut self, millis: u64, name: &str, number: usize) -> AnswerNews {
        self.reach.record_answer(at(millis), &service(name), &runner(name, number))
    }

    fn asked_of(questions: &[ReachQuestion], name: &str) -> usize {
        questions.iter().filter(|question| question.service == service(name)).count()
    }

    /// Loses all runners of a service at two seconds.
    fn lose(&mut self, name: &str, count: usize) {
        self.fail(name, 0);
        self.fail(name, 1);
        let questions = self.ask(2_000);
        let own: Vec<ReachQuestion> =
            questions.into_iter().filter(|question| question.service == service(name)).collect();
        assert_eq!(own.len(), count);
        assert_eq!(self.end_unconnected(2_250, 2_000, &own), [service(name)]);
    }
}

#[test]
fn a_service_whose_runners_all_fail_is_lost_until_one_answers() {
    let mut checked = Checked::new(&[("desk", 3)]);
    checked.fail("desk", 1);
    checked.fail("desk", 2);
    let questions = checked.ask(1_300);
    assert_eq!(questions.len(), 3, "two failures are enough to ask all");
    assert!(!checked.reach.is_lost(&service("desk")));
    assert_eq!(checked.end_unconnected(1_550, 1_300, &questions), [service("desk")]);
    assert!(checked.reach.is_all_lost());
    let news = checked.answer(2_000, "desk", 0);
    assert_eq!(news, AnswerNews { runner_regained: true, service_regained: true });
    assert!(!checked.reach.is_lost(&service("desk")));
    assert_eq!(checked.ask(2_050).len(), 2, "the others are asked at once");
}

/// Guards against the loss of one service that the answers of another one hide.
#[test]
fn a_lost_service_stays_lost_while_another_one_answers() {
    let mut checked = Checked::new(&[("desk", 3), ("llm", 4)]);
    checked.lose("llm", 4);
    for millis in [2_300, 2_500, 3_000] {
        checked.answer(millis, "desk", 0);
        assert!(checked.reach.is_lost(&service("llm")));
        assert!(!checked.reach.is_lost(&service("desk")));
        assert!(!checked.reach.is_all_lost());
    }
    let shares = [ServiceShare { service: service("llm"), reached: 0, known: 4 }];
    assert_eq!(checked.reach.update().0, shares);
}

/// A service without calls has no failures that would show its loss.
#[test]
fn the_runners_of_an_idle_service_are_asked_with_those_of_another_one() {
    let mut checked = Checked::new(&[("desk", 2), ("llm", 3)]);
    checked.fail("llm", 0);
    checked.fail("llm", 1);
    let questions = checked.ask(2_000);
    assert_eq!(Checked::asked_of(&questions, "desk"), 2);
    let lost = checked.end_unconnected(2_250, 2_000, &questions);
    assert_eq!(lost, [service("desk"), service("llm")]);
    assert!(checked.reach.is_all_lost());
    let mut checked = Checked::new(&[("desk", 2), ("llm", 3)]);
    checked.answer(1_800, "desk", 0);
    checked.fail("llm", 0);
    checked.fail("llm", 1);
    assert_eq!(Checked::asked_of(&checked.ask(2_000), "desk"), 0, "it answers");
}

#[test]
fn one_runner_that_fails_beside_answers_of_others_is_asked_alone() {
    let mut checked = Checked::new(&[("desk", 4)]);
    checked.answer(1_500, "desk", 0);
    checked.fail("desk", 1);
    let questions = checked.ask(1_510);
    assert_eq!(questions.len(), 1);
    assert_eq!(checked.end_unconnected(1_760, 1_510, &questions), []);
    assert!(checked.reach.is_unreached(&service("desk"), &runner("desk", 1)));
    assert_eq!(checked.reach.service(&service("desk")).unwrap().counts(), (3, 4));
}

#[test]
fn one_failure_is_enough_to_ask_all_when_no_runner_has_answered_for_a_while() {
    let mut checked = Checked::new(&[("desk", 3)]);
    checked.fail("desk", 1);
    assert_eq!(checked.ask(1_100).len(), 1);
    let mut checked = Checked::new(&[("desk", 3)]);
    checked.fail("desk", 1);
    assert_eq!(checked.ask(1_250).len(), 3);
}

/// What cuts a node off from one runner often cuts it off from others.
#[test]
fn the_others_are_asked_when_one_runner_is_not_reached() {
    let mut checked = Checked::new(&[("desk", 4)]);
    checked.answer(1_500, "desk", 0);
    checked.fail("desk", 1);
    let questions = checked.ask(1_510);
    checked.end_unconnected(1_760, 1_510, &questions);
    checked.answer(1_790, "desk", 0);
    assert_eq!(checked.ask(1_800).len(), 2, "those that were not heard lately");
}

#[test]
fn an_answer_during_a_check_shows_that_the_runner_is_reached() {
    let mut checked = Checked::new(&[("desk", 1)]);
    checked.fail("desk", 0);
    let questions = checked.ask(1_500);
    checked.answer(1_600, "desk", 0);
    assert_eq!(checked.end_unconnected(1_750, 1_500, &questions), []);
    assert!(!checked.reach.is_unreached(&service("desk"), &runner("desk", 0)));
}

/// A runner that has answered something lately is busy, and not out of reach.
#[test]
fn a_busy_runner_that_answers_no_question_in_time_is_reached() {
    let mut checked = Checked::new(&[("desk", 1)]);
    checked.fail("desk", 0);
    let questions = checked.ask(1_100);
    assert_eq!(checked.end_silent(1_350, 1_100, &questions, QuestionFailure::Silent), []);
    let questions = checked.ask(1_400);
    let lost = checked.end_silent(1_650, 1_400, &questions, QuestionFailure::Silent);
    assert_eq!(lost, [service("desk")]);
}

#[test]
fn questions_are_bounded_and_go_on_while_a_service_is_lost() {
    let mut checked = Checked::new(&[("llm", 9)]);
    checked.lose("llm", 9);
    let mut asked = 0;
    for millis in 2_250..3_250 {
        let questions = checked.ask(millis);
        asked += questions.len();
        checked.end_unconnected(millis, millis, &questions);
    }
    assert_eq!(asked, 12, "four each 250 ms");
}

/// A runner that fails many calls and answers questions must not be asked after each of them.
#[test]
fn questions_to_a_runner_that_answers_them_are_bounded() {
    let mut checked = Checked::new(&[("desk", 1)]);
    let mut asked = 0;
    for millis in 1_200..2_200 {
        checked.fail("desk", 0);
        let questions = checked.ask(millis);
        asked += questions.len();
        for question in &questions {
            checked.answer(millis, "desk", 0);
            checked.reach.end_question(question);
        }
    }
    assert_eq!(asked, 2);
}

/// The longer a runner is away, the less often it is asked, but once in two seconds.
#[test]
fn questions_to_one_runner_that_is_not_reached_become_rare() {
    let mut checked = Checked::new(&[("desk", 2)]);
    checked.fail("desk", 1);
    let mut asked = Vec::new();
    for millis in (1_100..41_000).step_by(50) {
        checked.answer(millis, "desk", 0);
        let questions = checked.ask(millis);
        if !questions.is_empty() {
            asked.push(millis);
        }
        checked.end_unconnected(millis, millis, &questions);
    }
    let pauses: Vec<u64> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.iter().all(|pause| (250..=2_050).contains(pause)), "{pauses:?}");
    assert!(asked.len() < 45, "{}", asked.len());
}

/// Requests on connections that hang fail late, and not at all if their callers leave.
#[test]
fn a_request_without_an_answer_is_looked_into_though_nothing_has_failed() {
    let mut checked = Checked::new(&[("desk", 1)]);
    let send = |checked: &mut Checked, millis| {
        checked.reach.record_send(at(millis), &service("desk"), &runner("desk", 0));
    };
    send(&mut checked, 2_000);
    send(&mut checked, 2_400);
    assert!(checked.ask(2_450).is_empty());
    assert_eq!(checked.ask(2_500).len(), 1);
    checked.answer(2_600, "desk", 0);
    assert!(checked.ask(3_500).is_empty(), "nothing was sent since the answer");
}

/// Streams go on over open connections while new ones come to nothing.
#[test]
fn events_of_streams_do_not_show_that_a_runner_can_be_connected_to() {
    let mut checked = Checked::new(&[("llm", 1)]);
    checked.fail("llm", 0);
    let questions = checked.ask(2_000);
    checked.reach.record_event(at(2_100), &service("llm"), &runner("llm", 0));
    assert_eq!(checked.end_unconnected(2_250, 2_000, &questions), [service("llm")]);
    checked.reach.record_event(at(2_300), &service("llm"), &runner("llm", 0));
    assert!(checked.reach.is_lost(&service("llm")));
}

/// A call must not wait long for runners that are not reached, whenever it arrived.
#[test]
fn a_call_waits_for_half_a_second_from_the_loss_or_its_arrival_on() {
    let mut checked = Checked::new(&[("desk", 2)]);
    let wait_end = |checked: &Checked, arrived| {
        checked.reach.service(&service("desk")).unwrap().wait_end(at(arrived))
    };
    assert_eq!(wait_end(&checked, 1_000), None);
    checked.lose("desk", 2);
    assert_eq!(wait_end(&checked, 1_000), Some(at(2_750)));
    assert_eq!(wait_end(&checked, 5_000), Some(at(5_500)));
}

/// In a large service not all runners are asked; as many as are asked at once stand for all.
#[test]
fn a_large_service_is_lost_by_a_round_without_an_answer() {
    let mut checked = Checked::new(&[("llm", 300)]);
    checked.fail("llm", 0);
    checked.fail("llm", 1);
    let questions = checked.ask(2_000);
    assert_eq!(questions.len(), 14);
    assert_eq!(checked.end_unconnected(2_250, 2_000, &questions), [service("llm")]);
    let mut checked = Checked::new(&[("llm", 300)]);
    checked.fail("llm", 0);
    checked.fail("llm", 1);
    let questions = checked.ask(2_000);
    checked.answer(2_010, "llm", 299);
    assert_eq!(checked.end_unconnected(2_250, 2_000, &questions), []);
}

/// A runner that starts again while its service is lost has to answer first.
#[test]
fn a_lost_service_with_a_new_start_of_its_runner_is_lost_until_that_answers() {
    let mut checked = Checked::new(&[("desk", 1)]);
    checked.fail("desk", 0);
    let questions = checked.ask(2_000);
    checked.end_unconnected(2_250, 2_000, &questions);
    let started = RunnerIncarnation { started_unix_ms: 2, ..runner("desk", 0) };
    checked.set_open("desk", &started);
    let questions = checked.ask(2_500);
    assert_eq!(questions.len(), 1);
    assert!(checked.reach.is_lost(&service("desk")));
    checked.reach.record_answer(at(2_510), &service("desk"), &started);
    assert!(!checked.reach.is_lost(&service("desk")));
}

/// Guards against LOST: a stream at a leaving runner that is not reached is never looked into.
#[test]
fn a_leaving_runner_at_which_a_stream_is_silent_is_asked_and_counts_as_not_reached() {
    let mut checked = Checked::new(&[("llm", 3)]);
    checked.leave("llm", 0);
    checked.fail("llm", 0);
    let questions = checked.ask(2_000);
    assert_eq!(
        questions.iter().map(|asked| asked.runner.clone()).collect::<Vec<_>>(),
        [runner("llm", 0)]
    );
    checked.end_silent(2_250, 2_000, &questions, QuestionFailure::Silent);
    assert!(checked.reach.is_unreached(&service("llm"), &runner("llm", 0)));
    // It takes no new requests, so it counts neither for its service nor as a reason to ask others.
    assert!(checked.reach.update().0.is_empty());
    assert!(checked.ask(2_300).is_empty());
}
