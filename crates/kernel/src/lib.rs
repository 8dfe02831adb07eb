//! The micro-kernel: one loop on one thread, and services that find each other by name.
//!
//! The kernel knows no service. It holds a registry of services and state dumps, a
//! monotonic clock and the signal to stop; everything else is a service.

mod clock;
mod counters;
mod error;
mod logs;
mod registry;
mod stop;

pub use clock::MonotonicClock;
pub use counters::MetricCounters;
pub use error::{KernelError, Result};
pub use logs::{init_logging, init_stdout_logging};
pub use registry::ServiceRegistry;
pub use stop::{StopSignal, StopWait, wait_for_signals};
pub use tracing_appender::non_blocking::WorkerGuard;

pub use compio::runtime::spawn;
pub use compio::time::sleep;

/// Runs `main` to its end on the one loop of this process, and returns its value.
///
/// # Errors
/// [`KernelError::EventLoop`] if the loop cannot be set up.
pub fn run<T>(main: impl Future<Output = T>) -> Result<T> {
    let runtime = compio::runtime::Runtime::new().map_err(KernelError::EventLoop)?;
    Ok(runtime.block_on(main))
}
