//! Settings of `yard-node`.

use std::net::{IpAddr, SocketAddr};

use base::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{FieldCheck, LogLevel, SettingsSchema};

/// Maximum of `memory_mb`, in MiB.
const MAX_MEMORY_MB: u32 = 1 << 20;
/// Maximum of `descriptors`.
const MAX_DESCRIPTORS: usize = 1 << 20;
/// Minimum number of file descriptors that a node needs to work.
const MIN_DESCRIPTORS: usize = 64;
/// Slowest and fastest network link, in Mbit/s.
const LINK_MBPS_RANGE: [f64; 2] = [0.1, 1_000_000.0];
/// Maximum of `stop_seconds` and `retry_window_seconds`.
const MAX_SECONDS: f64 = 3_600.0;
/// Maximum of `hedge_share`. More second sends than this would be a load of their own.
const MAX_HEDGE_SHARE: f64 = 0.1;
/// Maximum of `cold_overshoot`.
const MAX_COLD_OVERSHOOT: f64 = 100.0;

/// Settings of a node process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of this machine.
    pub vm: VmId,
    /// Failure domain of this machine.
    pub place: PlaceName,
    /// HTTP address of the platform's store.
    pub store: SocketAddr,
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address of the readiness check.
    pub readiness: SocketAddr,
    /// HTTP address of the service that resolves addresses.
    pub lookups: SocketAddr,
    /// IP address of this machine.
    pub ip: IpAddr,
    /// UDP and HTTP port for other nodes.
    pub peer_port: u16,
    /// Port of the metrics page.
    pub metrics_port: u16,
    /// Memory limit of the process, in MiB.
    pub memory_mb: u32,
    /// File descriptor limit of the process; it bounds the number of caller connections.
    pub descriptors: usize,
    /// Bandwidth of the machine's network link, in Mbit/s.
    pub link_mbps: f64,
    /// How long a leaving runner continues to serve.
    #[serde(rename = "drain_ms", deserialize_with = "crate::millis::deserialize")]
    pub drain: TimeSpan,
    /// Maximum time from the stop signal to process exit, in seconds.
    pub stop_seconds: f64,
    /// Retries allowed per request, over all nodes.
    pub retry_ratio: f64,
    /// Retries allowed in each window in addition to `retry_ratio`, over all nodes.
    pub retry_slack: f64,
    /// Length of the retry budget window, in seconds.
    pub retry_window_seconds: f64,
    /// Hedges allowed per request, over all nodes; 0 turns them off.
    pub hedge_share: f64,
    /// Multiple of its rate that a cold runner bears in any one second, over all nodes.
    pub cold_overshoot: f64,
    /// Requests that a cold runner bears in any one second in addition, over all nodes.
    pub cold_start_slack: f64,
    /// Minimum severity of log lines.
    pub log_level: LogLevel,
}

impl SettingsSchema for NodeSettings {
    fn defaults() -> Value {
        json!({
            "metrics_port": 9_464,
            "link_mbps": 10.0,
            "hedge_share": 0.0,
            "cold_overshoot": 1.5,
            "cold_start_slack": 5.0,
            "log_level": "info",
        })
    }

    fn example() -> Value {
        json!({
            "vm": "vm-1",
            "place": "place-1",
            "store": "127.0.0.1:7000",
            "callers": "127.0.0.1:8000",
            "readiness": "127.0.0.1:8001",
            "lookups": "127.0.0.1:8002",
            "ip": "127.0.0.1",
            "peer_port": 7_200,
            "metrics_port": 9_464,
            "memory_mb": 110,
            "descriptors": 4_100,
            "link_mbps": 1_000.0,
            "drain_ms": 2_000,
            "stop_seconds": 8.0,
            "retry_ratio": 0.2,
            "retry_slack": 50.0,
            "retry_window_seconds": 10.0,
            "hedge_share": 0.0,
            "cold_overshoot": 1.5,
            "cold_start_slack": 5.0,
            "log_level": "info",
        })
    }

    fn check(&self, check: &mut FieldCheck) {
        check.require_range(self.memory_mb, "memory_mb", 1, MAX_MEMORY_MB);
        check.require_range(self.descriptors, "descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS);
        let [slowest, fastest] = LINK_MBPS_RANGE;
        check.require_range(self.link_mbps, "link_mbps", slowest, fastest);
        check.require_range(self.stop_seconds, "stop_seconds", 0.0, MAX_SECONDS);
        check.require_range(self.retry_ratio, "retry_ratio", 0.0, 1.0);
        check.require_range(self.retry_slack, "retry_slack", 0.0, f64::from(u32::MAX));
        check.require_range(self.hedge_share, "hedge_share", 0.0, MAX_HEDGE_SHARE);
        check.require_range(self.retry_window_seconds, "retry_window_seconds", 0.1, MAX_SECONDS);
        check.require_range(self.cold_overshoot, "cold_overshoot", 1.0, MAX_COLD_OVERSHOOT);
        check.require_range(self.cold_start_slack, "cold_start_slack", 0.0, f64::from(u32::MAX));
    }
}

impl NodeSettings {
    /// UDP and HTTP address for other nodes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Maximum time from the stop signal to process exit.
    #[must_use]
    pub fn stop_timeout(&self) -> TimeSpan {
        seconds(self.stop_seconds)
    }

    /// Length of the retry budget window.
    #[must_use]
    pub fn retry_window(&self) -> TimeSpan {
        seconds(self.retry_window_seconds)
    }
}

fn seconds(value: f64) -> TimeSpan {
    std::time::Duration::from_secs_f64(value).into()
}
