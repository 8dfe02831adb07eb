//! Log lines on standard error.

use settings::{CommonSettings, LogFormat};
use tracing_subscriber::EnvFilter;

/// Starts logging as the settings say.
pub fn start(settings: &CommonSettings) {
    let filter = EnvFilter::new(settings.log_level.to_string());
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Text => lines.init(),
        LogFormat::Json => lines.json().init(),
    }
}
