//! Cold runners: how long they stay cold, and that the sends of all nodes stay within the bound.

use base::prelude::*;
use serving::{
    ColdReport, ColdSettings, ColdSource, ColdTable, ColdUpdate, FleetMembers, HeartbeatSections,
    RunnerIncarnation, SectionTag,
};

const SETTINGS: ColdSettings = ColdSettings { overshoot: 1.5, slack: 5.0 };
const TICK_SECONDS: f64 = 0.01;

fn at(seconds: f64) -> TimePoint {
    TimePoint::default() + TimeSpan::micros((seconds * 1e6) as u64)
}

fn start(number: usize, started_unix_ms: u64) -> RunnerIncarnation {
    RunnerIncarnation { runner: format!("desk-{number}").parse().unwrap(), started_unix_ms }
}

fn vm(number: usize) -> VmId {
    format!("node-{number}").parse().unwrap()
}

/// Guards against a cold time that an older entry, a repeated read or another start shortens or
/// lengthens.
#[test]
fn the_latest_end_of_a_start_holds() {
    let mut table = ColdTable::default();
    assert!(!table.record(at(1.0), &start(1, 1), TimeSpan::default(), ColdSource::Store(1)));
    assert!(table.is_empty());
    assert!(table.record(at(1.0), &start(1, 1), TimeSpan::seconds(1), ColdSource::Store(2)));
    assert!(!table.record(at(1.2), &start(1, 1), TimeSpan::millis(100), ColdSource::Answer));
    assert_eq!(table.end(at(1.3), &start(1, 1)), Some(at(2.0)));
    // The same entry is read again.
    assert!(!table.record(at(1.9), &start(1, 1), TimeSpan::seconds(1), ColdSource::Store(2)));
    assert_eq!(table.end(at(2.0), &start(1, 1)), None);
    assert_eq!(table.end(at(1.5), &start(1, 2)), None, "another start");
    assert!(table.record(at(2.5), &start(1, 2), TimeSpan::seconds(1), ColdSource::Answer));
    assert!(!table.record(at(2.5), &start(1, 1), TimeSpan::seconds(9), ColdSource::Answer));
    assert_eq!(table.end(at(3.0), &start(1, 2)), Some(at(3.5)));
    table.prune(at(9.0));
    assert!(table.is_empty());
}

/// Guards against statements that are passed on, each time with a later end, and against a section
/// that is too long.
#[test]
fn only_what_was_stated_to_this_node_is_passed_on_and_fits_into_the_section() {
    let mut table = ColdTable::default();
    let report = ColdReport { runner: start(1, 1), left: TimeSpan::seconds(1) };
    let update = ColdUpdate { fleet_size: 3, reports: vec![report] };
    assert_eq!(table.apply_update(at(1.0), update.clone()).len(), 1);
    assert!(table.apply_update(at(1.1), update).is_empty(), "not new");
    assert!(table.end(at(1.5), &start(1, 1)).is_some());
    assert!(table.update(at(1.5), 3).reports.is_empty());
    for number in 0..1_000 {
        let runner = format!("i-0123456789abcdef-{number}").parse().unwrap();
        let start = RunnerIncarnation { runner, started_unix_ms: 1_800_000_000_000 };
        table.record(at(2.0), &start, TimeSpan::seconds(1), ColdSource::Answer);
    }
    let mut sections = HeartbeatSections::default();
    sections.put(SectionTag::COLD_RUNNERS, &table.update(at(2.0), 300)).unwrap();
}

/// A node of the replay.
struct ReplayNode {
    members: FleetMembers,
    cold: ColdTable,
    /// It hears no other node from this time on.
    cut_at: f64,
}

impl ReplayNode {
    fn new(own: usize, now: f64) -> Self {
        let members = FleetMembers::new(vm(own), at(now));
        Self { members, cold: ColdTable::default(), cut_at: f64::MAX }
    }

    /// Sends as much as it may; returns the number of requests.
    fn send(&mut self, now: f64, runner: &RunnerIncarnation, rate: f64) -> usize {
        let allowance = SETTINGS.allowance(RequestRate(rate));
        if self.cold.end(at(now), runner).is_none() || !self.members.is_settled(at(now)) {
            return 0;
        }
        let slots = self.members.share(at(now), &runner.runner, allowance.slots);
        let share = RequestRate(f64::from(slots) * allowance.slot_rate.0);
        let mut sent = 0;
        while slots > 0 && self.cold.admits(at(now), runner, share) {
            self.cold.record_sent(at(now), runner);
            sent += 1;
        }
        sent
    }
}

/// Plays `nodes` nodes with more calls than 12 cold runners can take. Returns the most requests that
/// one runner got in a second while cold, and the requests a cold second on average.
///
/// All runners become cold at the same instants, for a second each time; the nodes do not send in
/// between, so that each has saved up what it may. From 20 s on, every third node hears nobody, until the others have forgotten it; from
/// 8 s on, every fifth is restarted, one each 0.3 s, and hears one more node every 20 ms.
fn replay(nodes: usize, rate: f64) -> (usize, f64) {
    const RUNNERS: usize = 12;
    let mut fleet: Vec<ReplayNode> = (0..nodes).map(|own| ReplayNode::new(own, 0.0)).collect();
    for (own, node) in fleet.iter_mut().enumerate() {
        if own % 3 == 0 {
            node.cut_at = 20.0;
        }
    }
    let mut sends: Vec<Vec<f64>> = vec![Vec::new(); RUNNERS];
    let mut restarts = 0;
    let mut cold_seconds = 0;
    for tick in 0..(330.0 / TICK_SECONDS) as usize {
        let now = tick as f64 * TICK_SECONDS;
        if now >= 8.0 + 0.3 * f64::from(restarts) && (restarts as usize) * 5 < nodes {
            let own = restarts as usize * 5;
            let cut_at = fleet[own].cut_at;
            fleet[own] = ReplayNode { cut_at, ..ReplayNode::new(own, now) };
            restarts += 1;
        }
        if tick % 2 == 0 {
            // One node's heartbeat reaches all others.
            let from = (tick / 2) % nodes;
            let size = fleet[from].members.known_size();
            if now < fleet[from].cut_at {
                for (to, node) in fleet.iter_mut().enumerate() {
                    if to != from && now < node.cut_at {
                        node.members.record(at(now), &vm(from), Some(size));
                    }
                }
            }
        }
        let second = now as usize;
        let is_tested = (5.0..45.0).contains(&now) || now >= 230.0;
        let is_cold = is_tested && second.is_multiple_of(3);
        if is_cold && tick % 100 == 0 {
            cold_seconds += 1;
            for node in &mut fleet {
                node.members.prune(at(now));
                for number in 0..RUNNERS {
                    let runner = start(number, 1);
                    node.cold.record(at(now), &runner, TimeSpan::seconds(1), ColdSource::Answer);
                }
            }
        }
        if is_cold {
            for node in &mut fleet {
                for (number, of_runner) in sends.iter_mut().enumerate() {
                    let sent = node.send(now, &start(number, 1), rate);
                    of_runner.extend(std::iter::repeat_n(now, sent));
                }
            }
        }
    }
    let mut most = 0;
    for of_runner in &sends {
        for (first, begin) in of_runner.iter().enumerate() {
            let in_second = of_runner[first..].iter().take_while(|time| **time <= begin + 1.0);
            most = most.max(in_second.count());
        }
    }
    let total: usize = sends.iter().map(Vec::len).sum();
    (most, total as f64 / (RUNNERS * cold_seconds) as f64)
}

/// Guards against crashes of cold runners by the sum of what many nodes send, each of them little:
/// also if some hear nobody for minutes, or have just been restarted.
#[test]
fn all_nodes_together_stay_within_what_a_cold_runner_bears_and_use_it() {
    for (nodes, rate) in [(6, 20.0), (6, 32.0), (59, 20.0), (59, 32.0), (80, 20.0), (80, 32.0)] {
        let (most, mean) = replay(nodes, rate);
        let bound = rate * SETTINGS.overshoot + SETTINGS.slack;
        assert!(most as f64 <= bound, "{nodes} nodes, rate {rate}: {most} of {bound}");
        assert!(mean >= 0.5 * rate, "{nodes} nodes, rate {rate}: {mean} a second");
    }
}
