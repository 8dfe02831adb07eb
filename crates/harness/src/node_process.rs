//! One `yard-node` process under test, with its log lines.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::process::program_path;
use crate::{HarnessError, Result};

/// A running node; it is killed when this is dropped.
pub struct NodeProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
}

impl NodeProcess {
    /// Starts a node with `settings`, written to a file of its own.
    ///
    /// With `read` false nobody reads what the node prints.
    ///
    /// # Errors
    /// If it cannot be started.
    ///
    /// # Panics
    /// Never: its output is piped.
    pub fn start(name: &str, settings: &Value, read: bool) -> Result<Self> {
        let file = format!("yard-node-{}-{name}.jsonc", std::process::id());
        let path = std::env::temp_dir().join(file);
        let io = |source| HarnessError::Io { step: "start", what: "yard-node".into(), source };
        std::fs::write(&path, settings.to_string()).map_err(io)?;
        let mut child = Command::new(program_path("yard-node"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(io)?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        if read {
            let stdout = child.stdout.take().expect("standard output is piped");
            let shared = Arc::clone(&lines);
            std::thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(std::result::Result::ok) {
                    if let Ok(mut lines) = shared.lock() {
                        lines.push(line);
                    }
                }
            });
        }
        Ok(Self { child, lines, settings: path })
    }

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Log lines so far whose field `event` is `name`.
    #[must_use]
    pub fn events(&self, name: &str) -> Vec<Value> {
        let lines = self.lines.lock().map(|lines| lines.clone()).unwrap_or_default();
        let parsed = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        parsed.filter(|line| line["event"] == name).collect()
    }

    /// The most memory that it has had resident, in bytes.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn peak_memory(&self) -> Result<u64> {
        /// Bytes in the unit of the figure.
        const UNIT_BYTES: u64 = 1_024;
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(&path).map_err(|source| HarnessError::Io {
            step: "read",
            what: path,
            source,
        })?;
        let figure = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let units = figure.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        units.map(|units| units * UNIT_BYTES).ok_or(HarnessError::Waited("peak memory".to_owned()))
    }

    /// The settings file.
    #[must_use]
    pub fn settings_path(&self) -> &Path {
        &self.settings
    }

    /// Replaces the settings file, by rename.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn write_settings(&self, text: &str) -> Result<()> {
        let written = self.settings.with_extension("new");
        let renamed =
            std::fs::write(&written, text).and_then(|()| std::fs::rename(&written, &self.settings));
        renamed.map_err(|source| HarnessError::Io {
            step: "write",
            what: self.settings.display().to_string(),
            source,
        })
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// [`HarnessError::Signal`].
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let program = "yard-node".to_owned();
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(|source| HarnessError::Signal { program, source })
    }

    /// Whether it has ended, with its exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
