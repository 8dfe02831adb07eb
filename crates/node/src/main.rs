//! Entry point of `yard-node`, which serves callers on one machine of the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use node::{NodeError, NodeSignals, Result, run_node};
use settings::NodeSettings;

/// Exit code when the settings are missing or invalid.
const INVALID_SETTINGS: u8 = 2;

/// Serves callers on one machine: look-ups, streams and plain calls.
#[derive(FromArgs)]
#[argh(example = "{command_name} --settings node.jsonc --set log_level=debug")]
struct NodeArguments {
    /// path of the settings file (JSON with comments)
    #[argh(option)]
    settings: PathBuf,
    /// override a setting of the file, NAME=VALUE; may be repeated
    #[argh(option, long = "set")]
    sets: Vec<String>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: NodeArguments = argh::from_env();
    match start(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ NodeError::Settings(_)) => {
            eprintln!("{error}");
            ExitCode::from(INVALID_SETTINGS)
        }
        Err(error) => {
            eprintln!("yard-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &NodeArguments) -> Result<()> {
    let read_settings = {
        let (path, sets) = (arguments.settings.clone(), arguments.sets.clone());
        move || settings::read_settings::<NodeSettings>(&path, &sets)
    };
    if arguments.check {
        return Ok(read_settings().map(drop)?);
    }
    let signals = NodeSignals::register()?;
    let settings = read_settings()?;
    let _log_guard = kernel::init_stdout_logging(&settings.log_level.to_string());
    kernel::run(run_node(settings, signals, read_settings))?
}
