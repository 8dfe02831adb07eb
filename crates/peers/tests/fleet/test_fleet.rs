//! Several stewards' desks on virtual time, with exchanges that can be lost.

use base::prelude::*;
use peers::{EntryRecord, EntryStatus, FleetDesk, FleetSelf, FleetView};
use rand::RngExt;

const PLACES: [&str; 3] = ["ikeja", "lekki", "yaba"];
const PERIOD: TimeSpan = TimeSpan::seconds(1);

pub fn vm_id(number: usize) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

pub fn runner_id(number: usize) -> RunnerId {
    format!("runner-{number}").parse().unwrap()
}

pub fn entry_status(number: usize, start: u64) -> EntryStatus {
    EntryStatus {
        incarnation: VmIncarnation(1_000 * (number as u64 + 1) + start),
        address: format!("10.0.0.{number}:8000").parse().unwrap(),
        peer: format!("10.0.0.{number}:8001").parse().unwrap(),
        leaving: false,
        calls: 0,
        config_offset: LogOffset(0),
    }
}

pub fn report(runner: usize, incarnation: u64, sequence: u64) -> RunnerReport {
    RunnerReport {
        runner: runner_id(runner),
        incarnation,
        sequence,
        age: TimeSpan(0),
        used_blocks: BlockCount(sequence as u32),
        total_blocks: BlockCount(1_000),
        block_tokens: 16,
        running: 3,
        waiting: 0,
        preemptions: 0,
        step: TimeSpan::millis(20),
        leaving: false,
        models: vec!["briefing".parse().unwrap()],
        fence: 0,
    }
}

#[derive(Default)]
pub struct TestList {
    pub vms: Vec<VmRecord>,
}

impl TestList {
    fn add_vm(&mut self, number: usize) {
        self.vms.push(VmRecord {
            vm: vm_id(number),
            place: PLACES[number % 3].parse().unwrap(),
            role: VmRole::Entry,
            service: None,
            address: format!("10.0.0.{number}:8000").parse().unwrap(),
            steward: Some(format!("10.0.0.{number}:8002").parse().unwrap()),
            state: VmState::Live,
        });
    }

    pub fn add_runner(&mut self, number: usize) {
        self.vms.push(VmRecord {
            vm: format!("runner-{number}").parse().unwrap(),
            place: PLACES[number % 3].parse().unwrap(),
            role: VmRole::Runner,
            service: Some("briefings".parse().unwrap()),
            address: format!("10.0.1.{number}:9000").parse().unwrap(),
            steward: None,
            state: VmState::Live,
        });
    }

    pub fn set_state(&mut self, name: &str, state: VmState) {
        self.vms.iter_mut().find(|vm| vm.vm.as_str() == name).unwrap().state = state;
    }

    pub fn remove(&mut self, name: &str) {
        self.vms.retain(|vm| vm.vm.as_str() != name);
    }
}

pub struct TestFleet {
    pub now: TimePoint,
    pub list: TestList,
    pub desks: Vec<FleetDesk>,
    starts: Vec<u64>,
}

impl TestFleet {
    /// `vms` stewards that have read a list with `runners` runners.
    pub fn new(vms: usize, runners: usize) -> Self {
        let mut list = TestList::default();
        (0..vms).for_each(|number| list.add_vm(number));
        (0..runners).for_each(|number| list.add_runner(number));
        let now = TimePoint(1_000_000);
        let desks = (0..vms).map(|number| new_desk(now, number, 1)).collect();
        let mut fleet = Self { now, list, desks, starts: vec![1; vms] };
        fleet.poll_lists();
        fleet
    }

    pub fn advance(&mut self, span: TimeSpan) {
        self.now = self.now + span;
    }

    /// Time passes while the stewards run.
    pub fn pass(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + TimeSpan::millis(500));
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.desks.iter_mut().for_each(|desk| desk.tick(self.now));
    }

    pub fn poll_lists(&mut self) {
        self.desks.iter_mut().for_each(|desk| desk.on_vms(self.now, &self.list.vms));
    }

    /// The entries of these machines report to their stewards.
    pub fn report_entries(&mut self, numbers: &[usize]) {
        for &number in numbers {
            let status = entry_status(number, self.starts[number]);
            self.desks[number].on_entry(self.now, &status);
        }
    }

    pub fn restart(&mut self, number: usize) {
        self.starts[number] += 1;
        self.desks[number] = new_desk(self.now, number, self.starts[number]);
        self.desks[number].on_vms(self.now, &self.list.vms);
    }

    pub fn exchange(&mut self, from: usize, to: usize) {
        let request = self.desks[from].digest_for(self.now, &vm_id(to));
        self.desks[to].on_digest(self.now, request);
        let reply = self.desks[to].digest_for(self.now, &vm_id(from));
        self.desks[from].on_digest(self.now, reply);
    }

    /// An exchange whose request or reply may be lost.
    pub fn exchange_lossy(&mut self, from: usize, to: usize, rng: &mut impl RngExt) {
        let request = self.desks[from].digest_for(self.now, &vm_id(to));
        if rng.random_bool(0.3) {
            return;
        }
        self.desks[to].on_digest(self.now, request);
        let reply = self.desks[to].digest_for(self.now, &vm_id(from));
        if rng.random_bool(0.3) {
            return;
        }
        self.desks[from].on_digest(self.now, reply);
    }

    /// One period: every live machine's entry reports, and its steward exchanges as due.
    pub fn round(&mut self, dead: &[usize]) -> usize {
        self.advance(PERIOD);
        let live: Vec<usize> = (0..self.desks.len()).filter(|at| !dead.contains(at)).collect();
        self.report_entries(&live);
        for &at in &live {
            self.desks[at].tick(self.now);
        }
        let mut exchanges = 0;
        for &at in &live {
            for (peer, _) in self.desks[at].due_peers(self.now) {
                let peer: usize = peer.as_str()[3..].parse().unwrap();
                if !dead.contains(&peer) {
                    self.exchange(at, peer);
                    exchanges += 1;
                }
            }
        }
        exchanges
    }

    /// Each steward polls its share; the reports carry this sequence.
    pub fn poll_runners(&mut self, sequence: u64) {
        for desk in &mut self.desks {
            for due in desk.polls(self.now) {
                let number: usize = due.runner.as_str()[7..].parse().unwrap();
                desk.on_report(self.now, report(number, 7 + number as u64, sequence));
            }
        }
    }

    /// Rounds in which all machines are live.
    pub fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round(&[]);
        }
    }

    pub fn exchange_all(&mut self) {
        for from in 0..self.desks.len() {
            for to in (0..self.desks.len()).filter(|to| *to != from) {
                self.exchange(from, to);
            }
        }
    }

    pub fn view(&self, number: usize) -> FleetView {
        self.desks[number].view(self.now, 0, VmIncarnation(0), None, LogOffset(0))
    }

    pub fn entries(&self, number: usize) -> Vec<EntryRecord> {
        self.view(number).entries.expect("a whole view")
    }

    pub fn view_since(&self, number: usize, version: u64) -> FleetView {
        let steward = VmIncarnation(steward_start(number, self.starts[number]));
        self.desks[number].view(self.now, version, steward, None, LogOffset(0))
    }

    pub fn is_leaving(&self, number: usize, runner: usize) -> bool {
        let id = runner_id(runner);
        let view = self.view(number);
        view.runners.iter().find(|record| record.runner == id).unwrap().leaving
    }
}

fn steward_start(number: usize, start: u64) -> u64 {
    10_000 * (number as u64 + 1) + start
}

fn new_desk(now: TimePoint, number: usize, start: u64) -> FleetDesk {
    let own = FleetSelf {
        vm: vm_id(number),
        place: PLACES[number % 3].parse().unwrap(),
        steward: format!("10.0.0.{number}:8002").parse().unwrap(),
        incarnation: VmIncarnation(steward_start(number, start)),
        generation: start,
    };
    FleetDesk::new(now, own, PERIOD)
}
