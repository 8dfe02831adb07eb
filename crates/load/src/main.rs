//! `yard-load`: load and experiments, one subcommand each.

use std::process::ExitCode;

use argh::FromArgs;
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
    Traffic(TrafficCommand),
}

fn main() -> ExitCode {
    let texts: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = texts.iter().skip(1).map(String::as_str).collect();
    match LoadArguments::from_args(&["yard-load"], &words) {
        Ok(arguments) => match arguments.command {
            LoadCommand::Traffic(command) => command.run(),
        },
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
