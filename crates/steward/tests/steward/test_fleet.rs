//! Stewards as processes before stand-ins; the tests play the entries and operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use config::{ConfigRecord, FileChange, PublishRecord};
use harness::{AddressBlock, TestKeys, TestProcess, wait_until};
use peers::{EntryStatus, FleetView, PeerEndpoint, PeerKeys, PeerReply, PeerRequest};
use serde_json::{Value, json};

pub const LIMIT: TimeSpan = TimeSpan::seconds(5);
/// Time within which a change has to reach all stewards.
pub const SPREAD: Duration = Duration::from_secs(10);
const PLACES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];
const FIRST_VM: u8 = 10;
const FIRST_RUNNER: u8 = 60;

pub struct TestFleet {
    pub log: TestProcess,
    pub vm_list: TestProcess,
    pub runners: BTreeMap<usize, TestProcess>,
    pub stewards: BTreeMap<usize, TestProcess>,
    /// The tests' transport to the stewards.
    pub operator: PeerEndpoint,
    keys: TestKeys,
    block: AddressBlock,
    folder: std::path::PathBuf,
}

impl TestFleet {
    /// Starts `stewards` stewards before `runners` engines.
    pub async fn start(stewards: usize, runners: usize) -> Self {
        let block = AddressBlock::new();
        let keys = TestKeys::new().unwrap();
        let log = start_fake("log", block.address(1, 0), &[]);
        let vm_list = start_fake("vms", block.address(1, 1), &[]);
        let folder = std::env::temp_dir().join(format!("yard-steward-{}", block.address(1, 0)));
        std::fs::create_dir_all(&folder).unwrap();
        let peer_keys = PeerKeys {
            certificate: keys.certificate.as_str().into(),
            private_key: keys.private_key.as_str().into(),
            authorities: keys.authority.as_str().into(),
        };
        let operator = PeerEndpoint::bind(block.address(2, 0), &peer_keys).await.unwrap();
        let mut fleet = Self {
            log,
            vm_list,
            runners: BTreeMap::new(),
            stewards: BTreeMap::new(),
            operator,
            keys,
            block,
            folder,
        };
        for number in 0..runners {
            fleet.start_runner(number);
        }
        fleet.put_list(stewards, runners).await;
        for number in 0..stewards {
            fleet.start_steward(number);
        }
        fleet
    }

    pub fn start_runner(&mut self, number: usize) {
        let address = self.runner_address(number);
        let name = runner_name(number);
        let arguments = ["--runner", &name, "--models", "summary", "--checks-fencing"];
        self.runners.insert(number, start_fake("engine", address, &arguments));
    }

    pub fn start_steward(&mut self, number: usize) {
        let settings = json!({
            "vm": vm_name(number),
            "place": PLACES[number % PLACES.len()],
            "log": self.log.address(),
            "vm_list": self.vm_list.address(),
            "keys": {
                "signing": [{ "id": 1, "secret_hex": self.keys.signing_secret }],
                "certificate": self.keys.certificate,
                "private_key": self.keys.private_key,
                "authority": self.keys.authority,
            },
            "peer": self.steward_address(number),
            "vm_poll_ms": 200,
            "poll_ms": 100,
            "digest_ms": 500,
            "exchange_ms": 1000,
        });
        let path = self.folder.join(format!("{number}.jsonc"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let process = TestProcess::start("yard-steward", &arguments).unwrap();
        self.stewards.insert(number, process);
    }

    pub fn steward_address(&self, number: usize) -> SocketAddr {
        self.block.address(FIRST_VM + number as u8, 2)
    }

    fn runner_address(&self, number: usize) -> SocketAddr {
        self.block.address(FIRST_RUNNER + number as u8, 0)
    }

    async fn put_list(&self, stewards: usize, runners: usize) {
        let own = (0..stewards).map(|number| {
            json!({
                "vm": vm_name(number), "place": PLACES[number % PLACES.len()], "role": "entry",
                "service": null, "address": self.entry_status(number).address,
                "steward": self.steward_address(number), "state": "live",
            })
        });
        let targets = (0..runners).map(|number| {
            json!({
                "vm": runner_name(number), "place": PLACES[number % PLACES.len()],
                "role": "runner", "service": "summaries",
                "address": self.runner_address(number), "steward": null, "state": "live",
            })
        });
        let list: Vec<Value> = own.chain(targets).collect();
        let body = json!({ "vms": list }).to_string();
        let peer = self.vm_list.address();
        web::fetch("put", hyper::Method::PUT, peer, "/vms", body.into(), LIMIT).await.unwrap();
    }

    pub async fn set_state(&self, vm: &str, state: &str) {
        self.post(self.vm_list.address(), &format!("/vms/{vm}"), &json!({ "state": state })).await;
    }

    pub async fn post(&self, peer: SocketAddr, path: &str, body: &Value) {
        web::post_json::<Value>("post", peer, path, body, LIMIT).await.unwrap();
    }

    /// Appends one file to the log; its offset.
    pub async fn publish(&self, path: &str, base: u64, text: &str) -> u64 {
        let record = ConfigRecord::Publish(PublishRecord {
            id: base::PublishId(rand_id(path, base)),
            author: "shift".into(),
            note: "test".into(),
            files: vec![FileChange {
                path: path.into(),
                base: LogOffset(base),
                text: Some(text.into()),
            }],
        });
        let peer = self.log.address();
        let body = record.encode().to_string();
        let stream = "/streams/config/records";
        let answer = web::fetch("append", hyper::Method::POST, peer, stream, body.into(), LIMIT);
        let answer: Value = serde_json::from_slice(&answer.await.unwrap()).unwrap();
        answer["offset"].as_u64().unwrap()
    }

    pub fn entry_status(&self, number: usize) -> EntryStatus {
        EntryStatus {
            incarnation: VmIncarnation(100 + number as u64),
            address: self.block.address(FIRST_VM + number as u8, 0),
            peer: self.block.address(FIRST_VM + number as u8, 1),
            leaving: false,
            calls: 0,
            config_offset: LogOffset(0),
        }
    }

    /// The whole view of a steward, as the entry `status` gets it.
    pub async fn view(&self, number: usize, status: EntryStatus) -> Option<FleetView> {
        let wait = TimeSpan::millis(100);
        let steward = VmIncarnation(0);
        let request = PeerRequest::View { status, version: 0, steward, wait };
        match self.operator.call(self.steward_address(number), request, LIMIT).await {
            Ok(PeerReply::View(view)) => Some(*view),
            _ => None,
        }
    }

    pub async fn own_view(&self, number: usize) -> Option<FleetView> {
        self.view(number, self.entry_status(number)).await
    }

    /// What each engine has counted.
    pub async fn engine_stats(&self) -> Vec<Value> {
        let mut stats = Vec::new();
        for runner in self.runners.values() {
            let peer = runner.address();
            stats.push(web::fetch_json("stats", peer, "/stats", LIMIT).await.unwrap());
        }
        stats
    }

    pub async fn dump(&self, number: usize) -> Option<Value> {
        let address = self.steward_address(number);
        match self.operator.call(address, PeerRequest::Dump, LIMIT).await {
            Ok(PeerReply::Dump(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        }
    }

    /// Waits until the views of all `numbers`, each asked as an entry, satisfy `holds`.
    pub async fn wait_views(
        &self,
        what: &str,
        numbers: &[usize],
        holds: impl Fn(&FleetView) -> bool,
    ) {
        self.wait_views_within(SPREAD, what, numbers, holds).await;
    }

    pub async fn wait_views_within(
        &self,
        limit: Duration,
        what: &str,
        numbers: &[usize],
        holds: impl Fn(&FleetView) -> bool,
    ) {
        let all = async || {
            // Every entry has to speak each time, or its steward takes it for dead.
            let mut held = true;
            for &number in numbers {
                held &= self.own_view(number).await.is_some_and(|view| holds(&view));
            }
            held.then_some(())
        };
        wait_until(what, limit, all).await.unwrap();
    }
}

fn rand_id(path: &str, base: u64) -> u64 {
    base::rendezvous_score(path, &base.to_string())
}

pub fn vm_name(number: usize) -> String {
    format!("vm-{number}")
}

pub fn runner_name(number: usize) -> String {
    format!("summaries-{number}")
}

fn start_fake(kind: &str, address: SocketAddr, further: &[&str]) -> TestProcess {
    let mut arguments = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
    arguments.extend(further.iter().map(|&argument| argument.to_owned()));
    TestProcess::start("yard-fakes", &arguments).unwrap()
}
