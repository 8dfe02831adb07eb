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
use crate::follow_configuration::apply_plan;
use crate::follow_runners::{apply_peer_update, record_read};
use crate::peer_server::{PLAN_PATH, RUNNERS_PATH, RunnersAnswer};
use crate::router::RouterService;

/// Part of the time between two heartbeats that passes at least when new calls ask for one.
const MIN_PAUSE_DIVISOR: u64 = 20;
/// Pause after a failure of the socket.
const SOCKET_RETRY_PAUSE: TimeSpan = TimeSpan::millis(100);
/// Longest heartbeat, in bytes.
const MAX_MESSAGE_BYTES: usize = 60_000;
/// Age of the own list of runners from which a node that has read further is asked.
const STALE_LIST_SPAN: TimeSpan = TimeSpan::millis(500);
/// Time for one exchange with another node.
const PEER_TIMEOUT: TimeSpan = TimeSpan::millis(700);

/// The link of this node to the others.
pub struct PeerLink {
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    socket: UdpSocket,
    sequence: Cell<u64>,
    fetching: Cell<bool>,
    dependency: DependencyState,
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
            dependency: DependencyState::new("other nodes"),
        }))
    }

    /// Sends heartbeats until the process ends: regularly, and when one is `wanted`.
    pub async fn run_sending(self: Rc<Self>, mut wanted: mpsc::Receiver<()>) {
        loop {
            self.send(&PeerMessage::Heartbeat(self.heartbeat())).await;
            self.remove_silent();
            let span = self.context.peers.borrow().heartbeat_interval();
            let least = TimeSpan(span.0 / MIN_PAUSE_DIVISOR);
            kernel::sleep(least.into()).await;
            let rest = TimeSpan(span.0 - least.0);
            // Either is a reason to go on.
            let _ = compio::time::timeout(rest.into(), wanted.next()).await;
        }
    }

    /// Tells the others what was read of the list of runners.
    pub fn send_update(self: &Rc<Self>, update: RunnerUpdate) {
        let link = Rc::clone(self);
        kernel::spawn(async move { link.send(&PeerMessage::RunnerUpdate(update)).await }).detach();
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

    fn heartbeat(&self) -> PeerHeartbeat {
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
            store_reachable: self.context.is_store_reachable(),
            plan_version: self.context.plan_version(),
            runners_offset: self.context.runners_offset.get(),
            loads: self.router.local_loads(),
            waiting_services: self.router.waiting_services(),
            leaving: self.context.runners.borrow().announced_leaving(),
        }
    }

    fn remove_silent(&self) {
        let silent = self.context.peers.borrow_mut().prune(self.context.now());
        for vm in silent {
            self.context.peer_loads.borrow_mut().remove(&vm);
        }
    }

    /// Takes the heartbeats of others until the process ends.
    pub async fn run_receiving(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        loop {
            let (received, back) = self.socket.recv_from(buffer).await.into();
            buffer = back;
            match received {
                Ok((length, _)) => self.handle_message(&buffer[..length.min(buffer.len())]),
                Err(error) => {
                    self.dependency.record_failure(&error);
                    kernel::sleep(SOCKET_RETRY_PAUSE.into()).await;
                }
            }
            buffer.resize(MAX_MESSAGE_BYTES, 0);
        }
    }

    fn handle_message(self: &Rc<Self>, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(PeerMessage::Heartbeat(heartbeat)) => self.handle_heartbeat(heartbeat),
            Ok(PeerMessage::RunnerUpdate(update)) => {
                apply_peer_update(&self.context, &self.router, update);
            }
            Err(error) => tracing::debug!(event = "message_skipped", %error),
        }
    }

    fn handle_heartbeat(self: &Rc<Self>, mut heartbeat: PeerHeartbeat) {
        if heartbeat.vm == self.context.settings.vm {
            return;
        }
        self.context.metrics.heartbeats.inc();
        let vm = heartbeat.vm.clone();
        // These have books of their own; the table of nodes keeps the rest.
        let leaving = std::mem::take(&mut heartbeat.leaving);
        let loads = std::mem::take(&mut heartbeat.loads);
        let load =
            NodeLoad { loads, waiting_services: std::mem::take(&mut heartbeat.waiting_services) };
        if self.context.peers.borrow_mut().record_heartbeat(self.context.now(), heartbeat) {
            if self.context.peer_loads.borrow_mut().set(vm, load) {
                self.router.mark_loads_changed();
            }
            self.router.apply_leaving(&leaving);
            self.fetch_newer();
        }
    }

    /// Asks a node that knows more, one at a time.
    fn fetch_newer(self: &Rc<Self>) {
        if self.fetching.get() {
            return;
        }
        let now = self.context.now();
        let peers = self.context.peers.borrow();
        // Any of the holders, so that a change spreads without a crowd at the first one.
        let holders = peers.peers_with_newer_plan(now, self.context.plan_version());
        let plan = holders.choose(&mut rand::rng()).copied();
        let is_stale = self.context.runners_age() > STALE_LIST_SPAN;
        let read = self.context.runners_offset.get();
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
            Ok(()) => self.dependency.record_success(),
            Err(error) => self.dependency.record_failure(&error),
        }
    }

    async fn fetch_plan(&self, peer: SocketAddr) -> Result<()> {
        let step = "configuration of another node";
        let plan: ServingPlan = fetch_json(step, peer, PLAN_PATH, PEER_TIMEOUT).await?;
        apply_plan(&self.context, &self.router, plan, "node");
        Ok(())
    }

    async fn fetch_runners(&self, peer: SocketAddr) -> Result<()> {
        let asked = self.context.now();
        let step = "runners of another node";
        let answer: RunnersAnswer = fetch_json(step, peer, RUNNERS_PATH, PEER_TIMEOUT).await?;
        if answer.read <= self.context.runners_offset.get() {
            return Ok(());
        }
        let records: Vec<RunnerRecord> = answer.runners;
        let changed = self.context.runners.borrow_mut().replace(self.context.now(), records);
        if changed {
            tracing::info!(event = "runners_taken", read = answer.read.0, source = "node", %peer);
        }
        record_read(&self.context, &self.router, asked, answer.read, changed);
        Ok(())
    }
}
