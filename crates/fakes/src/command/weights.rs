//! `yard-fakes weights`.

use std::net::SocketAddr;

use argh::FromArgs;
use base::TimeSpan;
use fakes::{FakeHost, Result, WeightFake, WeightSettings};

use super::default_listen;

/// the weight store. Example: yard-fakes weights --loads-per-second 2 --transfer-ms 300
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
pub struct WeightsCommand {
    /// address to listen on, IP:PORT; port 0 for any
    #[argh(option, default = "default_listen()")]
    listen: SocketAddr,
    /// loads taken in any second; 0 for any number
    #[argh(option, default = "0")]
    loads_per_second: usize,
    /// milliseconds of a transfer
    #[argh(option, default = "0")]
    transfer_ms: u64,
}

impl WeightsCommand {
    /// Serves until a signal to stop.
    pub async fn run(self) -> Result<()> {
        let weights = WeightFake::new(WeightSettings {
            transfer: TimeSpan::millis(self.transfer_ms),
            loads_per_second: self.loads_per_second,
        });
        let host =
            FakeHost::start(self.listen, move |request| weights.clone().handle(request)).await?;
        host.announce_and_wait().await
    }
}
