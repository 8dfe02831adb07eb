//! Settings of `yard-steward`.

use std::net::SocketAddr;

use base::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::layers::merge_all;
use crate::{CommonSettings, FieldCheck, SettingsSchema, SharedFields};

/// Range of the intervals and of the exchange timeout.
const INTERVAL_RANGE: (TimeSpan, TimeSpan) = (TimeSpan::millis(10), TimeSpan::seconds(60));
/// Range of `log_retention_ms`.
const RETENTION_RANGE: (TimeSpan, TimeSpan) = (TimeSpan::seconds(1), TimeSpan::seconds(4_000_000));

/// Settings of a steward process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StewardSettings {
    /// Settings shared with the entry.
    pub common: CommonSettings,
    /// UDP address for messages of other stewards and entries.
    pub peer: SocketAddr,
    /// Interval between polls of a runner's report.
    #[serde(rename = "poll_ms", deserialize_with = "crate::millis::deserialize")]
    pub poll_interval: TimeSpan,
    /// Interval between polls of the VM list.
    #[serde(rename = "vm_poll_ms", deserialize_with = "crate::millis::deserialize")]
    pub vm_poll_interval: TimeSpan,
    /// Interval between digests sent to peers.
    #[serde(rename = "digest_ms", deserialize_with = "crate::millis::deserialize")]
    pub digest_interval: TimeSpan,
    /// Timeout of one request to the platform, a peer or a runner.
    #[serde(rename = "exchange_ms", deserialize_with = "crate::millis::deserialize")]
    pub exchange_timeout: TimeSpan,
    /// Retention of records in the platform's log.
    #[serde(rename = "log_retention_ms", deserialize_with = "crate::millis::deserialize")]
    pub log_retention: TimeSpan,
}

impl SettingsSchema for StewardSettings {
    fn defaults() -> Value {
        json!({
            "poll_ms": 250,
            "vm_poll_ms": 1_000,
            "digest_ms": 1_000,
            "exchange_ms": 2_000,
            "log_retention_ms": 86_400_000,
        })
    }

    fn example() -> Value {
        let own = json!({ "peer": "127.0.0.1:8002" });
        merge_all(&[CommonSettings::example(), Self::defaults(), own])
    }

    fn shared_fields() -> Option<SharedFields> {
        Some(CommonSettings::SHARED)
    }

    fn check(&self, check: &mut FieldCheck) {
        self.common.check(check);
        let durations = [
            (self.poll_interval, "poll_ms"),
            (self.vm_poll_interval, "vm_poll_ms"),
            (self.digest_interval, "digest_ms"),
            (self.exchange_timeout, "exchange_ms"),
        ];
        for (duration, field) in durations {
            check.require_range(
                duration.as_millis(),
                field,
                INTERVAL_RANGE.0.as_millis(),
                INTERVAL_RANGE.1.as_millis(),
            );
        }
        let (min, max) = RETENTION_RANGE;
        let retention = self.log_retention.as_millis();
        check.require_range(retention, "log_retention_ms", min.as_millis(), max.as_millis());
    }
}
