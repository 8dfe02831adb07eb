//! Which runners of one service this node reaches.
//!
//! Load pattern: a node is cut off from all or some runners of a service while other services,
//! callers and other nodes are reached as before. What a call shows comes late, so runners are
//! asked as soon as calls give a reason to. Only what a runner answers shows that it is reached.
//!
//! A runner that leaves or named a wait counts for nothing but its own runs, which go on elsewhere if it
//! is not reached.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::{RunnerIncarnation, ServiceMembers};

/// Time without an answer of any runner of the service after which one failure is enough to ask
/// the others, too.
const SUSPECT_SPAN: TimeSpan = TimeSpan::millis(200);
/// Time without an answer after which a runner is asked that was sent a request. Connections that
/// hang fail only at the deadlines of their calls, and not at all if the callers leave before.
const UNANSWERED_SPAN: TimeSpan = TimeSpan::millis(500);
/// Pause between two rounds in which runners are asked that no call has failed at.
const ROUND_PAUSE: TimeSpan = TimeSpan::millis(500);
/// Pause between two questions to a runner that answers them.
const QUESTION_PAUSE: TimeSpan = TimeSpan::millis(500);
/// Shortest and longest pause between two questions to a runner that is not reached, while others
/// of its service are.
const UNREACHED_PAUSE_BOUNDS: [TimeSpan; 2] = [TimeSpan::millis(250), TimeSpan::seconds(2)];
/// Share of the time since a runner was last reached that passes between two questions.
const UNREACHED_PAUSE_DIVISOR: u64 = 8;
/// Pause between two rounds of questions while no runner of the service is reached.
const LOST_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Runners asked in such a round.
const LOST_QUESTIONS: usize = 4;
/// Runners asked in a round that no call has failed at. As many that do not answer, while no other
/// does, stand for all runners of a large service.
const MAX_ROUND: usize = 12;
/// Time for which a call waits while no runner of its service is reached and no other node takes
/// it: two checks.
const UNREACHED_WAIT: TimeSpan = TimeSpan::millis(500);

/// How a runner did not answer a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuestionFailure {
    /// No connection came about, or it ended.
    Unconnected,
    /// The connection stayed silent. A runner that is only busy is silent as well, but has answered
    /// something lately.
    Silent,
}

/// What is known about one runner.
#[derive(Debug, Default)]
struct RunnerReach {
    answered_at: TimePoint,
    /// When data last came from it; a mere connection is none.
    spoke_at: Option<TimePoint>,
    /// When the first request was sent since its last answer.
    unanswered_since: Option<TimePoint>,
    /// Whether a connection or a request has failed since its last answer.
    has_failed: bool,
    /// When it was asked for the first time without an answer; `None` while it is reached.
    unreached_since: Option<TimePoint>,
    /// Whether a question is on its way.
    is_asked: bool,
    next_question: TimePoint,
}

impl RunnerReach {
    fn is_suspect(&self, now: TimePoint) -> bool {
        let is_overdue =
            self.unanswered_since.is_some_and(|since| now.since(since) >= UNANSWERED_SPAN);
        self.has_failed || is_overdue
    }
}

/// What an answer has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerNews {
    /// The runner was not reached before.
    pub runner_regained: bool,
    /// No runner of the service was reached before.
    pub service_regained: bool,
}

/// The runners of one service.
#[derive(Debug, Default)]
pub struct ServiceReach {
    /// When a runner of the service last answered; `None` if none has yet.
    answered_at: Option<TimePoint>,
    /// When a runner of the service was last heard, by an answer or by an event of a stream.
    heard_at: Option<TimePoint>,
    /// Runners that may receive new requests; as of the last check.
    members: BTreeSet<RunnerIncarnation>,
    /// Runners that receive no new requests, and may work on runs; as of the last check.
    closed: BTreeSet<RunnerIncarnation>,
    runners: BTreeMap<RunnerIncarnation, RunnerReach>,
    /// Since when no runner is reached; `None` while some are.
    lost_since: Option<TimePoint>,
    /// Whether the runners that nothing is known about are to be asked.
    wants_round: bool,
    next_round: TimePoint,
}

impl ServiceReach {
    /// Whether no runner of the service is reached.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Whether this start of a runner is not reached.
    #[must_use]
    pub fn is_unreached(&self, runner: &RunnerIncarnation) -> bool {
        self.runners.get(runner).is_some_and(|reach| reach.unreached_since.is_some())
    }

    /// Number of the runners that are reached, and of all runners of the service, as of the last
    /// check.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let known = self.members.len();
        let reached = if self.is_lost() { 0 } else { known - self.count_unreached() };
        (reached, known)
    }

    fn count_unreached(&self) -> usize {
        self.members.iter().filter(|runner| self.is_unreached(runner)).count()
    }

    /// Until when a call that arrived at `arrived`, and that no other node takes, waits for a
    /// runner to be reached again; `None` while some are reached.
    #[must_use]
    pub fn wait_end(&self, arrived: TimePoint) -> Option<TimePoint> {
        Some(self.lost_since?.max(arrived) + UNREACHED_WAIT)
    }

    /// Time for which no runner has been reached; `None` while some are.
    #[must_use]
    pub fn lost_for(&self, now: TimePoint) -> Option<TimeSpan> {
        self.lost_since.map(|since| now.since(since))
    }

    /// Time since a runner of the service last answered; `None` if none has yet.
    #[must_use]
    pub fn silent_for(&self, now: TimePoint) -> Option<TimeSpan> {
        self.answered_at.map(|answered| now.since(answered))
    }

    /// Time since a runner of the service was last heard, by an answer or by an event of a stream; `None` if
    /// none has been yet.
    #[must_use]
    pub fn unheard_for(&self, now: TimePoint) -> Option<TimeSpan> {
        self.heard_at.map(|heard| now.since(heard))
    }

    /// Whether no runner of the service was heard for `span`.
    #[must_use]
    pub fn is_silent(&self, now: TimePoint, span: TimeSpan) -> bool {
        self.heard_at.is_none_or(|heard| now.since(heard) >= span)
    }

    /// Whether a runner of the service other than `except` has answered since `time`.
    #[must_use]
    pub fn answered_since(&self, time: TimePoint, except: &RunnerIncarnation) -> bool {
        let mut others = self.runners.iter().filter(|(runner, _)| *runner != except);
        others.any(|(_, reach)| reach.answered_at >= time)
    }

    /// Whether data has come from a runner since `time`.
    #[must_use]
    pub fn spoke_since(&self, time: TimePoint, runner: &RunnerIncarnation) -> bool {
        let reach = self.runners.get(runner);
        reach.and_then(|reach| reach.spoke_at).is_some_and(|spoke_at| spoke_at >= time)
    }

    /// Records an answer of a runner, of any kind.
    pub fn record_answer(&mut self, now: TimePoint, runner: &RunnerIncarnation) -> AnswerNews {
        self.reach_of(runner).spoke_at = Some(now);
        self.record_connection(now, runner)
    }

    /// Records that a runner of which nothing can be asked has accepted a connection, which counts as
    /// an answer to this node.
    pub fn record_connection(&mut self, now: TimePoint, runner: &RunnerIncarnation) -> AnswerNews {
        self.answered_at = Some(now);
        self.heard_at = Some(now);
        let reach = self.reach_of(runner);
        reach.answered_at = now;
        reach.unanswered_since = None;
        reach.has_failed = false;
        let runner_regained = reach.unreached_since.take().is_some();
        let service_regained = self.lost_since.take().is_some();
        if service_regained {
            self.runners.values_mut().for_each(|reach| reach.next_question = now);
        }
        AnswerNews { runner_regained, service_regained }
    }

    /// Records an event of a stream. It shows that the runner is up, but not that it can be connected
    /// to.
    pub fn record_event(&mut self, now: TimePoint, runner: &RunnerIncarnation) {
        self.heard_at = Some(now);
        if let Some(reach) = self.runners.get_mut(runner) {
            reach.unanswered_since = None;
            reach.spoke_at = Some(now);
        }
    }

    /// Records that a request was sent to a runner, or that one waits on for its answer.
    pub fn record_send(&mut self, now: TimePoint, runner: &RunnerIncarnation) {
        self.reach_of(runner).unanswered_since.get_or_insert(now);
    }

    /// Records that a runner could not be connected to, or gave no answer.
    pub fn record_failure(&mut self, runner: &RunnerIncarnation) {
        self.reach_of(runner).has_failed = true;
    }

    fn reach_of(&mut self, runner: &RunnerIncarnation) -> &mut RunnerReach {
        if !self.runners.contains_key(runner) {
            self.runners.insert(runner.clone(), RunnerReach::default());
        }
        self.runners.get_mut(runner).expect("just inserted")
    }

    /// Has the runners asked from which nothing was heard lately.
    pub fn request_round(&mut self) {
        self.wants_round = true;
    }

    /// Whether there is a reason to ask runners.
    #[must_use]
    pub fn needs_check(&self, now: TimePoint) -> bool {
        let needs_check =
            |reach: &RunnerReach| reach.unreached_since.is_some() || reach.is_suspect(now);
        self.wants_round || self.is_lost() || self.runners.values().any(needs_check)
    }

    /// Replaces the runners that may be asked.
    pub fn set_members(&mut self, members: ServiceMembers) {
        let ServiceMembers { open, closed } = members;
        self.runners.retain(|runner, _| open.contains(runner) || closed.contains(runner));
        self.members = open;
        self.closed = closed;
    }

    fn is_closed(&self, runner: &RunnerIncarnation) -> bool {
        self.closed.contains(runner)
    }

    /// The runners to ask now; they count as asked until [`Self::record_answer`] or
    /// [`Self::record_silence`].
    pub fn begin_questions(
        &mut self,
        now: TimePoint,
        rng: &mut impl Rng,
    ) -> Vec<RunnerIncarnation> {
        let mut chosen =
            if self.is_lost() { self.choose_lost(now, rng) } else { self.choose_due(now, rng) };
        chosen.retain(|runner| self.members.contains(runner) || self.is_closed(runner));
        for runner in &chosen {
            let reach = self.reach_of(runner);
            reach.is_asked = true;
            reach.next_question = now + QUESTION_PAUSE;
        }
        chosen
    }

    /// Some of the runners, while none is reached, and those that leave if calls give a reason to.
    fn choose_lost(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<RunnerIncarnation> {
        let mut chosen = self.list_due(now);
        chosen.retain(|runner| self.is_closed(runner));
        if now < self.next_round {
            return chosen;
        }
        self.next_round = now + LOST_PAUSE;
        let mut open = self.unasked_members();
        open.shuffle(rng);
        open.truncate(LOST_QUESTIONS);
        chosen.extend(open);
        chosen
    }

    /// The runners that calls give a reason to ask, and those that were not reached.
    fn list_due(&self, now: TimePoint) -> Vec<RunnerIncarnation> {
        let is_due = |reach: &RunnerReach| {
            let has_reason = reach.unreached_since.is_some() || reach.is_suspect(now);
            has_reason && !reach.is_asked && reach.next_question <= now
        };
        let due = self.runners.iter().filter(|(_, reach)| is_due(reach));
        due.map(|(runner, _)| runner.clone()).collect()
    }

    /// The runners that calls give a reason to ask, those that were not reached, and in rounds also
    /// others.
    fn choose_due(&mut self, now: TimePoint, rng: &mut impl Rng) -> Vec<RunnerIncarnation> {
        let mut chosen = self.list_due(now);
        if self.is_round_due(now) {
            self.next_round = now + ROUND_PAUSE;
            self.wants_round = false;
            let mut others = self.unasked_members();
            others.retain(|runner| !chosen.contains(runner) && self.is_unheard(now, runner));
            others.shuffle(rng);
            others.truncate(MAX_ROUND);
            chosen.extend(others);
        }
        chosen
    }

    /// Whether runners are to be asked at which no call has failed.
    #[must_use]
    pub fn is_round_due(&self, now: TimePoint) -> bool {
        let open = self.runners.iter().filter(|(runner, _)| !self.is_closed(runner));
        let suspects = open.filter(|(_, reach)| reach.is_suspect(now)).count();
        let is_silent = self.is_silent(now, SUSPECT_SPAN);
        let wants_round = self.wants_round || suspects >= 2 || suspects == 1 && is_silent;
        wants_round && !self.is_lost() && now >= self.next_round
    }

    fn unasked_members(&self) -> Vec<RunnerIncarnation> {
        let is_asked = |runner: &RunnerIncarnation| {
            self.runners.get(runner).is_some_and(|reach| reach.is_asked)
        };
        self.members.iter().filter(|runner| !is_asked(runner)).cloned().collect()
    }

    /// Whether a runner that counts as reached has not answered lately.
    fn is_unheard(&self, now: TimePoint, runner: &RunnerIncarnation) -> bool {
        self.runners.get(runner).is_none_or(|reach| {
            reach.unreached_since.is_none() && now.since(reach.answered_at) >= SUSPECT_SPAN
        })
    }

    /// Records that a question to a runner has ended with an answer.
    pub fn end_question(&mut self, runner: &RunnerIncarnation) {
        if let Some(reach) = self.runners.get_mut(runner) {
            reach.is_asked = false;
        }
    }

    /// Records that a runner that was asked at `begun` has not answered. Returns whether it counts
    /// as not reached since now.
    pub fn record_silence(
        &mut self,
        now: TimePoint,
        begun: TimePoint,
        runner: &RunnerIncarnation,
        failure: QuestionFailure,
    ) -> bool {
        let is_leaving = self.is_closed(runner);
        let Some(reach) = self.runners.get_mut(runner) else { return false };
        reach.is_asked = false;
        let is_busy =
            failure == QuestionFailure::Silent && now.since(reach.answered_at) < UNANSWERED_SPAN;
        if reach.answered_at >= begun || is_busy {
            return false;
        }
        let is_news = reach.unreached_since.is_none();
        let since = *reach.unreached_since.get_or_insert(begun);
        reach.has_failed = false;
        reach.unanswered_since = None;
        let [shortest, longest] = UNREACHED_PAUSE_BOUNDS;
        let pause = TimeSpan(now.since(since).0 / UNREACHED_PAUSE_DIVISOR);
        reach.next_question = now + pause.clamp(shortest, longest);
        // What cuts a node off from one runner often cuts it off from others; one that leaves ends soon.
        self.wants_round |= is_news && !is_leaving;
        is_news
    }

    /// Decides whether the service is lost. Returns whether it is since now.
    pub fn update_loss(&mut self, now: TimePoint) -> bool {
        let unreached = |runner: &&RunnerIncarnation| self.is_unreached(runner);
        let (count, known) = (self.members.iter().filter(unreached).count(), self.members.len());
        let unanswered = self.members.iter().filter(|runner| {
            let since = self.runners.get(*runner).and_then(|reach| reach.unreached_since);
            since.is_some_and(|since| Some(since) > self.answered_at)
        });
        let is_lost = known > 0 && (count == known || unanswered.count() >= MAX_ROUND);
        if known == 0 {
            self.lost_since = None;
        }
        let is_news = is_lost && self.lost_since.is_none();
        if is_news {
            self.lost_since = Some(now);
            self.next_round = now + LOST_PAUSE;
        }
        is_news
    }
}
