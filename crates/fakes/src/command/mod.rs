//! Subcommands: one file each.

mod engine;
mod log;
mod service;
mod vms;
mod weights;

use argh::FromArgs;
use fakes::Result;

/// Small stand-ins for what is outside the system. Each prints `listening IP:PORT` first
/// and takes faults on `POST /fault`.
#[derive(FromArgs)]
pub struct FakeCommand {
    #[argh(subcommand)]
    fake: FakeKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum FakeKind {
    Engine(engine::EngineCommand),
    Log(log::LogCommand),
    Service(service::ServiceCommand),
    Vms(vms::VmsCommand),
    Weights(weights::WeightsCommand),
}

impl FakeCommand {
    /// Runs the stand-in until a signal to stop.
    pub async fn run(self) -> Result<()> {
        match self.fake {
            FakeKind::Engine(command) => command.run().await,
            FakeKind::Log(command) => command.run().await,
            FakeKind::Service(command) => command.run().await,
            FakeKind::Vms(command) => command.run().await,
            FakeKind::Weights(command) => command.run().await,
        }
    }
}

/// Any free port of the loopback interface.
fn default_listen() -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 0))
}
