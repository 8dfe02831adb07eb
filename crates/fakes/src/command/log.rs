//! `yard-fakes log`.

use std::net::SocketAddr;

use argh::FromArgs;
use base::TimeSpan;
use fakes::{FakeHost, LogFake, LogSettings, Result};

use super::default_listen;

/// the platform's log. Example: yard-fakes log --keep-records 1000
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub struct LogCommand {
    /// address to listen on, IP:PORT; port 0 for any
    #[argh(option, default = "default_listen()")]
    listen: SocketAddr,
    /// records kept in each stream; 0 for all
    #[argh(option, default = "0")]
    keep_records: usize,
    /// milliseconds for which records are kept; 0 for ever
    #[argh(option, default = "0")]
    keep_ms: u64,
    /// appends taken in any second; 0 for any number
    #[argh(option, default = "0")]
    appends_per_second: usize,
}

impl LogCommand {
    /// Serves until a signal to stop.
    pub async fn run(self) -> Result<()> {
        let log = LogFake::new(LogSettings {
            keep_records: self.keep_records,
            keep_span: TimeSpan::millis(self.keep_ms),
            appends_per_second: self.appends_per_second,
        });
        let host = FakeHost::start(self.listen, move |request| log.clone().handle(request)).await?;
        host.announce_and_wait().await
    }
}
