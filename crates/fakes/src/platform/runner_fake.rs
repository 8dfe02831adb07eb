//! A runner, with answers that can be spoilt byte by byte.

use std::net::SocketAddr;
use std::rc::Rc;

use kernel::{StopSignal, spawn};
use serde_json::{Value, json};

use super::runner_queue::listen;
use super::runner_server::accept;
use super::runner_settings::RunnerFakeSettings;
use super::runner_state::RunnerState;
use super::stream_memory::StreamMemory;
use crate::{FakeError, Result};

/// A running runner; it ends when it is dropped.
pub struct RunnerFake {
    state: Rc<RunnerState>,
    address: SocketAddr,
}

impl RunnerFake {
    /// Starts a runner at `address`; runners of one test share `memory`.
    ///
    /// # Errors
    /// If the address cannot be had.
    pub async fn start(
        address: SocketAddr,
        settings: RunnerFakeSettings,
        memory: &StreamMemory,
    ) -> Result<Self> {
        let listener = listen(address).await.map_err(FakeError::Announce)?;
        let address = listener.local_addr().map_err(FakeError::Announce)?;
        let state = Rc::new(RunnerState::new(settings, address, memory));
        memory.add_runner(address, state.crashed.clone());
        let shared = Rc::clone(&state);
        spawn(async move { accept(listener, shared).await }).detach();
        Ok(Self { state, address })
    }

    /// What its connections share.
    pub(super) fn state(&self) -> &RunnerState {
        &self.state
    }

    /// Its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.state.settings.id
    }

    /// Raised when it crashes.
    #[must_use]
    pub fn crash_signal(&self) -> StopSignal {
        self.state.crashed.clone()
    }

    /// Its entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        let sequence = self.state.sequence.get() + 1;
        self.state.sequence.set(sequence);
        json!({
            "service": service, "address": self.address, "zone": zone, "version": "v1",
            "slots": 8, "state": state, "coldRemainingMs": self.state.cold_left_ms(),
            "sequence": sequence, "born": 1_000,
        })
    }
}

impl Drop for RunnerFake {
    fn drop(&mut self) {
        self.state.ended.raise();
        self.state.crashed.raise();
    }
}
