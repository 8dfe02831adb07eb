//! The deciding side of a run: one desk for each entry, or the oracle.

use std::fmt;
use std::str::FromStr;

use base::prelude::*;
use route::{PolicyName, RouteAction, RouteEvent, RouteScheduler, RouteSettings};

use crate::policy::{BenchCall, OracleDesk, PolicyError, Workload};

const QUEUE_LIMIT_CALLS: usize = 4_096;

/// What decides in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BenchPolicy {
    /// A desk at each entry, with this policy.
    Desk(PolicyName),
    /// One decider for all entries that knows all lengths and the present load.
    Oracle,
}

impl BenchPolicy {
    /// All policies: the baselines, the product, the oracle.
    #[must_use]
    pub fn all() -> Vec<Self> {
        PolicyName::ALL.into_iter().map(Self::Desk).chain([Self::Oracle]).collect()
    }

    /// Whether it is one of the simple rules that the product is compared with.
    #[must_use]
    pub fn is_baseline(self) -> bool {
        !matches!(self, Self::Oracle | Self::Desk(PolicyName::Product))
    }
}

impl fmt::Display for BenchPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Desk(policy) => policy.fmt(f),
            Self::Oracle => f.write_str("oracle"),
        }
    }
}

impl FromStr for BenchPolicy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let found = Self::all().into_iter().find(|policy| policy.to_string() == text);
        found.ok_or_else(|| PolicyError::UnknownName { what: "policy", text: text.into() })
    }
}

/// The deciders of one run.
pub enum BenchDesk {
    /// One for each entry.
    Desks(Vec<RouteScheduler>),
    /// One for all.
    Oracle(Box<OracleDesk>),
}

impl BenchDesk {
    /// Deciders that know nothing yet.
    #[must_use]
    pub fn new(policy: BenchPolicy, seed: u64, workload: &Workload, calls: &[BenchCall]) -> Self {
        match policy {
            BenchPolicy::Desk(policy) => {
                let desks = (0..workload.entries).map(|entry| {
                    RouteScheduler::new(RouteSettings {
                        policy,
                        seed: seed.wrapping_mul(1_000).wrapping_add(entry as u64),
                        place: place(entry),
                        queue_limit: QUEUE_LIMIT_CALLS,
                    })
                });
                Self::Desks(desks.collect())
            }
            BenchPolicy::Oracle => Self::Oracle(Box::new(OracleDesk::new(workload, calls))),
        }
    }

    /// Tells the decider of `entry`.
    pub fn handle(&mut self, entry: usize, now: TimePoint, event: RouteEvent) -> Vec<RouteAction> {
        match self {
            Self::Desks(desks) => desks[entry].handle(now, event),
            Self::Oracle(desk) => desk.handle(event),
        }
    }
}

/// The failure domain of an entry or runner.
pub(crate) fn place(number: usize) -> PlaceName {
    format!("place-{}", number % 3).parse().expect("a valid name")
}

/// The name of a runner.
pub(crate) fn runner_id(number: usize) -> RunnerId {
    format!("runner-{number}").parse().expect("a valid name")
}

/// The number in a runner's name.
pub(crate) fn runner_number(runner: &RunnerId) -> usize {
    runner.as_str().trim_start_matches("runner-").parse().expect("a runner of the bench")
}
