//! UDP messages between the nodes: heartbeats, and changes of the list of runners.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use compio::net::UdpSocket;
use futures_channel::mpsc;
use futures_util::StreamExt;
use serving::{
    MessageError, NodeLoad, PeerHeartbeat, PeerMessage, RunnerUpdate, decode_message,
    encode_message,
};

use crate::context::NodeContext;
use crate::crash_watch::apply_input_update;
use crate::dependency::DependencyState;
use crate::evacuation_watch::expire_evacuations;
use crate::follow_runners::apply_peer_update;
use crate::heartbeat_sections::{apply_sections, collect_sections};
use crate::limit_share::limit_update;
use crate::router::RouterService;
use crate::runner_notices::apply_limit_update;
use crate::state_fetcher::StateFetcher;

/// A requested heartbeat is sent no sooner than the heartbeat interval divided by this after
/// the previous one.
const MIN_PAUSE_DIVISOR: u64 = 20;
/// Pause after a socket error.
const SOCKET_RETRY_PAUSE: TimeSpan = TimeSpan::millis(100);
/// Size of the receive buffer: the longest accepted message, in bytes.
const MAX_MESSAGE_BYTES: usize = 60_000;
/// Shortest time between two log lines on messages that cannot be read.
const SKIP_LINE_INTERVAL: TimeSpan = TimeSpan::seconds(10);

/// Exchanges messages with the other nodes.
pub struct PeerLink {
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    socket: UdpSocket,
    /// Sequence number of the last heartbeat sent.
    sequence: Cell<u64>,
    /// When a message that cannot be read is logged again.
    next_skip_line: Cell<TimePoint>,
    fetcher: Rc<StateFetcher>,
    dependency: DependencyState,
}

impl PeerLink {
    /// Binds the UDP socket.
    ///
    /// # Errors
    /// Returns the I/O error if the socket cannot be bound.
    pub async fn open(
        context: &Rc<NodeContext>,
        router: &Rc<RouterService>,
    ) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(context.settings.peer_address()).await?;
        Ok(Rc::new(Self {
            context: Rc::clone(context),
            router: Rc::clone(router),
            socket,
            sequence: Cell::default(),
            next_skip_line: Cell::default(),
            fetcher: StateFetcher::new(context, router),
            dependency: DependencyState::new("other nodes"),
        }))
    }

    /// Sends heartbeats until the process ends: at regular intervals, and early when one is
    /// requested.
    pub async fn run_sending(self: Rc<Self>, mut requests: mpsc::Receiver<()>) {
        loop {
            self.send(&PeerMessage::Heartbeat(Box::new(self.heartbeat()))).await;
            self.prune_tables();
            let span = self.context.peers.borrow().heartbeat_interval();
            let min_pause = TimeSpan(span.0 / MIN_PAUSE_DIVISOR);
            kernel::sleep(min_pause.into()).await;
            let rest = TimeSpan(span.0 - min_pause.0);
            // A request and the end of the interval both trigger the next heartbeat.
            let _ = compio::time::timeout(rest.into(), requests.next()).await;
        }
    }

    /// Sends changes read from the list of runners to the other nodes.
    pub fn send_update(self: &Rc<Self>, update: RunnerUpdate) {
        let link = Rc::clone(self);
        kernel::spawn(async move { link.send(&PeerMessage::RunnerUpdate(update)).await }).detach();
    }

    /// Sends `message` to every known node.
    async fn send(&self, message: &PeerMessage) {
        let bytes = match encode_message(message) {
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
            // A lost message is made up for by the next heartbeat.
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
            peer_address: settings.peer_address(),
            place: settings.place.clone(),
            ready: self.context.is_ready(),
            store_reachable: self.context.is_store_reachable(),
            reaches_runners: !self.context.reach.borrow().is_all_lost(),
            plan_version: self.context.plan_version(),
            store_era: self.context.newest_era(),
            runners_offset: self.context.runners_offset.get(),
            loads: self.router.loads.local_loads(),
            waiting_services: self.router.waiting_services(),
            leaving: self.context.runners.borrow().announced_leaving(),
            input_update: self.context.inputs.borrow().update(self.context.now()),
            limit_update: limit_update(&self.context),
            sections: collect_sections(&self.context, &self.router),
        }
    }

    /// Prunes what is known of other nodes, of inputs of calls and of evacuations, and removes the loads of nodes
    /// that have fallen silent.
    fn prune_tables(&self) {
        self.context.inputs.borrow_mut().prune(self.context.now());
        self.context.limits.borrow_mut().prune(self.context.now());
        expire_evacuations(&self.context, &self.router);
        self.context.cold.borrow_mut().prune(self.context.now());
        self.context.brittle.borrow_mut().prune(self.context.now());
        self.context.members.borrow_mut().prune(self.context.now());
        let silent = self.context.peers.borrow_mut().prune(self.context.now());
        for vm in silent {
            self.context.peer_loads.borrow_mut().remove(&vm);
            self.context.limits.borrow_mut().forget_demand(&vm);
            self.context.fleet_reach.borrow_mut().remove(&vm);
        }
    }

    /// Handles messages of other nodes until the process ends.
    pub async fn run_receiving(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        loop {
            let (received, back) = self.socket.recv_from(buffer).await.into();
            buffer = back;
            match received {
                Ok((length, sender)) => {
                    self.handle_message(sender, &buffer[..length.min(buffer.len())]);
                }
                Err(error) => {
                    self.dependency.record_failure(&error);
                    kernel::sleep(SOCKET_RETRY_PAUSE.into()).await;
                }
            }
            buffer.resize(MAX_MESSAGE_BYTES, 0);
        }
    }

    fn handle_message(self: &Rc<Self>, sender: SocketAddr, bytes: &[u8]) {
        match decode_message(bytes) {
            Ok(PeerMessage::Heartbeat(heartbeat)) => self.handle_heartbeat(*heartbeat),
            Ok(PeerMessage::RunnerUpdate(update)) => {
                apply_peer_update(&self.context, &self.router, update);
            }
            Err(error) => self.skip_message(sender, &error),
        }
    }

    /// Counts a message that cannot be read, and logs it if none was logged lately: during an
    /// update, all messages of nodes with another version are skipped.
    fn skip_message(&self, sender: SocketAddr, error: &MessageError) {
        self.context.metrics.messages_skipped.inc();
        let now = self.context.now();
        if now >= self.next_skip_line.get() {
            self.next_skip_line.set(now + SKIP_LINE_INTERVAL);
            tracing::warn!(event = "message_skipped", %sender, %error);
        }
    }

    fn handle_heartbeat(self: &Rc<Self>, mut heartbeat: PeerHeartbeat) {
        if heartbeat.vm == self.context.settings.vm {
            return;
        }
        self.context.metrics.heartbeats.inc();
        self.context.observe_store_era(heartbeat.store_era, "node");
        let vm = heartbeat.vm.clone();
        // These are kept in other tables; the peer table keeps the rest.
        let leaving = std::mem::take(&mut heartbeat.leaving);
        let input_update = std::mem::take(&mut heartbeat.input_update);
        let limit_update = std::mem::take(&mut heartbeat.limit_update);
        let sections = std::mem::take(&mut heartbeat.sections);
        let loads = std::mem::take(&mut heartbeat.loads);
        let load =
            NodeLoad { loads, waiting_services: std::mem::take(&mut heartbeat.waiting_services) };
        if self.context.peers.borrow_mut().record_heartbeat(self.context.now(), heartbeat) {
            self.context.members.borrow_mut().record(self.context.now(), &vm, None);
            let limits_changed = apply_limit_update(&self.context, &vm, limit_update);
            if self.context.peer_loads.borrow_mut().set(vm.clone(), load) {
                self.router.loads.mark_peers_changed();
            }
            self.router.apply_leaving(&leaving);
            apply_input_update(&self.context, &input_update);
            if limits_changed {
                self.router.update_members();
            }
            apply_sections(&self.context, &self.router, &vm, &sections);
            self.fetcher.fetch_newer();
        }
    }
}
