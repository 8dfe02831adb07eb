//! `yard-fakes vms`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use base::TimeSpan;
use fakes::{FakeError, FakeHost, Result, VmFake, VmSettings, VmTable};

use super::default_listen;

/// the platform's VM list. Example: yard-fakes vms --lag-ms 500 --file vms.json
#[derive(FromArgs)]
#[argh(subcommand, name = "vms")]
pub struct VmsCommand {
    /// address to listen on, IP:PORT; port 0 for any
    #[argh(option, default = "default_listen()")]
    listen: SocketAddr,
    /// milliseconds by which reads lag
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// file with the first list, as PUT /vms takes it; empty without
    #[argh(option)]
    file: Option<PathBuf>,
}

impl VmsCommand {
    /// Serves until a signal to stop.
    pub async fn run(self) -> Result<()> {
        let table = self.file.as_deref().map(read_table).transpose()?.unwrap_or_default();
        let vms = VmFake::new(VmSettings { lag: TimeSpan::millis(self.lag_ms), table });
        let host = FakeHost::start(self.listen, move |request| vms.clone().handle(request)).await?;
        host.announce_and_wait().await
    }
}

fn read_table(path: &Path) -> Result<VmTable> {
    let bytes =
        std::fs::read(path).map_err(|source| FakeError::File { path: path.to_owned(), source })?;
    serde_json::from_slice(&bytes)
        .map_err(|source| FakeError::Json { path: path.to_owned(), source })
}
