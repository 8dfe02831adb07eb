//! The subcommands, one file each.

mod check;
mod check_plan;
mod dump;
mod explain;
mod keys;
mod publish;
mod status;

use argh::FromArgs;

use crate::{ExitStatus, Result};

use check::CheckCommand;
use check_plan::CheckPlanCommand;
use dump::DumpCommand;
use explain::ExplainCommand;
use keys::KeysCommand;
use publish::PublishCommand;
use status::StatusCommand;

/// Operate dotterelyard: check and publish its files, and see what is in force.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} check samples/cobbler",
    example = "{command_name} publish samples/cobbler --log 10.0.0.1:7000 --vms 10.0.0.2:7001",
    error_code(0, "Done."),
    error_code(1, "Rejected, or not in force everywhere in time."),
    error_code(2, "Arguments or files are wrong; nothing was done."),
    error_code(3, "The platform or a VM cannot be reached: the result is not known.")
)]
pub struct YardCommand {
    #[argh(subcommand)]
    action: YardAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum YardAction {
    Check(CheckCommand),
    CheckPlan(CheckPlanCommand),
    Publish(PublishCommand),
    Status(StatusCommand),
    Dump(DumpCommand),
    Explain(ExplainCommand),
    Keys(KeysCommand),
}

impl YardCommand {
    /// Carries the command out.
    ///
    /// # Errors
    /// [`crate::YardError`], which knows how to exit.
    pub fn run(self) -> Result<ExitStatus> {
        match self.action {
            YardAction::Check(command) => command.run(),
            YardAction::CheckPlan(command) => command.run(),
            YardAction::Publish(command) => kernel::run(command.run())?,
            YardAction::Status(command) => kernel::run(command.run())?,
            YardAction::Dump(command) => kernel::run(command.run())?,
            YardAction::Explain(command) => command.run(),
            YardAction::Keys(command) => command.run(),
        }
    }
}
