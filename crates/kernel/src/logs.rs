//! Log lines on standard error.

use tracing_subscriber::EnvFilter;

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
