//! Transfers of a large configuration and of the list of runners between nodes whose links are
//! slow.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{LogOffset, StoreEra, VmIncarnation};
use compio::net::UdpSocket;
use fakes::platform::StoreFault;
use harness::{HOST, NodeFleet, TestLink, config, wait_until};
use serde_json::{Value, json};
use serving::{
    HeartbeatSections, InputUpdate, LimitUpdate, PeerHeartbeat, PeerMessage, PlanVersion,
    encode_message,
};

/// Time in which a change has to be in force on the large deployments.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time in which a leaving runner has to be known on the large deployments (`drainMs`).
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Bandwidth of a small machine's link (10 Mbit/s), in bytes a second.
const LINK_RATE: u64 = 1_250_000;
/// Bytes per second of 1 Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Routes of a configuration after it has grown twice by 1,400.
const ROUTES: usize = 4_200;
/// Runners in the list of a grown deployment with those of some minutes before.
const RUNNERS: u64 = 100;
/// Pause between two heartbeats.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(100);

/// A configuration with many routes.
fn large_config(version: u64) -> Value {
    let mut config = config(version);
    let route = |number: usize| {
        json!({
            "name": format!("r-{:07x}", number * 7_919), "hostname": HOST,
            "pathPrefix": format!("/p{:06x}/", number * 104_729 % 0xff_ffff),
            "routeType": "idempotent", "timeoutMs": 8_000, "targetLatencyMs": 500, "priority": 1,
            "service": "desk", "maxAttempts": 2, "public": false,
        })
    };
    config["routes"].as_array_mut().unwrap().extend((0..ROUTES).map(route));
    config
}

/// The entry of a runner in the store.
fn runner_entry(number: u64) -> Value {
    json!({
        "service": "desk", "address": format!("127.0.0.2:{}", 2_000 + number), "zone": "north",
        "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        "born": 1_000 + number,
    })
}

/// A node that has a newer configuration and list of runners, and nodes that can only get it over its slow link.
struct SlowHolder {
    holder: NodeFleet,
    followers: NodeFleet,
    link: TestLink,
}

impl SlowHolder {
    /// Starts all nodes; the followers learn of the holder at once.
    async fn start(followers: usize, rate: u64) -> Self {
        let fleet = Self::prepare(followers, rate).await;
        fleet.announce();
        fleet
    }

    /// Starts all nodes; the followers do not know of the holder yet.
    async fn prepare(followers: usize, rate: u64) -> Self {
        let mut holder = NodeFleet::start().await.unwrap();
        holder.store.put_json("keyed.op", "config", &large_config(2));
        for number in 0..RUNNERS {
            let id = format!("i-{number:010x}");
            holder.store.put_json("keyed.servers", &id, &runner_entry(number));
        }
        let link_mbps = json!(rate as f64 / BYTES_PER_MEGABIT);
        holder.add_node_with(&[("link_mbps", link_mbps)], true).unwrap();
        holder.wait_event(0, "plan_in_force", "version", &2.into()).await.unwrap();
        let mut fleet = NodeFleet::start().await.unwrap();
        for _ in 0..followers {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        let link = fleet.start_link(1, holder.peer_address(0)).await.unwrap();
        link.set_answer_rate(rate);
        Self { holder, followers: fleet, link }
    }

    /// Sends the followers heartbeats of the holder from now on.
    fn announce(&self) {
        let numbers = 0..self.followers.nodes.len();
        let targets = numbers.map(|number| self.followers.peer_address(number)).collect();
        let era = StoreEra(self.holder.store.era());
        kernel::spawn(send_heartbeats(self.link.address(), era, targets)).detach();
    }

    /// Waits until a follower has the newer configuration in force.
    async fn wait_in_force(&self, number: usize) {
        wait_until("the newer configuration", APPLY_LIMIT, async || {
            let lines = self.followers.nodes[number].events("plan_in_force");
            lines.iter().any(|line| line["version"] == 2).then_some(())
        })
        .await
        .unwrap();
    }

    /// Waits until a follower has taken the holder's list of runners.
    async fn wait_runners_taken(&self, number: usize) {
        wait_until("the list of runners", DRAIN_LIMIT, async || {
            let lines = self.followers.nodes[number].events("runners_taken");
            lines.iter().any(|line| line["read"] == RUNNERS).then_some(())
        })
        .await
        .unwrap();
    }
}

/// Sends heartbeats of a node at `address` that has version 2.
async fn send_heartbeats(address: SocketAddr, era: StoreEra, targets: Vec<SocketAddr>) {
    let socket = Rc::new(UdpSocket::bind(SocketAddr::new(address.ip(), 0)).await.unwrap());
    for sequence in 1.. {
        let heartbeat = PeerHeartbeat {
            vm: "holder".parse().unwrap(),
            incarnation: VmIncarnation(7),
            sequence,
            caller_address: address,
            peer_address: address,
            place: "north".parse().unwrap(),
            ready: true,
            store_reachable: true,
            reaches_runners: true,
            store_era: era,
            plan_version: Some(PlanVersion(2)),
            runners_offset: LogOffset(RUNNERS),
            loads: Vec::new(),
            waiting_services: Vec::new(),
            leaving: Vec::new(),
            input_update: InputUpdate::default(),
            limit_update: LimitUpdate::default(),
            sections: HeartbeatSections::default(),
        };
        let bytes = encode_message(&PeerMessage::Heartbeat(Box::new(heartbeat))).unwrap();
        for target in &targets {
            let _ = socket.send_to(bytes.clone(), *target).await;
        }
        compio::time::sleep(HEARTBEAT_PAUSE).await;
    }
}

#[test]
fn a_large_configuration_reaches_all_nodes_in_time_over_the_slow_link_of_its_holder() {
    kernel::run(async {
        let fleet = SlowHolder::start(6, LINK_RATE).await;
        let waits = (0..6).map(|number| fleet.wait_in_force(number));
        futures_util::future::join_all(waits).await;
    })
    .unwrap();
}

#[test]
fn a_transfer_of_a_configuration_that_makes_progress_is_not_begun_anew() {
    kernel::run(async {
        // A twentieth of a link: what remains of one beside nineteen other transfers.
        let fleet = SlowHolder::start(1, LINK_RATE / 20).await;
        fleet.wait_in_force(0).await;
        let metrics = fleet.holder.metrics(0).await;
        assert!(metrics.contains("yard_node_plans_sent_total 1\n"), "{metrics}");
    })
    .unwrap();
}

#[test]
fn a_list_of_runners_reaches_all_nodes_in_time_over_the_slow_link_of_its_holder() {
    kernel::run(async {
        // What 6 of 60 nodes get while streams take half of the link.
        let fleet = SlowHolder::start(6, LINK_RATE / 20).await;
        fleet.followers.store.set_fault(StoreFault::Silent);
        let taken = (0..6).map(|number| fleet.wait_runners_taken(number));
        futures_util::future::join_all(taken).await;
    })
    .unwrap();
}

/// Fetches the configuration as a peer that does not accept the encoding: plain, 0.7 s for the whole, begun
/// anew with each heartbeat. Counts those that came through.
async fn fetch_plain(peer: SocketAddr, fetched: Rc<Cell<u32>>) {
    let limit = base::TimeSpan::millis(700);
    loop {
        let plan = web::fetch_json::<Value>("configuration", peer, "/plan", limit).await;
        fetched.set(fetched.get() + u32::from(plan.is_ok()));
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn nodes_of_the_release_before_do_not_keep_a_configuration_from_the_others() {
    kernel::run(async {
        let fleet = SlowHolder::prepare(4, LINK_RATE).await;
        for _ in 0..4 {
            kernel::spawn(fetch_plain(fleet.holder.peer_address(0), Rc::default())).detach();
        }
        compio::time::sleep(Duration::from_millis(300)).await;
        fleet.announce();
        let waits = (0..4).map(|number| fleet.wait_in_force(number));
        futures_util::future::join_all(waits).await;
    })
    .unwrap();
}

#[test]
fn a_node_of_the_release_before_gets_a_configuration_that_its_time_allows() {
    kernel::run(async {
        let fleet = SlowHolder::start(0, 2 * LINK_RATE).await;
        let fetched = Rc::default();
        kernel::spawn(fetch_plain(fleet.link.address(), Rc::clone(&fetched))).detach();
        wait_until("a plain configuration", APPLY_LIMIT, async || {
            (fetched.get() > 0).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}
