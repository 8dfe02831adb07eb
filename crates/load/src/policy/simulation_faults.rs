//! How faults begin and go in a run.

use base::prelude::*;
use fakes::engine::EngineModel;
use route::{CallEnd, RouteEvent, RouteMember};

use crate::policy::bench_desk::{place, runner_id};
use crate::policy::simulation::{BenchEvent, Simulation};
use crate::policy::{FaultName, TurnAwayPlan, TurnedAway};

const MEMBERS_LAG: TimeSpan = TimeSpan::seconds(2);
const RECLAIM_NOTICE: TimeSpan = TimeSpan::seconds(20);
const ENTRY_RETRY: TimeSpan = TimeSpan::seconds(1);
const ENTRY_CANCEL_DELAY: TimeSpan = TimeSpan::seconds(10);
const SLOW_FACTOR: f64 = 4.0;

impl Simulation {
    pub(super) fn tell_members(&mut self) {
        let workload = &self.settings.workload;
        let alive = (0..workload.runners).filter(|runner| !self.engines[*runner].is_killed());
        let alive: Vec<usize> = alive.collect();
        for entry in 0..workload.entries {
            self.tell_entry_members(entry, &alive);
        }
    }

    fn tell_entry_members(&mut self, entry: usize, runners: &[usize]) {
        let member = |&runner: &usize| RouteMember {
            runner: runner_id(runner),
            place: place(runner),
            leaving: self.known_leaving.contains(&(entry, runner)),
        };
        let members = runners.iter().map(member).collect();
        let service = self.settings.workload.service();
        self.tell(entry, RouteEvent::Members { service, members });
    }

    /// A token reaches the entry. The head of an answer comes with the first token of a stream,
    /// and with the last token of a whole answer.
    pub(super) fn note_answer(&mut self, index: usize, runner: usize, last: bool) {
        let class = &self.settings.workload.classes[self.calls[index].class];
        let state = &self.states[index];
        let has_head = if class.streamed { state.produced == 0 } else { last };
        if has_head {
            self.note_leaving(state.entry, runner);
        }
    }

    /// The head of an answer reaches the entry, which learns whether the runner leaves.
    fn note_leaving(&mut self, entry: usize, runner: usize) {
        let by_answer = self.settings.fault == FaultName::EnginesLeaveByAnswer && self.fault_on;
        let leaves = by_answer && self.engines[runner].is_leaving();
        if !leaves || !self.settings.notices_told || !self.known_leaving.insert((entry, runner)) {
            return;
        }
        let runners = 0..self.engines.len();
        let alive: Vec<usize> = runners.filter(|r| !self.engines[*r].is_killed()).collect();
        self.tell_entry_members(entry, &alive);
    }

    /// A leaving runner refuses a call.
    pub(super) fn refuse_leaving(&mut self, index: usize, runner: usize) {
        let state = &mut self.states[index];
        let entry = state.entry;
        let again = state.has_returned();
        state.turned_away += 1;
        let until = self.settings.fault_window.1;
        self.measures.turned_away(self.now, TurnedAway { entry, runner, until, again });
        self.note_leaving(entry, runner);
        self.end_and_ask_again(index, CallEnd::Refused);
    }

    pub(super) fn begin_fault(&mut self) {
        self.fault_on = true;
        match self.settings.fault {
            FaultName::EngineKilled => self.kill(0),
            FaultName::EnginesReclaimed | FaultName::EnginesLeaveByAnswer => {
                for runner in 0..2 {
                    self.engines[runner].set_leaving(true);
                    self.put(RECLAIM_NOTICE, BenchEvent::Kill(runner));
                }
            }
            FaultName::SlowEngine => self.engines[0].set_slow_factor(SLOW_FACTOR),
            FaultName::EntryGone => self.lose_entry(),
            _ => (),
        }
    }

    pub(super) fn end_fault(&mut self) {
        self.fault_on = false;
        self.known_leaving.clear();
        for runner in 0..self.engines.len() {
            self.engines[runner].set_slow_factor(1.0);
            if self.engines[runner].is_killed() {
                self.restarts += 1;
                let engine = self.settings.workload.engine.clone();
                self.engines[runner] = EngineModel::new(runner_id(runner), self.restarts, engine);
            }
        }
        self.put(MEMBERS_LAG, BenchEvent::Members);
    }

    pub(super) fn kill(&mut self, runner: usize) {
        self.engines[runner].kill();
        self.steps[runner] = None;
        self.put(MEMBERS_LAG, BenchEvent::Members);
        for index in self.calls_where(|state| state.runner == Some(runner)) {
            self.end_and_ask_again(index, CallEnd::Failed);
        }
    }

    /// Time before which the runner accepts no calls; `None` if it accepts them.
    pub(super) fn turn_away_end(&self, runner: usize) -> Option<TimePoint> {
        let turns_away = self.settings.fault == FaultName::RunnersTurnAway;
        let plan = TurnAwayPlan { window: self.settings.fault_window };
        if turns_away { plan.end(self.now, runner) } else { None }
    }

    /// A runner refuses a call and names the time before which it accepts none.
    pub(super) fn turn_away(&mut self, index: usize, runner: usize, until: TimePoint) {
        let state = &mut self.states[index];
        let entry = state.entry;
        let again = state.has_returned();
        state.turned_away += 1;
        self.measures.turned_away(self.now, TurnedAway { entry, runner, until, again });
        if self.settings.notices_told {
            self.tell(entry, RouteEvent::RunnerWait { runner: runner_id(runner), until });
        }
        self.end_and_ask_again(index, CallEnd::Refused);
    }

    /// The entry's calls end for the desks; their callers ask another entry, and the
    /// engines go on with the old attempts for a while.
    fn lose_entry(&mut self) {
        let indexes = self.calls_where(|state| state.entry == 0 && state.number > 0);
        let mut attempts = Vec::new();
        for index in indexes {
            let call = self.call_id(index);
            if let Some(runner) = self.states[index].runner.take() {
                attempts.push((runner, self.key(index)));
            }
            self.tell(0, RouteEvent::Ended { call, end: CallEnd::Cancelled });
            self.put(ENTRY_RETRY, BenchEvent::Arrive(index));
        }
        self.put(ENTRY_CANCEL_DELAY, BenchEvent::EntryCancels(attempts));
    }
}
