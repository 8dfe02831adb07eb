//! Two runners of one service behind one node, for tests of what runners state in their answers.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{CallerRequest, NodeFleet};

/// Time for a change that a test waits for.
pub const LIMIT: Duration = Duration::from_secs(10);
/// Requests that a runner which is out of use must not get.
pub const LATER_REQUESTS: usize = 12;

pub fn long(id: &str) -> RunnerFakeSettings {
    let mut settings = RunnerFakeSettings::new(id);
    settings.events = 350;
    settings
}
/// A fleet of one node and two runners of `service`.
pub async fn pair(service: &str) -> (NodeFleet, [RunnerFake; 2]) {
    let mut fleet = NodeFleet::start().await.unwrap();
    let first = fleet.add_runner(service, long("runner-1")).await.unwrap();
    let second = fleet.add_runner(service, long("runner-2")).await.unwrap();
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    (fleet, [first, second])
}
/// Sends requests until `runner` has got one.
pub async fn reach(fleet: &NodeFleet, runner: &RunnerFake, make: impl Fn(&str) -> CallerRequest) {
    for number in 0.. {
        if !runner.visits().is_empty() {
            return;
        }
        assert!(number < 50, "no request reached {}", runner.id());
        drop(fleet.open(0, &make(&format!("r{number}"))).await);
    }
}
/// Sends further requests and gives the number that reached `runner`.
pub async fn later_visits(
    fleet: &NodeFleet,
    runner: &RunnerFake,
    make: impl Fn(&str) -> CallerRequest,
) -> usize {
    let before = runner.visits().len();
    for number in 0..LATER_REQUESTS {
        drop(fleet.open(0, &make(&format!("l{number}"))).await);
    }
    runner.visits().len() - before
}
/// A stream that is too short for a copy from its start.
pub fn short(attempt: &str) -> CallerRequest {
    CallerRequest::stream(attempt).with("x-dotterelyard-length-hint", "10")
}
pub fn has_run(runner: &RunnerFake, attempt: &str) -> bool {
    let is_own = |id: &str| id == attempt;
    runner
        .visits()
        .iter()
        .any(|visit| visit.ran && is_own(visit.request.header("x-dotterelyard-attempt-id")))
}
