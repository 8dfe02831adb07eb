//! What an engine's stand-in starts with.

use std::net::SocketAddr;

use base::prelude::*;

use crate::engine::EngineSettings;

/// Settings of one engine's stand-in.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Its name in reports.
    pub runner: RunnerId,
    /// Random number of this start.
    pub incarnation: u64,
    /// Seed of nonces and of lost cache events.
    pub seed: u64,
    /// Sizes and costs.
    pub engine: EngineSettings,
    /// Models loaded at the start.
    pub models: Vec<ModelName>,
    /// How many times faster than real time it steps.
    pub speed: f64,
    /// It refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Age of load reports.
    pub report_lag: TimeSpan,
    /// Age of cache events.
    pub cache_event_lag: TimeSpan,
    /// Share of cache events that are lost, from 0 to 1.
    pub cache_event_loss: f64,
    /// Waiting generations above which it answers 429.
    pub waiting_limit: usize,
    /// Where weights come from; none: models load at once.
    pub weights: Option<SocketAddr>,
    /// How long a generation goes on without a reader.
    pub reader_grace: TimeSpan,
    /// How long the tokens of an ended attempt can be read.
    pub keep_span: TimeSpan,
    /// It is leaving from the start.
    pub leaving: bool,
}

impl ServerSettings {
    /// An engine of the default size without any lag or loss.
    #[must_use]
    pub fn new(runner: RunnerId, models: Vec<ModelName>) -> Self {
        Self {
            runner,
            incarnation: 1,
            seed: 1,
            engine: EngineSettings::default(),
            models,
            speed: 1.0,
            checks_fencing: false,
            report_lag: TimeSpan::default(),
            cache_event_lag: TimeSpan::default(),
            cache_event_loss: 0.0,
            waiting_limit: 4_096,
            weights: None,
            reader_grace: TimeSpan::seconds(10),
            keep_span: TimeSpan::seconds(30),
            leaving: false,
        }
    }
}
