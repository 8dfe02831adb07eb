//! `yard-fakes`: one stand-in per subcommand.

mod command;

use std::process::ExitCode;

use command::FakeCommand;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    let command: FakeCommand = argh::from_env();
    match kernel::run(command.run()).map_err(fakes::FakeError::from).and_then(|ended| ended) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yard-fakes: {error}");
            ExitCode::FAILURE
        }
    }
}
