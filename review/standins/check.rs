//! The record of a case.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What a case found.
pub struct Report {
    pub broken: bool,
    pub lines: Vec<String>,
}

impl Report {
    pub fn text(&self) -> String {
        let mut text = self.lines.join("\n");
        text.push('\n');
        text
    }
}

/// A record that all stand-ins of a case write to, with times in seconds since its start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// The report: all lines by time, then the findings.
    pub fn report(&self, broken: bool, findings: Vec<String>) -> Report {
        let mut noted = self.lines.lock().unwrap().clone();
        noted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut lines: Vec<String> =
            noted.into_iter().map(|(at, text)| format!("{at:9.3} {text}")).collect();
        lines.extend(findings);
        lines.push(format!("verdict: {}", if broken { "rule broken" } else { "rule held" }));
        Report { broken, lines }
    }
}
