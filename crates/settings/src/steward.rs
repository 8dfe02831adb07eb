//! Settings of `yard-steward`.

use std::net::SocketAddr;

use base::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::layers::lay;
use crate::{CommonSettings, FieldCheck, SettingsSchema, SharedFields};

/// Least and most of the periods that can be set.
const PERIODS: (TimeSpan, TimeSpan) = (TimeSpan::millis(10), TimeSpan::seconds(60));
/// Least and most retention of the log that can be set.
const RETENTIONS: (TimeSpan, TimeSpan) = (TimeSpan::seconds(1), TimeSpan::seconds(4_000_000));

/// Settings of a steward.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StewardSettings {
    /// What all processes share.
    pub common: CommonSettings,
    /// UDP address for our other processes.
    pub peer: SocketAddr,
    /// Time between two looks at a runner's report.
    #[serde(rename = "poll_ms", deserialize_with = "crate::millis::deserialize")]
    pub poll_interval: TimeSpan,
    /// Time between two looks at the VM list.
    #[serde(rename = "vm_poll_ms", deserialize_with = "crate::millis::deserialize")]
    pub vm_poll_interval: TimeSpan,
    /// Time between two digests to peers.
    #[serde(rename = "digest_ms", deserialize_with = "crate::millis::deserialize")]
    pub digest_interval: TimeSpan,
    /// Time limit of one exchange with the platform or a runner.
    #[serde(rename = "exchange_ms", deserialize_with = "crate::millis::deserialize")]
    pub exchange_timeout: TimeSpan,
    /// How long the platform's log keeps records.
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
        lay(&[CommonSettings::example(), Self::defaults(), own])
    }

    fn shared_fields() -> Option<SharedFields> {
        Some(CommonSettings::SHARED)
    }

    fn check(&self, check: &mut FieldCheck) {
        self.common.check(check);
        let periods = [
            (self.poll_interval, "poll_ms"),
            (self.vm_poll_interval, "vm_poll_ms"),
            (self.digest_interval, "digest_ms"),
            (self.exchange_timeout, "exchange_ms"),
        ];
        for (period, field) in periods {
            check.require_range(
                period.as_millis(),
                field,
                PERIODS.0.as_millis(),
                PERIODS.1.as_millis(),
            );
        }
        let (least, most) = RETENTIONS;
        let retention = self.log_retention.as_millis();
        check.require_range(retention, "log_retention_ms", least.as_millis(), most.as_millis());
    }
}
