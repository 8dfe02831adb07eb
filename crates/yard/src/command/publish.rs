//! `yard publish`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;
use base::{LogOffset, PublishId, TimeSpan};
use config::{
    ConfigRecord, ConfigState, FaultLevel, FileChange, PublishRecord, ResetFile, ResetRecord,
    check_drains,
};
use platform::{LogClient, VmListClient};
use serde::Serialize;

use crate::author::author_name;
use crate::config_reader::{CONFIG_STREAM, ConfigReader};
use crate::file_set::FileSet;
use crate::fleet_status::{VmStatus, ask_entries};
use crate::in_force_wait::{WaitOutcome, wait_in_force};
use crate::output::{OutputFormat, print_json};
use crate::publisher::{PublishOutcome, changes, check_merged, describe, publish};
use crate::{ExitStatus, Result, YardError};

/// Time of one exchange with the platform.
const EXCHANGE_LIMIT: TimeSpan = TimeSpan::seconds(5);

/// Publish the files of folders, and wait until they are in force everywhere.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "publish",
    example = "{command_name} services/summaries --log 10.0.0.1:7000 --vms 10.0.0.2:7001 --note \"more room for tags\"",
    note = "Only changed files are sent. A file that a folder of this name held before and no longer holds is removed.",
    error_code(
        1,
        "Rejected, since another publish came first, or not in force everywhere in time."
    ),
    error_code(2, "A file has a fault, or an argument is wrong; nothing was sent."),
    error_code(
        3,
        "The platform cannot be reached: nothing was appended, or the result is not known."
    )
)]
pub struct PublishCommand {
    /// folders to publish, together or not at all
    #[argh(positional)]
    folders: Vec<PathBuf>,
    /// address of the platform's log, IP:PORT
    #[argh(option)]
    log: SocketAddr,
    /// address of the platform's VM list, IP:PORT
    #[argh(option)]
    vms: SocketAddr,
    /// show what would be sent, and send nothing
    #[argh(switch)]
    dry_run: bool,
    /// begin anew with these folders as the whole configuration; only where the log no
    /// longer tells what was in force, and no VM knows it
    #[argh(switch)]
    start_over: bool,
    /// who publishes; the user's name if not given
    #[argh(option)]
    author: Option<String>,
    /// a note for the next shift
    #[argh(option, default = "String::new()")]
    note: String,
    /// seconds to wait until all live VMs have it in force (default 30)
    #[argh(option, default = "30")]
    wait_seconds: u64,
    /// seconds to go on trying while the platform is not reachable (default 15)
    #[argh(option, default = "15")]
    platform_seconds: u64,
    /// table or json (default table)
    #[argh(option, default = "OutputFormat::Table")]
    format: OutputFormat,
}

/// The result, for programs.
#[derive(Serialize)]
struct PublishReport {
    result: &'static str,
    offset: Option<LogOffset>,
    changes: Vec<String>,
    rejected_by: Option<RejectionReport>,
    reason: Option<Arc<str>>,
    live_vms: Option<usize>,
    not_in_force: Vec<LagReport>,
}

impl PublishReport {
    fn unchanged(changes: Vec<String>) -> Self {
        Self {
            result: "unchanged",
            offset: None,
            changes,
            rejected_by: None,
            reason: None,
            live_vms: None,
            not_in_force: Vec::new(),
        }
    }
}

#[derive(Serialize)]
struct RejectionReport {
    file: Arc<str>,
    version: LogOffset,
    author: Arc<str>,
}

#[derive(Serialize)]
struct LagReport {
    vm: String,
    reason: String,
}

impl PublishCommand {
    pub async fn run(self) -> Result<ExitStatus> {
        let set = FileSet::collect(&self.folders)?;
        let client = LogClient::new(self.log, EXCHANGE_LIMIT);
        let mut reader = ConfigReader::new(client);
        let read = reader.read_within(self.platform_limit()).await;
        let after = match (read, self.start_over) {
            (Ok(()), false) => None,
            (Err(YardError::LogGap(_)), true) => Some(self.check_start_over(&client).await?),
            (Ok(()), true) => {
                let reason = "the log tells what is in force; publish without it".to_owned();
                return Err(YardError::Argument { step: "--start-over", reason });
            }
            (Err(error), _) => return Err(error),
        };
        let state = Arc::clone(reader.follower().state());
        if !self.check(&set, &state).await {
            return Ok(ExitStatus::BadInput);
        }
        let changes = changes(&set, &state);
        let mut report = PublishReport::unchanged(describe(&changes, &state));
        for line in &report.changes {
            self.say(line);
        }
        if changes.is_empty() {
            self.say("nothing changed; nothing was sent");
            return Ok(self.finish(&report, ExitStatus::Done));
        }
        if self.dry_run {
            report.result = "dry_run";
            self.say("dry run; nothing was sent");
            return Ok(self.finish(&report, ExitStatus::Done));
        }
        let id = PublishId(rand::random());
        let record = self.record(id, changes, after);
        let outcome = publish(&client, &mut reader, id, &record, self.platform_limit()).await;
        let status = self.tell(outcome, &mut report).await;
        Ok(self.finish(&report, status))
    }

    fn platform_limit(&self) -> TimeSpan {
        TimeSpan::seconds(self.platform_seconds)
    }

    /// The record to append: the changes, or all files as a new beginning after `after`.
    fn record(
        &self,
        id: PublishId,
        files: Vec<FileChange>,
        after: Option<LogOffset>,
    ) -> ConfigRecord {
        let author: Arc<str> = Arc::from(author_name(self.author.clone()));
        let note: Arc<str> = Arc::from(self.note.as_str());
        let Some(after) = after else {
            return ConfigRecord::Publish(PublishRecord { id, author, note, files });
        };
        let file = |change: FileChange| Some(ResetFile { path: change.path, text: change.text? });
        let files = files.into_iter().filter_map(file).collect();
        ConfigRecord::Reset(ResetRecord { id, author, note, after, files })
    }

    /// The newest record of the log, after making sure that no VM knows what is in force.
    async fn check_start_over(&self, client: &LogClient) -> Result<LogOffset> {
        let vms = VmListClient::new(self.vms, EXCHANGE_LIMIT).get().await?;
        let statuses = ask_entries(vms.iter()).await;
        if let Some(holder) = statuses.iter().find(|status| status.has_in_force(LogOffset(1))) {
            let vm = &holder.record.vm;
            let reason =
                format!("{vm} has a configuration in force; its steward writes a checkpoint");
            return Err(YardError::Argument { step: "--start-over", reason });
        }
        let page = client.read(CONFIG_STREAM, LogOffset(1), TimeSpan(0), 1).await?;
        Ok(LogOffset(page.next.0.saturating_sub(1)))
    }

    async fn check(&self, set: &FileSet, state: &ConfigState) -> bool {
        let mut faults = check_merged(set, state);
        let own: Vec<(&str, &str)> =
            set.files.iter().map(|(path, text)| (&**path, &**text)).collect();
        match VmListClient::new(self.vms, EXCHANGE_LIMIT).get().await {
            Ok(vms) => faults.extend(check_drains(&own, &vms)),
            Err(error) => eprintln!("drains are not checked: {error}"),
        }
        for fault in &faults {
            eprintln!("{fault}");
        }
        let good = faults.iter().all(|fault| fault.level < FaultLevel::Error);
        if !good {
            eprintln!("nothing was sent");
        }
        good
    }

    async fn tell(&self, outcome: PublishOutcome, report: &mut PublishReport) -> ExitStatus {
        match outcome {
            PublishOutcome::Accepted(offset) => {
                report.result = "accepted";
                report.offset = Some(offset);
                self.say(&format!("accepted at offset {offset}"));
                self.wait(offset, report).await
            }
            PublishOutcome::Rejected { offset, file, current_version, author } => {
                report.result = "rejected";
                report.offset = Some(offset);
                self.say(&format!(
                    "rejected at offset {offset}: {file} is at version {current_version}, published by \
                     {author}; nothing of this publish is in force. Look at that version, then \
                     publish again"
                ));
                report.rejected_by =
                    Some(RejectionReport { file, version: current_version, author });
                ExitStatus::Rejected
            }
            PublishOutcome::NotAppended(reason) => {
                report.result = "not_appended";
                self.say(&format!("not appended, nothing has changed: {reason}"));
                report.reason = Some(reason);
                ExitStatus::Unreachable
            }
            PublishOutcome::Unknown(reason) => {
                report.result = "unknown";
                self.say(&format!(
                    "not known whether it was appended: {reason}. See yard status later, or \
                     publish again: what stands in the log already is not sent twice"
                ));
                report.reason = Some(reason);
                ExitStatus::Unreachable
            }
        }
    }

    /// Waits until every live VM has `offset` in force.
    async fn wait(&self, offset: LogOffset, report: &mut PublishReport) -> ExitStatus {
        let list = VmListClient::new(self.vms, EXCHANGE_LIMIT);
        match wait_in_force(list, offset, TimeSpan::seconds(self.wait_seconds)).await {
            WaitOutcome::Everywhere { live: 0 } => {
                self.say("no live entry VM on the list; nothing to wait for");
                report.live_vms = Some(0);
                ExitStatus::Done
            }
            WaitOutcome::Everywhere { live } => {
                self.say(&format!("in force on all {live} live VMs"));
                report.live_vms = Some(live);
                ExitStatus::Done
            }
            WaitOutcome::Late { live, late } => {
                report.live_vms = Some(live);
                self.name_late(&late, live, report);
                ExitStatus::Rejected
            }
            WaitOutcome::NoList(error) => {
                self.say(&format!("accepted, but not known where it is in force: {error}"));
                report.reason = Some(Arc::from(error));
                ExitStatus::Unreachable
            }
        }
    }

    fn name_late(&self, late: &[VmStatus], live: usize, report: &mut PublishReport) {
        let (waited, late_count) = (self.wait_seconds, late.len());
        self.say(&format!("not in force on {late_count} of {live} live VMs after {waited} s:"));
        for status in late {
            let (vm, reason) = (status.record.vm.to_string(), status.lag());
            self.say(&format!("  {vm}: {reason}"));
            report.not_in_force.push(LagReport { vm, reason });
        }
    }

    fn say(&self, line: &str) {
        if self.format == OutputFormat::Table {
            println!("{line}");
        }
    }

    fn finish(&self, report: &PublishReport, status: ExitStatus) -> ExitStatus {
        if self.format == OutputFormat::Json {
            print_json(report);
        }
        status
    }
}
