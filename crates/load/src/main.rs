//! `yard-load`: load and experiments, one subcommand each.

use argh::FromArgs;
use load::policy::PolicyCommand;

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
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: LoadArguments = argh::from_env();
    match arguments.command {
        LoadCommand::Policy(command) => command.run()?,
    }
    Ok(())
}
