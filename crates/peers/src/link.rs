//! The connections to peers: one for each peer, opened when it is first needed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::{TimePoint, TimeSpan};
use compio::time::timeout;
use compio_quic::{ClientConfig, Connection, Endpoint, VarInt};
use futures_util::lock::Mutex;
use kernel::MonotonicClock;

use crate::limits::{CONNECT_LIMIT, LINK_LIMIT, MAX_LINKS};
use crate::{PeerError, Result, TLS_NAME};

/// Traffic of the open connections to peers, in both directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerTraffic {
    /// UDP datagrams.
    pub datagrams: u64,
    /// Their payload, in bytes.
    pub bytes: u64,
}

/// One peer's connection.
pub(crate) struct PeerLink {
    connection: Mutex<Option<Connection>>,
    last_use: Cell<TimePoint>,
    calls: Cell<usize>,
}

/// Counts a call on a link while it lasts, so that the link is not closed meanwhile.
pub(crate) struct LinkUse {
    link: Rc<PeerLink>,
}

impl Drop for LinkUse {
    fn drop(&mut self) {
        self.link.calls.set(self.link.calls.get() - 1);
    }
}

/// All connections to peers.
pub(crate) struct LinkTable {
    endpoint: Endpoint,
    config: ClientConfig,
    clock: MonotonicClock,
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
    next_sweep: Cell<TimePoint>,
}

impl LinkTable {
    pub(crate) fn new(endpoint: Endpoint, config: ClientConfig) -> Self {
        Self {
            endpoint,
            config,
            clock: MonotonicClock::new(),
            links: RefCell::default(),
            next_sweep: Cell::default(),
        }
    }

    /// Open connections.
    pub(crate) fn len(&self) -> usize {
        self.links.borrow().len()
    }

    /// Traffic of the open connections; one that is being opened is left out.
    pub(crate) fn traffic(&self) -> PeerTraffic {
        let mut traffic = PeerTraffic::default();
        for link in self.links.borrow().values() {
            let Some(kept) = link.connection.try_lock() else { continue };
            let Some(stats) = kept.as_ref().map(Connection::stats) else { continue };
            for udp in [stats.udp_tx, stats.udp_rx] {
                traffic.datagrams += udp.datagrams;
                traffic.bytes += udp.bytes;
            }
        }
        traffic
    }

    /// Drops all connections; each is closed after its last call.
    pub(crate) fn clear(&self) {
        self.links.borrow_mut().clear();
    }

    /// Marks the link to `peer` as used until the result is dropped.
    pub(crate) fn use_link(&self, peer: SocketAddr) -> LinkUse {
        let now = self.clock.now();
        if now >= self.next_sweep.get() || self.len() >= MAX_LINKS {
            self.sweep(now);
        }
        let link = Rc::clone(self.links.borrow_mut().entry(peer).or_insert_with(|| {
            Rc::new(PeerLink {
                connection: Mutex::new(None),
                last_use: Cell::new(now),
                calls: Cell::new(0),
            })
        }));
        link.last_use.set(now);
        link.calls.set(link.calls.get() + 1);
        LinkUse { link }
    }

    /// An established connection, the open one or a new one, within `limit`.
    pub(crate) async fn connection(
        &self,
        peer: SocketAddr,
        link: &LinkUse,
        limit: TimeSpan,
    ) -> Result<Connection> {
        // Concurrent calls wait here for one handshake.
        let connecting = async {
            let mut kept = link.link.connection.lock().await;
            if let Some(connection) = kept.as_ref().filter(|kept| kept.close_reason().is_none()) {
                return Ok(connection.clone());
            }
            let connection = self.connect(peer).await?;
            *kept = Some(connection.clone());
            Ok(connection)
        };
        timeout(limit.into(), connecting)
            .await
            .map_err(|_| PeerError::NotSentInTime { step: "connect", peer })?
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Connection> {
        let connecting = self
            .endpoint
            .connect(peer, TLS_NAME, Some(self.config.clone()))
            .map_err(|source| PeerError::Start { peer, source })?;
        timeout(CONNECT_LIMIT.into(), connecting)
            .await
            .map_err(|_| PeerError::NotSentInTime { step: "connect", peer })?
            .map_err(|source| PeerError::Connect { step: "connect", peer, source })
    }

    /// Closes links that have been idle for [`LINK_LIMIT`], and the least recently used
    /// idle one of a full table.
    fn sweep(&self, now: TimePoint) {
        self.next_sweep.set(now + LINK_LIMIT);
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| link.calls.get() > 0 || now.since(link.last_use.get()) < LINK_LIMIT);
        if links.len() < MAX_LINKS {
            return;
        }
        let idle = links.iter().filter(|(_, link)| link.calls.get() == 0);
        let oldest = idle.min_by_key(|(_, link)| link.last_use.get()).map(|(peer, _)| *peer);
        if let Some(peer) = oldest {
            links.remove(&peer);
        }
    }
}

/// Code of an orderly close.
pub(crate) const CLOSE_CODE: VarInt = VarInt::from_u32(0);
