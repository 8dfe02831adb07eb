//! Log lines on standard error, or on standard output without ever blocking.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait for a slow reader of standard output; further ones are dropped.
const WAITING_LINES: usize = 4_096;

/// Starts the log lines of this process: those of `level` and more severe ones, as JSON
/// or as text.
pub fn start_logs(level: &str, json: bool) {
    let filter = EnvFilter::new(level);
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if json {
        lines.json().init();
    } else {
        lines.init();
    }
}

/// Starts the structured lines of a service on standard output, one JSON object each.
///
/// A thread writes them, so that a reader who stands still never blocks the loop; lines
/// beyond the waiting ones are dropped. The lines end when the guard is dropped.
pub fn start_output_lines(level: &str) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(WAITING_LINES).lossy(true);
    let (writer, guard) = builder.finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(EnvFilter::new(level))
        .with_writer(writer)
        .init();
    guard
}
