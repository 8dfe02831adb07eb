//! Decides who may keep bytes that were read, so that all of them together have a bound.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Memory of a connection to a peer with that of the caller it serves, in bytes: the library's buffer
/// and the part of a body that it passes on, of 16 KiB each, two buffers of 8 KiB at the caller's, and
/// what a reader keeps free of charge.
pub const CONNECTION_BYTES: usize = 7 * (8 << 10);

/// What bytes are read for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPart {
    /// A call: a peer may keep no more of them than it leaves free.
    Call,
    /// The state that this process works by, which also has the reserve.
    State,
}

/// Bounds of what is kept, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadLimits {
    /// That may be kept in all, without the reserve.
    pub kept: usize,
    /// Further ones, for state only.
    pub reserve: usize,
    /// That connections and what is kept share; the more connections, the less may be kept.
    pub shared: usize,
}

impl ReadLimits {
    /// No bounds.
    pub const NONE: Self = Self { kept: usize::MAX, reserve: 0, shared: usize::MAX };
}

/// The bytes that are kept, by the peer that sent them.
#[derive(Debug)]
pub struct ReadLedger {
    limits: ReadLimits,
    connections: usize,
    held: usize,
    peers: BTreeMap<SocketAddr, usize>,
}

impl ReadLedger {
    /// Nothing kept yet.
    #[must_use]
    pub fn new(limits: ReadLimits) -> Self {
        Self { limits, connections: 0, held: 0, peers: BTreeMap::new() }
    }

    /// Notes a further connection.
    pub fn open_connection(&mut self) {
        self.connections += 1;
    }

    /// Notes the end of a connection.
    pub fn close_connection(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Bytes that are kept in all.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Notes that `bytes` more of `peer` are kept, if they fit. Of calls, a peer may keep as much as
    /// it leaves free: none takes all, and what is left for a further peer shrinks with the number
    /// of peers only.
    #[must_use]
    pub fn take(&mut self, part: ReadPart, peer: SocketAddr, bytes: usize) -> bool {
        let limit = match part {
            ReadPart::Call => self.limit(),
            ReadPart::State => self.limit().saturating_add(self.limits.reserve),
        };
        let held = self.held.saturating_add(bytes);
        let Some(free) = limit.checked_sub(held) else { return false };
        let peer_held = self.peers.get(&peer).copied().unwrap_or_default() + bytes;
        if part == ReadPart::Call && peer_held > free {
            return false;
        }
        self.held = held;
        self.peers.insert(peer, peer_held);
        true
    }

    /// Bytes that may be kept beside the connections, without the reserve.
    fn limit(&self) -> usize {
        let connections = self.connections.saturating_mul(CONNECTION_BYTES);
        self.limits.kept.min(self.limits.shared.saturating_sub(connections))
    }

    /// Notes that `bytes` of `peer` that were taken are no longer kept.
    pub fn give_back(&mut self, peer: SocketAddr, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        let Some(peer_held) = self.peers.get_mut(&peer) else { return };
        *peer_held = peer_held.saturating_sub(bytes);
        if *peer_held == 0 {
            self.peers.remove(&peer);
        }
    }
}
