//! One run: faults by plan beside callers, then the checks.

use std::cell::RefCell;
use std::fmt;
use std::time::{Duration, Instant};

use fakes::platform::StoreFault;
use futures_util::future::{join, join_all};
use harness::{CallerRequest, LinkState, Result, wait_until};
use rustix::process::Signal;

use crate::callers::call_until;
use crate::plan::{NODES, SoakFault, SoakPlan, SoakStep};
use crate::promises::{CallerRecord, PromiseBreach, check_answers, check_leaving};
use crate::site::{EVENTS, STABLE_SPAN, SoakSite};

/// Time for all nodes to be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Time for a stopped node to end, after its own limit of 6 s.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// Time between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Step of the pauses between SIGHUPs in series, and number of different pauses.
const RELOAD_PAUSE: Duration = Duration::from_millis(1);
const RELOAD_PAUSES: u32 = 6;
/// Time after a series of SIGHUPs in which a process that they end has ended.
const RELOAD_SPAN: Duration = Duration::from_millis(100);
/// Time in which a change has to be in force, with some for this machine.
const APPLY_SPAN: Duration = Duration::from_millis(2_500);
/// Time after which a leaving runner gets no request.
const DRAIN_SPAN: Duration = Duration::from_secs(2);
/// Time from the news that a runner leaves until it is gone.
const LEAVE_SPAN: Duration = Duration::from_millis(2_600);
/// Time after a return of the store in which runners write again.
const REWRITE_SPAN: Duration = Duration::from_secs(1);
/// Time in which work ends after its last caller has left.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// What a run gave.
#[derive(Debug)]
pub struct SoakReport {
    /// Faults played.
    pub faults: usize,
    /// Attempts whose answers were checked.
    pub attempts: usize,
    /// Of them, those answered with success.
    pub served: usize,
    /// Checks of a configuration in force, and of a leaving runner.
    pub checks: usize,
    /// Promises that were broken.
    pub breaches: Vec<PromiseBreach>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { faults, attempts, served, checks, breaches } = self;
        write!(f, "{faults} faults, {attempts} attempts, {served} served, {checks} checks")?;
        if breaches.is_empty() {
            return write!(f, ", all promises kept");
        }
        breaches.iter().try_for_each(|breach| write!(f, "\n  broken: {breach}"))
    }
}

pub(crate) struct SoakRun {
    pub(crate) site: SoakSite,
    pub(crate) checks: RefCell<usize>,
    pub(crate) breaches: RefCell<Vec<PromiseBreach>>,
}

/// Plays a plan.
///
/// # Errors
/// If the processes do not start, or cannot be signalled.
pub async fn run_soak(plan: &SoakPlan) -> Result<SoakReport> {
    let site = SoakSite::start().await?;
    let run = SoakRun { site, checks: RefCell::default(), breaches: RefCell::default() };
    run.wait_ready().await?;
    let start = Instant::now();
    let calling = call_until(&run.site, plan.seed, start + plan.span);
    let striking = join_all(plan.steps.iter().map(|step| run.play(start, step)));
    let (records, played) = join(calling, striking).await;
    played.into_iter().collect::<Result<Vec<()>>>()?;
    run.check_end().await;
    let visits = run.site.visits();
    run.breaches.borrow_mut().extend(check_answers(&records, &visits, EVENTS));
    run.check_stops(&records);
    Ok(SoakReport {
        faults: plan.steps.len(),
        attempts: records.len(),
        served: records.iter().filter(|one| one.status == 200 && one.complete).count(),
        checks: run.checks.take(),
        breaches: run.breaches.take(),
    })
}

impl SoakRun {
    async fn wait_ready(&self) -> Result<()> {
        for node in 0..NODES {
            wait_until("all nodes to be ready", READY_LIMIT, async || {
                (self.site.fleet.lookup(node).await.len() == NODES).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    async fn play(&self, start: Instant, step: &SoakStep) -> Result<()> {
        compio::time::sleep(step.at.saturating_sub(start.elapsed())).await;
        match step.fault {
            SoakFault::Store(fault, span) => {
                let store = &self.site.fleet.store;
                let end = || store.set_fault(StoreFault::None);
                self.strike(None, span, || store.set_fault(fault), end).await;
            }
            SoakFault::Compact => {
                self.site.fleet.store.compact("keyed.servers");
                self.site.fleet.store.compact("keyed.op");
            }
            SoakFault::Return(age, away) => self.bring_back(age, away).await,
            SoakFault::StoreLink(node, state, span) => {
                let link = &self.site.store_links[node];
                self.strike(Some(node), span, || link.set(state), || link.set(LinkState::Open))
                    .await;
            }
            SoakFault::RunnerLink(engine, state, span) => {
                let address = self.site.engines.borrow()[engine].link.address();
                self.strike_runner(address, state, span).await;
            }
            SoakFault::Stop(node) => return self.stop(node).await,
            SoakFault::Kill(node) => return self.kill(node).await,
            SoakFault::Freeze(node, span) => return self.freeze(node, span).await,
            SoakFault::Reload(node, signals) => return self.reload(node, signals).await,
            SoakFault::Leave(engine) => self.leave(engine).await,
            SoakFault::Crash(engine) => self.crash(engine),
            SoakFault::Spoil(desk, script) => self.site.desks[desk].fake.script(&[script]),
            SoakFault::Configure => self.configure().await,
            SoakFault::Limit(desk) => self.play_limit(desk).await,
            SoakFault::CrashPart(part) => self.play_crash_part(part).await,
        }
        Ok(())
    }

    /// Lets a fault last for `span`.
    async fn strike(
        &self,
        node: Option<usize>,
        span: Duration,
        begin: impl FnOnce(),
        end: impl FnOnce(),
    ) {
        let number = self.site.disturb(node, false);
        begin();
        compio::time::sleep(span).await;
        end();
        self.site.calm(number);
    }

    /// Takes the store away and brings it back from a copy of the given age. A configuration is
    /// lost with it, and the next one gets its offset; the runners write again a little later.
    async fn bring_back(&self, age: Duration, away: Duration) {
        let store = &self.site.fleet.store;
        let copy = store.copy();
        self.site.configure();
        compio::time::sleep(age).await;
        let number = self.site.disturb(None, false);
        store.take_away();
        compio::time::sleep(away).await;
        store.come_back(&copy);
        let version = self.site.configure();
        compio::time::sleep(REWRITE_SPAN).await;
        self.site.write_again();
        self.site.calm(number);
        compio::time::sleep(STABLE_SPAN).await;
        self.check_in_force(version).await;
    }

    /// The engine may have left its place by the time at which its link is opened again.
    async fn strike_runner(&self, link: std::net::SocketAddr, state: LinkState, span: Duration) {
        let set = |state| {
            let (engines, gone) = (self.site.engines.borrow(), self.site.gone.borrow());
            let mut all = engines.iter().chain(gone.iter());
            if let Some(runner) = all.find(|runner| runner.link.address() == link) {
                runner.link.set(state);
            }
        };
        self.strike(None, span, || set(state), || set(LinkState::Open)).await;
    }

    async fn stop(&self, node: usize) -> Result<()> {
        let Some(mut process) = self.site.nodes.borrow_mut()[node].take() else { return Ok(()) };
        let number = self.site.disturb(Some(node), true);
        process.signal(Signal::TERM)?;
        // A frozen one wakes for it.
        process.signal(Signal::CONT)?;
        let ended = wait_until("a stopped node to end", STOP_LIMIT, async || process.ended()).await;
        if ended.is_err() {
            self.breach("a planned stop ends in time", format!("node-{node}"));
        }
        drop(process);
        self.start_again(node, number).await
    }

    async fn kill(&self, node: usize) -> Result<()> {
        let Some(process) = self.site.nodes.borrow_mut()[node].take() else { return Ok(()) };
        let number = self.site.disturb(Some(node), false);
        drop(process);
        self.start_again(node, number).await
    }

    async fn start_again(&self, node: usize, number: usize) -> Result<()> {
        compio::time::sleep(RESTART_PAUSE).await;
        self.site.start_node(node)?;
        self.site.calm(number);
        Ok(())
    }

    async fn freeze(&self, node: usize, span: Duration) -> Result<()> {
        let signal = |signal| match &self.site.nodes.borrow()[node] {
            Some(process) => process.signal(signal),
            None => Ok(()),
        };
        let number = self.site.disturb(Some(node), false);
        signal(Signal::STOP)?;
        compio::time::sleep(span).await;
        signal(Signal::CONT)?;
        self.site.calm(number);
        Ok(())
    }

    /// Sends SIGHUPs in series; that disturbs nothing, so that all promises hold meanwhile.
    async fn reload(&self, node: usize, signals: u32) -> Result<()> {
        for number in 0..signals {
            self.send_hup(node)?;
            compio::time::sleep(RELOAD_PAUSE * (number % RELOAD_PAUSES)).await;
        }
        compio::time::sleep(RELOAD_SPAN).await;
        let mut nodes = self.site.nodes.borrow_mut();
        if let Some(code) = nodes[node].as_mut().and_then(harness::NodeProcess::ended) {
            self.breach("a reload ends no process", format!("node-{node}: {code}"));
        }
        Ok(())
    }

    /// Sends a SIGHUP, unless the process is away or has not printed a line: from then on, its
    /// handlers are in place.
    fn send_hup(&self, node: usize) -> Result<()> {
        let nodes = self.site.nodes.borrow();
        let has_begun = |process: &&harness::NodeProcess| !process.events("start").is_empty();
        let begun = nodes[node].as_ref().filter(has_begun);
        begun.map_or(Ok(()), |process| process.signal(Signal::HUP))
    }

    /// Takes an engine out of service and puts a spare in its place; gives the id.
    pub(crate) fn replace(&self, engine: usize) -> Option<String> {
        let spare = self.site.spares.borrow_mut().pop()?;
        self.site.tell(&spare, "ready");
        let old = std::mem::replace(&mut self.site.engines.borrow_mut()[engine], spare);
        let id = old.fake.id().to_owned();
        self.site.gone.borrow_mut().push(old);
        Some(id)
    }

    async fn leave(&self, engine: usize) {
        let Some(id) = self.replace(engine) else { return };
        let told = Instant::now();
        self.with_gone(&id, |runner| {
            self.site.tell(runner, "draining");
            runner.fake.leave();
        });
        compio::time::sleep(LEAVE_SPAN).await;
        self.with_gone(&id, |runner| self.site.remove(runner));
        if (0..NODES).all(|node| self.site.was_calm(node, told, told + DRAIN_SPAN)) {
            *self.checks.borrow_mut() += 1;
            let visits = self.with_gone(&id, |runner| runner.fake.visits());
            let late = check_leaving(&id, told, DRAIN_SPAN, &visits);
            self.breaches.borrow_mut().extend(late);
        }
    }

    fn crash(&self, engine: usize) {
        let Some(id) = self.replace(engine) else { return };
        let number = self.site.disturb(None, false);
        self.with_gone(&id, |runner| self.site.remove(runner));
        self.site.calm(number);
    }

    pub(crate) fn with_gone<T: Default>(
        &self,
        id: &str,
        act: impl FnOnce(&crate::site::SoakRunner) -> T,
    ) -> T {
        let gone = self.site.gone.borrow();
        gone.iter().find(|runner| runner.fake.id() == id).map(act).unwrap_or_default()
    }

    async fn configure(&self) {
        let version = self.site.configure();
        self.check_in_force(version).await;
    }

    /// Checks that a version, acknowledged by now, is in force in time at each node that is calm.
    async fn check_in_force(&self, version: u64) {
        let told = Instant::now();
        compio::time::sleep(APPLY_SPAN).await;
        for node in 0..NODES {
            let is_newest = self.site.version.get() == version;
            if !is_newest || !self.site.was_calm(node, told, Instant::now()) {
                continue;
            }
            let (new, old) = (self.probe(node, version).await, self.probe(node, version - 1).await);
            // The answer counts only if nothing has changed while it was asked for.
            if self.site.version.get() != version || !self.site.was_calm(node, told, Instant::now())
            {
                continue;
            }
            *self.checks.borrow_mut() += 1;
            if new == 404 || old != 404 {
                let subject = format!("node-{node} version {version}: {new}, before it: {old}");
                self.breach("configuration in force in time", subject);
            }
        }
    }

    async fn probe(&self, node: usize, version: u64) -> u16 {
        let mut request = CallerRequest::lookup(&format!("probe-{node}-{version}"));
        request.path = format!("/v{version}/look");
        self.site.fleet.send(node, &request).await.status
    }

    /// Checks what must hold when callers and faults have ended.
    async fn check_end(&self) {
        for node in 0..NODES {
            let mut nodes = self.site.nodes.borrow_mut();
            if let Some(code) = nodes[node].as_mut().and_then(harness::NodeProcess::ended) {
                self.breach("no process ends by itself", format!("node-{node}: {code}"));
            }
        }
        if self.wait_ready().await.is_err() {
            self.breach("nodes are ready after the last fault", "one of them".to_owned());
        }
        let idle = wait_until("no work to be left", IDLE_LIMIT, async || {
            let engines = self.site.engines.borrow();
            engines.iter().all(|runner| runner.fake.working() == 0).then_some(())
        });
        if idle.await.is_err() {
            let engines = self.site.engines.borrow();
            let busy = engines.iter().filter(|runner| runner.fake.working() > 0);
            for runner in busy {
                self.breach("work ends when its caller leaves", runner.fake.id().to_owned());
            }
        }
    }

    /// Checks that planned stops have cut nothing.
    fn check_stops(&self, records: &[CallerRecord]) {
        for record in records.iter().filter(|record| !record.complete) {
            let CallerRecord { attempt, node, from, until, .. } = record;
            if self.site.was_only_stopped(*node, *from, *until) {
                self.breach("a planned stop cuts nothing", format!("{attempt} at node-{node}"));
            }
        }
    }

    fn breach(&self, promise: &'static str, subject: String) {
        self.breaches.borrow_mut().push(PromiseBreach { promise, subject });
    }
}
