//! One real process under test.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::{HarnessError, Result};

/// Start of the line by which a process says that it is ready.
const READY_LINE: &str = "listening ";

/// A running process; it is killed when this is dropped.
pub struct TestProcess {
    name: String,
    child: Child,
    address: SocketAddr,
}

impl TestProcess {
    /// Starts `program` and waits until it prints `listening IP:PORT`.
    ///
    /// # Errors
    /// If it cannot be started, or ends before it is ready.
    ///
    /// # Panics
    /// Never: its output is piped.
    pub fn start(program: &str, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(program_path(program))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(stderr_target())
            .spawn()
            .map_err(|source| HarnessError::Io { step: "start", what: program.into(), source })?;
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut reader = BufReader::new(stdout);
        let mut line = String::new();
        let _ = reader.read_line(&mut line);
        let address = line.trim().strip_prefix(READY_LINE).and_then(|text| text.parse().ok());
        let Some(address) = address else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(HarnessError::NotReady { program: program.into(), output: line });
        };
        // A pipe that nobody reads would stop the process once it is full.
        std::thread::spawn(move || {
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
        });
        Ok(Self { name: program.into(), child, address })
    }

    /// The address that it announced.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Kills it at once.
    ///
    /// # Errors
    /// [`HarnessError::Signal`].
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)?;
        let _ = self.child.wait();
        Ok(())
    }

    /// Stops its execution, as a paused machine does.
    ///
    /// # Errors
    /// [`HarnessError::Signal`].
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues its execution.
    ///
    /// # Errors
    /// [`HarnessError::Signal`].
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop gracefully.
    ///
    /// # Errors
    /// [`HarnessError::Signal`].
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Whether it has ended, with its exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal)
            .map_err(|source| HarnessError::Signal { program: self.name.clone(), source })
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a tool to its end and gives its exit code and what it printed on both outputs.
///
/// # Errors
/// If it cannot be started.
///
/// # Panics
/// Never: its output is piped.
pub fn run_tool(program: &str, arguments: &[String]) -> Result<(i32, String)> {
    let mut child = Command::new(program_path(program))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|source| HarnessError::Io { step: "start", what: program.into(), source })?;
    let mut errors = child.stderr.take().expect("standard error is piped");
    let reader = std::thread::spawn(move || {
        let mut text = String::new();
        let _ = errors.read_to_string(&mut text);
        text
    });
    let mut text = String::new();
    if let Some(mut output) = child.stdout.take() {
        let _ = output.read_to_string(&mut text);
    }
    text.push_str(&reader.join().unwrap_or_default());
    let status = child.wait().map_err(|source| HarnessError::Io {
        step: "wait",
        what: program.into(),
        source,
    })?;
    Ok((status.code().unwrap_or(-1), text))
}

/// Where the programs of this build are: beside the running one, or above its `deps`.
#[must_use]
pub fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().map(PathBuf::from).unwrap_or_default();
    let folder = if folder.ends_with("deps") { folder.join("..") } else { folder };
    folder.join(program)
}

fn stderr_target() -> Stdio {
    if std::env::var_os("YARD_TEST_LOGS").is_some() { Stdio::inherit() } else { Stdio::null() }
}
