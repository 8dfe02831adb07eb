//! `yard explain`.

use std::path::PathBuf;

use argh::FromArgs;
use serde_json::{Value, json};

use crate::log_reader::{LogLine, read_logs};
use crate::output::{OutputFormat, print_json, table};
use crate::request_trace::{RequestTrace, describe, may_matter};
use crate::{ExitStatus, Result};

/// Show one request's way over all nodes and what explains its end, from the nodes' log lines.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} d57b2fa3fd2374a0 node-*.log",
    note = "Without files the lines are read from standard input. Exits with 1 if no line has the id."
)]
pub struct ExplainCommand {
    /// id of the attempt (X-Dotterelyard-Attempt-Id)
    #[argh(positional)]
    id: String,
    /// files with the lines of one node each
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// table (the default) or json
    #[argh(option, default = "OutputFormat::default()")]
    format: OutputFormat,
}

impl ExplainCommand {
    pub fn run(self) -> Result<ExitStatus> {
        let lines = read_logs(&self.files, |line| may_matter(line, &self.id))?;
        let trace = RequestTrace::find(&lines, &self.id);
        match self.format {
            OutputFormat::Json => print_json(&report(&trace)),
            OutputFormat::Table => print_table(&self.id, &trace),
        }
        Ok(if trace.steps.is_empty() { ExitStatus::Rejected } else { ExitStatus::Done })
    }
}

fn print_table(id: &str, trace: &RequestTrace<'_>) {
    if trace.steps.is_empty() {
        println!("no line has the id {id}");
        return;
    }
    print!("{}", table(&rows(&trace.steps)));
    if let Some(meaning) = trace.meaning {
        println!("\nwhy: {meaning}");
    }
    print!("{}", table(&rows(&trace.causes)));
}

/// Time, node and what happened.
fn rows(lines: &[&LogLine]) -> Vec<Vec<String>> {
    lines.iter().map(|line| vec![line.at.clone(), line.node.clone(), describe(line)]).collect()
}

fn report(trace: &RequestTrace<'_>) -> Value {
    let show = |lines: &[&LogLine]| -> Vec<Value> {
        lines.iter().map(|line| json!({ "node": line.node, "line": line.fields })).collect()
    };
    json!({ "steps": show(&trace.steps), "why": trace.meaning, "causes": show(&trace.causes) })
}
