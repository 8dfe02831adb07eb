//! The retry budget must hold for the sum over all nodes and in any window.

use base::prelude::*;
use serving::{BudgetSettings, RetryBudget};

const SETTINGS: BudgetSettings =
    BudgetSettings { ratio: 0.2, slack: 54.0, window: TimeSpan::seconds(10) };
const NODES: usize = 7;

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

/// Simulates `NODES` nodes for 60 s with one request every `gap_millis`, each retried as often
/// as the budget allows. Returns the times of all retries, in milliseconds. Each entry of
/// `restarts` is a node and the time of its restart.
fn simulate(gap_millis: u64, restarts: &[(usize, u64)]) -> Vec<u64> {
    let service: ServiceName = "desk".parse().unwrap();
    let mut budgets: Vec<RetryBudget> =
        (0..NODES).map(|_| RetryBudget::new(SETTINGS, at(0))).collect();
    let mut retries = Vec::new();
    for (step, time) in (0..60_000).step_by(gap_millis as usize).enumerate() {
        for (node, _) in restarts.iter().filter(|(_, restart)| *restart / gap_millis == step as u64)
        {
            budgets[*node] = RetryBudget::new(SETTINGS, at(time));
        }
        let budget = &mut budgets[step % NODES];
        budget.record_request(at(time), &service);
        while budget.try_acquire(at(time), &service, NODES) {
            retries.push(time);
        }
    }
    retries
}

/// Highest number of retries in any window of 10 s.
fn max_in_window(retries: &[u64]) -> usize {
    let count = |start: &u64| {
        retries.iter().filter(|time| (*start..*start + 10_000).contains(time)).count()
    };
    retries.iter().map(count).max().unwrap_or(0)
}

#[test]
fn all_nodes_together_stay_within_the_budget() {
    for gap in [20, 50, 500] {
        let requests = 10_000.0 / gap as f64;
        let allowed = SETTINGS.ratio * requests + SETTINGS.slack;
        let retries = simulate(gap, &[]);
        assert!(max_in_window(&retries) as f64 <= allowed, "{gap} ms apart");
        assert!(!retries.is_empty(), "{gap} ms apart");
    }
}

#[test]
fn restarted_nodes_do_not_spend_the_slack_again() {
    let restarts: Vec<(usize, u64)> =
        (0..10).flat_map(|round| (0..NODES).map(move |n| (n, 15_000 + round * 3_000))).collect();
    let retries = simulate(50, &restarts);
    let allowed = SETTINGS.ratio * 200.0 + SETTINGS.slack;
    assert!(max_in_window(&retries) as f64 <= allowed);
}

#[test]
fn a_new_node_retries_only_what_its_own_requests_allow() {
    let service: ServiceName = "desk".parse().unwrap();
    let mut budget = RetryBudget::new(SETTINGS, at(0));
    assert!(!budget.try_acquire(at(1), &service, 1));
    for _ in 0..20 {
        budget.record_request(at(2), &service);
    }
    assert!(budget.try_acquire(at(3), &service, 1));
}
