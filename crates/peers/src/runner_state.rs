//! One runner, as a steward knows it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::CacheEvent;
use base::prelude::*;

use crate::node_state::RETIRED_HOLD;
use crate::{ReportDelta, RunnerRecord};

/// Earlier starts of a runner that are remembered, so that their late reports are told.
const MAX_RETIRED: usize = 4;
/// Cache events of one runner that are kept for entries and peers.
const MAX_CACHE_EVENTS: usize = 256;

/// Where a report came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportSource {
    /// This steward polled it.
    Own,
    /// A peer polled it.
    Peer,
}

/// A report and when it came.
pub(crate) struct KnownReport {
    pub(crate) report: RunnerReport,
    pub(crate) received: TimePoint,
    pub(crate) source: ReportSource,
    pub(crate) change: u64,
    /// The first change with an own report of this detail; 0 if there was none.
    pub(crate) detail_change: u64,
}

impl KnownReport {
    /// How old the figures are at `now`.
    pub(crate) fn age(&self, now: TimePoint) -> TimeSpan {
        self.report.age + now.since(self.received)
    }
}

struct KnownEvent {
    event: CacheEvent,
    source: ReportSource,
    change: u64,
}

/// One runner.
pub(crate) struct RunnerState {
    pub(crate) service: ServiceName,
    pub(crate) place: PlaceName,
    pub(crate) address: SocketAddr,
    /// The platform's list says that it leaves.
    pub(crate) listed_leaving: bool,
    pub(crate) known: Option<KnownReport>,
    retired: VecDeque<u64>,
    events: VecDeque<KnownEvent>,
    events_next: u64,
}

impl RunnerState {
    pub(crate) fn new(service: ServiceName, place: PlaceName, address: SocketAddr) -> Self {
        Self {
            service,
            place,
            address,
            listed_leaving: false,
            known: None,
            retired: VecDeque::new(),
            events: VecDeque::new(),
            events_next: 0,
        }
    }

    /// The runner's present start; 0 before its first report.
    pub(crate) fn incarnation(&self) -> u64 {
        self.known.as_ref().map_or(0, |known| known.report.incarnation)
    }

    /// Takes a report if it is newer than the known one; says whether it was.
    pub(crate) fn take_report(
        &mut self,
        now: TimePoint,
        report: RunnerReport,
        source: ReportSource,
        change: u64,
    ) -> bool {
        let held = |known: &KnownReport| now.since(known.received) < RETIRED_HOLD;
        if self.retired.contains(&report.incarnation) && self.known.as_ref().is_some_and(held) {
            return false;
        }
        let mut detail_change = 0;
        if let Some(known) = &self.known {
            if known.report.incarnation != report.incarnation {
                self.retired.retain(|retired| *retired != report.incarnation);
                self.retire(known.report.incarnation);
            } else if report.sequence <= known.report.sequence {
                return false;
            } else if same_detail(&known.report, &report) {
                detail_change = known.detail_change;
            }
        }
        if source == ReportSource::Own && detail_change == 0 {
            detail_change = change;
        }
        let received = now;
        self.known = Some(KnownReport { report, received, source, change, detail_change });
        true
    }

    fn retire(&mut self, incarnation: u64) {
        if self.retired.len() >= MAX_RETIRED {
            self.retired.pop_front();
        }
        self.retired.push_back(incarnation);
        self.events.clear();
        self.events_next = 0;
    }

    /// Takes a cache event if it is newer than the known ones; says whether it was.
    pub(crate) fn take_event(
        &mut self,
        event: &CacheEvent,
        source: ReportSource,
        change: u64,
    ) -> bool {
        if event.sequence < self.events_next {
            return false;
        }
        if self.events.len() >= MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
        self.events_next = event.sequence + 1;
        self.events.push_back(KnownEvent { event: event.clone(), source, change });
        true
    }

    /// Events after change number `change`; only those that this steward polled if `own`.
    pub(crate) fn events_since(&self, change: u64, own: bool) -> impl Iterator<Item = CacheEvent> {
        self.events
            .iter()
            .filter(move |known| {
                known.change > change && (!own || known.source == ReportSource::Own)
            })
            .map(|known| known.event.clone())
    }

    /// The next cache event that is wanted.
    pub(crate) fn events_next(&self) -> u64 {
        self.events_next
    }

    /// The own report for a peer that has all changes up to `change`.
    pub(crate) fn delta_since(&self, now: TimePoint, change: u64) -> Option<ReportDelta> {
        let known = self.known.as_ref()?;
        if known.source != ReportSource::Own || known.change <= change {
            return None;
        }
        Some(ReportDelta::new(&known.report, known.age(now), known.detail_change > change))
    }

    /// The runner as entries see it.
    pub(crate) fn record(&self, now: TimePoint, runner: &RunnerId, leaving: bool) -> RunnerRecord {
        let report = self.known.as_ref().map(|known| {
            let mut report = known.report.clone();
            report.age = known.age(now);
            report
        });
        RunnerRecord {
            runner: runner.clone(),
            service: self.service.clone(),
            place: self.place.clone(),
            address: self.address,
            leaving,
            report,
        }
    }
}

fn same_detail(one: &RunnerReport, other: &RunnerReport) -> bool {
    one.total_blocks == other.total_blocks
        && one.block_tokens == other.block_tokens
        && one.models == other.models
}
