//! One runner, as known to a steward.

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::CacheEvent;
use base::prelude::*;

use crate::bounded_set::BoundedSet;
use crate::node_state::{MAX_RETIRED, RETIRED_HOLD};
use crate::{ReportDelta, RunnerRecord};

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

/// The newest report.
pub(crate) struct KnownReport {
    pub(crate) report: RunnerReport,
    pub(crate) received: TimePoint,
    pub(crate) source: ReportSource,
    /// This steward's change that brought it.
    pub(crate) change: u64,
    /// The first change with an own report of the same detail; 0 if there was none.
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
    /// The platform's list has it as leaving.
    pub(crate) listed_leaving: bool,
    pub(crate) known: Option<KnownReport>,
    /// Incarnations that were replaced.
    retired: BoundedSet<u64>,
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
            retired: BoundedSet::new(MAX_RETIRED),
            events: VecDeque::new(),
            events_next: 0,
        }
    }

    /// Applies the runner's record of the platform's list; says whether its state or address
    /// changed.
    pub(crate) fn take_listing(&mut self, listing: &VmRecord, service: ServiceName) -> bool {
        let leaving = listing.state == VmState::Leaving;
        let changed = self.listed_leaving != leaving || self.address != listing.address;
        self.listed_leaving = leaving;
        (self.service, self.place) = (service, listing.place.clone());
        self.address = listing.address;
        changed
    }

    /// Whether the newest report came after change number `change`.
    pub(crate) fn is_reported_since(&self, change: u64) -> bool {
        self.known.as_ref().is_some_and(|known| known.change > change)
    }

    /// The runner's present incarnation; 0 before its first report.
    pub(crate) fn incarnation(&self) -> u64 {
        self.known.as_ref().map_or(0, |known| known.report.incarnation)
    }

    /// Applies a report if it is newer than the known one; says whether it was.
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
                self.retired.remove(&report.incarnation);
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

    /// Records that `incarnation` was replaced; its cache events count no more.
    fn retire(&mut self, incarnation: u64) {
        self.retired.insert(incarnation);
        self.events.clear();
        self.events_next = 0;
    }

    /// Applies a cache event if it is newer than the known ones; says whether it was.
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

    /// Sequence number of the next cache event that is wanted.
    pub(crate) fn events_next(&self) -> u64 {
        self.events_next
    }

    /// The report for a peer that has all changes up to `change`; none if this steward did
    /// not poll it.
    pub(crate) fn delta_since(&self, now: TimePoint, change: u64) -> Option<ReportDelta> {
        let known = self.known.as_ref()?;
        if known.source != ReportSource::Own || known.change <= change {
            return None;
        }
        Some(ReportDelta::new(&known.report, known.age(now), known.detail_change > change))
    }

    /// The runner's record for entries.
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
