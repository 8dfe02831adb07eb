//! `yard`: the operators' command line.

use std::process::ExitCode;

use argh::FromArgs;
use yard::{ExitStatus, YardCommand};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let command = match YardCommand::from_args(&["yard"], &arguments) {
        Ok(command) => command,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitStatus::Done.into();
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitStatus::BadInput.into();
        }
    };
    match command.run() {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("yard: {error}");
            error.exit_status().into()
        }
    }
}
