//! Settings of `yard-entry`.

use std::net::SocketAddr;

use base::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::layers::lay;
use crate::{CommonSettings, FieldCheck, SettingsSchema, SharedFields};

/// Most bytes of a request's body that can be set.
const MAX_BODY_BYTES: u64 = 256 << 20;
/// Most calls, connections or bookings that can be set.
const MAX_COUNT: usize = 10_000_000;
/// Longest linger that can be set.
const MAX_LINGER: TimeSpan = TimeSpan::seconds(600);
/// Characters of a SHA-256 sum in hexadecimal.
const HASH_CHARS: usize = 64;

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// What all processes share.
    pub common: CommonSettings,
    /// HTTP address for callers.
    pub address: SocketAddr,
    /// UDP address for our other processes.
    pub peer: SocketAddr,
    /// UDP address of the steward of this machine.
    pub steward: SocketAddr,
    /// Name of the routing rule.
    pub policy: Arc<str>,
    /// Calls that may wait in this process.
    pub queue_limit: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Connections of callers at once.
    pub max_connections: usize,
    /// Bookings that are remembered at once.
    pub bookings_limit: usize,
    /// How long a stopping entry still takes calls, for callers that hold its address.
    #[serde(rename = "linger_ms", deserialize_with = "crate::millis::deserialize")]
    pub linger: TimeSpan,
    /// SHA-256 of each operator token that may read the dump, in hexadecimal.
    pub operator_tokens: Vec<Arc<str>>,
}

impl SettingsSchema for EntrySettings {
    fn defaults() -> Value {
        json!({
            "policy": "product",
            "queue_limit": 10_000,
            "max_body_bytes": 4 << 20,
            "max_connections": 4_096,
            "bookings_limit": 200_000,
            "linger_ms": 17_000,
            "operator_tokens": [],
        })
    }

    fn example() -> Value {
        let own = json!({
            "address": "127.0.0.1:8000",
            "peer": "127.0.0.1:8001",
            "steward": "127.0.0.1:8002",
            "operator_tokens": ["00".repeat(32)],
        });
        lay(&[CommonSettings::example(), Self::defaults(), own])
    }

    fn shared_fields() -> Option<SharedFields> {
        Some(CommonSettings::SHARED)
    }

    fn check(&self, check: &mut FieldCheck) {
        self.common.check(check);
        check.require(!self.policy.is_empty(), "policy", "the name of a routing rule");
        check.require_range(self.queue_limit, "queue_limit", 1, MAX_COUNT);
        check.require_range(self.max_body_bytes, "max_body_bytes", 1, MAX_BODY_BYTES);
        check.require_range(self.max_connections, "max_connections", 1, MAX_COUNT);
        check.require_range(self.bookings_limit, "bookings_limit", 1, MAX_COUNT);
        check.require_range(self.linger.as_millis(), "linger_ms", 0, MAX_LINGER.as_millis());
        for (at, hash) in self.operator_tokens.iter().enumerate() {
            let good = hash.len() == HASH_CHARS && hash.bytes().all(|b| b.is_ascii_hexdigit());
            let field = format!("operator_tokens[{at}]");
            check.require(good, &field, "a SHA-256 sum: 64 hexadecimal digits");
        }
    }
}
