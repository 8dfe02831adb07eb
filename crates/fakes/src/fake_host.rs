//! A stand-in's server, in a process of its own or inside a test.

use std::io::Write as _;
use std::net::SocketAddr;

use kernel::{StopSignal, spawn};
use web::{ServerLimits, WebRequest, WebResponse, WebServer};

use crate::{FakeError, Result};

/// A running server; it ends when the host is dropped.
pub struct FakeHost {
    address: SocketAddr,
    stop: StopSignal,
}

impl FakeHost {
    /// Listens on `address` (port 0 for any) and serves `handler`.
    ///
    /// # Errors
    /// [`FakeError::Web`].
    pub async fn start<F>(
        address: SocketAddr,
        handler: impl Fn(WebRequest) -> F + Clone + 'static,
    ) -> Result<Self>
    where
        F: Future<Output = WebResponse> + 'static,
    {
        let server = WebServer::bind(address, ServerLimits::default()).await?;
        let stop = StopSignal::new();
        let address = server.address();
        let server_stop = stop.clone();
        spawn(async move { server.serve(server_stop, handler).await }).detach();
        Ok(Self { address, stop })
    }

    /// The address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Prints the address as the first line and serves until a signal to stop.
    ///
    /// # Errors
    /// [`FakeError::Announce`], [`FakeError::Kernel`].
    pub async fn announce_and_wait(self) -> Result<()> {
        let mut out = std::io::stdout();
        writeln!(out, "listening {}", self.address).map_err(FakeError::Announce)?;
        out.flush().map_err(FakeError::Announce)?;
        Ok(kernel::wait_for_signals().await?)
    }
}

impl Drop for FakeHost {
    fn drop(&mut self) {
        self.stop.raise();
    }
}
