//! `yard status`.

use std::fmt::Write as _;
use std::net::SocketAddr;

use argh::FromArgs;
use base::{LogOffset, TimeSpan, VmState};
use config::HistoryLine;
use platform::{LogClient, VmListClient};
use serde::Serialize;

use crate::config_reader::ConfigReader;
use crate::fleet_status::{VmStatus, ask_entries};
use crate::output::{OutputFormat, print_json, show_age, table};
use crate::{ExitStatus, Result};

/// Time of one exchange with the platform.
const EXCHANGE_LIMIT: TimeSpan = TimeSpan::seconds(5);
/// Publish records that the table shows.
const SHOWN_RECORDS: usize = 10;

/// Show each VM and its configuration in force, and who published what when.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --log 10.0.0.1:7000 --vms 10.0.0.2:7001",
    error_code(
        1,
        "A live VM does not answer, or does not have the newest configuration in force."
    ),
    error_code(3, "The VM list cannot be reached.")
)]
pub struct StatusCommand {
    /// address of the platform's log, IP:PORT
    #[argh(option)]
    log: SocketAddr,
    /// address of the platform's VM list, IP:PORT
    #[argh(option)]
    vms: SocketAddr,
    /// table or json (default table)
    #[argh(option, default = "OutputFormat::Table")]
    format: OutputFormat,
}

#[derive(Serialize)]
struct StatusReport {
    /// The newest accepted record; none if the log cannot be read.
    accepted: Option<LogOffset>,
    log_error: Option<String>,
    vms: Vec<VmStatus>,
    history: Vec<HistoryLine>,
}

impl StatusCommand {
    pub async fn run(self) -> Result<ExitStatus> {
        let mut reader = ConfigReader::new(LogClient::new(self.log, EXCHANGE_LIMIT));
        let read = reader.read_on().await;
        let list = VmListClient::new(self.vms, EXCHANGE_LIMIT).get().await?;
        let report = StatusReport {
            accepted: read.is_ok().then(|| reader.follower().accepted()),
            log_error: read.err().map(|error| error.to_string()),
            vms: ask_entries(list.iter()).await,
            history: reader.history(),
        };
        match self.format {
            OutputFormat::Table => print!("{}", report.show()),
            OutputFormat::Json => print_json(&report),
        }
        Ok(if report.is_current() { ExitStatus::Done } else { ExitStatus::Rejected })
    }
}

impl StatusReport {
    fn is_current(&self) -> bool {
        let live = |vm: &&VmStatus| vm.record.state == VmState::Live;
        let offset = self.accepted.unwrap_or_default();
        self.vms.iter().filter(live).all(|vm| vm.has_in_force(offset))
    }

    fn show(&self) -> String {
        let mut text = match (&self.accepted, &self.log_error) {
            (Some(offset), _) => format!("accepted up to offset {offset}\n\n"),
            (None, error) => format!("log: {}\n\n", error.clone().unwrap_or_default()),
        };
        let heads = [
            "vm", "place", "state", "in force", "view age", "peers", "runners", "calls", "crowded",
        ];
        let mut rows = vec![heads.map(str::to_owned).to_vec()];
        rows.extend(self.vms.iter().map(vm_row));
        text.push_str(&table(&rows));
        for status in &self.vms {
            let files =
                status.answer.iter().flat_map(|answer| answer.unusable_files.iter().flatten());
            for file in files {
                let (vm, path) = (&status.record.vm, &file.path);
                let _ =
                    writeln!(text, "{vm} cannot use {path} of {}: {}", file.version, file.reason);
            }
        }
        let heads = ["offset", "age", "author", "result", "files", "note"];
        let mut rows = vec![heads.map(str::to_owned).to_vec()];
        rows.extend(self.history.iter().rev().take(SHOWN_RECORDS).map(history_row));
        text.push('\n');
        text.push_str(&table(&rows));
        text
    }
}

fn vm_row(status: &VmStatus) -> Vec<String> {
    let record = &status.record;
    let Some(answer) = &status.answer else {
        let error = status.error.clone().unwrap_or_default();
        return vec![
            record.vm.to_string(),
            record.place.to_string(),
            format!("no answer: {error}"),
        ];
    };
    let state = match (record.state, answer.leaving, answer.cut_off) {
        (VmState::Leaving, ..) | (_, true, _) => "leaving",
        (VmState::Live, _, true) => "cut off",
        (VmState::Live, ..) => "live",
    };
    let runners = match answer.runners_leaving {
        0 => answer.runners.to_string(),
        leaving => format!("{} ({leaving} leaving)", answer.runners),
    };
    vec![
        record.vm.to_string(),
        record.place.to_string(),
        state.to_owned(),
        answer.config_offset.to_string(),
        show_age(answer.view_age_ms),
        answer.entries.saturating_sub(1).to_string(),
        runners,
        answer.calls.to_string(),
        answer.crowded.join(", "),
    ]
}

fn history_row(line: &HistoryLine) -> Vec<String> {
    vec![
        line.offset.to_string(),
        show_age(line.age_ms),
        line.author.to_string(),
        line.outcome.to_string(),
        line.files.join(", "),
        line.note.to_string(),
    ]
}
