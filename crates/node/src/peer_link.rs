//! Heartbeats between the nodes, over UDP.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use compio::net::UdpSocket;
use futures_channel::mpsc;
use futures_util::StreamExt;
use rand::seq::IndexedRandom;
use serving::{NodeLoad, PeerHeartbeat, PeerMessage, RunnerRecord, RunnerUpdate, ServingPlan};
use web::{Result, fetch_json};

use crate::context::NodeContext;
use crate::dependency::DependencyState;
use crate::follow_operators::take_plan;
use crate::follow_runners::{note_read, take_news};
use crate::peer_server::{PLAN_PATH, RUNNERS_PATH, RunnersAnswer};
use crate::router::RouterService;

/// Part of the time between two heartbeats that passes at least when new calls ask for one.
const LEAST_BEAT_DIVISOR: u64 = 20;
/// Pause after a failure of the socket.
const SOCKET_PAUSE: TimeSpan = TimeSpan::millis(100);
/// Longest heartbeat, in bytes.
const MAX_BEAT_BYTES: usize = 60_000;
/// Age of the own list of runners from which a node that has read further is asked.
const STALE_LIST_SPAN: TimeSpan = TimeSpan::millis(500);
/// Time for one exchange with another node.
const PEER_LIMIT: TimeSpan = TimeSpan::millis(700);

/// The link of this node to the others.
pub struct PeerLink {
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    socket: UdpSocket,
    sequence: Cell<u64>,
    fetching: Cell<bool>,
    state: DependencyState,
}

impl PeerLink {
    /// Opens the socket.
    ///
    /// # Errors
    /// If it cannot be bound.
    pub async fn open(
        context: &Rc<NodeContext>,
        router: &Rc<RouterService>,
    ) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(context.settings.peer()).await?;
        Ok(Rc::new(Self {
            context: Rc::clone(context),
            router: Rc::clone(router),
            socket,
            sequence: Cell::default(),
            fetching: Cell::default(),
            state: DependencyState::new("other nodes"),
        }))
    }

    /// Sends heartbeats until the process ends: regularly, and when one is `wanted`.
    pub async fn run_sending(self: Rc<Self>, mut wanted: mpsc::Receiver<()>) {
        loop {
            self.send(&PeerMessage::Heartbeat(self.beat())).await;
            self.forget_silent();
            let span = self.context.peers.borrow().heartbeat_interval();
            let least = TimeSpan(span.0 / LEAST_BEAT_DIVISOR);
            kernel::sleep(least.into()).await;
            let rest = TimeSpan(span.0 - least.0);
            // Either is a reason to go on.
            let _ = compio::time::timeout(rest.into(), wanted.next()).await;
        }
    }

    /// Tells the others what was read of the list of runners.
    pub fn tell_news(self: &Rc<Self>, news: RunnerUpdate) {
        let link = Rc::clone(self);
        kernel::spawn(async move { link.send(&PeerMessage::RunnerUpdate(news)).await }).detach();
    }

    async fn send(&self, message: &PeerMessage) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(event = "message_not_encoded", %error);
                return;
            }
        };
        let addresses = self.context.peers.borrow().heartbeat_targets();
        let mut buffer = bytes;
        for address in addresses {
            let (sent, back) = self.socket.send_to(buffer, address).await.into();
            buffer = back;
            // A heartbeat that is lost is followed by the next one.
            if let Err(error) = sent {
                tracing::debug!(event = "message_not_sent", %address, %error);
            }
        }
    }

    fn beat(&self) -> PeerHeartbeat {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let settings = &self.context.settings;
        PeerHeartbeat {
            vm: settings.vm.clone(),
            incarnation: self.context.incarnation,
            sequence,
            caller_address: settings.callers,
            peer_address: settings.peer(),
            place: settings.place.clone(),
            ready: self.context.is_ready(),
            store_reachable: self.context.reads_store(),
            plan_version: self.context.plan_version(),
            runners_offset: self.context.runners_read.get(),
            loads: self.router.own_loads(),
            waiting_services: self.router.waits_in_time(),
            leaving: self.context.runners.borrow().announced_leaving(),
        }
    }

    fn forget_silent(&self) {
        let silent = self.context.peers.borrow_mut().prune(self.context.now());
        for vm in silent {
            self.context.loads.borrow_mut().remove(&vm);
        }
    }

    /// Takes the heartbeats of others until the process ends.
    pub async fn run_receiving(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_BEAT_BYTES];
        loop {
            let (received, back) = self.socket.recv_from(buffer).await.into();
            buffer = back;
            match received {
                Ok((length, _)) => self.take(&buffer[..length.min(buffer.len())]),
                Err(error) => {
                    self.state.note_failure(&error);
                    kernel::sleep(SOCKET_PAUSE.into()).await;
                }
            }
            buffer.resize(MAX_BEAT_BYTES, 0);
        }
    }

    fn take(self: &Rc<Self>, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(PeerMessage::Heartbeat(beat)) => self.take_beat(beat),
            Ok(PeerMessage::RunnerUpdate(news)) => take_news(&self.context, &self.router, news),
            Err(error) => tracing::debug!(event = "message_skipped", %error),
        }
    }

    fn take_beat(self: &Rc<Self>, mut beat: PeerHeartbeat) {
        if beat.vm == self.context.settings.vm {
            return;
        }
        self.context.metrics.beats.inc();
        let vm = beat.vm.clone();
        // These have books of their own; the table of nodes keeps the rest.
        let leaving = std::mem::take(&mut beat.leaving);
        let loads = std::mem::take(&mut beat.loads);
        let load = NodeLoad { loads, waiting_services: std::mem::take(&mut beat.waiting_services) };
        if self.context.peers.borrow_mut().record_heartbeat(self.context.now(), beat) {
            if self.context.loads.borrow_mut().set(vm, load) {
                self.router.note_loads();
            }
            self.router.take_leaving(&leaving);
            self.catch_up();
        }
    }

    /// Asks a node that knows more, one at a time.
    fn catch_up(self: &Rc<Self>) {
        if self.fetching.get() {
            return;
        }
        let now = self.context.now();
        let peers = self.context.peers.borrow();
        // Any of the holders, so that a change spreads without a crowd at the first one.
        let holders = peers.peers_with_newer_plan(now, self.context.plan_version());
        let plan = holders.choose(&mut rand::rng()).copied();
        let is_stale = self.context.runners_age() > STALE_LIST_SPAN;
        let read = self.context.runners_read.get();
        let runners = if is_stale { peers.peer_with_newer_runners(now, read) } else { None };
        if plan.is_none() && runners.is_none() {
            return;
        }
        self.fetching.set(true);
        let link = Rc::clone(self);
        kernel::spawn(async move {
            link.fetch_from(plan, runners).await;
            link.fetching.set(false);
        })
        .detach();
    }

    async fn fetch_from(&self, plan: Option<SocketAddr>, runners: Option<SocketAddr>) {
        let mut outcome = Ok(());
        if let Some(peer) = plan {
            outcome = self.fetch_plan(peer).await;
        }
        if let Some(peer) = runners {
            outcome = outcome.and(self.fetch_runners(peer).await);
        }
        match outcome {
            Ok(()) => self.state.note_answer(),
            Err(error) => self.state.note_failure(&error),
        }
    }

    async fn fetch_plan(&self, peer: SocketAddr) -> Result<()> {
        let step = "configuration of another node";
        let plan: ServingPlan = fetch_json(step, peer, PLAN_PATH, PEER_LIMIT).await?;
        take_plan(&self.context, &self.router, plan, "node");
        Ok(())
    }

    async fn fetch_runners(&self, peer: SocketAddr) -> Result<()> {
        let asked = self.context.now();
        let step = "runners of another node";
        let answer: RunnersAnswer = fetch_json(step, peer, RUNNERS_PATH, PEER_LIMIT).await?;
        if answer.read <= self.context.runners_read.get() {
            return Ok(());
        }
        let records: Vec<RunnerRecord> = answer.runners;
        let changed = self.context.runners.borrow_mut().replace(self.context.now(), records);
        if changed {
            tracing::info!(event = "runners_taken", read = answer.read.0, source = "node", %peer);
        }
        note_read(&self.context, &self.router, asked, answer.read, changed);
        Ok(())
    }
}
