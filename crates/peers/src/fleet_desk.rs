//! A steward's view of the fleet, from every source: the platform's list, runners, peers
//! and its own entries. It opens no socket and reads no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::prelude::*;

use crate::fleet_entries::EntryFigures;
use crate::leaving_words::LeavingWords;
use crate::node_state::NodeState;
use crate::peer_circle::PeerCircle;
use crate::report_duty::ReportDuty;
use crate::runner_state::{ReportSource, RunnerState};
use crate::{EntryStatus, LeavingWord, NodeRecord, PeerCandidate};

/// Silence of the platform and all peers after which this machine is cut off.
pub const CUT_OFF_SILENCE: TimeSpan = TimeSpan::seconds(5);

/// Time between two ticks from which this process counts as paused.
const PAUSE_LIMIT: TimeSpan = TimeSpan::seconds(2);
/// Time for which a machine that left the list is remembered.
const GONE_MEMORY: TimeSpan = TimeSpan::seconds(900);

/// What a steward says about itself when it starts.
#[derive(Debug, Clone)]
pub struct FleetSelf {
    /// Its machine.
    pub vm: VmId,
    /// Its failure domain.
    pub place: PlaceName,
    /// Its UDP address.
    pub steward: SocketAddr,
    /// Its start.
    pub incarnation: VmIncarnation,
    /// Order of its start among those of the machine, such as the wall clock's time; a
    /// wrong one is mended by hearing of a higher one.
    pub generation: u64,
}

/// The fleet as one steward knows it: takes events, answers what to do and what is known.
pub struct FleetDesk {
    pub(crate) me: NodeRecord,
    pub(crate) runners: BTreeMap<RunnerId, RunnerState>,
    pub(crate) nodes: BTreeMap<VmId, NodeState>,
    pub(crate) words: LeavingWords,
    pub(crate) digest_period: TimeSpan,
    /// Number of the last change of anything; it only grows within this start.
    pub(crate) change: u64,
    /// Last change of the list or state of the runners.
    pub(crate) runners_change: u64,
    /// Last change of the entries that callers may use.
    pub(crate) entries_change: u64,
    /// Last change of which runners there are, and where.
    pub(crate) list_change: u64,
    /// Last change of `me`.
    pub(crate) me_change: u64,
    /// Something changed that peers should hear at once.
    pub(crate) urgent: bool,
    pub(crate) cut_off: bool,
    pub(crate) circle: PeerCircle,
    pub(crate) duty: ReportDuty,
    /// Models to which no new calls go on a runner.
    pub(crate) draining: BTreeSet<(RunnerId, ModelName)>,
    pub(crate) entry_heard: BTreeMap<VmIncarnation, TimePoint>,
    /// What the own entries last said of themselves that moves all the time.
    pub(crate) entry_figures: BTreeMap<VmIncarnation, EntryFigures>,
    pub(crate) config_offset: LogOffset,
    pub(crate) platform_heard: Option<TimePoint>,
    pub(crate) started: TimePoint,
    pub(crate) listed: bool,
    ticked: Option<TimePoint>,
}

impl FleetDesk {
    /// An empty view at the steward's start; digests go out every `digest_period`.
    #[must_use]
    pub fn new(now: TimePoint, own: FleetSelf, digest_period: TimeSpan) -> Self {
        let me = NodeRecord {
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
            me,
            runners: BTreeMap::new(),
            nodes: BTreeMap::new(),
            words: LeavingWords::default(),
            digest_period,
            change: 1,
            runners_change: 1,
            list_change: 1,
            entries_change: 1,
            me_change: 1,
            urgent: false,
            cut_off: false,
            circle: PeerCircle::default(),
            duty: ReportDuty::default(),
            draining: BTreeSet::new(),
            entry_heard: BTreeMap::new(),
            platform_heard: None,
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

    /// Whether the machine leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.me.leaving
    }

    /// Entries of this machine.
    #[must_use]
    pub fn own_entries(&self) -> &[EntryStatus] {
        &self.me.entries
    }

    /// Takes the platform's list. An empty one after a list with machines is a fault of
    /// the platform; the last one stays.
    pub fn on_vms(&mut self, now: TimePoint, vms: &[VmRecord]) {
        self.platform_heard = Some(now);
        if vms.is_empty() && self.listed {
            return;
        }
        self.listed = true;
        self.take_runners(vms);
        self.take_nodes(now, vms);
        self.refresh_circle();
        self.refresh_duty();
    }

    /// Notes that the platform answered anything.
    pub fn on_platform(&mut self, now: TimePoint) {
        self.platform_heard = Some(now);
    }

    /// Takes a report that this steward polled.
    pub fn on_report(&mut self, now: TimePoint, report: RunnerReport) {
        self.take_report(now, report, ReportSource::Own);
    }

    /// Takes a leaving word about a runner's start; 0: the start is not known.
    pub fn on_leaving(&mut self, runner: &RunnerId, incarnation: u64) {
        let known = self.runners.get(runner).map_or(0, RunnerState::incarnation);
        let incarnation = if incarnation == 0 { known } else { incarnation };
        let word = LeavingWord { runner: runner.clone(), incarnation };
        let change = self.change + 1;
        if self.words.add(word, change) {
            self.change = change;
            self.runners_change = change;
            self.urgent = true;
        }
    }

    /// Notes the configuration that this steward has; each view's drains may change.
    pub fn on_config(&mut self, offset: LogOffset) {
        if offset > self.config_offset {
            self.config_offset = offset;
            // Each digest names the offset; it is no news for others to pass on.
            self.urgent = true;
            self.change_entries();
            self.runners_change = self.change;
        }
    }

    /// Announces that this machine leaves.
    pub fn leave(&mut self) {
        if !self.me.leaving {
            self.me.leaving = true;
            self.urgent = true;
            self.change_me();
        }
    }

    /// Lets silent entries and peers drop out, and judges whether this machine is cut off.
    pub fn tick(&mut self, now: TimePoint) {
        self.excuse_pause(now);
        self.drop_silent_entries(now);
        self.refresh_circle();
        self.refresh_duty();
        let changed = self.judge_live(now);
        self.gather_draining();
        self.nodes.retain(|_, node| {
            let remembered = |gone: TimePoint| now.since(gone) < GONE_MEMORY;
            node.live || node.listed.is_some() || node.gone.is_some_and(remembered)
        });
        let cut_off = self.judge_cut_off(now);
        if changed {
            self.change_entries();
        }
        if cut_off != self.cut_off {
            self.cut_off = cut_off;
            self.change += 1;
        }
    }

    /// Whether a runner gets no new work, by any source.
    pub(crate) fn is_runner_leaving(&self, runner: &RunnerId, state: &RunnerState) -> bool {
        state.listed_leaving || self.words.has(runner, state.incarnation())
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
            self.duty.polled.insert(runner.clone());
        }
        self.change += 1;
        if restarted {
            self.words.bind(&runner, incarnation, self.change);
            self.runners_change = self.change;
        }
        if leaving {
            self.on_leaving(&runner, incarnation);
        }
    }

    fn take_runners(&mut self, vms: &[VmRecord]) {
        let mut listed: BTreeMap<RunnerId, &VmRecord> = BTreeMap::new();
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Runner) {
            if let Ok(runner) = vm.vm.as_str().parse() {
                listed.insert(runner, vm);
            }
        }
        let gone: Vec<RunnerId> =
            self.runners.keys().filter(|runner| !listed.contains_key(*runner)).cloned().collect();
        let mut changed = !gone.is_empty();
        for runner in gone {
            self.runners.remove(&runner);
            self.duty.polled.remove(&runner);
            self.words.forget(&runner);
        }
        let mut leaving = Vec::new();
        for (runner, vm) in listed {
            let Some(service) = vm.service.clone() else { continue };
            let state = self.runners.entry(runner.clone()).or_insert_with(|| {
                changed = true;
                RunnerState::new(service.clone(), vm.place.clone(), vm.address)
            });
            let says_leaving = vm.state == VmState::Leaving;
            if says_leaving && !state.listed_leaving {
                leaving.push(runner);
            }
            changed |= state.listed_leaving != says_leaving || state.address != vm.address;
            state.listed_leaving = says_leaving;
            (state.service, state.place, state.address) = (service, vm.place.clone(), vm.address);
        }
        if changed {
            self.change += 1;
            self.runners_change = self.change;
            self.list_change = self.change;
        }
        for runner in leaving {
            self.on_leaving(&runner, 0);
        }
    }

    fn take_nodes(&mut self, now: TimePoint, vms: &[VmRecord]) {
        let mut listed = BTreeSet::new();
        let mut changed = false;
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
            let Some(steward) = vm.steward else { continue };
            listed.insert(&vm.vm);
            if vm.vm == self.me.vm {
                if vm.state == VmState::Leaving {
                    self.leave();
                }
                continue;
            }
            let node = self
                .nodes
                .entry(vm.vm.clone())
                .or_insert_with(|| NodeState::new(vm.place.clone(), steward));
            changed |= node.take_line(vm, steward);
        }
        for (vm, node) in &mut self.nodes {
            if node.listed.is_some() && !listed.contains(vm) {
                (node.listed, node.gone) = (None, Some(now));
                changed = true;
            }
        }
        if changed {
            self.change_entries();
        }
    }

    /// A pause of this process is no silence of the others.
    fn excuse_pause(&mut self, now: TimePoint) {
        let pause = now.since(self.ticked.unwrap_or(now));
        self.ticked = Some(now);
        if pause < PAUSE_LIMIT {
            return;
        }
        let peers = self.nodes.values_mut().filter_map(|node| node.heard.as_mut());
        let heard = peers.chain(self.entry_heard.values_mut()).chain(&mut self.platform_heard);
        for at in heard {
            *at = (*at + pause).min(now);
        }
    }

    /// Judges who is live; in a large fleet, a neighbour's silence is news for the others.
    fn judge_live(&mut self, now: TimePoint) -> bool {
        let mut changed = false;
        for (vm, node) in &mut self.nodes {
            let direct = self.circle.is_direct(vm);
            let live = node.is_live(now, direct);
            if node.live && !live && direct && !self.circle.is_mesh() && node.record.is_some() {
                (node.down, node.source) = (true, None);
                node.record_change = self.change + 1;
                self.urgent = true;
            }
            changed |= live != node.live;
            node.live = live;
        }
        changed
    }

    /// Chooses the peers anew if the machines changed.
    fn refresh_circle(&mut self) {
        let present = self.nodes.iter().filter(|(_, node)| node.live || node.listed.is_some());
        let me = PeerCandidate { vm: self.me.vm.clone(), place: self.me.place.clone() };
        let peers =
            present.map(|(vm, node)| PeerCandidate { vm: vm.clone(), place: node.place.clone() });
        let nodes = std::iter::once(me.clone()).chain(peers).collect();
        self.circle.refresh(&me, nodes);
    }

    /// Cut off: neither the platform nor any peer was heard, though there are peers. With
    /// the platform down, the peers still answer.
    fn judge_cut_off(&self, now: TimePoint) -> bool {
        let alone =
            |heard: Option<TimePoint>| now.since(heard.unwrap_or(self.started)) >= CUT_OFF_SILENCE;
        let has_peers = self.nodes.values().any(|node| node.listed.is_some());
        let peers_heard = self.nodes.values().filter_map(|node| node.heard).max();
        (has_peers || !self.listed) && alone(self.platform_heard) && alone(peers_heard)
    }

    /// Notes a change of the entries that callers may use.
    pub(crate) fn change_entries(&mut self) {
        self.change += 1;
        self.entries_change = self.change;
    }

    pub(crate) fn change_me(&mut self) {
        self.change_entries();
        self.me.sequence += 1;
        self.me_change = self.change;
    }
}
