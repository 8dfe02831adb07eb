//! News of machines over a whole fleet: a plain loop of one-second rounds.

use base::prelude::*;
use peers::{FleetDesk, PeerRequest, encode_message};

use super::bench_fleet::{BenchFleet, DIGEST_PERIOD, FleetSize, START, vm_id, vm_number};

/// Rounds after which news that did not arrive are given up.
const MAX_ROUNDS: usize = 60;

/// Figures of the spread of one event.
#[derive(Debug, Clone, Copy, Default)]
pub struct NewsFigures {
    /// Rounds until every live steward knew.
    pub rounds: usize,
    /// Exchanges, over all stewards.
    pub exchanges: u64,
    /// Records of machines carried, over all stewards.
    pub records: u64,
    /// Bytes of digests, over all stewards.
    pub bytes: u64,
}

struct NewsRun {
    fleet: BenchFleet,
    now: TimePoint,
    desks: Vec<FleetDesk>,
    dead: Vec<bool>,
    figures: NewsFigures,
}

/// Figures for the start of all machines at once, a quiet round, the death of one machine
/// in a hundred, and their return.
#[must_use]
pub fn run_news(size: FleetSize) -> [NewsFigures; 4] {
    let fleet = BenchFleet::new(size);
    let desks = (0..size.nodes).map(|at| fleet.desk(at)).collect();
    let dead = vec![false; size.nodes];
    let figures = NewsFigures::default();
    let mut run = NewsRun { fleet, now: START, desks, dead, figures };
    let start = run.until_known();
    for _ in 0..5 {
        run.round();
    }
    run.figures = NewsFigures::default();
    run.round();
    let quiet = NewsFigures { rounds: 1, ..run.figures };
    run.set_dead(true);
    let death = run.until_known();
    run.set_dead(false);
    [start, quiet, death, run.until_known()]
}

impl NewsRun {
    fn set_dead(&mut self, dead: bool) {
        for at in (50..self.dead.len()).step_by(100) {
            self.dead[at] = dead;
        }
    }

    fn until_known(&mut self) -> NewsFigures {
        self.figures = NewsFigures::default();
        for rounds in 1..=MAX_ROUNDS {
            self.round();
            self.figures.rounds = rounds;
            if self.all_know() {
                break;
            }
        }
        self.figures
    }

    fn all_know(&self) -> bool {
        let live = self.dead.iter().filter(|dead| !**dead).count();
        let alive = self.desks.iter().zip(&self.dead).filter(|(_, dead)| !**dead);
        alive.into_iter().all(|(desk, _)| {
            let heard = desk.member_states().iter().filter(|state| !state.silent).count();
            heard == live && desk.known_entries() == live * self.fleet.size.entries
        })
    }

    fn round(&mut self) {
        self.now = self.now + DIGEST_PERIOD;
        for at in (0..self.desks.len()).filter(|at| !self.dead[*at]) {
            for entry in 0..self.fleet.size.entries {
                let status = self.fleet.entry(at, entry, 0);
                self.desks[at].on_entry(self.now, &status);
            }
            self.desks[at].tick(self.now);
        }
        let live: Vec<usize> = (0..self.desks.len()).filter(|at| !self.dead[*at]).collect();
        for from in live {
            for (vm, _) in self.desks[from].due_peers(self.now) {
                let to = vm_number(&vm);
                if !self.dead[to] {
                    self.figures.exchanges += 1;
                    self.pass(from, to);
                    self.pass(to, from);
                }
            }
        }
    }

    fn pass(&mut self, from: usize, to: usize) {
        let digest = self.desks[from].digest_for(self.now, &vm_id(to));
        self.figures.records += digest.nodes.len() as u64;
        let request = PeerRequest::Digest(Box::new(digest));
        let bytes = encode_message("digest", &request).expect("digests have an encoded form");
        self.figures.bytes += bytes.len() as u64;
        if let PeerRequest::Digest(digest) = request {
            self.desks[to].on_digest(self.now, *digest);
        }
    }
}
