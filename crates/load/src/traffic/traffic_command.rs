//! `yard-load traffic`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::traffic::{
    CallerKey, Result, TrafficError, TrafficMix, TrafficPlan, TrafficReport, run_traffic,
};

/// Exit code for a broken promise.
const PROMISE_BROKEN: u8 = 1;
/// Exit code for arguments that cannot be used.
const BAD_ARGUMENTS: u8 = 2;

/// Mix that is used when none is named.
const DEFAULT_MIX: &str = "cobbler";

/// Load through the callers' interface; every promise to callers is checked. Exits with 1
/// if one was broken, and with 2 for arguments that cannot be used.
///
/// Example: yard-load traffic --entries 10.0.0.1:8080,10.0.0.2:8080 --caller agency=KEY
/// --seconds 30 --mix mix.jsonc --services 10.0.1.1:9000 --engines 10.0.2.1:9000
#[derive(FromArgs)]
#[argh(subcommand, name = "traffic")]
pub struct TrafficCommand {
    /// addresses of entries that callers know, IP:PORT, separated by commas
    #[argh(option, from_str_fn(parse_addresses))]
    entries: AddressList,
    /// file with one WORKSPACE=KEY a line
    #[argh(option)]
    keys: Option<PathBuf>,
    /// a caller's WORKSPACE=KEY; may be repeated
    #[argh(option)]
    caller: Vec<CallerKey>,
    /// seconds for which calls arrive
    #[argh(option, default = "10")]
    seconds: u64,
    /// seconds to wait for the last answers after that
    #[argh(option, default = "60")]
    drain_seconds: u64,
    /// seed of arrivals, lengths and jitter
    #[argh(option, default = "1")]
    seed: u64,
    /// mix of calls: cobbler, harmattan, or a file of JSON with comments
    #[argh(option, default = "DEFAULT_MIX.to_owned()")]
    mix: String,
    /// direct addresses of booking services, for the check of counts
    #[argh(option, default = "AddressList(Vec::new())", from_str_fn(parse_addresses))]
    services: AddressList,
    /// direct addresses of engines, for preemptions
    #[argh(option, default = "AddressList(Vec::new())", from_str_fn(parse_addresses))]
    engines: AddressList,
    /// table or json
    #[argh(option, default = "ReportFormat::Table", from_str_fn(parse_format))]
    format: ReportFormat,
}

struct AddressList(Vec<SocketAddr>);

#[derive(Clone, Copy)]
enum ReportFormat {
    Table,
    Json,
}

fn parse_addresses(text: &str) -> std::result::Result<AddressList, String> {
    let parse = |part: &str| part.trim().parse().map_err(|_| format!("{part:?} is no IP:PORT"));
    text.split(',').map(parse).collect::<std::result::Result<_, _>>().map(AddressList)
}

fn parse_format(text: &str) -> std::result::Result<ReportFormat, String> {
    match text {
        "table" => Ok(ReportFormat::Table),
        "json" => Ok(ReportFormat::Json),
        _ => Err("expected table or json".to_owned()),
    }
}

impl TrafficCommand {
    /// Runs the load, prints its report, and gives the exit code.
    #[must_use]
    pub fn run(self) -> ExitCode {
        let format = self.format;
        match self.run_plan() {
            Ok(report) => {
                print_report(&report, format);
                if report.is_kept() { ExitCode::SUCCESS } else { ExitCode::from(PROMISE_BROKEN) }
            }
            Err(error) => {
                eprintln!("yard-load traffic: {error}");
                ExitCode::from(BAD_ARGUMENTS)
            }
        }
    }

    fn run_plan(self) -> Result<TrafficReport> {
        let plan = self.plan()?;
        Ok(kernel::run(run_traffic(&plan))?)
    }

    fn plan(self) -> Result<TrafficPlan> {
        let mut callers = self.caller;
        if let Some(path) = &self.keys {
            callers.extend(CallerKey::read_file(path)?);
        }
        if callers.is_empty() {
            return Err(TrafficError::Argument("no callers: give --keys or --caller"));
        }
        let mix = TrafficMix::load(&self.mix)?;
        let uncalled = mix.classes.iter().any(|class| !callers.iter().any(|c| class.is_for(c)));
        if uncalled {
            return Err(TrafficError::Argument("a class of the mix has no caller"));
        }
        Ok(TrafficPlan {
            entries: self.entries.0,
            callers,
            mix,
            seconds: self.seconds,
            drain_seconds: self.drain_seconds,
            seed: self.seed,
            services: self.services.0,
            engines: self.engines.0,
        })
    }
}

fn print_report(report: &TrafficReport, format: ReportFormat) {
    match format {
        ReportFormat::Table => print!("{}", report.table()),
        ReportFormat::Json => match serde_json::to_string_pretty(report) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("yard-load traffic: report as JSON: {error}"),
        },
    }
}
