//! Which runners this node reaches, for all services.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use rand::Rng;

use crate::service_reach::ServiceReach;
use crate::{AnswerNews, QuestionFailure, ReachUpdate, RunnerIncarnation, ServiceShare};

/// Time without an answer of a service after which its runners are asked with those of another one
/// at which calls fail: a service without calls has no failures.
const IDLE_SPAN: TimeSpan = TimeSpan::millis(500);
/// The same while the other one stays lost.
const LOST_IDLE_SPAN: TimeSpan = TimeSpan::seconds(1);
/// Number of such services whose runners are asked in one check.
const MAX_IDLE_SERVICES: usize = 8;

/// The runners of one service that may be asked.
#[derive(Debug, Clone, Default)]
pub struct ServiceMembers {
    /// Those that may receive new requests.
    pub open: BTreeSet<RunnerIncarnation>,
    /// Those that receive none, and may still work on runs: they leave, or named a wait.
    pub closed: BTreeSet<RunnerIncarnation>,
}

/// The runners that may be asked, by service.
pub type ReachMembers = BTreeMap<ServiceName, ServiceMembers>;

/// A runner that is to be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachQuestion {
    /// Its service.
    pub service: ServiceName,
    /// The runner.
    pub runner: RunnerIncarnation,
}

/// What this node has seen of the runners lately.
#[derive(Debug, Default)]
pub struct ReachTable {
    services: BTreeMap<ServiceName, ServiceReach>,
}

impl ReachTable {
    /// What is known about a service; `None` if nothing is.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceReach> {
        self.services.get(service)
    }

    /// Whether no runner of a service is reached.
    #[must_use]
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(ServiceReach::is_lost)
    }

    /// Whether this start of a runner is not reached.
    #[must_use]
    pub fn is_unreached(&self, service: &ServiceName, runner: &RunnerIncarnation) -> bool {
        self.services.get(service).is_some_and(|reach| reach.is_unreached(runner))
    }

    /// Whether no runner of any service is reached.
    #[must_use]
    pub fn is_all_lost(&self) -> bool {
        let mut known = self.services.values().filter(|reach| reach.counts().1 > 0).peekable();
        known.peek().is_some() && known.all(ServiceReach::is_lost)
    }

    /// Whether a service is lost.
    #[must_use]
    pub fn has_lost(&self) -> bool {
        self.services.values().any(ServiceReach::is_lost)
    }

    /// Time since a runner of any service was last heard; `None` if none has been yet.
    #[must_use]
    pub fn unheard_for(&self, now: TimePoint) -> Option<TimeSpan> {
        self.services.values().filter_map(|reach| reach.unheard_for(now)).min()
    }

    /// The services of which some runners are not reached, as other nodes are told.
    #[must_use]
    pub fn update(&self) -> ReachUpdate {
        let shares = self.services.iter().filter_map(|(service, reach)| {
            let (reached, known) = reach.counts();
            (reached < known).then(|| ServiceShare::new(service.clone(), reached, known))
        });
        ReachUpdate(shares.collect())
    }

    /// Records an answer of a runner, of any kind.
    pub fn record_answer(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        runner: &RunnerIncarnation,
    ) -> AnswerNews {
        self.reach_of(service).record_answer(now, runner)
    }

    /// Records that a runner of which nothing can be asked has accepted a connection.
    pub fn record_connection(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        runner: &RunnerIncarnation,
    ) -> AnswerNews {
        self.reach_of(service).record_connection(now, runner)
    }

    /// Records an event of a stream, which shows that the runner is up, but not that it can be
    /// connected to.
    pub fn record_event(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        runner: &RunnerIncarnation,
    ) {
        self.reach_of(service).record_event(now, runner);
    }

    /// Records that a request was sent to a runner, or that one waits on for its answer.
    pub fn record_send(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        runner: &RunnerIncarnation,
    ) {
        self.reach_of(service).record_send(now, runner);
    }

    /// Records that a runner could not be connected to, or gave no answer.
    pub fn record_failure(&mut self, service: &ServiceName, runner: &RunnerIncarnation) {
        self.reach_of(service).record_failure(runner);
    }

    fn reach_of(&mut self, service: &ServiceName) -> &mut ServiceReach {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceReach::default());
        }
        self.services.get_mut(service).expect("just inserted")
    }

    /// Whether there is a reason to ask runners.
    #[must_use]
    pub fn needs_check(&self, now: TimePoint) -> bool {
        self.services.values().any(|reach| reach.needs_check(now))
    }

    /// Begins a check with the present `members`: returns the runners to ask now.
    pub fn begin_check(
        &mut self,
        now: TimePoint,
        mut members: ReachMembers,
        rng: &mut impl Rng,
    ) -> Vec<ReachQuestion> {
        for service in members.keys() {
            self.reach_of(service);
        }
        for (service, reach) in &mut self.services {
            reach.set_members(members.remove(service).unwrap_or_default());
        }
        if self.services.values().any(|reach| reach.is_round_due(now)) {
            self.request_idle_rounds(now, IDLE_SPAN);
        } else if self.has_lost() {
            self.request_idle_rounds(now, LOST_IDLE_SPAN);
        }
        let mut questions = Vec::new();
        for (service, reach) in &mut self.services {
            let runners = reach.begin_questions(now, rng);
            let question = |runner| ReachQuestion { service: service.clone(), runner };
            questions.extend(runners.into_iter().map(question));
        }
        questions
    }

    /// Records that a question has ended with an answer, which was recorded before.
    pub fn end_question(&mut self, question: &ReachQuestion) {
        self.reach_of(&question.service).end_question(&question.runner);
    }

    /// Records that a runner that was asked at `begun` has not answered. Returns whether it counts
    /// as not reached since now.
    pub fn record_silence(
        &mut self,
        now: TimePoint,
        begun: TimePoint,
        question: &ReachQuestion,
        failure: QuestionFailure,
    ) -> bool {
        let reach = self.reach_of(&question.service);
        reach.record_silence(now, begun, &question.runner, failure)
    }

    /// Decides which services are lost. Returns those that are since now.
    pub fn update_losses(&mut self, now: TimePoint) -> Vec<ServiceName> {
        let services = self.services.iter_mut();
        let lost =
            services.filter_map(|(service, reach)| reach.update_loss(now).then(|| service.clone()));
        let lost: Vec<ServiceName> = lost.collect();
        if !lost.is_empty() {
            self.request_idle_rounds(now, IDLE_SPAN);
        }
        lost
    }

    /// Has runners asked of services from which nothing was heard for `span`.
    fn request_idle_rounds(&mut self, now: TimePoint, span: TimeSpan) {
        let services = self.services.values_mut();
        let idle = services.filter(|reach| !reach.is_lost() && reach.is_silent(now, span));
        idle.take(MAX_IDLE_SERVICES).for_each(ServiceReach::request_round);
    }
}
