//! One cell of a fleet, with all its reports, exchanges and views, on virtual time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::prelude::*;
use peers::{
    ChangeCursor, Digest, FleetCells, FleetDesk, NodeNews, PeerRequest, decode_message,
    encode_message,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::bench_fleet::{BenchFleet, DIGEST_PERIOD, FleetSize, START, report, vm_id, vm_number};

/// Time over which figures are taken.
const RUN_SECONDS: u64 = 60;

/// Figures of a cell, for one steward.
#[derive(Debug, Clone, Copy, Default)]
pub struct CellFigures {
    /// Machines of the cell.
    pub cell: usize,
    /// Peers with which a steward exchanges.
    pub peers: usize,
    /// Runners that a steward polls.
    pub polled: f64,
    /// Exchanges a second.
    pub exchanges: f64,
    /// Mean length of a digest, in bytes.
    pub digest_bytes: f64,
    /// Time to make and encode a digest, in microseconds.
    pub make_micros: f64,
    /// Time to decode and take a digest, in microseconds.
    pub take_micros: f64,
    /// Time to take an own report, in microseconds.
    pub report_micros: f64,
    /// Time of a tick, in microseconds.
    pub tick_micros: f64,
    /// Time to choose what to poll, in microseconds.
    pub polls_micros: f64,
    /// Time to make and encode a view of what changed, in microseconds.
    pub view_micros: f64,
    /// Length of a view of what changed, in bytes.
    pub view_bytes: f64,
    /// Memory of one desk, in bytes.
    pub desk_bytes: f64,
}

#[derive(Default)]
struct Tally {
    count: u64,
    time: Duration,
    bytes: u64,
}

impl Tally {
    fn add(&mut self, started: Instant, bytes: usize) {
        self.count += 1;
        self.time += started.elapsed();
        self.bytes += bytes as u64;
    }

    fn micros(&self) -> f64 {
        self.time.as_secs_f64() * 1e6 / self.count.max(1) as f64
    }

    fn bytes(&self) -> f64 {
        self.bytes as f64 / self.count.max(1) as f64
    }
}

#[derive(Default)]
struct Tallies {
    make: Tally,
    take: Tally,
    report: Tally,
    tick: Tally,
    polls: Tally,
    view: Tally,
}

struct CellRun {
    fleet: BenchFleet,
    now: TimePoint,
    desks: BTreeMap<usize, FleetDesk>,
    /// Positions of machines outside the cell: they only acknowledge.
    outside: BTreeMap<(usize, usize), ChangeCursor>,
    tallies: Tallies,
    rng: StdRng,
}

/// Runs the cell of the first machine; each owner polls a runner every `poll`.
#[must_use]
pub fn run_cell(size: FleetSize, poll: TimeSpan) -> CellFigures {
    let fleet = BenchFleet::new(size);
    let candidates = fleet.candidates();
    let choice = FleetCells::new(&candidates).choose(&candidates[0]);
    let members: Vec<usize> = choice.cell.iter().map(vm_number).chain(std::iter::once(0)).collect();
    let before = resident_bytes();
    let desks = members.iter().map(|at| (*at, fleet.desk(*at))).collect();
    let rng = StdRng::seed_from_u64(1);
    let outside = BTreeMap::new();
    let mut run = CellRun { fleet, now: START, desks, outside, tallies: Tallies::default(), rng };
    run.tell_outside();
    // The first seconds bring everything; only what follows is counted.
    for _ in 0..5 {
        run.second(poll);
    }
    let desk_bytes = (resident_bytes() - before).max(0.0) / members.len() as f64;
    run.tallies = Tallies::default();
    for _ in 0..RUN_SECONDS {
        run.second(poll);
    }
    run.figures(choice.cell.len() + choice.links.len(), desk_bytes)
}

impl CellRun {
    /// Tells each desk of all machines outside the cell, as a link would.
    fn tell_outside(&mut self) {
        let fleet = self.fleet.clone();
        let mut news = Vec::new();
        for at in (0..fleet.size.nodes).filter(|at| !self.desks.contains_key(at)) {
            let mut desk = fleet.desk(at);
            for entry in 0..fleet.size.entries {
                desk.on_entry(START, &fleet.entry(at, entry, 0));
            }
            let digest = desk.digest_for(START, &vm_id(0));
            news.extend(digest.nodes);
        }
        for desk in self.desks.values_mut() {
            desk.tick(START);
            let Some((vm, _)) = desk.due_peers(START).into_iter().next() else { continue };
            let digest = empty_digest(&vm, ChangeCursor::default(), news.clone());
            desk.on_digest(START, digest);
        }
    }

    fn second(&mut self, poll: TimeSpan) {
        let end = self.now + DIGEST_PERIOD;
        let mut next_poll = self.now;
        self.speak();
        while next_poll < end {
            self.now = next_poll;
            self.poll();
            next_poll = next_poll + poll.min(DIGEST_PERIOD);
        }
        self.now = end;
        self.exchange();
        self.look();
    }

    fn speak(&mut self) {
        for (at, desk) in &mut self.desks {
            for entry in 0..self.fleet.size.entries {
                let calls = self.rng.random_range(0..200);
                desk.on_entry(self.now, &self.fleet.entry(*at, entry, calls));
            }
            let started = Instant::now();
            desk.tick(self.now);
            self.tallies.tick.add(started, 0);
        }
    }

    fn poll(&mut self) {
        for desk in self.desks.values_mut() {
            let started = Instant::now();
            let share = desk.polls(self.now);
            self.tallies.polls.add(started, share.len());
            for due in share {
                let report = report(&due.runner, self.now.0);
                let started = Instant::now();
                desk.on_report(self.now, report);
                self.tallies.report.add(started, 0);
            }
        }
    }

    fn exchange(&mut self) {
        let members: Vec<usize> = self.desks.keys().copied().collect();
        for from in members {
            let due = self.desks.get_mut(&from).map(|desk| desk.due_peers(self.now));
            for (vm, _) in due.unwrap_or_default() {
                let to = vm_number(&vm);
                let request = self.make(from, &vm);
                if self.desks.contains_key(&to) {
                    self.take(to, &request);
                    let reply = self.make(to, &vm_id(from));
                    self.take(from, &reply);
                } else {
                    let reply = self.outside_reply(from, to, &request);
                    self.take(from, &reply);
                }
            }
        }
    }

    fn make(&mut self, from: usize, to: &VmId) -> Vec<u8> {
        let started = Instant::now();
        let digest = self.desks[&from].digest_for(self.now, to);
        let request = PeerRequest::Digest(Box::new(digest));
        let bytes = encode_message("digest", &request).expect("digests have an encoded form");
        self.tallies.make.add(started, bytes.len());
        bytes
    }

    fn take(&mut self, to: usize, bytes: &[u8]) {
        let started = Instant::now();
        let request = decode_message("digest", bytes).expect("encoded here");
        if let (PeerRequest::Digest(digest), Some(desk)) = (request, self.desks.get_mut(&to)) {
            desk.on_digest(self.now, *digest);
        }
        self.tallies.take.add(started, 0);
    }

    fn outside_reply(&mut self, from: usize, to: usize, request: &[u8]) -> Vec<u8> {
        let Ok(PeerRequest::Digest(digest)) = decode_message("digest", request) else {
            return Vec::new();
        };
        self.outside.insert((to, from), digest.until);
        let reply = empty_digest(&vm_id(to), digest.until, Vec::new());
        let request = PeerRequest::Digest(Box::new(reply));
        encode_message("digest", &request).expect("digests have an encoded form")
    }

    fn look(&mut self) {
        for desk in self.desks.values() {
            let started = Instant::now();
            let version = desk.version().saturating_sub(20);
            let steward = desk.digest_for(self.now, &vm_id(0)).until.incarnation;
            let view = desk.view(self.now, version, steward, None, LogOffset(14_000));
            let bytes = encode_message("view", &view).expect("views have an encoded form");
            self.tallies.view.add(started, bytes.len());
        }
    }

    fn figures(&self, peers: usize, desk_bytes: f64) -> CellFigures {
        let tallies = &self.tallies;
        let steward_seconds = self.desks.len() as f64 * RUN_SECONDS as f64;
        CellFigures {
            cell: self.desks.len(),
            peers,
            polled: tallies.polls.bytes(),
            exchanges: tallies.take.count as f64 / steward_seconds,
            digest_bytes: tallies.make.bytes(),
            make_micros: tallies.make.micros(),
            take_micros: tallies.take.micros(),
            report_micros: tallies.report.micros(),
            tick_micros: tallies.tick.micros(),
            polls_micros: tallies.polls.micros(),
            view_micros: tallies.view.micros(),
            view_bytes: tallies.view.bytes(),
            desk_bytes,
        }
    }
}

fn empty_digest(from: &VmId, seen: ChangeCursor, nodes: Vec<NodeNews>) -> Digest {
    let incarnation = VmIncarnation(base::rendezvous_score("start", from.as_str()));
    Digest {
        from: from.clone(),
        above: 0,
        until: ChangeCursor { incarnation, change: 1 },
        seen,
        config_offset: LogOffset(14_000),
        nodes,
        reports: Vec::new(),
        leaving: Vec::new(),
        cache_events: Vec::new(),
    }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * PAGE_BYTES
}
