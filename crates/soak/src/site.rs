//! What a run consists of: nodes, links, runners, and what disturbed them when.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerVisit};
use harness::{NodeFleet, NodeProcess, Result, TestLink, config};
use serde_json::{Value, json};

use crate::plan::{DESKS, ENGINES, NODES};

/// Engines that may take the place of those that leave or crash.
const SPARES: usize = 24;
/// Events of a stream, one each 10 ms: short enough for a planned stop.
pub const EVENTS: u64 = 150;
/// Time before a check for which nothing may have disturbed a node.
pub const STABLE_SPAN: Duration = Duration::from_secs(3);
/// Time that a plain call takes.
const WORK: Duration = Duration::from_millis(10);

/// A runner behind a link.
pub struct SoakRunner {
    /// The runner.
    pub fake: RunnerFake,
    /// The link that all nodes reach it by.
    pub link: TestLink,
    service: &'static str,
    /// State in its entry; none if it has none.
    state: Cell<Option<&'static str>>,
}

/// A time in which something was not as usual.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// When it began.
    pub from: Instant,
    /// When it ended; none if it goes on.
    pub until: Option<Instant>,
    /// The node that it struck; none if all may feel it.
    pub node: Option<usize>,
    /// A planned stop.
    pub planned: bool,
}

/// All parts of a run.
pub struct SoakSite {
    /// Store and addresses.
    pub fleet: NodeFleet,
    /// The nodes' processes; none while one is away.
    pub nodes: RefCell<Vec<Option<NodeProcess>>>,
    /// Links from each node to the store.
    pub store_links: Vec<TestLink>,
    /// Engines that serve.
    pub engines: RefCell<Vec<SoakRunner>>,
    /// Engines to come.
    pub spares: RefCell<Vec<SoakRunner>>,
    /// Engines that were told to leave, or crashed.
    pub gone: RefCell<Vec<SoakRunner>>,
    /// Plain runners.
    pub desks: Vec<SoakRunner>,
    /// What was not as usual.
    pub disturbances: RefCell<Vec<Disturbance>>,
    /// Version of the configuration.
    pub version: Cell<u64>,
}

impl SoakSite {
    /// Starts everything.
    ///
    /// # Errors
    /// If an address cannot be had or a process does not start.
    pub async fn start() -> Result<Self> {
        let mut fleet = NodeFleet::start().await?;
        fleet.store.put_json("keyed.op", "config", &numbered_config(1));
        let mut runners = Vec::new();
        for number in 0..ENGINES + SPARES {
            runners.push(start_runner(&mut fleet, "llm", number).await?);
        }
        let spares = runners.split_off(ENGINES);
        let mut desks = Vec::new();
        for number in 0..DESKS {
            desks.push(start_runner(&mut fleet, "desk", ENGINES + SPARES + number).await?);
        }
        let mut store_links = Vec::new();
        for node in 0..NODES {
            let number = u8::try_from(60 + node).unwrap_or(u8::MAX);
            store_links.push(fleet.start_link(number, fleet.store.address()).await?);
        }
        let site = Self {
            fleet,
            nodes: RefCell::default(),
            store_links,
            engines: RefCell::new(runners),
            spares: RefCell::new(spares),
            gone: RefCell::default(),
            desks,
            disturbances: RefCell::default(),
            version: Cell::new(1),
        };
        for runner in site.engines.borrow().iter().chain(&site.desks) {
            site.tell(runner, "ready");
        }
        for node in 0..NODES {
            site.nodes.borrow_mut().push(None);
            site.start_node(node)?;
        }
        Ok(site)
    }

    /// Starts a node's process.
    ///
    /// # Errors
    /// If it does not start.
    pub fn start_node(&self, node: usize) -> Result<()> {
        let store = json!(self.store_links[node].address());
        let process = self.fleet.start_node(node, &[("store", store)], true)?;
        self.nodes.borrow_mut()[node] = Some(process);
        Ok(())
    }

    /// Writes a runner's entry, with the address of its link.
    pub fn tell(&self, runner: &SoakRunner, state: &'static str) {
        runner.state.set(Some(state));
        let mut entry = runner.fake.entry(runner.service, "north", state);
        entry["address"] = json!(runner.link.address());
        self.fleet.store.put_json("keyed.servers", runner.fake.id(), &entry);
    }

    /// Ends a runner and removes its entry.
    pub fn remove(&self, runner: &SoakRunner) {
        runner.fake.crash();
        runner.state.set(None);
        self.fleet.store.put("keyed.servers", runner.fake.id(), None);
    }

    /// Writes all entries of runners again.
    pub fn write_again(&self) {
        let (engines, gone) = (self.engines.borrow(), self.gone.borrow());
        for runner in engines.iter().chain(gone.iter()).chain(&self.desks) {
            match runner.state.get() {
                Some(state) => self.tell(runner, state),
                None => self.fleet.store.put("keyed.servers", runner.fake.id(), None),
            }
        }
    }

    /// Writes the next configuration and gives its version.
    pub fn configure(&self) -> u64 {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.fleet.store.put_json("keyed.op", "config", &numbered_config(version));
        version
    }

    /// Notes that something is not as usual; gives its number.
    pub fn disturb(&self, node: Option<usize>, planned: bool) -> usize {
        let mut disturbances = self.disturbances.borrow_mut();
        disturbances.push(Disturbance { from: Instant::now(), until: None, node, planned });
        disturbances.len() - 1
    }

    /// Notes that disturbance `number` is over.
    pub fn calm(&self, number: usize) {
        self.disturbances.borrow_mut()[number].until = Some(Instant::now());
    }

    /// Whether nothing disturbed `node` between two instants, and for a while before.
    #[must_use]
    pub fn was_calm(&self, node: usize, from: Instant, until: Instant) -> bool {
        self.disturbances_of(node, from, until).is_empty()
    }

    /// Whether a planned stop of `node`, and nothing else, struck a request of that time
    /// after it had been sent.
    #[must_use]
    pub fn was_only_stopped(&self, node: usize, from: Instant, until: Instant) -> bool {
        let struck = self.disturbances_of(node, from, until);
        !struck.is_empty() && struck.iter().all(|one| one.planned && one.from > from)
    }

    /// Whether nothing but disturbance `own` struck any node since `from`, or in a while before.
    #[must_use]
    pub fn was_calm_beside(&self, own: usize, from: Instant) -> bool {
        let since = from.checked_sub(STABLE_SPAN).unwrap_or(from);
        let disturbances = self.disturbances.borrow();
        let mut others = disturbances.iter().enumerate().filter(|(number, _)| *number != own);
        others.all(|(_, one)| one.until.is_some_and(|ended| ended < since))
    }

    /// What `node` may have felt between two instants, or in a while before them.
    fn disturbances_of(&self, node: usize, from: Instant, until: Instant) -> Vec<Disturbance> {
        let since = from.checked_sub(STABLE_SPAN).unwrap_or(from);
        let strikes = |one: &&Disturbance| {
            one.node.is_none_or(|struck| struck == node)
                && one.from <= until
                && one.until.is_none_or(|ended| ended >= since)
        };
        self.disturbances.borrow().iter().filter(strikes).copied().collect()
    }

    /// All requests that reached any runner.
    #[must_use]
    pub fn visits(&self) -> Vec<RunnerVisit> {
        let (engines, gone) = (self.engines.borrow(), self.gone.borrow());
        let runners = engines.iter().chain(gone.iter()).chain(&self.desks);
        runners.flat_map(|runner| runner.fake.visits()).collect()
    }
}

async fn start_runner(
    fleet: &mut NodeFleet,
    service: &'static str,
    number: usize,
) -> Result<SoakRunner> {
    let mut settings = RunnerFakeSettings::new(&format!("{service}-{number}"));
    settings.events = EVENTS;
    settings.work = WORK;
    let fake = fleet.prepare_runner(settings).await?;
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    let link = fleet.start_runner_link(number, &fake).await?;
    Ok(SoakRunner { fake, link, service, state: Cell::default() })
}

/// The tests' configuration with one more route, named after the version.
fn numbered_config(version: u64) -> Value {
    let mut config = config(version);
    let mut route = config["routes"][0].clone();
    route["name"] = json!(format!("v{version}"));
    route["pathPrefix"] = json!(format!("/v{version}/"));
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.push(route);
    }
    config
}
