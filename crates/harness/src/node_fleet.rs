//! Nodes as real processes before a store and runners that run inside the test.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::platform::{RunnerFake, RunnerFakeSettings, StoreFake, StreamMemory};
use hyper::{Request, Response};
use serde_json::{Value, json};
use web::{full_body, send_once};

use crate::{
    AddressBlock, CallerRequest, HarnessError, NodeProcess, Result, SeenStream, TestLink,
    WholeAnswer, wait_until,
};

/// Host of all routes.
pub const HOST: &str = "yard.example";
/// Key of the workspace `shop`.
pub const KEY: &str = "key-of-shop";
/// Time for the nodes to start and to find each other.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time for one exchange.
const EXCHANGE_LIMIT: base::TimeSpan = base::TimeSpan::seconds(30);

/// What stands before the nodes.
pub struct NodeFleet {
    /// The store.
    pub store: StoreFake,
    /// Memory of all streams.
    pub memory: StreamMemory,
    /// The nodes.
    pub nodes: Vec<NodeProcess>,
    addresses: AddressBlock,
    runners: u8,
}

impl NodeFleet {
    /// Starts a store with a configuration.
    ///
    /// # Errors
    /// If an address cannot be had.
    pub async fn start() -> Result<Self> {
        let addresses = AddressBlock::new();
        let store = StoreFake::start(addresses.address(200, 0))
            .await
            .map_err(|error| fake_fault(&error))?;
        store.put_json("keyed.op", "config", &config(1));
        let memory = StreamMemory::default();
        Ok(Self { store, memory, nodes: Vec::new(), addresses, runners: 0 })
    }

    /// Starts a runner and writes its entry.
    ///
    /// # Errors
    /// If an address cannot be had.
    pub async fn add_runner(
        &mut self,
        service: &str,
        settings: RunnerFakeSettings,
    ) -> Result<RunnerFake> {
        let runner = self.prepare_runner(settings).await?;
        self.tell(&runner, service, "ready");
        Ok(runner)
    }

    /// Starts a runner that the store does not list yet.
    ///
    /// # Errors
    /// If an address cannot be had.
    pub async fn prepare_runner(&mut self, settings: RunnerFakeSettings) -> Result<RunnerFake> {
        self.runners += 1;
        let address = self.addresses.address(100 + self.runners, 0);
        let runner = RunnerFake::start(address, settings, &self.memory).await;
        runner.map_err(|error| fake_fault(&error))
    }

    /// Starts link number `number`, which passes connections on to `target`.
    ///
    /// # Errors
    /// If an address cannot be had.
    pub async fn start_link(&self, number: u8, target: SocketAddr) -> Result<TestLink> {
        TestLink::start(self.addresses.address(150 + number, 0), target).await
    }

    /// Starts a link to a runner; it refuses connections once the runner has crashed.
    ///
    /// # Errors
    /// If an address cannot be had.
    pub async fn start_runner_link(&self, number: u8, runner: &RunnerFake) -> Result<TestLink> {
        let address = self.addresses.address(150 + number, 0);
        self.memory.add_link(address, runner.address());
        TestLink::start_until(address, runner.address(), runner.crash_signal()).await
    }

    /// Writes a runner's entry with a state.
    pub fn tell(&self, runner: &RunnerFake, service: &str, state: &str) {
        self.store.put_json("keyed.servers", runner.id(), &runner.entry(service, "north", state));
    }

    /// Starts a node and gives its number.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn add_node(&mut self) -> Result<usize> {
        self.add_node_with(&[], true)
    }

    /// Starts a node with other settings; with `read` false nobody reads its lines.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn add_node_with(&mut self, sets: &[(&str, Value)], read: bool) -> Result<usize> {
        let number = self.nodes.len();
        self.nodes.push(self.start_node(number, sets, read)?);
        Ok(number)
    }

    /// Starts the process of node `number`, also again.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start_node(
        &self,
        number: usize,
        sets: &[(&str, Value)],
        read: bool,
    ) -> Result<NodeProcess> {
        let mut settings = self.settings(number);
        for (name, value) in sets {
            settings[*name] = value.clone();
        }
        let name = format!("{}-{number}", self.addresses.address(1, 0).port());
        NodeProcess::start(&name, &settings, read)
    }

    /// The settings of a node.
    #[must_use]
    pub fn settings(&self, number: usize) -> Value {
        let address = |service| self.address(number, service);
        json!({
            "vm": format!("node-{number}"),
            "place": "north",
            "store": self.store.address(),
            "callers": address(0),
            "readiness": address(1),
            "lookups": address(2),
            "ip": address(3).ip(),
            "peer_port": address(3).port(),
            "metrics_port": address(4).port(),
            "memory_mb": 110,
            "descriptors": 1_000,
            "drain_ms": 2_000,
            "stop_seconds": 6.0,
            "retry_ratio": 0.2,
            "retry_slack": 50.0,
            "retry_window_seconds": 10.0,
        })
    }

    fn address(&self, number: usize, service: u16) -> SocketAddr {
        let machine = u8::try_from(number + 1).unwrap_or(u8::MAX);
        self.addresses.address(machine, service)
    }

    /// Where callers connect to a node.
    #[must_use]
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.address(number, 0)
    }

    /// Where other nodes reach a node.
    #[must_use]
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        self.address(number, 3)
    }

    /// Waits until every node is ready and tells all of them to callers.
    ///
    /// # Errors
    /// If that does not come about.
    pub async fn wait_ready(&self) -> Result<()> {
        for number in 0..self.nodes.len() {
            wait_until("all nodes to be ready", START_LIMIT, async || {
                let found = self.lookup(number).await;
                (found.len() == self.nodes.len()).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until a node has noted `event` with `field` at `value`.
    ///
    /// # Errors
    /// If it does not come about.
    pub async fn wait_event(
        &self,
        number: usize,
        event: &str,
        field: &str,
        value: &Value,
    ) -> Result<()> {
        wait_until(event, START_LIMIT, async || {
            let lines = self.nodes[number].events(event);
            lines.iter().any(|line| line[field] == *value).then_some(())
        })
        .await
    }

    /// The addresses that a node tells callers; none if it gives none.
    pub async fn lookup(&self, number: usize) -> Vec<String> {
        let path = "/api/resolve?name=yard.example&region=r&zone=north";
        let answer = self.get(self.address(number, 2), path).await;
        let body: Value = serde_json::from_str(&answer.text).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(Value::as_str).map(str::to_owned).collect()
    }

    /// The status of a node's readiness check; 0 if there is none.
    pub async fn readiness(&self, number: usize) -> u16 {
        self.get(self.address(number, 1), "/api/readyz").await.status
    }

    /// A node's metrics page.
    pub async fn metrics(&self, number: usize) -> String {
        self.get(self.address(number, 4), "/metrics").await.text
    }

    async fn get(&self, peer: SocketAddr, path: &str) -> WholeAnswer {
        let request = Request::get(path).body(full_body(Vec::new())).map_err(|_| ());
        let Ok(request) = request else { return no_answer() };
        let limit = base::TimeSpan::seconds(2);
        match send_once(peer, request, limit, limit).await {
            Ok(response) => read(response).await,
            Err(_) => no_answer(),
        }
    }

    /// Sends a request to a node and reads the answer; status 0 if there is none.
    pub async fn send(&self, number: usize, request: &CallerRequest) -> WholeAnswer {
        match self.open(number, request).await {
            Ok(response) => read(response).await,
            Err(_) => no_answer(),
        }
    }

    /// Sends a request to a node and gives the head of the answer.
    ///
    /// # Errors
    /// If there is none.
    ///
    /// # Panics
    /// If the request is malformed.
    pub async fn open(
        &self,
        number: usize,
        request: &CallerRequest,
    ) -> Result<Response<hyper::body::Incoming>> {
        let mut sent = Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header("host", HOST)
            .header("authorization", format!("Bearer {KEY}"))
            .header("x-dotterelyard-attempt-id", &request.attempt)
            .header("x-dotterelyard-deadline-ms", "8000")
            .body(full_body(request.body.clone()))
            .expect("a well-formed request");
        for (name, value) in &request.headers {
            let value = value.parse().expect("a well-formed header");
            sent.headers_mut().insert(*name, value);
        }
        Ok(send_once(self.callers(number), sent, EXCHANGE_LIMIT, EXCHANGE_LIMIT).await?)
    }

    /// Sends a request to a node, and reads the stream that it answers.
    ///
    /// # Panics
    /// Panics if no response head comes.
    pub async fn read_stream(&self, number: usize, request: &CallerRequest) -> SeenStream {
        SeenStream::read(self.open(number, request).await.expect("a response head")).await
    }
}

fn fake_fault(error: &fakes::FakeError) -> HarnessError {
    HarnessError::Waited(error.to_string())
}

fn no_answer() -> WholeAnswer {
    WholeAnswer { status: 0, retry_after: None, text: String::new(), complete: false }
}

async fn read(response: Response<hyper::body::Incoming>) -> WholeAnswer {
    use http_body_util::BodyExt;
    let status = response.status().as_u16();
    let header = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after = header.and_then(|text| text.parse().ok());
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            complete = false;
            break;
        };
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    WholeAnswer { status, retry_after, text, complete }
}

/// The configuration of the tests: look-ups and bookings at `desk`, generations at `llm`.
#[must_use]
pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "hostname": HOST, "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": 8_000, "targetLatencyMs": 500, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": false,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("look", "/look/", "idempotent", "desk", 2),
            route("book", "/book/", "non_idempotent", "desk", 1),
            route("digest", "/digest/", "streaming", "llm", 1),
        ],
        "services": [
            { "name": "desk", "healthPath": "/healthz", "maxConnections": 100 },
            {
                "name": "llm", "healthPath": "/healthz", "maxConnections": 100,
                "engine": {
                    "slots": 8, "kvCapacity": 34_000, "kvTokenBytes": 35_136,
                    "linkMbps": 5_100.0, "moves": true, "backups": true, "stride": 4,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_096, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{ "name": "shop", "apiKeys": [KEY] }],
    })
}
