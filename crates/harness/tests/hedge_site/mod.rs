//! A node whose calls may be sent a second time, and what its two runners and its lines tell of them.

use std::time::{Duration, Instant};

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript, SharedScripts};
use futures_util::future::join;
use harness::{CallerRequest, NodeFleet, WholeAnswer, wait_until};
use serde_json::Value;

/// Sends of a route after which a slow one is told from others.
pub const LEARNED: usize = 100;
/// Time in which runners report their load several times.
const REPORT_SPAN: Duration = Duration::from_millis(500);
/// Time for a change that a test waits for.
pub const LIMIT: Duration = Duration::from_secs(5);

/// One node and two runners of one service.
pub struct Site {
    pub fleet: NodeFleet,
    pub runners: Vec<RunnerFake>,
    scripts: SharedScripts,
}

impl Site {
    /// One node and two runners of `service`.
    pub async fn start(service: &str, plan: &Value, sets: &[(&str, Value)]) -> Self {
        let mut fleet = NodeFleet::start().await.unwrap();
        fleet.store.put_json("keyed.op", "config", plan);
        let scripts = SharedScripts::default();
        let mut runners = Vec::new();
        for number in 1..=2 {
            let mut settings = RunnerFakeSettings::new(&format!("runner-{number}"));
            settings.events = 3;
            settings.event_pause = Duration::from_millis(1);
            let runner = fleet.add_runner(service, settings).await.unwrap();
            runner.share_scripts(&scripts);
            runners.push(runner);
        }
        fleet.add_node_with(sets, true).unwrap();
        fleet.wait_ready().await.unwrap();
        Self { fleet, runners, scripts }
    }

    /// Sends requests until the node knows how long they take.
    pub async fn learn(&self, make: fn(&str) -> CallerRequest) {
        for number in 0..LEARNED {
            let answer = self.fleet.send(0, &make(&format!("l{number}"))).await;
            assert!(answer.complete && answer.status == 200, "{answer:?}");
        }
        // The node learns from the runners' reports that nothing waits there any more.
        compio::time::sleep(REPORT_SPAN).await;
    }

    /// The next requests are answered by these scripts, whichever runner gets them.
    pub fn script(&self, scripts: &[RunnerScript]) {
        *self.scripts.borrow_mut() = scripts.iter().copied().collect();
    }

    /// Runs of a request.
    pub fn runs(&self, attempt: &str) -> usize {
        let visits = self.runners.iter().flat_map(RunnerFake::visits);
        let own = visits.filter(|visit| {
            visit.ran && visit.request.header("x-dotterelyard-attempt-id") == attempt
        });
        own.count()
    }

    /// Waits until a request has run `count` times.
    pub async fn wait_runs(&self, attempt: &str, count: usize) {
        let has_run = async || (self.runs(attempt) >= count).then_some(());
        wait_until("the runs", LIMIT, has_run).await.unwrap();
    }

    /// Lets the late answers of all runners go.
    pub fn release_late(&self) {
        self.runners.iter().for_each(RunnerFake::release_late);
    }

    /// Sends a look-up; once `decided` has ended, lets the late answers go.
    pub async fn look_up_late(
        &self,
        attempt: &str,
        decided: impl Future<Output = ()>,
    ) -> WholeAnswer {
        let request = CallerRequest::lookup(attempt);
        let release = async {
            decided.await;
            self.release_late();
        };
        join(self.fleet.send(0, &request), release).await.0
    }

    /// Sends a look-up whose answer is late until the node has denied it a second send; gives the
    /// reason.
    pub async fn denial(&self, attempt: &str) -> Value {
        let denied = async { drop(self.lines("hedge_denied", attempt).await) };
        self.look_up_late(attempt, denied).await;
        self.lines("hedge_denied", attempt).await[0]["reason"].clone()
    }

    /// When connections were closed from outside.
    pub fn abandoned(&self) -> Vec<Instant> {
        self.runners.iter().flat_map(RunnerFake::abandoned).collect()
    }

    /// Waits for the lines of an event that name this request.
    pub async fn lines(&self, event: &str, attempt: &str) -> Vec<Value> {
        let found = async || {
            let mut lines = self.fleet.nodes[0].events(event);
            lines.retain(|line| line["request"] == attempt);
            (!lines.is_empty()).then_some(lines)
        };
        wait_until(event, LIMIT, found).await.unwrap()
    }

    /// Value of a counter; 0 if it is not on the page.
    pub async fn counter(&self, name: &str) -> u64 {
        let page = self.fleet.metrics(0).await;
        let line = page.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |value| value.trim().parse().unwrap())
    }

    /// Checks that no request was hedged, nor denied a hedge.
    pub async fn check_not_considered(&self) {
        let page = self.fleet.metrics(0).await;
        assert!(page.contains("yard_node_sends_total "), "{page}");
        assert!(!page.contains("yard_node_hedges_total{"), "{page}");
        assert!(!page.contains("yard_node_hedges_denied_total{"), "{page}");
    }

    /// Waits until `count` connections have been closed from outside.
    pub async fn wait_abandoned(&self, count: usize) {
        let closed = async || (self.abandoned().len() >= count).then_some(());
        wait_until("connections to be closed", LIMIT, closed).await.unwrap();
    }
}
