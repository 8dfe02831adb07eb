//! Limits that runners name in their answers, in requests a second from all nodes together, and
//! this node's share of them.
//!
//! Load pattern: a runner in need takes a few requests a second, and more nodes than that have
//! callers who would be served there. Each node takes the part of the limit that its callers are of
//! all callers of the service, as the nodes tell each other.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::RunnerIncarnation;

/// Time for which the last word of a runner on its limit holds.
const WORD_SPAN: TimeSpan = TimeSpan::seconds(60);
/// Rate of all nodes at a runner that names less: without an answer, they would never learn that
/// its limit has ended.
const MIN_RATE: RequestRate = RequestRate(0.2);

/// The last word of a runner on its limit, as a node heard it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The start of the runner that said it.
    pub runner: RunnerIncarnation,
    /// The limit; `None` if the runner has none any more.
    pub limit: Option<RequestRate>,
    /// Time for which the word still holds.
    pub left: TimeSpan,
}

/// Number of a node's recent requests for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// The requests.
    pub requests: u32,
}

/// What one node tells about limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// What runners said to this node.
    pub limits: Vec<LimitReport>,
    /// Demand for the services with limited runners.
    pub demands: Vec<ServiceDemand>,
}

/// A change of a runner's limit, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The runner.
    pub runner: RunnerId,
    /// The limit; `None` if it has ended.
    pub limit: Option<RequestRate>,
}

/// The last word of a runner on its limit.
#[derive(Debug, Clone)]
struct LimitWord {
    runner: RunnerIncarnation,
    limit: Option<RequestRate>,
    until: TimePoint,
}

impl LimitWord {
    /// Whether it replaces `known`: it is that of a later start, or newer.
    fn is_newer_than(&self, known: &Self) -> bool {
        let starts = (self.runner.started_unix_ms, known.runner.started_unix_ms);
        starts.0 > starts.1 || starts.0 == starts.1 && self.until >= known.until
    }
}

/// The limits of all runners at this node.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Words that this node heard.
    heard: BTreeMap<RunnerId, LimitWord>,
    /// The newest words that other nodes heard. They are not told again: each message adds its
    /// delay to the time left, so that a word that is told around would outlast newer ones.
    told: BTreeMap<RunnerId, LimitWord>,
    /// Demand of the other nodes.
    demands: BTreeMap<VmId, Vec<ServiceDemand>>,
}

impl LimitTable {
    /// Records the limit that a runner named in an answer, or that it named none. Returns the
    /// change, if it is one.
    pub fn record(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let before = self.limit(now, runner);
        let is_known = self.heard.contains_key(&runner.runner);
        if limit.is_none() && before.is_none() && !is_known {
            return None;
        }
        let word = LimitWord { runner: runner.clone(), limit, until: now + WORD_SPAN };
        keep_newest(&mut self.heard, word);
        self.change(now, runner, before)
    }

    /// Takes what another node tells. Returns the changes.
    pub fn apply_news(&mut self, now: TimePoint, vm: &VmId, news: LimitNews) -> Vec<LimitChange> {
        if news.demands.is_empty() {
            self.demands.remove(vm);
        } else {
            self.demands.insert(vm.clone(), news.demands);
        }
        let mut changes = Vec::new();
        for report in news.limits {
            let LimitReport { runner, limit, left } = report;
            let before = self.limit(now, &runner);
            let word = LimitWord { runner: runner.clone(), limit, until: now + left };
            keep_newest(&mut self.told, word);
            changes.extend(self.change(now, &runner, before));
        }
        changes
    }

    /// The change from a limit before to that of now, if there is one.
    fn change(
        &self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        before: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let limit = self.limit(now, runner);
        (limit != before).then(|| LimitChange { runner: runner.runner.clone(), limit })
    }

    /// Forgets the demand of a node that has fallen silent; what runners said to it holds on.
    pub fn forget_demand(&mut self, vm: &VmId) {
        self.demands.remove(vm);
    }

    /// Whether no runner has a limit, or had one lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty() && self.told.is_empty()
    }

    /// The limit of this start of a runner by its newest word; `None` if it has none.
    #[must_use]
    pub fn limit(&self, now: TimePoint, runner: &RunnerIncarnation) -> Option<RequestRate> {
        let words =
            [&self.heard, &self.told].into_iter().filter_map(|words| words.get(&runner.runner));
        let holding = words.filter(|word| word.runner == *runner && now < word.until);
        holding.max_by_key(|word| word.until)?.limit
    }

    /// Rate that all nodes together send to this start of a runner at most; `None` if it has no
    /// limit.
    #[must_use]
    pub fn rate(&self, now: TimePoint, runner: &RunnerIncarnation) -> Option<RequestRate> {
        self.limit(now, runner).map(|limit| RequestRate(limit.0.max(MIN_RATE.0)))
    }

    /// The part of the requests for a service that come to this node, which has had `requests`
    /// of them lately.
    #[must_use]
    pub fn own_part(&self, service: &ServiceName, requests: u32) -> f64 {
        let demands = self.demands.values().flatten();
        let of_service = demands.filter(|demand| demand.service == *service);
        let others: f64 = of_service.map(|demand| f64::from(demand.requests)).sum();
        // A node that asks has one request at least.
        let own = f64::from(requests.max(1));
        own / (own + others)
    }

    /// What this node heard from runners.
    #[must_use]
    pub fn reports(&self, now: TimePoint) -> Vec<LimitReport> {
        let holding = self.heard.values().filter(|word| now < word.until);
        let report = |word: &LimitWord| LimitReport {
            runner: word.runner.clone(),
            limit: word.limit,
            left: word.until.since(now),
        };
        holding.map(report).collect()
    }

    /// Drops words that no longer hold.
    pub fn prune(&mut self, now: TimePoint) {
        self.heard.retain(|_, word| now < word.until);
        self.told.retain(|_, word| now < word.until);
    }
}

/// Keeps the newest word of each runner.
fn keep_newest(words: &mut BTreeMap<RunnerId, LimitWord>, word: LimitWord) {
    let known = words.get(&word.runner.runner);
    if known.is_none_or(|known| word.is_newer_than(known)) {
        words.insert(word.runner.runner.clone(), word);
    }
}
