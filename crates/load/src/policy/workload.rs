//! The two users' workloads at their sizes of today.

use std::fmt;
use std::str::FromStr;

use base::prelude::*;
use config::{CallPriority, PolicyWeights};
use fakes::engine::EngineSettings;

use crate::policy::{CallClass, LengthLaw, PolicyError};

/// Whose workload it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkloadName {
    /// Summaries and labels.
    Cobbler,
    /// Briefings and tags.
    Harmattan,
}

impl fmt::Display for WorkloadName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cobbler => "cobbler",
            Self::Harmattan => "harmattan",
        })
    }
}

impl FromStr for WorkloadName {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        match text {
            "cobbler" => Ok(Self::Cobbler),
            "harmattan" => Ok(Self::Harmattan),
            _ => Err(PolicyError::UnknownName { what: "workload", text: text.into() }),
        }
    }
}

/// A workspace and its part in the load.
#[derive(Debug, Clone)]
pub struct BenchWorkspace {
    /// Its name.
    pub workspace: WorkspaceId,
    /// Its part of the calls, relative to the others.
    pub weight: f64,
    /// How long its outputs are, relative to the class.
    pub length_factor: f64,
}

/// A workload.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Whose it is.
    pub name: WorkloadName,
    /// Number of runners.
    pub runners: usize,
    /// Number of entries.
    pub entries: usize,
    /// Its classes of calls.
    pub classes: Vec<CallClass>,
    /// Its workspaces.
    pub workspaces: Vec<BenchWorkspace>,
    /// Prefixes of each workspace and class.
    pub prefixes: u64,
    /// Calls per second that its runners can just finish.
    pub capacity: f64,
    /// Its engines.
    pub engine: EngineSettings,
    /// What its user weighs.
    pub weights: PolicyWeights,
}

const LONGEST_PROMPT_TOKENS: u32 = 8_000;
const LONGEST_OUTPUT_TOKENS: u32 = 20_000;

/// Highest rate, in calls per second, at which the oracle gives 95 in 100 calls of all
/// classes their first token within 0.75 s (median of the seeds 101 to 105).
const COBBLER_CAPACITY: f64 = 58.0;
/// The same for Harmattan's engines.
const HARMATTAN_CAPACITY: f64 = 39.0;

const fn prompt(median: f64) -> LengthLaw {
    LengthLaw {
        median,
        sigma: 0.6,
        tail_share: 0.0,
        tail_start: 1.0,
        tail_exponent: 1.0,
        longest: LONGEST_PROMPT_TOKENS,
    }
}

const fn output(median: f64, sigma: f64, tail_share: f64, tail_start: f64) -> LengthLaw {
    LengthLaw {
        median,
        sigma,
        tail_share,
        tail_start,
        tail_exponent: 1.3,
        longest: LONGEST_OUTPUT_TOKENS,
    }
}

fn short(name: &'static str, share: f64) -> CallClass {
    CallClass {
        name,
        share,
        priority: CallPriority::Urgent,
        prompt: prompt(150.0),
        prefix_tokens: 128,
        output: output(7.0, 0.5, 0.01, 30.0),
        patience: TimeSpan::seconds(5),
        streamed: false,
    }
}

fn long(name: &'static str, share: f64, priority: CallPriority, streamed: bool) -> CallClass {
    CallClass {
        name,
        share,
        priority,
        prompt: prompt(900.0),
        prefix_tokens: 512,
        output: output(350.0, 0.8, 0.03, 1_200.0),
        patience: TimeSpan::seconds(240),
        streamed,
    }
}

fn workspaces() -> Vec<BenchWorkspace> {
    let weights = [30.0, 22.0, 12.0, 8.0, 7.0, 6.0, 5.0, 4.0, 3.0, 3.0];
    let factors = [1.0, 0.6, 1.8, 0.8, 1.0, 2.5, 0.5, 1.2, 1.0, 0.4];
    let named = weights.iter().zip(factors).enumerate().map(|(i, (&weight, length_factor))| {
        let workspace = format!("workspace-{i}").parse().expect("a valid name");
        BenchWorkspace { workspace, weight, length_factor }
    });
    named.collect()
}

impl Workload {
    /// The workload of this name.
    #[must_use]
    pub fn new(name: WorkloadName) -> Self {
        match name {
            WorkloadName::Cobbler => Self::cobbler(),
            WorkloadName::Harmattan => Self::harmattan(),
        }
    }

    /// The workload's service.
    ///
    /// # Panics
    /// Never: the names are valid.
    #[must_use]
    pub fn service(&self) -> ServiceName {
        self.name.to_string().parse().expect("a valid name")
    }

    fn cobbler() -> Self {
        let summary = CallClass {
            patience: TimeSpan::seconds(300),
            ..long("summary", 0.35, CallPriority::LateTolerant, false)
        };
        Self {
            name: WorkloadName::Cobbler,
            runners: 12,
            entries: 6,
            classes: vec![short("label", 0.65), summary],
            workspaces: workspaces(),
            prefixes: 3,
            capacity: COBBLER_CAPACITY,
            engine: EngineSettings::default(),
            weights: PolicyWeights { preemptions: 3.0, gap_tail: 1.0, stall: 1.0 },
        }
    }

    fn harmattan() -> Self {
        Self {
            name: WorkloadName::Harmattan,
            runners: 9,
            entries: 7,
            classes: vec![
                short("tag", 0.6),
                long("briefing", 0.3, CallPriority::Normal, true),
                long("transcript", 0.1, CallPriority::LateTolerant, false),
            ],
            workspaces: workspaces(),
            prefixes: 3,
            capacity: HARMATTAN_CAPACITY,
            engine: EngineSettings::default(),
            weights: PolicyWeights { preemptions: 1.0, gap_tail: 3.0, stall: 3.0 },
        }
    }
}
