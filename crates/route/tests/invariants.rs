//! Invariants that hold for every sequence of events, checked on random sequences.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use common::{SchedulerHarness, call, id, member, report};
use config::CallPriority;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use route::{CallEnd, CallId, RouteAction, RouteEvent, RouteMember};

const RUNNERS: usize = 5;
const CASES: u32 = 200;
const SEED: u64 = 20_261_203;

/// One step of a random sequence.
#[derive(Debug, Clone)]
enum SchedulerStep {
    Arrive { priority: u8, deadline_millis: u64 },
    Report { runner: usize, used_blocks: u32 },
    End { nth: usize, end: u8 },
    Leave { runner: usize, leaving: bool },
    Advance { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<SchedulerStep>> {
    let step = prop_oneof![
        4 => (0..3_u8, 1..20_000_u64)
            .prop_map(|(priority, deadline_millis)| SchedulerStep::Arrive { priority, deadline_millis }),
        4 => (0..RUNNERS, 0..2_049_u32)
            .prop_map(|(runner, used_blocks)| SchedulerStep::Report { runner, used_blocks }),
        2 => (0..50_usize, 0..4_u8).prop_map(|(nth, end)| SchedulerStep::End { nth, end }),
        1 => (0..RUNNERS, any::<bool>())
            .prop_map(|(runner, leaving)| SchedulerStep::Leave { runner, leaving }),
        2 => (1..2_000_u64).prop_map(|millis| SchedulerStep::Advance { millis }),
    ];
    prop::collection::vec(step, 1..150)
}

/// Tracks the expected state of all calls and checks each action against it.
struct CallTracker {
    harness: SchedulerHarness,
    waiting: BTreeSet<CallId>,
    running: BTreeMap<CallId, RunnerId>,
    answered: BTreeSet<CallId>,
    leaving: BTreeSet<RunnerId>,
    arrived: u64,
}

impl CallTracker {
    fn new() -> Self {
        Self {
            harness: SchedulerHarness::new(RUNNERS),
            waiting: BTreeSet::new(),
            running: BTreeMap::new(),
            answered: BTreeSet::new(),
            leaving: BTreeSet::new(),
            arrived: 0,
        }
    }

    fn apply(&mut self, step: &SchedulerStep) {
        let actions = match *step {
            SchedulerStep::Arrive { priority, deadline_millis } => {
                self.arrive(priority, deadline_millis)
            }
            SchedulerStep::Report { runner, used_blocks } => {
                self.harness.report(report(runner, used_blocks, used_blocks / 50))
            }
            SchedulerStep::End { nth, end } => self.end(nth, end),
            SchedulerStep::Leave { runner, leaving } => self.leave(runner, leaving),
            SchedulerStep::Advance { millis } => {
                self.harness.advance(TimeSpan::millis(millis));
                self.harness.tell(RouteEvent::Tick)
            }
        };
        self.check(actions);
    }

    fn arrive(&mut self, priority: u8, deadline_millis: u64) -> Vec<RouteAction> {
        self.arrived += 1;
        let priority = match priority {
            0 => CallPriority::Urgent,
            1 => CallPriority::Normal,
            _ => CallPriority::LateTolerant,
        };
        let mut call = call(self.arrived, priority);
        call.deadline = self.harness.now + TimeSpan::millis(deadline_millis);
        self.waiting.insert(id(self.arrived));
        self.harness.arrive(call)
    }

    fn end(&mut self, nth: usize, end: u8) -> Vec<RouteAction> {
        let calls: Vec<CallId> = self.running.keys().copied().collect();
        let Some(&call) = calls.get(nth) else {
            return Vec::new();
        };
        self.running.remove(&call);
        self.answered.insert(call);
        let ends = [CallEnd::Finished, CallEnd::Refused, CallEnd::Failed, CallEnd::Cancelled];
        self.harness.tell(RouteEvent::Ended { call, end: ends[usize::from(end)] })
    }

    fn leave(&mut self, runner: usize, leaving: bool) -> Vec<RouteAction> {
        if leaving {
            self.leaving.insert(common::runner(runner));
        } else {
            self.leaving.remove(&common::runner(runner));
        }
        let leaves = |m: &RouteMember| self.leaving.contains(&m.runner);
        let members = (0..RUNNERS).map(member).map(|m| RouteMember { leaving: leaves(&m), ..m });
        let members = members.collect();
        self.harness.members(members)
    }

    fn check(&mut self, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Send { call, runner, .. } => {
                    assert!(self.waiting.remove(&call), "{call} was sent but was not queued");
                    assert!(
                        !self.answered.contains(&call),
                        "{call} was sent after it was answered"
                    );
                    assert!(
                        !self.leaving.contains(&runner),
                        "{call} was sent to {runner}, which is draining"
                    );
                    self.running.insert(call, runner);
                }
                RouteAction::Refuse { call, .. } => {
                    assert!(self.waiting.remove(&call), "{call} was refused but was not queued");
                    assert!(self.answered.insert(call), "{call} was answered twice");
                }
                RouteAction::Withdraw { call, .. } => {
                    assert!(
                        self.running.remove(&call).is_some(),
                        "{call} was withdrawn but was not running"
                    );
                    self.waiting.insert(call);
                }
            }
        }
        let summary = self.harness.scheduler.summary();
        assert_eq!(summary.waiting.values().sum::<usize>(), self.waiting.len());
        assert_eq!(summary.running, self.running.len());
    }

    /// Advances time past every deadline and checks that no call is queued any more.
    fn expire_all(&mut self) {
        self.harness.advance(TimeSpan::seconds(30));
        let actions = self.harness.tell(RouteEvent::Tick);
        self.check(actions);
        assert!(self.waiting.is_empty(), "calls queued past their deadline: {:?}", self.waiting);
    }
}

#[test]
fn every_call_is_queued_running_or_answered_once() {
    let config = ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let result = TestRunner::new(config).run(&steps(), |steps| {
        let mut tracker = CallTracker::new();
        for step in &steps {
            tracker.apply(step);
        }
        tracker.expire_all();
        Ok(())
    });
    result.unwrap();
}
