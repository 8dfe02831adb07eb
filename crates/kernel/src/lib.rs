//! Microkernel of a process: a single-threaded event loop and a registry through which
//! services find each other by name.
//!
//! The kernel depends on no service. It provides the registry of services and state dumps, a
//! monotonic clock, a clock of the time in which the process ran, logging, metrics and the stop
//! signal; everything else is a service.

mod clock;
mod counters;
mod error;
mod holds;
mod logs;
mod own_time;
mod registry;
mod signals;
mod stop;

pub use clock::MonotonicClock;
pub use counters::MetricCounters;
pub use error::{KernelError, Result};
pub use holds::{LoopHold, mark_step, spawn, spawn_rest, take_longest_hold};
pub use logs::{init_logging, init_stdout_logging};
pub use own_time::{OwnClock, OwnPoint, own_now, own_timeout};
pub use registry::ServiceRegistry;
pub use signals::{RELOAD_SIGNALS, STOP_SIGNALS, SignalListener, SignalPipe, wait_for_signals};
pub use stop::{StopSignal, StopWait};
pub use tracing_appender::non_blocking::WorkerGuard;

pub use compio::time::sleep;

/// Runs `main` to completion on the event loop of this process and returns its value.
///
/// # Errors
/// [`KernelError::EventLoop`] if the event loop cannot be created.
pub fn run<T>(main: impl Future<Output = T>) -> Result<T> {
    let runtime = compio::runtime::Runtime::new().map_err(KernelError::EventLoop)?;
    holds::set_ended(false);
    let output = runtime.block_on(async {
        compio::runtime::spawn(own_time::keep_own_time()).detach();
        main.await
    });
    holds::set_ended(true);
    Ok(output)
}
