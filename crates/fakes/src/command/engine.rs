//! `yard-fakes engine`.

use std::net::SocketAddr;

use argh::FromArgs;
use base::{BlockCount, ModelName, RunnerId, TimeSpan};
use fakes::engine::EngineSettings;
use fakes::engine_server::{EngineFake, ServerSettings};
use fakes::{FakeHost, Result};

use super::default_listen;

/// a model engine. Example: yard-fakes engine --runner e1 --models big,small --blocks 2000
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineCommand {
    /// address to listen on, IP:PORT; port 0 for any
    #[argh(option, default = "default_listen()")]
    listen: SocketAddr,
    /// name in reports
    #[argh(option)]
    runner: RunnerId,
    /// models loaded at the start, separated by commas
    #[argh(option, default = "ModelList(Vec::new())", from_str_fn(parse_models))]
    models: ModelList,
    /// memory blocks for running generations
    #[argh(option, default = "EngineSettings::default().total_blocks")]
    blocks: BlockCount,
    /// how many times faster than real time it steps
    #[argh(option, default = "1.0")]
    speed: f64,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    checks_fencing: bool,
    /// age of load reports in milliseconds
    #[argh(option, default = "0")]
    report_lag_ms: u64,
    /// age of cache events in milliseconds
    #[argh(option, default = "0")]
    cache_event_lag_ms: u64,
    /// share of cache events that are lost, 0 to 1
    #[argh(option, default = "0.0")]
    cache_event_loss: f64,
    /// waiting generations above which new ones get 429
    #[argh(option, default = "4_096")]
    waiting_limit: usize,
    /// weight store, IP:PORT; without one models load at once
    #[argh(option)]
    weights: Option<SocketAddr>,
    /// be leaving from the start
    #[argh(switch)]
    leaving: bool,
    /// seed of nonces and losses; random without
    #[argh(option)]
    seed: Option<u64>,
}

struct ModelList(Vec<ModelName>);

fn parse_models(text: &str) -> std::result::Result<ModelList, String> {
    let names = text.split(',').filter(|name| !name.is_empty()).map(str::parse);
    names.collect::<std::result::Result<_, _>>().map(ModelList).map_err(|error| error.to_string())
}

impl EngineCommand {
    /// Serves until a signal to stop.
    pub async fn run(self) -> Result<()> {
        let engine = EngineFake::start(ServerSettings {
            incarnation: rand::random(),
            seed: self.seed.unwrap_or_else(rand::random),
            engine: EngineSettings { total_blocks: self.blocks, ..EngineSettings::default() },
            speed: self.speed,
            checks_fencing: self.checks_fencing,
            report_lag: TimeSpan::millis(self.report_lag_ms),
            cache_event_lag: TimeSpan::millis(self.cache_event_lag_ms),
            cache_event_loss: self.cache_event_loss,
            waiting_limit: self.waiting_limit,
            weights: self.weights,
            leaving: self.leaving,
            ..ServerSettings::new(self.runner, self.models.0)
        });
        let host =
            FakeHost::start(self.listen, move |request| engine.clone().handle(request)).await?;
        host.announce_and_wait().await
    }
}
