//! A steward's view of the fleet, merged from the platform's list, runners, peers and its
//! own entries. It opens no socket and reads no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::prelude::*;

use crate::fleet_entries::EntryFigures;
use crate::leaving_runners::LeavingRunners;
use crate::node_state::NodeState;
use crate::peer_topology::PeerTopology;
use crate::poll_assignment::PollAssignment;
use crate::runner_state::{ReportSource, RunnerState};
use crate::{EntryStatus, LeavingRunner, NodeRecord};

/// A steward's identity at its start.
#[derive(Debug, Clone)]
pub struct FleetSelf {
    /// Its machine.
    pub vm: VmId,
    /// Its failure domain.
    pub place: PlaceName,
    /// Its UDP address.
    pub steward: SocketAddr,
    /// Its incarnation.
    pub incarnation: VmIncarnation,
    /// Orders the incarnations of the machine, such as the wall clock's time; too low a
    /// value is raised when a peer reports a higher one.
    pub generation: u64,
}

/// The fleet as one steward knows it: a state machine that takes events and answers
/// queries.
pub struct FleetDesk {
    pub(crate) own_record: NodeRecord,
    pub(crate) runners: BTreeMap<RunnerId, RunnerState>,
    pub(crate) nodes: BTreeMap<VmId, NodeState>,
    pub(crate) leaving_runners: LeavingRunners,
    pub(crate) digest_period: TimeSpan,
    /// Number of the last change of any kind; it only grows within this incarnation.
    pub(crate) change: u64,
    /// Last change of the list or state of the runners.
    pub(crate) runners_change: u64,
    /// Last change of the entries that callers may use.
    pub(crate) entries_change: u64,
    /// Last change of the set of runners or their addresses.
    pub(crate) list_change: u64,
    /// Last change of `own_record`.
    pub(crate) own_record_change: u64,
    /// A change is pending that peers should get without waiting for the next period.
    pub(crate) urgent: bool,
    pub(crate) cut_off: bool,
    pub(crate) topology: PeerTopology,
    pub(crate) assignment: PollAssignment,
    /// Models to which no new calls go on a runner.
    pub(crate) draining: BTreeSet<(RunnerId, ModelName)>,
    pub(crate) entry_last_heard: BTreeMap<VmIncarnation, TimePoint>,
    /// The latest values of the own entries' fast-changing fields.
    pub(crate) entry_figures: BTreeMap<VmIncarnation, EntryFigures>,
    pub(crate) config_offset: LogOffset,
    pub(crate) platform_last_heard: Option<TimePoint>,
    pub(crate) started: TimePoint,
    /// The platform's list has been read at least once.
    pub(crate) listed: bool,
    /// Time of the last tick.
    pub(crate) ticked: Option<TimePoint>,
}

impl FleetDesk {
    /// An empty view at the steward's start; digests are sent every `digest_period`.
    #[must_use]
    pub fn new(now: TimePoint, own: FleetSelf, digest_period: TimeSpan) -> Self {
        let own_record = NodeRecord {
            vm: own.vm,
            place: own.place,
            steward: own.steward,
            incarnation: own.incarnation,
            generation: own.generation,
            sequence: 1,
            leaving: false,
            entries: Vec::new(),
            draining: Vec::new(),
        };
        Self {
            own_record,
            runners: BTreeMap::new(),
            nodes: BTreeMap::new(),
            leaving_runners: LeavingRunners::default(),
            digest_period,
            change: 1,
            runners_change: 1,
            list_change: 1,
            entries_change: 1,
            own_record_change: 1,
            urgent: false,
            cut_off: false,
            topology: PeerTopology::default(),
            assignment: PollAssignment::default(),
            draining: BTreeSet::new(),
            entry_last_heard: BTreeMap::new(),
            platform_last_heard: None,
            started: now,
            listed: false,
            ticked: None,
            entry_figures: BTreeMap::new(),
            config_offset: LogOffset::default(),
        }
    }

    /// Version of the view: the number of the last change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.change
    }

    /// Whether this machine is cut off from all others.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Whether the machine is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.own_record.leaving
    }

    /// Entries of this machine.
    #[must_use]
    pub fn own_entries(&self) -> &[EntryStatus] {
        &self.own_record.entries
    }

    /// Records that the platform answered a request of any kind.
    pub fn on_platform(&mut self, now: TimePoint) {
        self.platform_last_heard = Some(now);
    }

    /// Applies a report that this steward polled.
    pub fn on_report(&mut self, now: TimePoint, report: RunnerReport) {
        self.take_report(now, report, ReportSource::Own);
    }

    /// Marks a runner's incarnation as leaving; 0 stands for the one known here.
    pub fn on_leaving(&mut self, runner: &RunnerId, incarnation: u64) {
        let known = self.runners.get(runner).map_or(0, RunnerState::incarnation);
        let incarnation = if incarnation == 0 { known } else { incarnation };
        let leaving = LeavingRunner { runner: runner.clone(), incarnation };
        let change = self.change + 1;
        if self.leaving_runners.insert(leaving, change) {
            self.change = change;
            self.runners_change = change;
            self.urgent = true;
        }
    }

    /// Records the configuration that this steward has; it may drain runners and entries,
    /// so entries get both lists again.
    pub fn on_config(&mut self, offset: LogOffset) {
        if offset > self.config_offset {
            self.config_offset = offset;
            // Each digest carries the offset, so the own record need not change.
            self.urgent = true;
            self.change_entries();
            self.runners_change = self.change;
        }
    }

    /// Announces that this machine is leaving.
    pub fn leave(&mut self) {
        if !self.own_record.leaving {
            self.own_record.leaving = true;
            self.urgent = true;
            self.change_own_record();
        }
    }

    /// Whether any source says that a runner gets no new work.
    pub(crate) fn is_runner_leaving(&self, runner: &RunnerId, state: &RunnerState) -> bool {
        state.listed_leaving || self.leaving_runners.contains(runner, state.incarnation())
    }

    pub(crate) fn take_report(
        &mut self,
        now: TimePoint,
        report: RunnerReport,
        source: ReportSource,
    ) {
        let Some(state) = self.runners.get_mut(&report.runner) else { return };
        let (runner, incarnation) = (report.runner.clone(), report.incarnation);
        let (leaving, restarted) = (report.leaving, state.incarnation() != incarnation);
        if !state.take_report(now, report, source, self.change + 1) {
            return;
        }
        if source == ReportSource::Own {
            self.assignment.polled.insert(runner.clone());
        }
        self.change += 1;
        if restarted {
            self.leaving_runners.bind(&runner, incarnation, self.change);
            self.runners_change = self.change;
        }
        if leaving {
            self.on_leaving(&runner, incarnation);
        }
    }

    /// Counts a change of the entries that callers may use.
    pub(crate) fn change_entries(&mut self) {
        self.change += 1;
        self.entries_change = self.change;
    }

    /// Counts a change of the own record, and gives it the next sequence.
    pub(crate) fn change_own_record(&mut self) {
        self.change_entries();
        self.own_record.sequence += 1;
        self.own_record_change = self.change;
    }
}
