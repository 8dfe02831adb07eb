//! What a load consists of.

use base::prelude::*;
use config::CallPriority;
use jsonc_parser::ParseOptions;
use serde::Deserialize;

use crate::traffic::{CallerKey, Result, TrafficError};

/// Mixes that can be named in place of a file.
const BUILT_IN: [(&str, &str); 2] = [
    ("cobbler", include_str!("../../mixes/cobbler.jsonc")),
    ("harmattan", include_str!("../../mixes/harmattan.jsonc")),
];

/// What a class of calls does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassKind {
    /// A generation read token by token.
    Streamed,
    /// A generation answered as a whole.
    Whole,
    /// A call of a plain service that may be repeated.
    Lookup,
    /// A call of a plain service that may not be repeated.
    Booking,
}

/// One class of calls.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixClass {
    /// Name in the report.
    pub name: Arc<str>,
    /// What its calls do.
    pub kind: ClassKind,
    /// Whose callers make them; empty for all of the load's.
    #[serde(default)]
    pub workspaces: Vec<WorkspaceId>,
    /// Mean rate of arrivals; they are a Poisson process.
    pub per_second: f64,
    /// Model of a generation.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Service of a plain call.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Least and greatest size of a prompt, in tokens.
    #[serde(default = "default_prompt")]
    pub prompt_tokens: [u32; 2],
    /// Least and greatest hidden length of an output, in tokens; log-uniform between them.
    #[serde(default = "default_length")]
    pub length: [u32; 2],
    /// Limit of the output that the caller states.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Number of different prompt prefixes.
    #[serde(default = "default_prefixes")]
    pub prefixes: u32,
    /// Priority that the caller states, if any.
    #[serde(default)]
    pub priority: Option<CallPriority>,
    /// How long the caller has a use for the answer, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}

fn default_prompt() -> [u32; 2] {
    [50, 500]
}

fn default_length() -> [u32; 2] {
    [20, 200]
}

fn default_max_tokens() -> u32 {
    16_384
}

fn default_prefixes() -> u32 {
    8
}

fn default_deadline() -> u64 {
    30_000
}

/// All classes of a load.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficMix {
    /// The classes.
    pub classes: Vec<MixClass>,
}

impl TrafficMix {
    /// Reads a mix from JSON with comments.
    ///
    /// # Errors
    /// [`TrafficError::Mix`].
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let fault = |message: String| TrafficError::Mix { name: name.to_owned(), message };
        let mix: Self = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| fault(error.to_string()))?;
        for class in &mix.classes {
            class.check().map_err(|reason| fault(format!("class {}: {reason}", class.name)))?;
        }
        Ok(mix)
    }

    /// The built-in mix of this name, or the mix in the file of this name.
    ///
    /// # Errors
    /// [`TrafficError::File`], [`TrafficError::Mix`].
    pub fn load(name: &str) -> Result<Self> {
        if let Some((_, text)) = BUILT_IN.iter().find(|(known, _)| *known == name) {
            return Self::parse(name, text);
        }
        let text = std::fs::read_to_string(name)
            .map_err(|source| TrafficError::File { path: name.into(), source })?;
        Self::parse(name, &text)
    }
}

impl MixClass {
    /// Whether this caller makes its calls.
    #[must_use]
    pub fn is_for(&self, caller: &CallerKey) -> bool {
        self.workspaces.is_empty() || self.workspaces.contains(&caller.workspace)
    }

    fn check(&self) -> std::result::Result<(), &'static str> {
        let generates = matches!(self.kind, ClassKind::Streamed | ClassKind::Whole);
        let ordered = |[least, greatest]: [u32; 2]| 0 < least && least <= greatest;
        if !(self.per_second.is_finite() && self.per_second >= 0.0) {
            Err("per_second is not a rate")
        } else if generates && self.model.is_none() {
            Err("model is missing")
        } else if !generates && self.service.is_none() {
            Err("service is missing")
        } else if !(ordered(self.prompt_tokens) && ordered(self.length) && self.max_tokens > 0) {
            Err("prompt_tokens and length are pairs [least, greatest] from 1")
        } else {
            Ok(())
        }
    }
}
