//! Limits that runners name: whose statement holds, and how the nodes share a limit.

use base::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::RateLimiter;
use serving::{
    BudgetSettings, LimitTable, LimitUpdate, RetryBudget, RunnerIncarnation, ServiceDemand,
};

fn at(seconds: f64) -> TimePoint {
    TimePoint::default() + TimeSpan::micros((seconds * 1e6) as u64)
}

fn runner(started_unix_ms: u64) -> RunnerIncarnation {
    RunnerIncarnation { runner: "desk-1".parse().unwrap(), started_unix_ms }
}

fn service() -> ServiceName {
    "desk".parse().unwrap()
}

fn vm(number: usize) -> VmId {
    format!("node-{number}").parse().unwrap()
}

fn update(table: &LimitTable, time: f64, requests: u32) -> LimitUpdate {
    let demands = vec![ServiceDemand { service: service(), requests }];
    LimitUpdate { limits: table.reports(at(time)), demands }
}

#[test]
fn the_newest_statement_holds_whichever_node_got_it() {
    let (mut one, mut other) = (LimitTable::default(), LimitTable::default());
    assert!(one.record(at(1.0), &runner(1), Some(RequestRate(4.0))).is_some());
    assert_eq!(other.apply_update(at(1.1), &vm(1), update(&one, 1.1, 1)).len(), 1);
    assert_eq!(other.limit(at(1.1), &runner(1)), Some(RequestRate(4.0)));
    assert!(other.record(at(2.0), &runner(1), None).is_some());
    assert_eq!(other.limit(at(2.0), &runner(1)), None);
    one.apply_update(at(2.1), &vm(2), update(&other, 2.1, 1));
    assert_eq!(one.limit(at(2.1), &runner(1)), None);
    // What the first node heard is told on, and is older.
    other.apply_update(at(2.2), &vm(1), update(&one, 2.2, 1));
    assert_eq!(other.limit(at(2.2), &runner(1)), None);
}

#[test]
fn a_new_start_of_a_runner_has_no_limit() {
    let mut table = LimitTable::default();
    table.record(at(1.0), &runner(1), Some(RequestRate(4.0)));
    assert_eq!(table.limit(at(2.0), &runner(2)), None);
    table.record(at(2.0), &runner(2), Some(RequestRate(9.0)));
    // A late answer of the start before.
    table.record(at(3.0), &runner(1), Some(RequestRate(4.0)));
    assert_eq!(table.limit(at(3.0), &runner(2)), Some(RequestRate(9.0)));
}

#[test]
fn a_limit_that_nobody_confirms_ends() {
    let mut table = LimitTable::default();
    table.record(at(1.0), &runner(1), Some(RequestRate(4.0)));
    assert_eq!(table.limit(at(60.0), &runner(1)), Some(RequestRate(4.0)));
    assert_eq!(table.limit(at(62.0), &runner(1)), None);
    table.prune(at(62.0));
    assert!(table.is_empty());
}

#[test]
fn nothing_is_kept_of_runners_without_a_limit() {
    let mut table = LimitTable::default();
    assert_eq!(table.record(at(1.0), &runner(1), None), None);
    assert!(table.is_empty());
}

#[test]
fn nodes_share_a_limit_by_their_demand() {
    let mut table = LimitTable::default();
    table.apply_update(at(1.0), &vm(1), update(&LimitTable::default(), 1.0, 30));
    table.apply_update(at(1.0), &vm(2), update(&LimitTable::default(), 1.0, 60));
    let part = |table: &LimitTable, requests| table.own_share(&service(), requests);
    assert!((part(&table, 10) - 0.1).abs() < 1e-9);
    assert!(part(&table, 0) > 0.0, "a node that asks has a part");
    table.forget_demand(&vm(2));
    assert!((part(&table, 10) - 0.25).abs() < 1e-9);
}

/// A node of the replay.
struct ReplayNode {
    limits: LimitTable,
    budget: RetryBudget,
    limiter: RateLimiter,
    next_heartbeat: f64,
}

/// Sends of a fleet to one runner with a limit, in virtual time.
struct Replay {
    sends: Vec<f64>,
    named_at: f64,
}

const SPAN_SECONDS: f64 = 30.0;
const TICK_SECONDS: f64 = 0.01;

/// Plays `nodes` nodes that get `demand` requests a second together, of which all could go to a
/// runner that names `limit`. Requests come to the nodes unevenly: to every second one twice as
/// many.
fn replay(nodes: usize, demand: f64, limit: f64) -> Replay {
    let mut rng = StdRng::seed_from_u64(29);
    let settings = BudgetSettings { ratio: 0.2, slack: 54.0, window: TimeSpan::seconds(10) };
    let interval = (0.01 * nodes as f64).clamp(0.1, 1.0);
    let mut fleet: Vec<ReplayNode> = (0..nodes)
        .map(|_| ReplayNode {
            limits: LimitTable::default(),
            budget: RetryBudget::new(settings, at(0.0)),
            limiter: RateLimiter::default(),
            next_heartbeat: rng.random::<f64>() * interval,
        })
        .collect();
    let mut sends = Vec::new();
    let named_at = 12.0;
    for tick in 0..(SPAN_SECONDS / TICK_SECONDS) as usize {
        let time = tick as f64 * TICK_SECONDS;
        for number in 0..nodes {
            let weight = if number % 2 == 0 { 4.0 / 3.0 } else { 2.0 / 3.0 };
            let expected = demand * TICK_SECONDS / nodes as f64 * weight;
            if rng.random::<f64>() < expected {
                let node = &mut fleet[number];
                node.budget.record_request(at(time), &service());
                if node.limiter.admits(at(time)) {
                    node.limiter.record_sent(at(time));
                    sends.push(time);
                    let named = if time >= named_at { Some(RequestRate(limit)) } else { None };
                    if node.limits.record(at(time), &runner(1), named).is_some() {
                        // A change is told at once, as far as heartbeats may follow each other.
                        node.next_heartbeat = node.next_heartbeat.min(time + interval / 20.0);
                    }
                }
            }
            if fleet[number].next_heartbeat <= time {
                fleet[number].next_heartbeat = time + interval;
                let node = &fleet[number];
                let requests = node.budget.recent_requests(at(time), &service());
                let mut told = update(&node.limits, time, requests);
                if node.limits.limit(at(time), &runner(1)).is_none() {
                    told.demands.clear();
                }
                for (to, other) in fleet.iter_mut().enumerate() {
                    if to != number {
                        other.limits.apply_update(at(time), &vm(number), told.clone());
                    }
                }
            }
        }
        if tick % 10 == 0 {
            for node in &mut fleet {
                let requests = node.budget.recent_requests(at(time), &service());
                let part = node.limits.own_share(&service(), requests);
                let rate = node.limits.rate(at(time), &runner(1));
                let share = rate.map(|rate| RequestRate(rate.0 * part));
                node.limiter.set_rate(at(time), share, rng.random());
            }
        }
    }
    Replay { sends, named_at }
}

/// The most sends in 4 s that begin 3 s after the limit was named or later, and the sends a
/// second from then on.
fn measure(replay: &Replay) -> (usize, f64) {
    let from = replay.named_at + 3.0;
    let later: Vec<f64> = replay.sends.iter().copied().filter(|time| *time >= from).collect();
    let in_window =
        |begin: &f64| later.iter().filter(|time| **time >= *begin && **time < *begin + 4.0).count();
    let most = later.iter().map(in_window).max().unwrap_or_default();
    (most, later.len() as f64 / (SPAN_SECONDS - from))
}

#[test]
fn fleets_of_any_size_keep_to_a_limit_and_use_it() {
    for (nodes, demand, limit) in
        [(7, 40.0, 3.5), (7, 40.0, 20.0), (68, 110.0, 4.5), (195, 110.0, 3.5)]
    {
        let (most, mean) = measure(&replay(nodes, demand, limit));
        let allowed = 1.5 * limit * 4.0 + 5.0;
        assert!(most as f64 <= allowed, "{nodes} nodes, limit {limit}: {most} of {allowed}");
        assert!(mean >= 0.5 * limit, "{nodes} nodes, limit {limit}: {mean} a second");
    }
}
