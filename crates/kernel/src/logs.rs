//! Logging setup: to standard error, or to standard output through a non-blocking writer.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Log lines buffered for a slow reader of standard output; lines beyond this are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Initializes logging to standard error at `level` and above, as JSON or as text.
pub fn init_logging(level: &str, json: bool) {
    let filter = EnvFilter::new(level);
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if json {
        subscriber.json().init();
    } else {
        subscriber.init();
    }
}

/// Initializes structured logging to standard output, one JSON object per line.
///
/// A separate thread writes the lines, so that a reader that stops reading never blocks the
/// event loop; lines that do not fit into the buffer are dropped. Dropping the guard flushes
/// the buffer and ends logging.
pub fn init_stdout_logging(level: &str) -> WorkerGuard {
    let builder =
        NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LINES).lossy(true);
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
