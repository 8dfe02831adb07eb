//! The fleet's budget of repeats holds over all nodes and any window.

use base::prelude::*;
use serving::{BudgetSettings, RetryBudget};

const SETTINGS: BudgetSettings =
    BudgetSettings { ratio: 0.2, slack: 54.0, window: TimeSpan::seconds(10) };
const NODES: usize = 7;

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

/// Plays `NODES` nodes that repeat every request as often as they may; gives the repeats
/// of all nodes by time. Each node that is in `restarts` starts anew at that time.
fn play(gap_millis: u64, restarts: &[(usize, u64)]) -> Vec<u64> {
    let service: ServiceName = "desk".parse().unwrap();
    let mut budgets: Vec<RetryBudget> =
        (0..NODES).map(|_| RetryBudget::new(SETTINGS, at(0))).collect();
    let mut repeats = Vec::new();
    for (step, time) in (0..60_000).step_by(gap_millis as usize).enumerate() {
        for (node, _) in restarts.iter().filter(|(_, restart)| *restart / gap_millis == step as u64)
        {
            budgets[*node] = RetryBudget::new(SETTINGS, at(time));
        }
        let budget = &mut budgets[step % NODES];
        budget.record_request(at(time), &service);
        while budget.try_acquire(at(time), &service, NODES) {
            repeats.push(time);
        }
    }
    repeats
}

/// The most repeats in any window of 10 s.
fn worst_window(repeats: &[u64]) -> usize {
    let count = |start: &u64| {
        repeats.iter().filter(|time| (*start..*start + 10_000).contains(time)).count()
    };
    repeats.iter().map(count).max().unwrap_or(0)
}

#[test]
fn all_nodes_together_stay_within_the_budget() {
    for gap in [20, 50, 500] {
        let requests = 10_000.0 / gap as f64;
        let allowed = SETTINGS.ratio * requests + SETTINGS.slack;
        let repeats = play(gap, &[]);
        assert!(worst_window(&repeats) as f64 <= allowed, "{gap} ms apart");
        assert!(!repeats.is_empty(), "{gap} ms apart");
    }
}

#[test]
fn nodes_that_start_again_spend_no_slack_twice() {
    let restarts: Vec<(usize, u64)> =
        (0..10).flat_map(|round| (0..NODES).map(move |n| (n, 15_000 + round * 3_000))).collect();
    let repeats = play(50, &restarts);
    let allowed = SETTINGS.ratio * 200.0 + SETTINGS.slack;
    assert!(worst_window(&repeats) as f64 <= allowed);
}

#[test]
fn a_fresh_node_repeats_only_what_its_own_requests_allow() {
    let service: ServiceName = "desk".parse().unwrap();
    let mut budget = RetryBudget::new(SETTINGS, at(0));
    assert!(!budget.try_acquire(at(1), &service, 1));
    for _ in 0..20 {
        budget.record_request(at(2), &service);
    }
    assert!(budget.try_acquire(at(3), &service, 1));
}
