//! What runners state about themselves in their answers, to this node and to others.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::RunnerIncarnation;

/// A change of what holds by the statements of a runner.
pub(crate) struct StatementChange<T> {
    /// The runner.
    pub(crate) runner: RunnerId,
    /// What holds now; `None` if nothing does.
    pub(crate) value: Option<T>,
}

/// How this node has learned of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StatementSource {
    /// By an answer to this node.
    Answer,
    /// By another node, which got the answer.
    Peer,
}

/// The newest known statement of a runner.
#[derive(Debug, Clone)]
struct RunnerStatement<T> {
    runner: RunnerIncarnation,
    /// What it stated; `None` if that has ended.
    value: Option<T>,
    /// Until when that holds.
    until: TimePoint,
}

impl<T> RunnerStatement<T> {
    /// Whether it replaces `known`: it is that of a later start, or newer.
    fn is_newer_than(&self, known: &Self) -> bool {
        let starts = (self.runner.started_unix_ms, known.runner.started_unix_ms);
        starts.0 > starts.1 || starts.0 == starts.1 && self.until >= known.until
    }
}

type StatementMap<T> = BTreeMap<RunnerId, RunnerStatement<T>>;

/// The statements of all runners about one value, such as a limit.
#[derive(Debug)]
pub(crate) struct RunnerStatements<T> {
    /// Statements in answers to this node.
    own: StatementMap<T>,
    /// The newest statements in answers to other nodes. They are not passed on: each message adds
    /// its delay to the time left, so that a statement that is passed on would outlast newer ones.
    from_peers: StatementMap<T>,
}

impl<T> Default for RunnerStatements<T> {
    fn default() -> Self {
        Self { own: BTreeMap::new(), from_peers: BTreeMap::new() }
    }
}

impl<T: Copy + PartialEq> RunnerStatements<T> {
    /// Records what a runner stated, which holds until `until`. Returns the change, if it is one.
    pub(crate) fn record(
        &mut self,
        now: TimePoint,
        source: StatementSource,
        runner: &RunnerIncarnation,
        value: Option<T>,
        until: TimePoint,
    ) -> Option<StatementChange<T>> {
        let before = self.value(now, runner);
        let statements = match source {
            StatementSource::Answer => &mut self.own,
            StatementSource::Peer => &mut self.from_peers,
        };
        // Most answers state nothing, of a runner that has stated nothing before.
        let is_known = before.is_some() || statements.contains_key(&runner.runner);
        if source == StatementSource::Answer && value.is_none() && !is_known {
            return None;
        }
        keep_newest(statements, RunnerStatement { runner: runner.clone(), value, until });
        let value = self.value(now, runner);
        (value != before).then(|| StatementChange { runner: runner.runner.clone(), value })
    }

    /// Whether no runner has stated anything lately.
    pub(crate) fn is_empty(&self) -> bool {
        self.own.is_empty() && self.from_peers.is_empty()
    }

    /// Whether a runner has stated anything lately.
    pub(crate) fn contains(&self, runner: &RunnerId) -> bool {
        self.own.contains_key(runner) || self.from_peers.contains_key(runner)
    }

    /// What holds by the newest statement of this start of a runner; `None` if nothing does.
    pub(crate) fn value(&self, now: TimePoint, runner: &RunnerIncarnation) -> Option<T> {
        let statements = [&self.own, &self.from_peers]
            .into_iter()
            .filter_map(|statements| statements.get(&runner.runner));
        let holding =
            statements.filter(|statement| statement.runner == *runner && now < statement.until);
        holding.max_by_key(|statement| statement.until)?.value
    }

    /// What runners stated to this node, and for how long that still holds.
    pub(crate) fn own(
        &self,
        now: TimePoint,
    ) -> impl Iterator<Item = (&RunnerIncarnation, Option<T>, TimeSpan)> {
        let holding = self.own.values().filter(move |statement| now < statement.until);
        holding
            .map(move |statement| (&statement.runner, statement.value, statement.until.since(now)))
    }

    /// Drops statements that no longer hold.
    pub(crate) fn prune(&mut self, now: TimePoint) {
        self.own.retain(|_, statement| now < statement.until);
        self.from_peers.retain(|_, statement| now < statement.until);
    }
}

fn keep_newest<T>(statements: &mut StatementMap<T>, statement: RunnerStatement<T>) {
    let known = statements.get(&statement.runner.runner);
    if known.is_none_or(|known| statement.is_newer_than(known)) {
        statements.insert(statement.runner.runner.clone(), statement);
    }
}
