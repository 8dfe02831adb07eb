//! `yard-fakes service`.

use std::net::SocketAddr;

use argh::FromArgs;
use base::RunnerId;
use fakes::{FakeHost, Result, ServiceFake, ServiceSettings};

use super::default_listen;

/// a plain service. Example: yard-fakes service --runner bookings-1
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceCommand {
    /// address to listen on, IP:PORT; port 0 for any
    #[argh(option, default = "default_listen()")]
    listen: SocketAddr,
    /// name in reports
    #[argh(option)]
    runner: RunnerId,
}

impl ServiceCommand {
    /// Serves until a signal to stop.
    pub async fn run(self) -> Result<()> {
        let settings = ServiceSettings { runner: self.runner, incarnation: rand::random() };
        let service = ServiceFake::new(settings);
        let host =
            FakeHost::start(self.listen, move |request| service.clone().handle(request)).await?;
        host.announce_and_wait().await
    }
}
