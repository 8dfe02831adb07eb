//! Which addresses a caller uses, as the system told it.

use std::cell::RefCell;
use std::net::SocketAddr;

use base::{TimePoint, TimeSpan, prelude::Arc};
use hyper::Method;
use kernel::MonotonicClock;
use serde::Deserialize;

use crate::traffic::{CallReply, CallerKey, ReplyBody};

/// Time for one look-up.
const LOOKUP_LIMIT: TimeSpan = TimeSpan::seconds(2);

/// Answer of `GET /v1/addresses`.
#[derive(Debug, Clone, Deserialize)]
struct LookupAnswer {
    addresses: Vec<SocketAddr>,
    #[serde(default)]
    home_tag: String,
    expires_in_ms: u64,
}

/// What one workspace's callers know.
pub struct AddressBook {
    clock: MonotonicClock,
    caller: CallerKey,
    known: Vec<SocketAddr>,
    state: RefCell<BookState>,
}

#[derive(Default)]
struct BookState {
    addresses: Vec<SocketAddr>,
    home_tag: Arc<str>,
    expires: TimePoint,
    lookups: u64,
    failed_lookups: u64,
}

impl AddressBook {
    /// A book that knows these addresses only.
    pub fn new(clock: MonotonicClock, caller: CallerKey, known: Vec<SocketAddr>) -> Self {
        Self { clock, caller, known, state: RefCell::default() }
    }

    /// Whose book it is.
    pub fn caller(&self) -> &CallerKey {
        &self.caller
    }

    /// The addresses to use, best first; the known ones if no look-up succeeds.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        self.refresh().await;
        let state = self.state.borrow();
        if state.addresses.is_empty() { self.known.clone() } else { state.addresses.clone() }
    }

    /// The home tag for a new booking; empty if no look-up succeeds.
    pub async fn home_tag(&self) -> Arc<str> {
        self.refresh().await;
        self.state.borrow().home_tag.clone()
    }

    /// Makes the next use look up again.
    pub fn forget(&self) {
        self.state.borrow_mut().expires = TimePoint::default();
    }

    /// Moves an address that failed to the end.
    pub fn demote(&self, peer: SocketAddr) {
        let mut state = self.state.borrow_mut();
        if let Some(at) = state.addresses.iter().position(|address| *address == peer) {
            let address = state.addresses.remove(at);
            state.addresses.push(address);
        }
    }

    /// Look-ups made, and those of them that failed.
    pub fn lookups(&self) -> (u64, u64) {
        let state = self.state.borrow();
        (state.lookups, state.failed_lookups)
    }

    async fn refresh(&self) {
        if self.clock.now() < self.state.borrow().expires {
            return;
        }
        let mut peers = self.state.borrow().addresses.clone();
        peers.extend(self.known.iter().filter(|peer| !peers.contains(peer)).collect::<Vec<_>>());
        for peer in peers {
            self.state.borrow_mut().lookups += 1;
            if let Some(answer) = self.look_up(peer).await {
                let mut state = self.state.borrow_mut();
                state.addresses = answer.addresses;
                state.home_tag = Arc::from(answer.home_tag);
                state.expires = self.clock.now() + TimeSpan::millis(answer.expires_in_ms);
                return;
            }
            self.state.borrow_mut().failed_lookups += 1;
        }
    }

    async fn look_up(&self, peer: SocketAddr) -> Option<LookupAnswer> {
        let key = format!("Bearer {}", self.caller.secret);
        let headers = [("authorization", key.as_str())];
        let reply = CallReply::send(
            peer,
            Method::GET,
            "/v1/addresses",
            &headers,
            String::new(),
            LOOKUP_LIMIT,
        );
        let ReplyBody::Whole(bytes) = reply.await.ok()?.body else { return None };
        serde_json::from_slice(&bytes).ok()
    }
}
