//! Nodes before two runners, whose links can be cut for one of the nodes.

use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings};
use harness::{CallerRequest, LinkState, NodeFleet, TestLink, wait_until};
use serde_json::json;

pub const LIMIT: Duration = Duration::from_secs(10);
/// The node that is cut off.
pub const CUT: usize = 0;
/// The node that takes its calls.
pub const OTHER: usize = 1;
/// Events of a stream, one in 20 ms.
pub const EVENTS: u64 = 60;
/// Time that a plain call takes, long enough to end a node meanwhile.
const WORK: Duration = Duration::from_secs(1);

/// Nodes before runners whose links can be cut for one of them.
pub struct CutFleet {
    pub fleet: NodeFleet,
    pub desk: RunnerFake,
    pub llm: RunnerFake,
    pub links: Vec<TestLink>,
}

impl CutFleet {
    pub async fn start(nodes: usize) -> Self {
        Self::start_with(nodes, WORK).await
    }

    /// Starts nodes before runners whose plain calls take `work`.
    pub async fn start_with(nodes: usize, work: Duration) -> Self {
        let mut cut = Self::prepare(work).await;
        cut.add_nodes(nodes).await;
        cut
    }

    /// Starts runners whose plain calls take `work`, and no node yet.
    pub async fn prepare(work: Duration) -> Self {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut links = Vec::new();
        let mut desk = RunnerFakeSettings::new("desk-1");
        desk.work = work;
        let mut llm = RunnerFakeSettings::new("llm-1");
        llm.events = EVENTS;
        llm.event_pause = Duration::from_millis(20);
        let desk = add_runner(&mut fleet, &mut links, "desk", desk).await;
        let llm = add_runner(&mut fleet, &mut links, "llm", llm).await;
        Self { fleet, desk, llm, links }
    }

    /// Starts nodes, and waits until they are ready.
    pub async fn add_nodes(&mut self, nodes: usize) {
        for _ in 0..nodes {
            let number = self.fleet.add_node().unwrap();
            let pid = self.fleet.nodes[number].pid();
            for link in &self.links {
                link.set_for(pid, LinkState::Open);
            }
        }
        self.fleet.wait_ready().await.unwrap();
    }

    /// Starts the fleet, and cuts off its first node.
    pub async fn start_cut(nodes: usize) -> Self {
        let cut = Self::start(nodes).await;
        cut.cut_off(CUT).await;
        cut
    }

    pub fn set(&self, node: usize, state: LinkState) {
        let pid = self.fleet.nodes[node].pid();
        self.links.iter().for_each(|link| link.set_for(pid, state));
    }

    /// Cuts a node off from all runners, and waits until it knows.
    pub async fn cut_off(&self, node: usize) {
        self.set(node, LinkState::Cut);
        wait_until("the cut to be seen", LIMIT, async || {
            let _ = self.fleet.send(node, &CallerRequest::lookup("look-cut")).await;
            (!self.fleet.nodes[node].events("runners_unreached").is_empty()).then_some(())
        })
        .await
        .unwrap();
    }

    /// Runs of one attempt at the runners.
    pub fn runs(&self, attempt: &str) -> usize {
        let visits = [self.desk.visits(), self.llm.visits()].concat();
        let own = |visit: &&fakes::platform::RunnerVisit| {
            visit.ran && visit.request.header("x-dotterelyard-attempt-id") == attempt
        };
        visits.iter().filter(own).count()
    }
}

pub async fn add_runner(
    fleet: &mut NodeFleet,
    links: &mut Vec<TestLink>,
    service: &str,
    settings: RunnerFakeSettings,
) -> RunnerFake {
    let runner = fleet.prepare_runner(settings).await.unwrap();
    let number = u8::try_from(links.len()).unwrap();
    let link = fleet.start_runner_link(number, &runner).await.unwrap();
    let mut entry = runner.entry(service, "north", "ready");
    entry["address"] = json!(link.address());
    fleet.store.put_json("keyed.servers", runner.id(), &entry);
    links.push(link);
    runner
}
