//! `yard-load`: load and experiments, one subcommand each.

use std::process::ExitCode;

use argh::FromArgs;
use load::policy::PolicyCommand;
use load::slopes::SlopesCommand;
use load::traffic::TrafficCommand;

/// Exit code for arguments that cannot be used.
const BAD_ARGUMENTS: u8 = 2;

/// Load and experiments for dotterelyard.
#[derive(FromArgs)]
struct LoadArguments {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Policy(PolicyCommand),
    Slopes(SlopesCommand),
    Traffic(TrafficCommand),
}

fn main() -> ExitCode {
    let texts: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = texts.iter().skip(1).map(String::as_str).collect();
    match LoadArguments::from_args(&["yard-load"], &words) {
        Ok(arguments) => run(arguments.command),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            ExitCode::from(BAD_ARGUMENTS)
        }
    }
}

fn run(command: LoadCommand) -> ExitCode {
    match command {
        LoadCommand::Policy(command) => command.run().map_or_else(
            |error| {
                eprintln!("yard-load policy: {error}");
                ExitCode::from(BAD_ARGUMENTS)
            },
            |()| ExitCode::SUCCESS,
        ),
        LoadCommand::Slopes(command) => command.run(),
        LoadCommand::Traffic(command) => command.run(),
    }
}
