//! Signals of the operating system, as messages to the event loop.
//!
//! Load pattern: signals come in series and while others are being handled. A handler stays in
//! place until the process ends, so that the default action, which ends it, is never in force.

use std::os::unix::net::UnixStream as BlockingStream;

use compio::buf::BufResult;
use compio::io::AsyncRead;
use compio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::{KernelError, Result};

/// Signals that ask the process to stop.
pub const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];
/// Signals that tell the process that its settings have changed.
pub const RELOAD_SIGNALS: [i32; 1] = [SIGHUP];

/// Signals that one read can take; more are taken by the next one.
const READ_SIGNALS: usize = 256;

/// Handlers of some signals, and the pipe that they write one byte to for each signal.
pub struct SignalPipe {
    received: BlockingStream,
}

impl SignalPipe {
    /// Installs handlers, which stay until the process ends. Signals are kept until
    /// [`SignalListener::next`] takes them.
    ///
    /// # Errors
    /// [`KernelError::Signal`] if a handler cannot be installed.
    pub fn register(signals: &[i32]) -> Result<Self> {
        let (received, sent) = BlockingStream::pair().map_err(KernelError::Signal)?;
        for signal in signals {
            let sent = sent.try_clone().map_err(KernelError::Signal)?;
            signal_hook::low_level::pipe::register(*signal, sent).map_err(KernelError::Signal)?;
        }
        Ok(Self { received })
    }

    /// Passes the signals to the event loop of this thread.
    ///
    /// # Errors
    /// [`KernelError::Signal`] if the event loop cannot read the pipe.
    pub fn listen(self) -> Result<SignalListener> {
        let received = UnixStream::from_std(self.received).map_err(KernelError::Signal)?;
        Ok(SignalListener { received })
    }
}

/// Receives the signals of a [`SignalPipe`] on the event loop.
pub struct SignalListener {
    received: UnixStream,
}

impl SignalListener {
    /// Waits until at least one signal has come since the last call, and returns how many have.
    /// A full pipe takes no more, so that this is a lower bound.
    ///
    /// # Errors
    /// [`KernelError::Signal`] if the pipe cannot be read.
    pub async fn next(&mut self) -> Result<usize> {
        let BufResult(count, _) = self.received.read(Vec::with_capacity(READ_SIGNALS)).await;
        count.map_err(KernelError::Signal)
    }
}

/// Waits for a signal to stop. Later ones have no effect.
///
/// # Errors
/// [`KernelError::Signal`] if the signals cannot be awaited.
pub async fn wait_for_signals() -> Result<()> {
    SignalPipe::register(&STOP_SIGNALS)?.listen()?.next().await.map(drop)
}
