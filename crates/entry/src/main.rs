//! `yard-entry`: serves callers.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use entry::{EntryError, Result, run_entry};
use kernel::{STOP_SIGNALS, SignalPipe};
use settings::EntrySettings;

/// Exit code for settings that are not usable.
const BAD_SETTINGS: u8 = 2;

/// Serves callers: lookups, generations, plain services and bookings.
#[derive(FromArgs)]
#[argh(example = "{command_name} --settings entry.jsonc --set queue_limit=500")]
struct EntryArguments {
    /// file with the settings, JSON with comments
    #[argh(option)]
    settings: PathBuf,
    /// a setting that goes before the file, NAME=VALUE; may be repeated
    #[argh(option, long = "set")]
    sets: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: EntryArguments = argh::from_env();
    match start(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ (EntryError::Settings(_) | EntryError::Setting { .. })) => {
            eprintln!("{error}");
            ExitCode::from(BAD_SETTINGS)
        }
        Err(error) => {
            eprintln!("yard-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &EntryArguments) -> Result<()> {
    let stop_signals = SignalPipe::register(&STOP_SIGNALS)?;
    let settings: EntrySettings = settings::read_settings(&arguments.settings, &arguments.sets)?;
    settings.common.init_logging();
    kernel::run(run_entry(settings, stop_signals))?
}
