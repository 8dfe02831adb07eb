//! `yard check`.

use std::path::PathBuf;

use argh::FromArgs;
use config::{FaultLevel, check_files};

use crate::file_set::FileSet;
use crate::{ExitStatus, Result};

/// Check the files of folders, alone and against each other; nothing is sent.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} services/summaries services/bookings",
    note = "Checked are *.service.jsonc, *.workspaces.jsonc and *.overrides.jsonc, also in folders inside."
)]
pub struct CheckCommand {
    /// folders to check, all as one configuration
    #[argh(positional)]
    folders: Vec<PathBuf>,
}

impl CheckCommand {
    pub fn run(self) -> Result<ExitStatus> {
        let set = FileSet::collect(&self.folders)?;
        let files: Vec<(&str, &str)> =
            set.files.iter().map(|(path, text)| (&**path, &**text)).collect();
        let faults = check_files(&files);
        for fault in &faults {
            println!("{fault}");
        }
        let errors = faults.iter().filter(|fault| fault.level == FaultLevel::Error).count();
        println!("{} files checked, {errors} errors", files.len());
        Ok(if errors == 0 { ExitStatus::Done } else { ExitStatus::BadInput })
    }
}
