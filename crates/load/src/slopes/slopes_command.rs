//! `yard-load slopes`.

use std::process::ExitCode;

use argh::FromArgs;
use base::TimeSpan;

use super::{FleetSize, run_cell, run_news, run_wire};

/// Lengths of messages for the cost on the wire, in bytes.
const MESSAGE_BYTES: [usize; 4] = [50, 200, 500, 1_000];

/// how the stewards' cost grows with machines, runners and entries; sizes are written
/// MACHINES:PLACES:RUNNERS:ENTRIES
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesCommand {
    /// size of a fleet of which one cell is run; may be repeated
    #[argh(option)]
    cell: Vec<FleetSize>,
    /// size of a fleet over which news is spread; may be repeated
    #[argh(option)]
    news: Vec<FleetSize>,
    /// milliseconds between two polls of a runner by one of its owners
    #[argh(option, default = "250")]
    poll_ms: u64,
    /// measure what an exchange costs on the wire
    #[argh(switch)]
    wire: bool,
}

impl SlopesCommand {
    /// Runs what was asked for, and prints tables.
    #[must_use]
    pub fn run(self) -> ExitCode {
        if self.wire
            && let Err(error) = print_wire()
        {
            eprintln!("yard-load slopes: {error}");
            return ExitCode::FAILURE;
        }
        if !self.cell.is_empty() {
            print_cells(&self.cell, TimeSpan::millis(self.poll_ms));
        }
        if !self.news.is_empty() {
            print_news(&self.news);
        }
        ExitCode::SUCCESS
    }
}

fn print_wire() -> Result<(), Box<dyn std::error::Error>> {
    println!("message_bytes wire_bytes datagrams micros   (one exchange)");
    for bytes in MESSAGE_BYTES {
        let figures = kernel::run(run_wire(bytes))??;
        println!(
            "{:13} {:10.0} {:9.1} {:6.0}",
            figures.message_bytes, figures.wire_bytes, figures.datagrams, figures.micros
        );
    }
    Ok(())
}

fn print_cells(sizes: &[FleetSize], poll: TimeSpan) {
    println!(
        "size cell peers polled exchanges/s digest_bytes make_us take_us report_us tick_us \
         polls_us view_us view_bytes desk_bytes   (one steward)"
    );
    for size in sizes {
        let cell = run_cell(*size, poll);
        println!(
            "{size} {} {} {:.1} {:.1} {:.0} {:.1} {:.1} {:.2} {:.0} {:.0} {:.0} {:.0} {:.0}",
            cell.cell,
            cell.peers,
            cell.polled,
            cell.exchanges,
            cell.digest_bytes,
            cell.make_micros,
            cell.take_micros,
            cell.report_micros,
            cell.tick_micros,
            cell.polls_micros,
            cell.view_micros,
            cell.view_bytes,
            cell.desk_bytes,
        );
    }
}

fn print_news(sizes: &[FleetSize]) {
    println!("size event rounds exchanges records bytes   (all stewards)");
    for size in sizes {
        for (event, news) in ["start", "quiet", "death", "return"].iter().zip(run_news(*size)) {
            println!(
                "{size} {event} {} {} {} {}",
                news.rounds, news.exchanges, news.records, news.bytes
            );
        }
    }
}
