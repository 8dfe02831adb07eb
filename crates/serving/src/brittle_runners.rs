//! Runners that crash if they have to reject too many requests in a second, and how many requests
//! this node may have outstanding at one.
//!
//! Load pattern: many nodes send more requests than a runner has room for. Each send may be
//! rejected, so the number of rejections that a runner can bear is divided among the nodes, and
//! each node has no more sends outstanding or rejected within a second than its part.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::RunnerIncarnation;
use crate::runner_statements::{RunnerStatements, StatementChange, StatementSource};

/// Time for which a statement holds after the last answer that made it.
const BRITTLE_TTL: TimeSpan = TimeSpan::seconds(60);
/// Part of the rejections that the nodes use together. The rest is a margin for nodes that start or
/// stop, and for sends that began before the statement was known.
const USABLE_SHARE: f64 = 0.8;
/// Time for which a rejection counts. It exceeds the second in which a runner counts it by the time
/// that its answer may take.
const REJECTION_SPAN: TimeSpan = TimeSpan::millis(1_250);
/// Longest pause after rejections that follow each other.
const MAX_REJECTION_SPAN: TimeSpan = TimeSpan::seconds(5);
/// Time after which this node tries one more outstanding request than the runner accepted when it
/// last rejected one.
const GROWTH_SPAN: TimeSpan = TimeSpan::seconds(2);
/// Time for which the rejections that another node states count.
const PEER_REJECTION_SPAN: TimeSpan = TimeSpan::seconds(1);
/// Maximum number of reports in one update, so that its section stays within its size.
const MAX_REPORTS: usize = 60;

/// What a runner last stated to one node, and what it rejected of that node's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// The start of the runner.
    pub runner: RunnerIncarnation,
    /// Rejections in a second that it can bear; `None` if it is not brittle any more.
    pub limit: Option<u32>,
    /// Time for which that still holds.
    pub left: TimeSpan,
    /// Requests that it rejected within the last second.
    pub rejected: u32,
}

/// What one node knows about brittle runners, in its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BrittleUpdate {
    /// Number of nodes that the sender knows, itself included.
    pub fleet_size: u32,
    /// What runners stated to the node.
    pub reports: Vec<BrittleReport>,
}

/// A change of what is known about a runner, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct BrittleChange {
    /// The runner.
    pub runner: RunnerId,
    /// Rejections in a second that it can bear; `None` if it is not brittle any more.
    pub limit: Option<u32>,
}

impl BrittleChange {
    fn new(change: StatementChange<u32>) -> Self {
        Self { runner: change.runner, limit: change.value }
    }
}

/// How many more requests this node may send to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunnerRoom {
    /// Number of requests.
    pub calls: u32,
    /// When there is room again; `None` if there is now, or if that depends on requests in
    /// progress.
    pub free_at: Option<TimePoint>,
}

/// This node's requests at one brittle runner.
#[derive(Debug, Default)]
struct RunnerSends {
    started_unix_ms: u64,
    /// Requests that the runner may still reject.
    outstanding: u32,
    /// When each of the last rejections became known.
    rejections: VecDeque<TimePoint>,
    /// Requests that the runner had accepted when it last rejected one, and when that was.
    accepted: Option<(u32, TimePoint)>,
    /// Pause after the last rejection of the only request.
    pause: TimeSpan,
    /// When the pause ends.
    paused_until: TimePoint,
}

impl RunnerSends {
    fn rejected(&self, now: TimePoint) -> u32 {
        let recent = self.rejections.iter().filter(|at| now.since(**at) < REJECTION_SPAN);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Outstanding requests beyond which the runner is expected to reject one.
    fn window(&self, now: TimePoint) -> u32 {
        let Some((accepted, since)) = self.accepted else { return u32::MAX };
        let grown = now.since(since).0 / GROWTH_SPAN.0;
        accepted.max(1).saturating_add(u32::try_from(grown).unwrap_or(u32::MAX))
    }
}

/// Rejections that another node states.
#[derive(Debug)]
struct PeerRejections {
    count: u32,
    until: TimePoint,
}

/// The brittle runners at this node.
#[derive(Debug, Default)]
pub struct BrittleTable {
    statements: RunnerStatements<u32>,
    sends: BTreeMap<RunnerId, RunnerSends>,
    peer_rejections: BTreeMap<RunnerId, BTreeMap<VmId, PeerRejections>>,
}

impl BrittleTable {
    /// Number of rejections in a second that all nodes together may cause at a runner that can bear
    /// `limit`. A single one is allowed in any case: without a request, the nodes would never learn
    /// that the runner is no longer brittle.
    #[must_use]
    pub fn usable_rejections(limit: u32) -> u32 {
        ((f64::from(limit) * USABLE_SHARE) as u32).max(1)
    }

    /// Records what a runner stated in an answer. Returns the change, if it is one.
    pub fn record(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        limit: Option<u32>,
    ) -> Option<BrittleChange> {
        let until = now + BRITTLE_TTL;
        let change = self.statements.record(now, StatementSource::Answer, runner, limit, until);
        change.map(BrittleChange::new)
    }

    /// Applies the update of another node. Returns the changes.
    pub fn apply_update(
        &mut self,
        now: TimePoint,
        vm: &VmId,
        update: BrittleUpdate,
    ) -> Vec<BrittleChange> {
        let mut changes = Vec::new();
        for report in update.reports {
            let BrittleReport { runner, limit, left, rejected } = report;
            if rejected > 0 {
                let until = now + PEER_REJECTION_SPAN;
                let of_runner = self.peer_rejections.entry(runner.runner.clone()).or_default();
                of_runner.insert(vm.clone(), PeerRejections { count: rejected, until });
            } else if let Some(of_runner) = self.peer_rejections.get_mut(&runner.runner) {
                of_runner.remove(vm);
            }
            let until = now + left.min(BRITTLE_TTL);
            let change = self.statements.record(now, StatementSource::Peer, &runner, limit, until);
            changes.extend(change.map(BrittleChange::new));
        }
        changes
    }

    /// Whether no runner is brittle, or was lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Rejections in a second that this start of a runner can bear by its newest statement; `None`
    /// if it is not brittle.
    #[must_use]
    pub fn limit(&self, now: TimePoint, runner: &RunnerIncarnation) -> Option<u32> {
        self.statements.value(now, runner)
    }

    /// How many more requests this node may send to a brittle runner, if `share` of the usable
    /// rejections are its own.
    #[must_use]
    pub fn room(&self, now: TimePoint, runner: &RunnerIncarnation, share: u32) -> RunnerRoom {
        let limit = self.limit(now, runner).unwrap_or_default();
        if share == 0 || self.is_rejecting(now, &runner.runner, limit) {
            return RunnerRoom { calls: 0, free_at: Some(now + REJECTION_SPAN) };
        }
        let Some(sends) = self.sends.get(&runner.runner) else {
            return RunnerRoom { calls: share, free_at: None };
        };
        if now < sends.paused_until {
            return RunnerRoom { calls: 0, free_at: Some(sends.paused_until) };
        }
        let used = sends.outstanding + sends.rejected(now);
        let free_at = (used >= share && sends.outstanding < share)
            .then(|| sends.rejections.front().map(|first| *first + REJECTION_SPAN));
        let window = sends.window(now).saturating_sub(sends.outstanding);
        RunnerRoom { calls: share.saturating_sub(used).min(window), free_at: free_at.flatten() }
    }

    /// Whether the runner rejects so much, over all nodes, that none of them sends to it.
    fn is_rejecting(&self, now: TimePoint, runner: &RunnerId, limit: u32) -> bool {
        let own = self.sends.get(runner).map_or(0, |sends| sends.rejected(now));
        let peers = self.peer_rejections.get(runner).into_iter().flat_map(BTreeMap::values);
        let valid = peers.filter(|rejections| now < rejections.until);
        let others = valid.fold(0_u32, |sum, rejections| sum.saturating_add(rejections.count));
        others > 0 && own.saturating_add(others) > Self::usable_rejections(limit) / 2
    }

    /// Records that a request is being sent to a brittle runner.
    pub fn begin_send(&mut self, runner: &RunnerIncarnation) {
        let sends = self.sends.entry(runner.runner.clone()).or_default();
        if sends.started_unix_ms != runner.started_unix_ms {
            *sends = RunnerSends { started_unix_ms: runner.started_unix_ms, ..Default::default() };
        }
        sends.outstanding += 1;
    }

    /// Records that a request that was being sent has been accepted or rejected.
    pub fn end_send(&mut self, now: TimePoint, runner: &RunnerIncarnation, rejected: bool) {
        let Some(sends) = self.sends.get_mut(&runner.runner) else { return };
        if sends.started_unix_ms != runner.started_unix_ms {
            return;
        }
        sends.outstanding = sends.outstanding.saturating_sub(1);
        if !rejected {
            sends.pause = TimeSpan::default();
            return;
        }
        while sends.rejections.front().is_some_and(|at| now.since(*at) >= REJECTION_SPAN) {
            sends.rejections.pop_front();
        }
        sends.rejections.push_back(now);
        sends.accepted = Some((sends.outstanding, now));
        // Other nodes use all its room. Requests that were sent together are rejected together, and
        // lengthen the pause once.
        if sends.outstanding == 0 && now >= sends.paused_until {
            sends.pause = TimeSpan((sends.pause.0 * 2).max(REJECTION_SPAN.0 / 2));
            sends.pause = sends.pause.min(MAX_REJECTION_SPAN);
            sends.paused_until = now + sends.pause;
        }
    }

    /// What runners stated to this node; those that reject requests first.
    #[must_use]
    pub fn update(&self, now: TimePoint, fleet_size: usize) -> BrittleUpdate {
        let report = |(runner, limit, left): (&RunnerIncarnation, _, _)| BrittleReport {
            runner: runner.clone(),
            limit,
            left,
            rejected: self.sends.get(&runner.runner).map_or(0, |sends| sends.rejected(now)),
        };
        let mut reports: Vec<BrittleReport> = self.statements.own(now).map(report).collect();
        reports.sort_by(|a, b| b.rejected.cmp(&a.rejected).then(b.left.cmp(&a.left)));
        reports.truncate(MAX_REPORTS);
        BrittleUpdate { fleet_size: u32::try_from(fleet_size).unwrap_or(u32::MAX), reports }
    }

    /// Drops what no longer holds.
    pub fn prune(&mut self, now: TimePoint) {
        self.statements.prune(now);
        self.peer_rejections.retain(|_, of_runner| {
            of_runner.retain(|_, rejections| now < rejections.until);
            !of_runner.is_empty()
        });
        let statements = &self.statements;
        self.sends.retain(|runner, sends| sends.outstanding > 0 || statements.contains(runner));
    }
}
