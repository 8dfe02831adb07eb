//! Test harness: a scheduler with a manual clock, and builders of its inputs.

#![allow(dead_code, reason = "each test file uses only some helpers")]

use base::prelude::*;
use config::{CallPriority, PolicyWeights, ServiceKind};
use route::{
    CallId, PolicyName, RouteAction, RouteCall, RouteEvent, RouteMember, RouteScheduler,
    RouteSettings,
};

/// A scheduler and its current time.
pub struct SchedulerHarness {
    pub scheduler: RouteScheduler,
    pub now: TimePoint,
    reports: u64,
}

impl SchedulerHarness {
    /// Creates a scheduler with the production policy and this many runners.
    pub fn new(members: usize) -> Self {
        Self::with_seed(members, 7)
    }

    /// As [`Self::new`], as the entry with this seed of its random numbers.
    pub fn with_seed(members: usize, seed: u64) -> Self {
        let settings = RouteSettings {
            policy: PolicyName::Product,
            seed,
            place: "place-0".parse().unwrap(),
            queue_limit: 10_000,
        };
        let now = TimePoint::default() + TimeSpan::seconds(10);
        let mut harness = Self { scheduler: RouteScheduler::new(settings), now, reports: 0 };
        harness.tell(RouteEvent::Service {
            service: service(),
            kind: ServiceKind::Model,
            weights: PolicyWeights::default(),
            shares: vec![("workspace-0".parse().unwrap(), 2)],
        });
        harness.members((0..members).map(member).collect());
        harness
    }

    pub fn tell(&mut self, event: RouteEvent) -> Vec<RouteAction> {
        self.scheduler.handle(self.now, event)
    }

    pub fn arrive(&mut self, call: RouteCall) -> Vec<RouteAction> {
        self.tell(RouteEvent::Arrive(call))
    }

    pub fn report(&mut self, report: RunnerReport) -> Vec<RouteAction> {
        self.reports += 1;
        self.tell(RouteEvent::Report(RunnerReport { sequence: self.reports, ..report }))
    }

    pub fn members(&mut self, members: Vec<RouteMember>) -> Vec<RouteAction> {
        self.tell(RouteEvent::Members { service: service(), members })
    }

    pub fn advance(&mut self, span: TimeSpan) {
        self.now = self.now + span;
    }
}

pub fn service() -> ServiceName {
    "summary".parse().unwrap()
}

pub fn runner(number: usize) -> RunnerId {
    format!("runner-{number}").parse().unwrap()
}

pub fn member(number: usize) -> RouteMember {
    let place = format!("place-{}", number % 3).parse().unwrap();
    RouteMember { runner: runner(number), place, leaving: false }
}

pub fn id(number: u64) -> CallId {
    CallId(number)
}

pub fn call(number: u64, priority: CallPriority) -> RouteCall {
    RouteCall {
        id: id(number),
        service: service(),
        model: Some("model".parse().unwrap()),
        workspace: format!("workspace-{}", number % 3).parse().unwrap(),
        priority,
        prompt_tokens: TokenCount(500),
        max_tokens: TokenCount(4_000),
        length_hint: None,
        prefix_hash: 7,
        first_token_target: None,
        deadline: TimePoint::NEVER,
        streamed: true,
        movable: true,
        produced_tokens: TokenCount(0),
        tried_runners: Vec::new(),
    }
}

pub fn report(number: usize, used_blocks: u32, running: u32) -> RunnerReport {
    RunnerReport {
        runner: runner(number),
        incarnation: 1,
        sequence: 0,
        age: TimeSpan::millis(50),
        used_blocks: BlockCount(used_blocks),
        total_blocks: BlockCount(2_048),
        block_tokens: 16,
        running,
        waiting: 0,
        preemptions: 0,
        step: TimeSpan::millis(24),
        leaving: false,
        models: vec!["model".parse().unwrap()],
        fence: 0,
    }
}
