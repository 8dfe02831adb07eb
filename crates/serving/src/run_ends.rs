//! How runners end a run that is to go on elsewhere.
//!
//! Load pattern: runners leave every few seconds with long runs. Most of them drop a request whose
//! connection closes, some go on with it. An order to stop a run is followed by each runner that keeps to
//! its interface; one that does not keeps its runs.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::RunnerIncarnation;

/// Shortest time between two questions to a runner about a closed request.
const QUESTION_PAUSE: TimeSpan = TimeSpan::seconds(10);

/// What a start of a runner was seen to do with runs that it was to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndHabit {
    /// It went on with a request whose connection had closed.
    IgnoresClose,
    /// It went on with a run after it had confirmed an order to stop it.
    IgnoresOrder,
}

impl EndHabit {
    /// Name of the habit, for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::IgnoresClose => "ignores_close",
            Self::IgnoresOrder => "ignores_order",
        }
    }
}

/// The habits of all runners at this node.
#[derive(Debug, Default)]
pub struct EndTable {
    habits: BTreeMap<RunnerIncarnation, EndHabit>,
    /// When runners may be asked again whether they go on with requests whose connection has closed.
    next_questions: BTreeMap<RunnerIncarnation, TimePoint>,
}

impl EndTable {
    /// Records what `runner` was seen to do. Returns whether that was not known before. A runner that
    /// follows no order stays one.
    pub fn record(&mut self, runner: &RunnerIncarnation, habit: EndHabit) -> bool {
        let known = self.habits.get(runner).copied();
        if known == Some(habit) || known == Some(EndHabit::IgnoresOrder) {
            return false;
        }
        self.habits.insert(runner.clone(), habit);
        true
    }

    /// What `runner` was seen to do; `None` if nothing is known of it.
    #[must_use]
    pub fn habit(&self, runner: &RunnerIncarnation) -> Option<EndHabit> {
        self.habits.get(runner).copied()
    }

    /// Whether `runner` stops runs as ordered, as far as is known.
    #[must_use]
    pub fn follows_orders(&self, runner: &RunnerIncarnation) -> bool {
        self.habit(runner) != Some(EndHabit::IgnoresOrder)
    }

    /// Whether `runner` is to be asked now what it does with closed requests; it counts as asked then.
    /// A runner of which that is known is not asked.
    pub fn begin_question(&mut self, now: TimePoint, runner: &RunnerIncarnation) -> bool {
        let is_early = self.next_questions.get(runner).is_some_and(|next| now < *next);
        if is_early || self.habits.contains_key(runner) {
            return false;
        }
        self.next_questions.insert(runner.clone(), now + QUESTION_PAUSE);
        true
    }

    /// Forgets the runners that `is_known` does not hold for.
    pub fn retain(&mut self, is_known: impl Fn(&RunnerIncarnation) -> bool) {
        self.habits.retain(|runner, _| is_known(runner));
        self.next_questions.retain(|runner, _| is_known(runner));
    }
}
