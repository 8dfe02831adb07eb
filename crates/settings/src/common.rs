//! Settings shared by `yard-entry` and `yard-steward`.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use base::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{FieldCheck, KeySettings, SharedFields};

/// Names of the fields of [`CommonSettings`], which a file has at its top level.
pub const COMMON_FIELDS: &[&str] =
    &["vm", "place", "region", "log", "vm_list", "keys", "log_format", "log_level", "metrics"];

/// Output format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Minimum severity of the log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator's action.
    Error,
    /// Conditions that may need an operator's action.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Individual decisions.
    Debug,
    /// All log lines.
    Trace,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        })
    }
}

impl FromStr for LogLevel {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_value(Value::from(text))
    }
}

/// Settings shared by `yard-entry` and `yard-steward`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// Name of this machine.
    pub vm: VmId,
    /// Failure domain of this machine.
    pub place: PlaceName,
    /// Region of the failure domain.
    #[serde(default)]
    pub region: Option<Arc<str>>,
    /// HTTP address of the platform's log.
    pub log: SocketAddr,
    /// HTTP address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Signing keys and TLS credentials.
    pub keys: KeySettings,
    /// Output format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Minimum severity of log lines.
    #[serde(default)]
    pub log_level: LogLevel,
    /// UDP address of the statsd server that receives the metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

impl CommonSettings {
    /// Initializes logging of this process with the configured format and level.
    pub fn init_logging(&self) {
        let json = self.log_format == LogFormat::Json;
        kernel::init_logging(&self.log_level.to_string(), json);
    }

    /// Maps the top-level common fields to the field `common` of the settings structs.
    pub(crate) const SHARED: SharedFields = SharedFields { inner: "common", fields: COMMON_FIELDS };

    pub(crate) fn example() -> Value {
        let pem = |kind: &str| format!("-----BEGIN {kind}-----\n-----END {kind}-----\n");
        json!({
            "vm": "vm-1",
            "place": "place-1",
            "region": null,
            "log": "127.0.0.1:7000",
            "vm_list": "127.0.0.1:7001",
            "keys": {
                "signing": [{ "id": 1, "secret_hex": "00".repeat(32) }],
                "certificate": pem("CERTIFICATE"),
                "private_key": pem("PRIVATE KEY"),
                "authority": pem("CERTIFICATE"),
            },
            "log_format": "text",
            "log_level": "info",
            "metrics": null,
        })
    }

    pub(crate) fn check(&self, check: &mut FieldCheck) {
        self.keys.check(check);
    }
}
