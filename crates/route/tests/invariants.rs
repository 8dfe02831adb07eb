//! What holds for every sequence of events.

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

/// One step of a run.
#[derive(Debug, Clone)]
enum SchedulerStep {
    Arrive { priority: u8, patience_millis: u64 },
    Report { runner: usize, used_blocks: u32 },
    End { nth: usize, end: u8 },
    Leave { runner: usize, leaving: bool },
    Advance { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<SchedulerStep>> {
    let step = prop_oneof![
        4 => (0..3_u8, 1..20_000_u64)
            .prop_map(|(priority, patience_millis)| SchedulerStep::Arrive { priority, patience_millis }),
        4 => (0..RUNNERS, 0..2_049_u32)
            .prop_map(|(runner, used_blocks)| SchedulerStep::Report { runner, used_blocks }),
        2 => (0..50_usize, 0..4_u8).prop_map(|(nth, end)| SchedulerStep::End { nth, end }),
        1 => (0..RUNNERS, any::<bool>())
            .prop_map(|(runner, leaving)| SchedulerStep::Leave { runner, leaving }),
        2 => (1..2_000_u64).prop_map(|millis| SchedulerStep::Advance { millis }),
    ];
    prop::collection::vec(step, 1..150)
}

/// Follows the calls of a run and checks each action.
struct CallLedger {
    harness: SchedulerHarness,
    waiting: BTreeSet<CallId>,
    running: BTreeMap<CallId, RunnerId>,
    final_answers: BTreeSet<CallId>,
    leaving: BTreeSet<RunnerId>,
    arrived: u64,
}

impl CallLedger {
    fn new() -> Self {
        Self {
            harness: SchedulerHarness::new(RUNNERS),
            waiting: BTreeSet::new(),
            running: BTreeMap::new(),
            final_answers: BTreeSet::new(),
            leaving: BTreeSet::new(),
            arrived: 0,
        }
    }

    fn take(&mut self, step: &SchedulerStep) {
        let actions = match *step {
            SchedulerStep::Arrive { priority, patience_millis } => {
                self.arrive(priority, patience_millis)
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

    fn arrive(&mut self, priority: u8, patience_millis: u64) -> Vec<RouteAction> {
        self.arrived += 1;
        let priority = match priority {
            0 => CallPriority::Urgent,
            1 => CallPriority::Normal,
            _ => CallPriority::LateTolerant,
        };
        let mut call = call(self.arrived, priority);
        call.deadline = self.harness.now + TimeSpan::millis(patience_millis);
        self.waiting.insert(id(self.arrived));
        self.harness.arrive(call)
    }

    fn end(&mut self, nth: usize, end: u8) -> Vec<RouteAction> {
        let calls: Vec<CallId> = self.running.keys().copied().collect();
        let Some(&call) = calls.get(nth) else {
            return Vec::new();
        };
        self.running.remove(&call);
        self.final_answers.insert(call);
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
                    assert!(self.waiting.remove(&call), "{call} was sent but did not wait");
                    assert!(!self.final_answers.contains(&call), "{call} was sent after its end");
                    assert!(!self.leaving.contains(&runner), "{runner} is leaving");
                    self.running.insert(call, runner);
                }
                RouteAction::Refuse { call, .. } => {
                    assert!(self.waiting.remove(&call), "{call} was refused but did not wait");
                    assert!(self.final_answers.insert(call), "{call} got two answers");
                }
                RouteAction::Withdraw { call, .. } => {
                    assert!(self.running.remove(&call).is_some(), "{call} did not run");
                    self.waiting.insert(call);
                }
            }
        }
        let summary = self.harness.scheduler.summary();
        assert_eq!(summary.waiting.values().sum::<usize>(), self.waiting.len());
        assert_eq!(summary.running, self.running.len());
    }

    /// Lets time pass until every caller has given up: nothing may wait any longer.
    fn close(&mut self) {
        self.harness.advance(TimeSpan::seconds(30));
        let actions = self.harness.tell(RouteEvent::Tick);
        self.check(actions);
        assert!(self.waiting.is_empty(), "{:?} wait beyond their deadline", self.waiting);
    }
}

#[test]
fn every_call_waits_runs_or_has_one_answer() {
    let config = ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let result = TestRunner::new(config).run(&steps(), |steps| {
        let mut ledger = CallLedger::new();
        for step in &steps {
            ledger.take(step);
        }
        ledger.close();
        Ok(())
    });
    result.unwrap();
}
