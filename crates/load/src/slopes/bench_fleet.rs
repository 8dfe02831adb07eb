//! A fleet's VM list and its stewards' desks.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;

use base::prelude::*;
use peers::{EntryStatus, FleetDesk, FleetSelf, PeerCandidate};

/// Time between two digests of a pair.
pub(crate) const DIGEST_PERIOD: TimeSpan = TimeSpan::seconds(1);
/// First instant of a run.
pub(crate) const START: TimePoint = TimePoint(1_000_000);

/// A fleet's size, written `MACHINES:PLACES:RUNNERS:ENTRIES`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Our machines.
    pub nodes: usize,
    /// Failure domains.
    pub places: usize,
    /// Runners.
    pub runners: usize,
    /// Entries on each machine.
    pub entries: usize,
}

impl fmt::Display for FleetSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}:{}", self.nodes, self.places, self.runners, self.entries)
    }
}

impl FromStr for FleetSize {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("{text}: not of the form MACHINES:PLACES:RUNNERS:ENTRIES");
        let numbers: Vec<usize> =
            text.split(':').map(str::parse).collect::<Result<_, _>>().map_err(|_| wrong())?;
        match numbers[..] {
            [nodes, places, runners, entries] if nodes > 0 && places > 0 => {
                Ok(Self { nodes, places, runners, entries })
            }
            _ => Err(wrong()),
        }
    }
}

/// The VM list and names of a fleet.
#[derive(Debug, Clone)]
pub struct BenchFleet {
    /// Its size.
    pub size: FleetSize,
    /// The platform's list.
    pub list: Vec<VmRecord>,
}

impl BenchFleet {
    /// A fleet whose machines and runners are spread evenly over its failure domains.
    #[must_use]
    pub fn new(size: FleetSize) -> Self {
        let own = (0..size.nodes).map(|at| VmRecord {
            vm: vm_id(at),
            place: place(at, size),
            role: VmRole::Entry,
            service: None,
            address: address(at, 8_000),
            steward: Some(address(at, 8_002)),
            state: VmState::Live,
        });
        let targets = (0..size.runners).map(|at| VmRecord {
            vm: id(&format!("engine-{at:05}")),
            place: place(at, size),
            role: VmRole::Runner,
            service: Some(id("briefings")),
            address: address(at, 9_000),
            steward: None,
            state: VmState::Live,
        });
        Self { size, list: own.chain(targets).collect() }
    }

    /// A steward's desk that has read the list.
    #[must_use]
    pub fn desk(&self, node: usize) -> FleetDesk {
        let own = FleetSelf {
            vm: vm_id(node),
            place: place(node, self.size),
            steward: address(node, 8_002),
            incarnation: VmIncarnation(base::rendezvous_score("start", vm_id(node).as_str())),
            generation: 1_764_800_000_000 + node as u64,
        };
        let mut desk = FleetDesk::new(START, own, DIGEST_PERIOD);
        desk.on_vms(START, &self.list);
        desk
    }

    /// Our machines.
    #[must_use]
    pub fn candidates(&self) -> Vec<PeerCandidate> {
        let node = |at| PeerCandidate { vm: vm_id(at), place: place(at, self.size) };
        (0..self.size.nodes).map(node).collect()
    }

    /// What an entry says.
    #[must_use]
    pub fn entry(&self, node: usize, entry: usize, calls: u32) -> EntryStatus {
        let name = format!("{node}-{entry}");
        let port = 8_010 + 2 * entry as u16;
        EntryStatus {
            incarnation: VmIncarnation(base::rendezvous_score("entry", &name)),
            address: address(node, port),
            peer: address(node, port + 1),
            leaving: false,
            calls,
            config_offset: LogOffset(14_000),
        }
    }
}

/// Name of a machine.
pub(crate) fn vm_id(node: usize) -> VmId {
    id(&format!("vm-{node:04}"))
}

/// Number of a machine by its name.
pub(crate) fn vm_number(vm: &VmId) -> usize {
    vm.as_str()[3..].parse().expect("names made here")
}

/// A report with figures that move.
pub(crate) fn report(runner: &RunnerId, sequence: u64) -> RunnerReport {
    let figure = base::rendezvous_score(runner.as_str(), &sequence.to_string());
    RunnerReport {
        runner: runner.clone(),
        incarnation: base::rendezvous_score("runner", runner.as_str()),
        sequence,
        age: TimeSpan::micros(figure % 200_000),
        used_blocks: BlockCount((figure % 8_000) as u32),
        total_blocks: BlockCount(8_192),
        block_tokens: 16,
        running: (figure % 60) as u32,
        waiting: (figure % 7) as u32,
        preemptions: sequence / 20,
        step: TimeSpan::micros(20_000 + figure % 20_000),
        leaving: false,
        models: vec![id("briefing-large"), id("tagging-small")],
        fence: 1_234,
    }
}

fn place(at: usize, size: FleetSize) -> PlaceName {
    id(&format!("place-{:02}", at % size.places))
}

fn address(at: usize, port: u16) -> SocketAddr {
    let [.., high, low] = (at as u32).to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(10, 0, high, low).into(), port)
}

fn id<T: FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse().expect("names made here are valid")
}
