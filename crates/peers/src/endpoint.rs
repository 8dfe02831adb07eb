//! One process's end of the transport: it calls peers and serves them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use base::TimeSpan;
use compio::buf::bytes::Bytes;
use compio::net::UdpSocket;
use compio::time::timeout;
use compio_quic::{ClientConfig, Connection, Endpoint, RecvStream, SendStream, ServerConfig};
use kernel::MonotonicClock;

use crate::envelope::{MAX_MESSAGE_BYTES, decode_message, encode_message};
use crate::limits::{CONFIRM_LIMIT, transport_config};
use crate::link::{CLOSE_CODE, LinkTable, LinkUse, PeerTraffic};
use crate::stream::read_message;
use crate::{PeerError, PeerKeys, PeerReply, PeerRequest, RejectReason, Result};

/// An endpoint bound to one UDP address; clones share it.
///
/// It keeps one connection to each peer, with one bidirectional stream for each request.
/// It never sends a request again once a byte of it may have been written: the peer may
/// have acted on it.
#[derive(Clone)]
pub struct PeerEndpoint {
    pub(crate) inner: Rc<EndpointState>,
}

pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    pub(crate) counts: PeerCounts,
    address: SocketAddr,
    links: LinkTable,
}

/// Present load of an endpoint, and the rejections since its start.
#[derive(Default)]
pub(crate) struct PeerCounts {
    pub(crate) connections: Cell<usize>,
    pub(crate) requests: Cell<usize>,
    pub(crate) rejected: Cell<u64>,
}

impl PeerEndpoint {
    /// Binds to `address`.
    ///
    /// # Errors
    /// [`PeerError::Keys`] and [`PeerError::Bind`].
    pub async fn bind(address: SocketAddr, keys: &PeerKeys) -> Result<Self> {
        let transport = transport_config();
        let mut server = ServerConfig::with_crypto(Arc::new(keys.server()?));
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(Arc::new(keys.client()?));
        client.transport_config(transport);
        let bind_error = |source| PeerError::Bind { address, source };
        let socket = UdpSocket::bind(address).await.map_err(bind_error)?;
        let config = keys.restart_key(address).endpoint_config();
        let endpoint = Endpoint::new(socket, config, Some(server), None).map_err(bind_error)?;
        let address = endpoint.local_addr().map_err(bind_error)?;
        let links = LinkTable::new(endpoint.clone(), client);
        let counts = PeerCounts::default();
        Ok(Self { inner: Rc::new(EndpointState { endpoint, counts, address, links }) })
    }

    /// The UDP address that it is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Open connections to peers.
    #[must_use]
    pub fn links(&self) -> usize {
        self.inner.links.len()
    }

    /// Traffic of the open connections to peers.
    #[must_use]
    pub fn traffic(&self) -> PeerTraffic {
        self.inner.links.traffic()
    }

    /// Connections that peers opened.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.inner.counts.connections.get()
    }

    /// Requests in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.inner.counts.requests.get()
    }

    /// Requests and connections rejected since its start.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.inner.counts.rejected.get()
    }

    /// Sends `request` once to `peer`, and returns its reply within `limit`.
    ///
    /// # Errors
    /// [`PeerError::may_have_run`] tells whether the peer may have acted on the request.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
        limit: TimeSpan,
    ) -> Result<PeerReply> {
        let bytes = encode_message("request", &request)?;
        let limits = (bytes.len(), MAX_MESSAGE_BYTES);
        if limits.0 > limits.1 {
            return Err(PeerError::RequestTooLong { peer, bytes: limits.0, limit: limits.1 });
        }
        let clock = MonotonicClock::new();
        let link = self.inner.links.use_link(peer);
        let (sender, receiver) = self.open_stream(peer, &link, limit).await?;
        let left = TimeSpan(limit.0.saturating_sub(clock.now().0));
        timeout(left.into(), exchange(peer, bytes, sender, receiver))
            .await
            .map_err(|_| PeerError::Deadline { peer })?
    }

    /// Closes all connections; call it after [`PeerEndpoint::serve`] has ended.
    pub async fn close(&self) {
        self.inner.links.clear();
        self.inner.endpoint.close(CLOSE_CODE, b"stopping");
        let idle = async {
            while self.inner.endpoint.open_connections() > 0 {
                compio::time::sleep(TimeSpan::millis(5).into()).await;
            }
        };
        // Peers that do not confirm it in time drop the connection at their idle timeout.
        let _ = timeout(CONFIRM_LIMIT.into(), idle).await;
    }

    /// Opens a stream. Nothing has been written yet, so a lost connection is replaced once.
    async fn open_stream(
        &self,
        peer: SocketAddr,
        link: &LinkUse,
        limit: TimeSpan,
    ) -> Result<(SendStream, RecvStream)> {
        let opening = async {
            let connection = self.inner.links.connection(peer, link, limit).await?;
            if let Ok(stream) = open(peer, &connection).await {
                return Ok(stream);
            }
            let connection = self.inner.links.connection(peer, link, limit).await?;
            open(peer, &connection).await
        };
        timeout(limit.into(), opening)
            .await
            .map_err(|_| PeerError::NotSentInTime { step: "open stream", peer })?
    }
}

async fn open(peer: SocketAddr, connection: &Connection) -> Result<(SendStream, RecvStream)> {
    connection.open_bi_wait().await.map_err(|source| PeerError::Connect {
        step: "open stream",
        peer,
        source,
    })
}

async fn exchange(
    peer: SocketAddr,
    bytes: Vec<u8>,
    mut sender: SendStream,
    mut receiver: RecvStream,
) -> Result<PeerReply> {
    let written = sender.write_all_chunks(&mut [Bytes::from(bytes)]).await;
    if written.is_ok() {
        let _ = sender.finish();
    }
    // A peer that rejects a request stops this stream, and resets the other half with its
    // reason as the code.
    let reply = read_message(&mut receiver, MAX_MESSAGE_BYTES).await;
    match (written, reply) {
        (_, Ok(Some(bytes))) => decode_message("reply", &bytes),
        (_, Ok(None)) => Err(PeerError::ReplyTooLong { peer, limit: MAX_MESSAGE_BYTES }),
        (written, Err(compio_quic::ReadError::Reset(code))) => {
            if let Some(reason) = RejectReason::from_code(code.into_inner()) {
                return Err(PeerError::Rejected { peer, reason });
            }
            let source = compio_quic::ReadError::Reset(code);
            written.map_err(|source| PeerError::Write { peer, source })?;
            Err(PeerError::Read { peer, source })
        }
        (Err(source), Err(_)) => Err(PeerError::Write { peer, source }),
        (Ok(()), Err(source)) => Err(PeerError::Read { peer, source }),
    }
}
