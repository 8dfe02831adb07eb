//! Brittle runners: whose statement holds, and how many requests the nodes may have outstanding.

use std::collections::VecDeque;

use base::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serving::{BrittleTable, FleetMembers, HeartbeatSections, RunnerIncarnation, SectionTag};

fn at(seconds: f64) -> TimePoint {
    TimePoint::default() + TimeSpan::micros((seconds * 1e6) as u64)
}

fn runner(started_unix_ms: u64) -> RunnerIncarnation {
    RunnerIncarnation { runner: "desk-1".parse().unwrap(), started_unix_ms }
}

fn vm(number: usize) -> VmId {
    format!("node-{number}").parse().unwrap()
}

/// Members as node `own` of `nodes` knows them.
fn members(own: usize, nodes: usize) -> FleetMembers {
    let mut members = FleetMembers::new(vm(own), at(0.0));
    for number in (0..nodes).filter(|number| *number != own) {
        members.record(at(1.0), &vm(number), Some(nodes));
    }
    members
}

/// Guards against statements that outlive a success without them or a new start of the runner.
#[test]
fn a_statement_ends_with_a_success_without_it_a_new_start_or_a_minute() {
    let mut table = BrittleTable::default();
    assert_eq!(table.record(at(1.0), &runner(1), None), None);
    assert!(table.is_empty());
    assert!(table.record(at(1.0), &runner(1), Some(5)).is_some());
    assert_eq!(table.limit(at(2.0), &runner(2)), None);
    assert_eq!(table.limit(at(60.0), &runner(1)), Some(5));
    assert_eq!(table.limit(at(62.0), &runner(1)), None);
    table.record(at(3.0), &runner(1), None);
    assert_eq!(table.limit(at(4.0), &runner(1)), None);
}

/// Guards against nodes that learn of a brittle runner only by its rejections.
#[test]
fn nodes_learn_of_brittle_runners_and_their_rejections_from_each_other() {
    let (mut one, mut other) = (BrittleTable::default(), BrittleTable::default());
    one.record(at(1.0), &runner(1), Some(5));
    for _ in 0..3 {
        one.begin_send(&runner(1));
        one.end_send(at(1.0), &runner(1), true);
    }
    let mut sections = HeartbeatSections::default();
    sections.put(SectionTag::BRITTLE_RUNNERS, &one.update(at(1.1), 2)).unwrap();
    let update = sections.get(SectionTag::BRITTLE_RUNNERS).unwrap().unwrap();
    assert_eq!(other.apply_update(at(1.1), &vm(1), update).len(), 1);
    assert_eq!(other.limit(at(1.2), &runner(1)), Some(5));
    let room = other.room(at(1.2), &runner(1), 2);
    assert_eq!(room.calls, 0, "another node is being rejected");
    assert!(room.free_at.is_some());
    assert_eq!(other.room(at(2.2), &runner(1), 2).calls, 2);
}

/// Guards against a section that is dropped because many runners are brittle.
#[test]
fn a_thousand_brittle_runners_fit_into_the_section() {
    let mut table = BrittleTable::default();
    for number in 0..1_000 {
        let runner = format!("i-0123456789abcdef-{number}").parse().unwrap();
        let start = RunnerIncarnation { runner, started_unix_ms: 1_800_000_000_000 };
        table.record(at(1.0), &start, Some(20));
    }
    HeartbeatSections::default()
        .put(SectionTag::BRITTLE_RUNNERS, &table.update(at(1.0), 300))
        .unwrap();
}

/// Guards against slots that are counted twice or lost, also where a node knows few of the others.
#[test]
fn the_slots_of_all_nodes_add_up() {
    for nodes in [1, 3, 6, 59, 80, 300] {
        for slots in [1, 4, 15, 22, 400] {
            let of_node =
                |own| members(own, nodes).share(at(3.0), &"desk-1".parse().unwrap(), slots);
            assert_eq!((0..nodes).map(of_node).sum::<u32>(), slots, "{nodes} nodes");
        }
    }
    // 59 nodes that each know only four of the others by name have no more than that.
    let partial = |own: usize| {
        let mut members = FleetMembers::new(vm(own), at(0.0));
        for step in 1..5 {
            members.record(at(1.0), &vm((own + step) % 59), Some(59));
        }
        members.share(at(3.0), &"desk-1".parse().unwrap(), 15)
    };
    assert!((0..59).map(partial).sum::<u32>() <= 15);
    // One that has heard nobody takes the size of the list in the store.
    let mut unheard = FleetMembers::new(vm(1), at(0.0));
    unheard.set_listed(58);
    assert_eq!(unheard.share(at(3.0), &"desk-1".parse().unwrap(), 15), 0);
}

/// Guards against a node that takes the part of others when it no longer hears them, and against one
/// that keeps its own after the others have forgotten it.
#[test]
fn a_node_that_hears_nobody_keeps_its_share_until_the_others_have_it() {
    let mut cut = members(1, 59);
    let all: Vec<RunnerId> = (0..50).map(|n| format!("desk-{n}").parse().unwrap()).collect();
    let mut shares = |time: f64| -> Vec<u32> {
        cut.prune(at(time));
        all.iter().map(|runner| cut.share(at(time), runner, 15)).collect()
    };
    let before = shares(2.0);
    assert!(before.iter().sum::<u32>() > 0);
    assert_eq!(shares(200.0), before);
    assert_eq!(shares(250.0), vec![0; 50]);
}

/// A brittle runner of the replay, which rejects what exceeds its room.
#[derive(Default)]
struct ReplayRunner {
    /// When each request that it works on ends.
    working: Vec<f64>,
    rejections: VecDeque<f64>,
    most: usize,
    served: usize,
}

impl ReplayRunner {
    fn accepts(&mut self, now: f64, room: usize) -> bool {
        self.working.retain(|end| *end > now);
        if self.working.len() < room {
            self.working.push(now + 0.1);
            self.served += 1;
            return true;
        }
        self.rejections.push_back(now);
        while self.rejections.front().is_some_and(|at| now - *at >= 1.0) {
            self.rejections.pop_front();
        }
        self.most = self.most.max(self.rejections.len());
        false
    }
}

/// Plays `nodes` nodes that have far more calls than four runners of room 2 can take. Only every
/// second node hears the others.
fn replay(nodes: usize, limit: u32) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(31);
    let starts: Vec<RunnerIncarnation> = (0..4)
        .map(|number| RunnerIncarnation {
            runner: format!("desk-{number}").parse().unwrap(),
            started_unix_ms: 1,
        })
        .collect();
    let mut runners: Vec<ReplayRunner> = (0..4).map(|_| ReplayRunner::default()).collect();
    let mut tables: Vec<BrittleTable> = (0..nodes).map(|_| BrittleTable::default()).collect();
    let mut fleets: Vec<FleetMembers> = (0..nodes).map(|own| members(own, nodes)).collect();
    for table in &mut tables {
        for start in &starts {
            table.record(at(0.0), start, Some(limit));
        }
    }
    // When the answers of requests in progress arrive, at which node, and from which runner.
    let mut answers: Vec<(f64, usize, usize, bool)> = Vec::new();
    for tick in 0..20_000 {
        let time = f64::from(tick) / 1_000.0;
        answers.retain(|(arrives, node, runner, rejected)| {
            if *arrives <= time {
                tables[*node].end_send(at(time), &starts[*runner], *rejected);
            }
            *arrives > time
        });
        if tick % 600 == 0 {
            for from in 0..nodes {
                for to in (0..nodes).filter(|to| *to != from && to % 2 == 0) {
                    let update = tables[from].update(at(time), nodes);
                    tables[to].apply_update(at(time), &vm(from), update);
                }
            }
        }
        for node in 0..nodes {
            let target = rng.random_range(0..4);
            let start = &starts[target];
            let usable = BrittleTable::usable_rejections(limit);
            let share = fleets[node].share(at(time), &start.runner, usable);
            if tables[node].room(at(time), start, share).calls > 0 {
                tables[node].begin_send(start);
                let accepted = runners[target].accepts(time, 2);
                let took = if accepted { 0.1 } else { 0.0 } + rng.random_range(0.001..0.05);
                answers.push((time + took, node, target, !accepted));
            }
        }
    }
    let most = runners.iter().map(|runner| runner.most).max().unwrap();
    (most, runners.iter().map(|runner| runner.served).sum())
}

/// Guards against crashes: a runner that rejects more than the limit in a second goes down.
#[test]
fn fleets_of_any_size_keep_below_the_rejections_that_a_runner_can_bear_and_use_it() {
    for (nodes, limit) in [(1, 5), (3, 5), (6, 5), (6, 20), (59, 5), (59, 20), (80, 5)] {
        let (most, served) = replay(nodes, limit);
        assert!(most < limit as usize, "{nodes} nodes: {most} rejections, limit {limit}");
        // Four runners of two requests each that take 0.1 s, in 20 s.
        assert!(served as f64 >= 0.4 * 1_600.0, "{nodes} nodes, limit {limit}: {served} served");
    }
}

/// Guards against slots that stay unused because a node stated the size of the fleet while nodes
/// were being replaced.
#[test]
fn a_stated_size_of_the_fleet_counts_only_while_it_is_repeated() {
    let mut members = FleetMembers::new(vm(1), at(0.0));
    members.record(at(1.0), &vm(2), Some(118));
    assert_eq!(members.size(), 118);
    for second in 2..20 {
        members.record(at(f64::from(second)), &vm(2), None);
        members.prune(at(f64::from(second)));
    }
    assert_eq!(members.size(), 2);
}
