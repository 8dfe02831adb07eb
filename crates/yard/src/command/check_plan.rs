//! `yard check-plan`.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use platform::{OperatorConfig, decode_entries};
use serde_json::json;

use crate::output::print_json;
use crate::plan_check::{Finding, FindingLevel, check_config, check_version};
use crate::plan_difference::{PlanChange, compare_configs, compare_keys};
use crate::{ExitStatus, Result, YardError};

/// Check a configuration for the key `config` of the topic `keyed.op`; nothing is sent.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check-plan",
    example = "{command_name} config.json --in-force current.json",
    note = "Differences to the version in force do not change the exit code. API keys are not shown.",
    error_code(0, "Nothing found."),
    error_code(1, "Only warnings."),
    error_code(2, "Errors."),
    error_code(3, "A file cannot be read.")
)]
pub struct CheckPlanCommand {
    /// file with the configuration as JSON
    #[argh(positional)]
    file: PathBuf,
    /// file with the configuration in force, to compare with
    #[argh(option)]
    in_force: Option<PathBuf>,
    /// print the findings as JSON
    #[argh(switch)]
    json: bool,
}

impl CheckPlanCommand {
    pub fn run(self) -> Result<ExitStatus> {
        let text = read(&self.file)?;
        let in_force = self.in_force.as_deref().map(read).transpose()?;
        let mut findings = Vec::new();
        let mut changes = Vec::new();
        let config = decode("field", &text, &mut findings);
        let in_force = in_force.and_then(|text| decode("in force: field", &text, &mut findings));
        if let Some(config) = &config {
            findings.extend(check_config(config));
        }
        if let (Some(config), Some(in_force)) = (&config, &in_force) {
            findings.extend(check_version(config, in_force));
            changes.extend(compare_configs(in_force, config));
            changes.extend(compare_keys(in_force, config));
        }
        let errors = findings.iter().filter(|found| found.level == FindingLevel::Error).count();
        if self.json {
            print_json(&json!({ "findings": findings, "changes": changes }));
        } else {
            print_lines(&findings, &changes, errors);
        }
        Ok(match (errors, findings.len()) {
            (0, 0) => ExitStatus::Done,
            (0, _) => ExitStatus::Rejected,
            _ => ExitStatus::BadInput,
        })
    }
}

fn read(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path)
        .map_err(|source| YardError::PlanFile { path: path.display().to_string(), source })
}

/// Decodes a configuration; a fault becomes a finding of the field, which `label` precedes.
fn decode(label: &str, text: &[u8], findings: &mut Vec<Finding>) -> Option<OperatorConfig> {
    decode_entries(text)
        .map_err(|fault| {
            findings.push(Finding::error(format!("{label} {}", fault.path), fault.reason));
        })
        .ok()
}

fn print_lines(findings: &[Finding], changes: &[PlanChange], errors: usize) {
    for change in changes {
        println!("{change}");
    }
    for finding in findings {
        println!("{finding}");
    }
    println!("{errors} errors, {} warnings", findings.len() - errors);
}
