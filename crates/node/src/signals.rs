//! What signals do to a node: SIGHUP reloads its settings, SIGTERM and SIGINT stop it.
//!
//! Load pattern: an operator's tool writes the settings several times in a row, with a SIGHUP each
//! time, also while the node starts or stops.

use std::rc::Rc;

use kernel::{RELOAD_SIGNALS, STOP_SIGNALS, SignalListener, SignalPipe};
use settings::{NodeSettings, SettingsError};

use crate::context::{NodeContext, retry_budget_settings};
use crate::error::Result;
use crate::metrics::OutcomeLabels;

/// The signals that a node handles, from before it reads its settings.
pub struct NodeSignals {
    /// Signals to stop.
    pub(crate) stop: SignalPipe,
    /// Signals to reload the settings.
    pub(crate) reload: SignalPipe,
}

impl NodeSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// [`crate::NodeError::Kernel`] if one cannot be installed.
    pub fn register() -> Result<Self> {
        let stop = SignalPipe::register(&STOP_SIGNALS)?;
        let reload = SignalPipe::register(&RELOAD_SIGNALS)?;
        Ok(Self { stop, reload })
    }
}

/// Reloads the settings after each SIGHUP, until the process ends. Those that come while the
/// settings are read lead to one more reload, so that the last settings written are in force.
pub async fn follow_reloads(
    context: Rc<NodeContext>,
    mut signals: SignalListener,
    read_settings: impl Fn() -> std::result::Result<NodeSettings, SettingsError>,
) {
    loop {
        match signals.next().await {
            Ok(count) => {
                kernel::mark_step("reload");
                reload_settings(&context, count, read_settings());
            }
            Err(error) => {
                tracing::error!(event = "reload_impossible", %error);
                return;
            }
        }
    }
}

/// Applies the settings that take effect without a restart: the retry budget and the share of
/// hedges.
fn reload_settings(
    context: &NodeContext,
    signals: usize,
    read: std::result::Result<NodeSettings, SettingsError>,
) {
    let outcome = match read {
        Ok(settings) => {
            context.retry_budget.borrow_mut().set_settings(retry_budget_settings(&settings));
            context.hedge_limit.borrow_mut().set_share(settings.hedge_share);
            let hedge_share = settings.hedge_share;
            let applied = "retry budget, hedge share";
            tracing::info!(event = "reload", applied, hedge_share, signals);
            "applied"
        }
        Err(error) => {
            tracing::error!(event = "reload_failed", %error, signals);
            "failed"
        }
    };
    context.metrics.reloads.get_or_create(&OutcomeLabels { outcome, reason: "" }).inc();
}

/// Logs signals to stop that come while the node stops; they change nothing.
pub async fn log_repeated_stops(mut signals: SignalListener) {
    while let Ok(signals) = signals.next().await {
        tracing::info!(event = "stop", step = "repeated", signals);
    }
}
