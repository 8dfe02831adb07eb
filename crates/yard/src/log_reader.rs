//! Reading the log lines of nodes.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::{Result, YardError};

/// A log line of a node.
#[derive(Debug, Clone)]
pub(crate) struct LogLine {
    /// The node, by its last `start` line before this one; else the name of the file.
    pub node: String,
    /// Its time as written; all nodes write it in one form, which sorts by time.
    pub at: String,
    /// Its kind.
    pub event: String,
    /// All its fields.
    pub fields: Value,
}

impl LogLine {
    /// A field as text; empty if it is not there.
    pub fn text(&self, name: &str) -> String {
        match &self.fields[name] {
            Value::Null => String::new(),
            Value::String(text) => text.clone(),
            value => value.to_string(),
        }
    }
}

/// Reads the lines of all files, or of standard input, that `wants` takes, in order of time.
pub(crate) fn read_logs(
    paths: &[PathBuf],
    wants: impl Fn(&LogLine) -> bool,
) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    if paths.is_empty() {
        collect(Path::new("standard input"), std::io::stdin().lock(), &wants, &mut lines)?;
    }
    for path in paths {
        let file = File::open(path).map_err(|source| unreadable(path, source))?;
        collect(path, BufReader::new(file), &wants, &mut lines)?;
    }
    lines.sort_by(|one, other| one.at.cmp(&other.at));
    Ok(lines)
}

/// Collects lines of one file; what is no log line is skipped.
fn collect(
    path: &Path,
    mut reader: impl BufRead,
    wants: &impl Fn(&LogLine) -> bool,
    lines: &mut Vec<LogLine>,
) -> Result<()> {
    let name = path.file_name().unwrap_or(path.as_os_str());
    let mut node = name.to_string_lossy().into_owned();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let length = reader.read_until(b'\n', &mut bytes);
        if length.map_err(|source| unreadable(path, source))? == 0 {
            return Ok(());
        }
        let Some(line) = decode(&node, &bytes) else { continue };
        if line.event == "start" {
            node = line.text("vm");
        }
        if wants(&line) {
            lines.push(line);
        }
    }
}

fn decode(node: &str, bytes: &[u8]) -> Option<LogLine> {
    let fields: Value = serde_json::from_slice(bytes).ok()?;
    let text = |name: &str| Some(fields[name].as_str()?.to_owned());
    let (at, event) = (text("timestamp")?, text("event")?);
    Some(LogLine { node: node.to_owned(), at, event, fields })
}

fn unreadable(path: &Path, source: std::io::Error) -> YardError {
    YardError::File { step: "read", path: path.display().to_string(), source }
}
